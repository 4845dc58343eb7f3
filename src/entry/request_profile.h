// A caller's request as the pipeline sees it, independent of the wire interface, and the ways it
// can end.
#pragma once

#include "entry/configuration.h"
#include "yucca/placement.h"

#include <cstdint>
#include <string>
#include <vector>

namespace yucca::entry
{

/// A part of a prompt. Requests with the same leading parts share the work of the engine's prefill.
struct PromptPart {
    uint64_t id = 0;
    int64_t tokens = 0;
};

/// The prompt of a request, as the request describes it.
struct Prompt {
    int64_t inputTokens = 0;
    int64_t maxOutputTokens = 0;
    std::vector<PromptPart> parts; ///< in prompt order; the last part belongs to the request or its session alone
};

/// Returns true when other requests may share a leading part of the prompt.
inline bool sharesPrompt(const Prompt &prompt)
{
    return prompt.parts.size() >= 2;
}

/// Returns a key that is equal for prompts which share all parts but the last. The prompt must have
/// at least two parts.
inline uint64_t promptKey(const Prompt &prompt)
{
    return prompt.parts[prompt.parts.size() - 2].id;
}

/// Returns the affinity of a request. Requests that share all prompt parts but the last belong on
/// the same endpoint; requests that share nothing are spread by their ids.
inline placement::Affinity affinityOf(const Prompt &prompt, const std::string &id)
{
    const uint64_t key = sharesPrompt(prompt) ? promptKey(prompt) : ring::hash(id);
    return {key, key};
}

/// An identified request: its sender, its route and its time limits.
struct RequestProfile {
    std::string id; ///< differs between repeated attempts of the caller
    ConfigurationPtr configuration; ///< keeps the route alive
    const Route *route = nullptr;
    std::string workspace; ///< empty on public routes
    std::optional<limits::Limits> limits; ///< of the workspace
    std::vector<std::string> regions; ///< regions of the endpoints that the workspace's requests may use; empty: any
    int priority = 5; ///< 0 is the most urgent
    Clock::time_point arrived;
    Clock::time_point deadline; ///< when the caller stops waiting
    Clock::time_point responseDeadline; ///< the earlier of the deadline and the end of the route's timeout
    placement::Affinity affinity;
    Prompt prompt;
    std::string idempotencyKey; ///< if not empty, at most one of the workspace's requests with this key runs
    /// Hash of the requested content, independent of sender and time. It identifies a repeat that
    /// has another id, and a key that is reused for other content.
    uint64_t contentHash = 0;
    uint64_t resumeAfter = 0; ///< id of the last event of the stream that the caller has received
    std::string resumes; ///< id of the caller's attempt that brought the stream's first event; empty if not stated
};

/// Returns a key for equal requests of one workspace, the same at all routers. Equal requests of
/// two workspaces get different keys, so that neither workspace learns of the other.
inline uint64_t contentKey(const RequestProfile &profile)
{
    return ring::hash(profile.workspace, profile.contentHash);
}

/// Returns the key of a part of a prompt, the same for all callers and at all routers.
inline uint64_t partKey(const PromptPart &part)
{
    return ring::hash("prompt part", part.id);
}

/// Returns the keys under which crashes count against a request: its content first, then the parts of its prompt that other
/// requests may share, in order.
inline std::vector<uint64_t> crashKeys(const RequestProfile &profile)
{
    std::vector<uint64_t> keys{contentKey(profile)};
    for (std::size_t i = 0; i + 1 < profile.prompt.parts.size(); ++i) {
        keys.push_back(partKey(profile.prompt.parts[i]));
    }
    return keys;
}

/// Why a request was answered by the router itself.
enum class Rejection {
    NotLoaded, ///< no configuration is known yet
    OutOfDate, ///< the route or API key is unknown, but it may be new: the store has not answered for a while
    NoRoute,
    UnknownKey,
    Malformed,
    Stopping, ///< this router is about to stop
    NoEndpoint, ///< no endpoint is usable
    NotExecuted, ///< the endpoints that were tried did not run the request
    AnswerLost, ///< the request may have run
    TimedOut, ///< the request was sent, and no response arrived in time
    OverLimits, ///< the workspace exceeds its limits
    NotRecorded, ///< the idempotency key could not be claimed in the store
    KeyInUse, ///< an earlier request with the key is in progress, or its outcome is unknown
    KeyReused, ///< the key was used for a request with other content
    Quarantined, ///< endpoints crashed while they ran requests with the same content
    Evacuated, ///< all remaining endpoints are in evacuated failure domains
    Cold, ///< all remaining endpoints are cold and can take no more requests now
    BackingOff, ///< all endpoints have asked this router to back off
    Brittle, ///< all remaining endpoints may be full, and would crash if they had to reject more requests
    VersionUnknown, ///< a stream is to go on, and no router that was asked knows which software version began it
    VersionUnavailable, ///< no endpoint that may continue the stream has the version that began it
    PartQuarantined, ///< endpoints crashed while they ran requests whose prompts share a part with this one
};

inline constexpr NameTable<Rejection, 22> rejectionNames{{{Rejection::NotLoaded, "not_loaded"},
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
                                                          {Rejection::BackingOff, "backing_off"},
                                                          {Rejection::Brittle, "brittle"},
                                                          {Rejection::VersionUnknown, "version_unknown"},
                                                          {Rejection::VersionUnavailable, "version_unavailable"},
                                                          {Rejection::PartQuarantined, "part_quarantined"}}};

/// Returns the outcome that a rejection implies: the request did not run and never will, or it may
/// have run.
constexpr Outcome outcomeOf(Rejection why)
{
    const bool mayHaveRun = why == Rejection::AnswerLost || why == Rejection::TimedOut || why == Rejection::KeyInUse;
    return mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
}

/// Returns the HTTP status of a rejection. 503 promises that the request has not run and never
/// will; 502 and 504 promise nothing.
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

/// A rejection formatted for a wire interface.
struct RejectionResponse {
    unsigned status = 0;
    http::Headers headers;
    std::string body;
    std::string contentType;
};

/// Parameters for forwarding a request to one endpoint.
struct ForwardOptions {
    Endpoint endpoint;
    Millis left; ///< time until the response must be complete
    uint64_t resumeAfter = 0; ///< of a stream: id of the last event that the caller has received
    std::optional<Endpoint> promptHolder; ///< endpoint from which the prompt's KV cache may be fetched instead of computing it
};

/// The information in the head of an endpoint's response.
struct ResponseHead {
    unsigned status = 0;
    bool notExecuted = false; ///< the endpoint states that it did not run the request
    bool wrongInstance = false; ///< another endpoint instance has the address now
    bool matchesRequest = false; ///< the response carries the request's id
    bool authentic = false; ///< the response is unaltered: signed by the endpoint and not encoded
    std::optional<bool> leaving; ///< whether the endpoint states that it is about to stop; absent: not stated
    int64_t load = -1; ///< number of requests running and waiting at the endpoint; -1: not reported
    int64_t slots = 0; ///< number of requests that the endpoint runs at the same time; 0: not reported
    std::optional<int64_t> rejectionLimit; ///< the endpoint crashes if it rejects more requests in a second; absent: it does not
    std::optional<Millis> retryAfter; ///< in a rejection: how long the endpoint wants no requests from this router
};

} // namespace yucca::entry
