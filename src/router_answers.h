// What the steps of the own interface's traffic share: the answers that are
// the router's own, and the reading of endpoints' answers.
#pragma once

#include "log.h"
#include "router_traffic.h"
#include "text.h"

namespace yucca::router
{

using json = nlohmann::json;

inline constexpr std::string_view chatPath = "/v1/chat/completions";
inline constexpr std::string_view operationPrefix = "/v1/ops/";
inline constexpr Millis settleBeforeAnswer{500}; ///< how long an answer waits for its record to be stored

// True when an endpoint's answer says that it did not run the request.
inline bool notExecuted(unsigned status, const std::string &flag)
{
    return flag == "true" && (status == 503 || status == 429 || status == 421);
}

// Whole seconds, rounded up, as the Retry-After header has them.
inline int64_t secondsUp(Clock::duration d)
{
    return std::chrono::ceil<std::chrono::seconds>(d).count();
}

// GCC 12 cannot keep braced lists in a coroutine's frame, so JSON bodies and
// headers are made in plain functions.

// The body of an answer that is no endpoint's.
inline json refusalBody(const std::string &why, const char *type, Outcome outcome, int64_t retryAfterS)
{
    const json error{{"message", why}, {"type", type}};
    return {{"error", error}, {"outcome", nameOf(outcomeNames, outcome)}, {"retry_after_s", retryAfterS}};
}

inline http::Headers refusalHeaders(Outcome outcome, int64_t retryAfterS)
{
    return {{"Retry-After", std::to_string(retryAfterS)}, {"x-outcome", std::string(nameOf(outcomeNames, outcome))}};
}

// The headers of an endpoint's answer on its way to the caller.
inline http::Headers answerHeaders(const std::string &requestId, const std::string &endpoint)
{
    return {{"x-request-id", requestId}, {"x-engine-id", endpoint}};
}

inline http::Headers replayHeaders(const std::string &requestId)
{
    return {{"x-idempotent-replay", "true"}, {"x-request-id", requestId}};
}

inline http::CallOptions callOptions(Clock::time_point deadline, http::Reuse reuse, http::Cancellation *cancellation = nullptr)
{
    return {deadline, reuse, cancellation};
}

inline json readiness(bool ready)
{
    return {{"ready", ready}};
}

inline http::Address addressOf(const Endpoint &e)
{
    return {e.host, e.port};
}

// Learns from the head of an endpoint's answer: its load, and that it is leaving.
template <typename Answer> void Router::noteHead(const Endpoint &endpoint, const Answer &answer)
{
    m_table.recovered(endpoint.id);
    if (const auto load = text::number(answer.header("x-engine-load"))) {
        m_table.reported(endpoint.id, *load, Clock::now());
    }
    const std::string draining = answer.header("x-engine-draining");
    if (!draining.empty() && m_table.setDraining(endpoint.id, draining == "true")) {
        log::event(log::Event::Draining, "id=" + endpoint.id + " draining=" + draining);
    }
}

// Learns from the head of an engine's answer, and says why it may not be
// handed on, if so: the engine did not run the request, or the answer is
// another request's.
template <typename Answer>
std::optional<Router::Attempt> Router::rejectedBy(const Endpoint &endpoint, const Admitted &admitted, unsigned status, const Answer &answer)
{
    noteHead(endpoint, answer);
    if (notExecuted(status, answer.header("x-not-executed"))) {
        return Attempt::NotExecuted;
    }
    const std::string requestId = answer.header("x-request-id");
    if (requestId != admitted.requestId) {
        log::event(log::Event::AnswerMismatched, "engine=" + endpoint.id + " want=" + admitted.requestId + " got=" + requestId);
        return Attempt::MayHaveRun;
    }
    return std::nullopt;
}

} // namespace yucca::router
