#include "router_dialect.h"

#include "decode.h"
#include "prefix.h"
#include "router_configuration.h"
#include "text.h"

namespace yucca::router
{

using json = nlohmann::json;

namespace
{

static_assert(decode::maxDepth == 128 && decode::maxValues == 100000, "the message of Malformed states both");

/// Message for callers about each rejection.
constexpr NameTable<entry::Rejection, 22> rejectionMessages{{
    {entry::Rejection::NotLoaded, "the catalogue is not loaded yet"},
    {entry::Rejection::OutOfDate, "the router does not know the workspace, and has not heard of the store for a while"},
    {entry::Rejection::NoRoute, "the workspace has no class of work of this kind"},
    {entry::Rejection::UnknownKey, "unknown workspace"},
    {entry::Rejection::Malformed, "the body must be JSON of at most 128 levels and 100,000 values, with messages: a list of objects with role and content"},
    {entry::Rejection::Stopping, "the router is about to end"},
    {entry::Rejection::NoEndpoint, "no endpoint of the pool could take the request"},
    {entry::Rejection::NotExecuted, "the endpoints that were asked did not run the request"},
    {entry::Rejection::AnswerLost, "the endpoint's answer was lost"},
    {entry::Rejection::TimedOut, "no answer came within the request's time"},
    {entry::Rejection::OverLimits, "the workspace is over its limits"},
    {entry::Rejection::NotRecorded, "the object API could not record the idempotency key"},
    {entry::Rejection::KeyInUse, "an earlier request with this key is in progress or its outcome is unknown"},
    {entry::Rejection::KeyReused, "this Idempotency-Key was used for a different request"},
    {entry::Rejection::Quarantined, "several endpoints ended while they ran this request: it is not sent to others for now"},
    {entry::Rejection::Evacuated, "the endpoints that are left are in evacuated failure domains"},
    {entry::Rejection::Cold, "the endpoints that are left have just started and bear no more requests now"},
    {entry::Rejection::BackingOff, "the endpoints have asked for no more requests for a while"},
    {entry::Rejection::Brittle, "the endpoints may be full, and bear few rejections"},
    {entry::Rejection::VersionUnknown, "the software version that began the stream is not known here"},
    {entry::Rejection::VersionUnavailable, "no endpoint has the software version that began the stream"},
    {entry::Rejection::PartQuarantined, "several endpoints ended under prompts that share a part with this one: it is not sent to others for now"},
}};

// HTTP status of a rejection on this interface. Two differ from entry::statusOf():
// an unknown workspace is 404, as workspaces are looked up and not authenticated,
// and a timeout has the status of a lost answer.
unsigned rejectionStatus(entry::Rejection why)
{
    switch (why) {
    case entry::Rejection::UnknownKey:
        return 404;
    case entry::Rejection::TimedOut:
        return entry::statusOf(entry::Rejection::AnswerLost);
    default:
        return entry::statusOf(why);
    }
}

// True if an endpoint's response states that the request was not run.
bool notExecuted(unsigned status, const std::string &notExecutedValue)
{
    return notExecutedValue == "true" && (status == 503 || status == 429 || status == 421);
}

// Parses the body of a chat request. The affinity key sends the turns of a
// conversation to the engine that holds its prompt prefix.
std::optional<entry::Rejection> parseChat(const http::Exchange &ex, entry::RequestProfile &p, bool &streamed)
{
    const json body = decode::textOrNull(ex.request().body());
    if (!body.is_object() || !body.contains("messages") || !prefix::isValidMessageList(body["messages"])) {
        return entry::Rejection::Malformed;
    }
    streamed = body.contains("stream") && body["stream"] == true;
    p.affinity = prefix::affinityKeys(p.workspace, body["messages"]);
    return std::nullopt;
}

// Sets the idempotency key of an operation. Repeats have the same affinity, so they go to the same endpoint.
void parseOperation(const http::Exchange &ex, entry::RequestProfile &p)
{
    p.idempotencyKey = ex.header("idempotency-key");
    const uint64_t keyHash = ring::hash(p.idempotencyKey.empty() ? p.id : p.idempotencyKey);
    p.affinity = {keyHash, keyHash};
}

} // namespace

std::optional<bool> parseDraining(const std::string &header)
{
    return header.empty() ? std::nullopt : std::optional(header == "true");
}

std::string NativeDialect::requestId(const http::Exchange &ex) const
{
    return ex.header("x-request-id");
}

std::variant<entry::RequestProfile, entry::Rejection> NativeDialect::identify(const http::Exchange &ex, const entry::ConfigurationPtr &configuration,
                                                                              Clock::time_point now)
{
    entry::RequestProfile p;
    p.configuration = configuration;
    p.arrived = now;
    const auto *workspace = configuration->workspaceFor(ex.header("x-workspace"));
    if (!workspace) {
        return entry::Rejection::UnknownKey;
    }
    p.workspace = workspace->name;
    p.limits = workspace->limits;
    p.id = requestId(ex);
    if (p.id.empty()) {
        p.id = m_routerId + "-" + std::to_string(++m_generatedIds);
    }
    p.contentHash = ring::hash(ex.path() + "\n" + ex.request().body());
    const bool isChat = ex.path() == chatPath;
    bool streamed = false;
    if (isChat) {
        const auto problem = parseChat(ex, p, streamed);
        if (problem) {
            return *problem;
        }
    } else {
        parseOperation(ex, p);
    }
    p.route = configuration->match(workspace->workClass, isChat ? (streamed ? streamedChatPrefix : unstreamedChatPrefix) : serviceCallPrefix);
    if (!p.route) {
        return entry::Rejection::NoRoute;
    }
    p.priority = p.route->priority;
    const int64_t routeTimeoutMs = p.route->timeout.count();
    const int64_t callerTimeoutMs = text::parseNumber(ex.header("x-deadline-ms")).value_or(routeTimeoutMs);
    p.deadline = now + Millis(std::clamp<int64_t>(callerTimeoutMs, 1, routeTimeoutMs));
    p.responseDeadline = p.deadline;
    return p;
}

http::Request NativeDialect::makeForwardedRequest(const http::Exchange &ex, const entry::RequestProfile &profile, const entry::ForwardOptions &options) const
{
    http::Headers headers{{"x-request-id", profile.id},
                          {"x-workspace", profile.workspace},
                          {"x-priority", std::to_string(profile.priority)},
                          {"x-deadline-ms", std::to_string(std::max<int64_t>(1, options.left.count()))}};
    if (!profile.idempotencyKey.empty()) {
        headers.emplace_back("idempotency-key", profile.idempotencyKey);
    }
    if (options.resumeAfter > 0) {
        headers.emplace_back("last-event-id", std::to_string(options.resumeAfter));
    }
    const auto target = ex.request().target();
    return http::makeRequest("POST", {target.data(), target.size()}, ex.request().body(), headers);
}

entry::ResponseHead NativeDialect::readHead(const http::Response &response, const entry::RequestProfile &profile) const
{
    entry::ResponseHead head;
    head.status = response.status();
    const std::string id = response.header("x-request-id");
    // Plain services may omit the id: each request has a connection of its own.
    head.matchesRequest = id == profile.id || (id.empty() && profile.route->kind == entry::RequestKind::NonIdempotent);
    head.notExecuted = notExecuted(head.status, response.header("x-not-executed"));
    head.retryAfter = http::requestedBackOff(head.status, response.header("Retry-After"));
    head.authentic = true;
    head.load = text::parseNumber(response.header("x-engine-load")).value_or(-1);
    head.leaving = parseDraining(response.header(drainingHeader));
    return head;
}

http::Headers NativeDialect::responseHeaders(const http::Response &response, const entry::RequestProfile &profile, const Endpoint &endpoint) const
{
    const bool events = profile.route->kind == entry::RequestKind::Stream && response.status() == 200;
    return {{"Content-Type", events ? "text/event-stream" : "application/json"}, {"x-request-id", profile.id}, {"x-engine-id", endpoint.id}};
}

http::Headers NativeDialect::replayHeaders(const entry::RequestProfile &profile) const
{
    return {{"Content-Type", "application/json"}, {"x-idempotent-replay", "true"}, {"x-request-id", profile.id}};
}

entry::RejectionResponse NativeDialect::rejection(entry::Rejection why, Millis retryAfter) const
{
    const auto outcome = nameOf(outcomeNames, entry::outcomeOf(why));
    const int64_t seconds = std::max<int64_t>(m_retryAfterS, std::chrono::ceil<std::chrono::seconds>(retryAfter).count());
    const char *type = entry::outcomeOf(why) == Outcome::Unknown ? "outcome_unknown" : why == entry::Rejection::Malformed ? "invalid_request_error" : "not_run";
    const json error{{"message", nameOf(rejectionMessages, why)}, {"type", type}};
    const json body{{"error", error}, {"outcome", outcome}, {"retry_after_s", seconds}};
    http::Headers headers{{"Retry-After", std::to_string(seconds)}, {"x-outcome", std::string(outcome)}};
    return {rejectionStatus(why), std::move(headers), body.dump(), "application/json"};
}

} // namespace yucca::router
