// The limit on requests to one endpoint that is cold, summed over all routers,
// where no router knows what the others send.
#pragma once

#include "task.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace yucca::limits
{

/// What an endpoint of a service bears while it is cold.
struct ColdAllowance {
    Millis coldFor{0}; ///< after a start
    double perSecond = 0; ///< requests that it bears for as long as it is cold
    double mostPerSecond = 0; ///< bound in any one second, over all routers
    bool operator==(const ColdAllowance &) const = default;
};

/// How an allowance is dealt: whole to a few routers, the owners of an endpoint.
struct ColdShare {
    std::size_t owners = 0;
    std::size_t perSecond = 0; ///< of each owner, in any one second
    bool operator==(const ColdShare &) const = default;
};

/// The shares of an allowance in a fleet of so many routers. All owners together
/// stay within half of the bound, as routers know different fleets: where it is
/// split in two halves that do not hear of each other, or each router lacks a
/// third of it, up to twice as many take themselves for owners.
ColdShare coldShare(const ColdAllowance &allowance, std::size_t routers);

/// Decides which requests this router may send to cold endpoints. Free of I/O;
/// not safe to use from several threads.
class ColdLimiter
{
public:
    /// The routers of the fleet as last listed, this one's id apart. Until the
    /// first call this router owns nothing.
    void setRouters(const std::string &self, const std::vector<std::string> &others);
    /// Limits by service; a service without one is not limited.
    void setAllowances(std::map<std::string, ColdAllowance> allowances);
    /// True for a service whose cold endpoints get no more than they bear.
    bool limits(const std::string &service) const
    {
        return m_allowances.count(service) > 0;
    }
    /// How long an endpoint of a service is cold after a start; 0 where that does not matter.
    Millis coldFor(const std::string &service) const;
    /// How many requests this router may still send to a cold endpoint now.
    std::size_t available(const std::string &service, const std::string &endpoint, Clock::time_point now);
    /// How many it may send to it in any one second.
    std::size_t share(const std::string &service, const std::string &endpoint);
    /// Counts one request to an endpoint, cold or not.
    void sent(const std::string &service, const std::string &endpoint, Clock::time_point now);

private:
    struct Window {
        std::deque<Clock::time_point> sends;
        std::size_t share = 0;
        uint64_t generation = 0; ///< of the list of routers that the share was computed from
    };
    Window &windowOf(const std::string &service, const std::string &endpoint);
    bool owns(const std::string &endpoint, std::size_t owners) const;
    static void forgetOld(Window &window, Clock::time_point now);
    void forgetIdle(Clock::time_point now);

    uint64_t m_self = 0; ///< hash of the id
    std::vector<uint64_t> m_others;
    bool m_listed = false;
    uint64_t m_generation = 1;
    std::map<std::string, ColdAllowance> m_allowances;
    std::map<std::string, Window> m_windows; ///< by endpoint
};

} // namespace yucca::limits
