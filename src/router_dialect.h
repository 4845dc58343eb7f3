// How callers and endpoints speak on the own interface: chat completions, and
// operations of plain services with an Idempotency-Key.
#pragma once

#include "entry/gateway.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace yucca::router
{

inline constexpr std::string_view chatPath = "/v1/chat/completions";
inline constexpr std::string_view operationPrefix = "/v1/ops/";

/// Whether an engine says that it is about to end, in a header of its answer;
/// nothing where that is absent.
std::optional<bool> leavingSaidIn(const std::string &header);
inline constexpr std::string_view drainingHeader = "x-engine-draining";

/// The own interface's model of entry::Dialect.
class OwnDialect
{
public:
    /// Requests without an id get one that begins with the router's. Callers
    /// are told to come back after retryAfterS seconds at the earliest.
    explicit OwnDialect(std::string routerId = {}, int64_t retryAfterS = 1)
        : m_routerId(std::move(routerId))
        , m_retryAfterS(retryAfterS)
    {
    }

    std::variant<entry::RequestProfile, entry::Rejection> identify(const http::Exchange &ex, const entry::ConfigurationPtr &configuration,
                                                                   Clock::time_point now);
    std::string requestId(const http::Exchange &ex) const;
    http::Request forwarded(const http::Exchange &ex, const entry::RequestProfile &profile, const entry::ForwardOptions &options) const;
    entry::AnswerHead readHead(const http::Response &response, const entry::RequestProfile &profile) const;
    http::Headers answerHeaders(const http::Response &response, const entry::RequestProfile &profile, const Endpoint &endpoint) const;
    http::Headers replayHeaders(const entry::RequestProfile &profile) const;
    entry::RejectionAnswer rejection(entry::Rejection why, Millis comeBack) const;
    static constexpr bool answersMayBeLate = false;
    static constexpr bool streamsEndWithMark = true;

private:
    std::string m_routerId;
    int64_t m_retryAfterS;
    uint64_t m_requests = 0;
};

static_assert(entry::Dialect<OwnDialect>);

} // namespace yucca::router
