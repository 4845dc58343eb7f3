// The limit on requests that a brittle endpoint has to reject for want of room: one that rejects too many in a second
// crashes. No router knows what the others send.
#pragma once

#include "cold_limit.h"

#include <map>
#include <optional>
#include <string>

namespace yucca::limits
{

/// Divides the rejections that brittle endpoints bear among the routers, and counts the requests of this router that may still be
/// rejected. What each router sends within its share is safe whatever the others do. No I/O; not thread-safe.
class RejectionLimiter
{
public:
    /// Sets the routers of the fleet, see ColdLimiter::setRouters().
    void setRouters(const std::string &self, const std::vector<std::string> &others)
    {
        m_shares.setRouters(self, others);
    }
    /// Records what an endpoint's answer states: how many rejections in a second each endpoint of its service bears, over all
    /// routers; nothing if they bear any number.
    void recordStatement(const std::string &service, std::optional<int64_t> maxPerSecond, Clock::time_point now);
    /// True while the last statement about the service is recent and limits its rejections.
    bool isBrittle(const std::string &service, Clock::time_point now) const;
    /// The number of requests whose rejection this router may still risk at the endpoint.
    std::size_t available(const std::string &service, const std::string &endpoint, Clock::time_point now)
    {
        return m_shares.available(service, endpoint, now);
    }
    /// Counts a request that may be rejected.
    void recordSend(const std::string &service, const std::string &endpoint, Clock::time_point now)
    {
        m_shares.recordSend(service, endpoint, now);
    }
    /// Takes back the count of a request that the endpoint accepted.
    void recordAccepted(const std::string &endpoint, Clock::time_point sentAt)
    {
        m_shares.withdrawSend(endpoint, sentAt);
    }

private:
    /// How long a statement counts without a newer one. Endpoints state it in all their answers, so that it mostly ends with the
    /// first answer without it.
    static constexpr Millis statementLifetime{10000};

    struct Statement {
        int64_t maxPerSecond = 0;
        Clock::time_point at{};
    };
    void applyStatements();

    ColdLimiter m_shares; ///< divides each limit like the allowance of a cold endpoint
    std::map<std::string, Statement> m_statements; ///< by service
};

} // namespace yucca::limits
