// Refusals that endpoints stated in their own responses: an endpoint that is leaving or backing off gets no more
// requests from this router, also while the store's entry is stale or wrong. No I/O.
#pragma once

#include "task.h"
#include "yucca/types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yucca::router
{

/// Retention times of EndpointRefusals.
struct RefusalOptions {
    /// An endpoint that left and is no longer listed still serves for some seconds, and its entry may reappear
    /// meanwhile.
    Millis unlistedRetention{std::chrono::minutes(10)};
};

/// Tracks the refusals of endpoints, listed or not. The caller holds the routing table's lock.
class EndpointRefusals
{
public:
    explicit EndpointRefusals(RefusalOptions options = {})
        : m_options(options)
    {
    }

    /// Records whether this incarnation of an endpoint is leaving. Returns true if the state changed.
    bool recordLeaving(const Endpoint &endpoint, bool leaving, Clock::time_point now);
    /// True if this incarnation announced that it is leaving.
    bool isLeaving(const Endpoint &endpoint) const
    {
        return m_leaving.count(incarnationKey(endpoint)) > 0;
    }
    /// Records that the endpoint accepts no requests until the given time. The entry is kept by id, so a restarted
    /// endpoint also gets no requests for the rest of that time. Returns true if this starts or extends the back-off.
    bool backOff(const std::string &id, Clock::time_point until);
    /// The end of the endpoint's back-off, or nothing if the endpoint accepts requests.
    std::optional<Clock::time_point> backOffEnd(const std::string &id, Clock::time_point now) const;
    /// True if no request may be sent to the endpoint now.
    bool refuses(const Endpoint &endpoint, Clock::time_point now) const
    {
        return isLeaving(endpoint) || backOffEnd(endpoint.id, now);
    }
    /// Drops expired back-offs, and leaving incarnations that have not been listed for the retention time.
    void dropExpired(const std::map<std::string, Endpoint> &listed, Clock::time_point now);

private:
    RefusalOptions m_options;
    struct Leaving {
        std::string id;
        Clock::time_point at{}; ///< when it was last listed, or announced that it is leaving
    };
    std::map<std::string, Leaving> m_leaving; ///< by incarnation
    std::map<std::string, Clock::time_point> m_backOffUntil; ///< by endpoint id
};

} // namespace yucca::router
