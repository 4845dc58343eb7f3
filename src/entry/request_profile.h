// A caller's request as the pipeline sees it, whatever interface it came
// through, and the words for how it ends.
#pragma once

#include "entry/configuration.h"

#include <cstdint>
#include <string>
#include <vector>

namespace yucca::entry
{

/// A part of a prompt: requests that share parts share the work of reading them.
struct PromptPart {
    uint64_t id = 0;
    int64_t tokens = 0;
};

/// What a request says of its prompt.
struct Prompt {
    int64_t inputTokens = 0;
    int64_t mostOutputTokens = 0;
    std::vector<PromptPart> parts; ///< in order; the last is the request's or its session's own
};

/// True when a prompt has parts that other requests may share.
inline bool sharesPrompt(const Prompt &prompt)
{
    return prompt.parts.size() >= 2;
}

/// The same for prompts that share all parts but their own last one.
inline uint64_t promptKey(const Prompt &prompt)
{
    return prompt.parts[prompt.parts.size() - 2].id;
}

/// A request that may go on: who sent it, under which route, how long it has.
struct RequestProfile {
    std::string id; ///< of this attempt of the caller's
    ConfigurationPtr configuration; ///< owns the route
    const Route *route = nullptr;
    std::string workspace; ///< empty on public routes
    int priority = 5; ///< 0 is the most urgent
    Clock::time_point arrived;
    Clock::time_point deadline; ///< the caller leaves
    Clock::time_point answerBy; ///< the caller leaves, or the route's timeout has passed
    Prompt prompt;
    uint64_t resumeAfter = 0; ///< the last event that the caller has of a stream
};

/// Why a request was answered by the router itself.
enum class Rejection {
    NotLoaded, ///< no configuration is known yet
    NoRoute,
    UnknownKey,
    Malformed,
    Stopping, ///< this router is about to end
    NoEndpoint, ///< no endpoint is usable
    NotExecuted, ///< the endpoints that were asked did not run it
    AnswerLost, ///< it may have run
    TimedOut, ///< sent, and not answered in time
};

inline constexpr NameTable<Rejection, 9> rejectionNames{{{Rejection::NotLoaded, "not_loaded"},
                                                         {Rejection::NoRoute, "no_route"},
                                                         {Rejection::UnknownKey, "unknown_key"},
                                                         {Rejection::Malformed, "malformed"},
                                                         {Rejection::Stopping, "stopping"},
                                                         {Rejection::NoEndpoint, "no_endpoint"},
                                                         {Rejection::NotExecuted, "not_executed"},
                                                         {Rejection::AnswerLost, "answer_lost"},
                                                         {Rejection::TimedOut, "timed_out"}}};

/// The status that tells a caller of a rejection. 503 promises that the
/// request has not run and never will; 502 and 504 promise nothing.
constexpr unsigned statusOf(Rejection why)
{
    switch (why) {
    case Rejection::NoRoute:
        return 404;
    case Rejection::UnknownKey:
        return 401;
    case Rejection::Malformed:
        return 400;
    case Rejection::AnswerLost:
        return 502;
    case Rejection::TimedOut:
        return 504;
    default:
        return 503;
    }
}

/// How a request goes to one endpoint.
struct ForwardOptions {
    Endpoint endpoint;
    Millis left; ///< until the answer must be there
    uint64_t resumeAfter = 0; ///< of a stream: the last event that the caller has
    std::optional<Endpoint> promptHolder; ///< where the endpoint may fetch the read prompt from, instead of reading it
};

/// What an endpoint's answer says, as read off its head.
struct AnswerHead {
    unsigned status = 0;
    bool notExecuted = false; ///< the endpoint states that it did not run the request
    bool wrongInstance = false; ///< another endpoint has the address now
    bool ownAnswer = false; ///< bears the request's id
    bool authentic = false; ///< the endpoint's own and unaltered: signed, not encoded
    int64_t load = -1; ///< requests running and waiting at the endpoint; -1: not told
};

} // namespace yucca::entry
