// What endpoints said of themselves in their answers that forbids this router
// to send them more. Free of I/O; answers loads in which the store's entries are
// late or wrong.
#pragma once

#include "task.h"
#include "yucca/types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yucca::router
{

/// Times of EndpointRefusals.
struct RefusalOptions {
    /// An endpoint that left and is no longer listed serves on for seconds; its
    /// entry may come back meanwhile.
    Millis rememberedUnlisted{std::chrono::minutes(10)};
};

/// Remembers the refusals of one router's endpoints, whether they are listed or
/// not. Used under the routing table's lock.
class EndpointRefusals
{
public:
    explicit EndpointRefusals(RefusalOptions options = {})
        : m_options(options)
    {
    }

    /// Notes whether this incarnation of an endpoint leaves. True when that is news.
    bool noteLeaving(const Endpoint &endpoint, bool leaving, Clock::time_point now);
    /// True when this incarnation said that it leaves.
    bool leaving(const Endpoint &endpoint) const
    {
        return m_leaving.count(incarnationKey(endpoint)) > 0;
    }
    /// The endpoint wants nothing until a moment. Kept by id: one that starts
    /// again meanwhile is given the rest of that time as well. True when that is news.
    bool backOff(const std::string &id, Clock::time_point until);
    /// Until when the endpoint wants nothing; nothing when it takes requests.
    std::optional<Clock::time_point> backsOffUntil(const std::string &id, Clock::time_point now) const;
    /// True when nothing may be sent to the endpoint now.
    bool refuses(const Endpoint &endpoint, Clock::time_point now) const
    {
        return leaving(endpoint) || backsOffUntil(endpoint.id, now);
    }
    /// Forgets incarnations that have not been listed for long, and what has passed.
    void forgetUnlisted(const std::vector<Endpoint> &listed, Clock::time_point now);

private:
    RefusalOptions m_options;
    std::map<std::string, Clock::time_point> m_leaving; ///< by incarnation: when it was last listed, or said so
    std::map<std::string, Clock::time_point> m_backOffUntil; ///< by id
};

} // namespace yucca::router
