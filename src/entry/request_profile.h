// A caller's request as the pipeline sees it, whatever interface it came
// through, and the words for how it ends.
#pragma once

#include "entry/configuration.h"
#include "yucca/placement.h"

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

/// Requests that share their prompt up to their own last part belong at one
/// endpoint; those that share nothing are spread by their ids.
inline placement::Affinity affinityOf(const Prompt &prompt, const std::string &id)
{
    const uint64_t key = sharesPrompt(prompt) ? promptKey(prompt) : ring::hash(id);
    return {key, key};
}

/// A request that may go on: who sent it, under which route, how long it has.
struct RequestProfile {
    std::string id; ///< of this attempt of the caller's
    ConfigurationPtr configuration; ///< owns the route
    const Route *route = nullptr;
    std::string workspace; ///< empty on public routes
    std::optional<limits::Limits> limits; ///< of the workspace
    std::vector<std::string> regions; ///< of the workspace: whose endpoints its requests may reach; empty: any
    int priority = 5; ///< 0 is the most urgent
    Clock::time_point arrived;
    Clock::time_point deadline; ///< the caller leaves
    Clock::time_point answerBy; ///< the caller leaves, or the route's timeout has passed
    placement::Affinity affinity;
    Prompt prompt;
    std::string idempotencyKey; ///< not empty: runs once at most over all requests of the workspace with this key
    /// Of what is asked for, whoever asks and when: tells a repeat that comes
    /// under another id, and a key that is used for something else.
    uint64_t contentHash = 0;
    uint64_t resumeAfter = 0; ///< the last event that the caller has of a stream
};

/// One workspace's requests for the same thing, over all routers. Two
/// workspaces that ask alike are told apart: neither is to learn of the other.
inline uint64_t contentKey(const RequestProfile &profile)
{
    return ring::hash(profile.workspace, profile.contentHash);
}

/// Why a request was answered by the router itself.
enum class Rejection {
    NotLoaded, ///< no configuration is known yet
    OutOfDate, ///< its route or key is unknown here, but the store has been silent: it may be new
    NoRoute,
    UnknownKey,
    Malformed,
    Stopping, ///< this router is about to end
    NoEndpoint, ///< no endpoint is usable
    NotExecuted, ///< the endpoints that were asked did not run it
    AnswerLost, ///< it may have run
    TimedOut, ///< sent, and not answered in time
    OverLimits, ///< the workspace sends more than its limits allow
    NotRecorded, ///< the idempotency key could not be claimed in the store
    KeyInUse, ///< an earlier request with the key is in progress, or nobody knows its outcome
    KeyReused, ///< the key was used for something else
    Quarantined, ///< endpoints ended under requests for the same
    Evacuated, ///< what endpoints are left are in evacuated failure domains
    Cold, ///< what endpoints are left are cold, and bear no more requests now
    BackingOff, ///< all endpoints have asked this router for no requests for a while
};

inline constexpr NameTable<Rejection, 18> rejectionNames{{{Rejection::NotLoaded, "not_loaded"},
                                                          {Rejection::OutOfDate, "out_of_date"},
                                                          {Rejection::NoRoute, "no_route"},
                                                          {Rejection::UnknownKey, "unknown_key"},
                                                          {Rejection::Malformed, "malformed"},
                                                          {Rejection::Stopping, "stopping"},
                                                          {Rejection::NoEndpoint, "no_endpoint"},
                                                          {Rejection::NotExecuted, "not_executed"},
                                                          {Rejection::AnswerLost, "answer_lost"},
                                                          {Rejection::TimedOut, "timed_out"},
                                                          {Rejection::OverLimits, "over_limits"},
                                                          {Rejection::NotRecorded, "not_recorded"},
                                                          {Rejection::KeyInUse, "key_in_use"},
                                                          {Rejection::KeyReused, "key_reused"},
                                                          {Rejection::Quarantined, "quarantined"},
                                                          {Rejection::Evacuated, "evacuated"},
                                                          {Rejection::Cold, "cold"},
                                                          {Rejection::BackingOff, "backing_off"}}};

/// What a rejection says of the request: it certainly did not run and never
/// will, or it may have run.
constexpr Outcome outcomeOf(Rejection why)
{
    const bool mayHaveRun = why == Rejection::AnswerLost || why == Rejection::TimedOut || why == Rejection::KeyInUse;
    return mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
}

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
    case Rejection::OverLimits:
        return 429;
    case Rejection::KeyReused:
        return 422;
    case Rejection::AnswerLost:
    case Rejection::KeyInUse:
        return 502;
    case Rejection::TimedOut:
        return 504;
    default:
        return 503;
    }
}

/// An answer of the router's own, as an interface words it.
struct RejectionAnswer {
    unsigned status = 0;
    http::Headers headers;
    std::string body;
    std::string contentType;
};

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
    std::optional<bool> leaving; ///< whether the endpoint says that it is about to end; absent: not told
    int64_t load = -1; ///< requests running and waiting at the endpoint; -1: not told
    std::optional<Millis> retryAfter; ///< of a request turned away: the endpoint wants none from this router for so long
};

} // namespace yucca::entry
