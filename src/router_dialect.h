// The router's native HTTP interface for callers and endpoints: chat completions,
// and operations of plain services with an Idempotency-Key.
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

/// Parses the value of drainingHeader: whether the engine is about to stop.
/// Returns nothing if the header is absent (an empty value).
std::optional<bool> parseDraining(const std::string &header);
inline constexpr std::string_view drainingHeader = "x-engine-draining";

/// The model of entry::Dialect for the router's native interface.
class NativeDialect
{
public:
    /// Requests without an id get one that starts with routerId. retryAfterS is
    /// the minimum Retry-After in seconds that rejected callers receive.
    explicit NativeDialect(std::string routerId = {}, int64_t retryAfterS = 1)
        : m_routerId(std::move(routerId))
        , m_retryAfterS(retryAfterS)
    {
    }

    /// Matches a request to a workspace and a route, and parses its body. Rejects it with UnknownKey,
    /// Malformed or NoRoute. The caller's x-deadline-ms is clamped to the route's timeout.
    std::variant<entry::RequestProfile, entry::Rejection> identify(const http::Exchange &ex, const entry::ConfigurationPtr &configuration,
                                                                   Clock::time_point now);
    /// The id that the caller gave the request; empty if none.
    std::string requestId(const http::Exchange &ex) const;
    /// Builds the request to an endpoint from the caller's body and target and the router's headers.
    http::Request makeForwardedRequest(const http::Exchange &ex, const entry::RequestProfile &profile, const entry::ForwardOptions &options) const;
    /// Decodes the status and headers of an endpoint's response.
    entry::ResponseHead readHead(const http::Response &response, const entry::RequestProfile &profile) const;
    /// The headers of a relayed response.
    http::Headers responseHeaders(const http::Response &response, const entry::RequestProfile &profile, const Endpoint &endpoint) const;
    /// The headers of a stored response that is replayed for a repeated idempotency key.
    http::Headers replayHeaders(const entry::RequestProfile &profile) const;
    /// The response to a rejected request: a JSON body and Retry-After in whole seconds.
    entry::RejectionResponse rejection(entry::Rejection why, Millis retryAfter) const;
    static constexpr bool mayReceiveLateResponses = false; ///< the next response on a connection belongs to the request
    static constexpr bool streamsHaveTerminalEvent = true; ///< a stream is complete only with its terminal event

private:
    std::string m_routerId;
    int64_t m_retryAfterS;
    uint64_t m_generatedIds = 0;
};

static_assert(entry::Dialect<NativeDialect>);

} // namespace yucca::router
