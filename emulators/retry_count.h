// Counts the arrivals of requests at the endpoints of a service, and checks the limit on retries of the whole fleet.
#pragma once

#include "task.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yucca::emulators
{

/// The limit on the arrivals at a service beyond the first of each request, in any window and over all routers.
struct RetryAllowance {
    double ratio = 0.2; ///< per request
    double slack = 50; ///< in addition
    Millis window{10000};
};

/// The counts of one window.
struct RetryWindow {
    Millis start{};
    std::size_t retries = 0; ///< arrivals beyond the first of each request
    std::size_t requests = 0; ///< sent by callers in this window, the one before it or the one half a window before it, whichever has most
    double allowed = 0; ///< retries
    /// The part of the allowance that is used; above 1, the limit is exceeded.
    double used() const
    {
        return static_cast<double>(retries) / allowed;
    }
};

/// Records the requests of callers for one service and their arrivals at its endpoints. Times may be recorded in any order.
class RetryCount
{
public:
    explicit RetryCount(RetryAllowance allowance)
        : m_allowance(allowance)
    {
    }
    /// Records a request when its caller sends it.
    void recordRequest(Millis sentAt)
    {
        m_requests.push_back(sentAt);
    }
    /// Records the arrival of a request at an endpoint, also if the endpoint rejects it.
    void recordArrival(const std::string &id, Millis at)
    {
        m_arrivals[id].push_back(at);
    }
    /// Returns the window that uses most of its allowance, or nothing if no request arrived twice. Windows are closed
    /// intervals that begin or end with a retry.
    std::optional<RetryWindow> worstWindow() const;

private:
    std::vector<Millis> retryTimes() const;

    RetryAllowance m_allowance;
    std::vector<Millis> m_requests;
    std::map<std::string, std::vector<Millis>> m_arrivals; ///< by request id
};

} // namespace yucca::emulators
