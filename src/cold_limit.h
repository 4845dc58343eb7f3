// The limit on requests to one cold endpoint over all routers. No router knows what the others send.
#pragma once

#include "task.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace yucca::limits
{

/// The load that a cold endpoint of a service can take.
struct ColdAllowance {
    Millis coldDuration{0}; ///< how long an endpoint is cold after its start
    double perSecond = 0; ///< requests per second that a cold endpoint sustains, from all routers
    double maxPerSecond = 0; ///< hard limit on requests in any one second, from all routers
    bool operator==(const ColdAllowance &) const = default;
};

/// The division of an allowance: a few routers, the owners of an endpoint, get all of it.
struct ColdShare {
    std::size_t owners = 0;
    std::size_t perSecond = 0; ///< requests that each owner may send in any one second
    bool operator==(const ColdShare &) const = default;
};

/// Divides an allowance in a fleet of the given number of routers. The shares of all owners add up to at most half of
/// the hard limit, because routers may see different fleets: if the fleet is partitioned into two halves, or if each
/// router misses a third of it, up to twice as many routers consider themselves owners.
ColdShare coldShare(const ColdAllowance &allowance, std::size_t routers);

/// Decides how many requests this router may send to cold endpoints. No I/O; not thread-safe.
class ColdLimiter
{
public:
    /// Sets the routers of the fleet: the id of this router and the ids of the others. Before the first call, this
    /// router owns no endpoint.
    void setRouters(const std::string &self, const std::vector<std::string> &others);
    /// Sets the allowances by service. A service without an allowance is not limited.
    void setAllowances(std::map<std::string, ColdAllowance> allowances);
    /// True if the service limits the requests to its cold endpoints.
    bool isLimited(const std::string &service) const
    {
        return m_allowances.count(service) > 0;
    }
    /// How long an endpoint of a service is cold after a start, or 0 if the service has no limit.
    Millis coldDuration(const std::string &service) const;
    /// The number of requests that this router may still send to a cold endpoint now.
    std::size_t available(const std::string &service, const std::string &endpoint, Clock::time_point now);
    /// The number of requests that this router may send to the endpoint in any one second.
    std::size_t share(const std::string &service, const std::string &endpoint);
    /// Counts one request to an endpoint, cold or not.
    void recordSend(const std::string &service, const std::string &endpoint, Clock::time_point now);
    /// Takes back the count of a request that was recorded at the given time.
    void withdrawSend(const std::string &endpoint, Clock::time_point sentAt);

private:
    struct Window {
        std::deque<Clock::time_point> sends;
        std::size_t share = 0;
        uint64_t generation = 0; ///< configuration generation that the share was computed from
    };
    Window &windowOf(const std::string &service, const std::string &endpoint);
    bool owns(const std::string &endpoint, std::size_t owners) const;
    static void dropExpired(Window &window, Clock::time_point now);
    void dropIdleWindows(Clock::time_point now);

    uint64_t m_self = 0; ///< hash of this router's id
    std::vector<uint64_t> m_others;
    bool m_listed = false;
    uint64_t m_generation = 1;
    std::map<std::string, ColdAllowance> m_allowances;
    std::map<std::string, Window> m_windows; ///< by endpoint id
};

} // namespace yucca::limits
