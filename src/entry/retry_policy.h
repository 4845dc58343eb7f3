// The rules for retries after failed attempts.
#pragma once

#include "entry/configuration.h"

namespace yucca::entry
{

/// How one attempt at an endpoint ended.
enum class AttemptEnd {
    Delivered, ///< the caller received the endpoint's response
    CallerGone,
    Unreached, ///< the connection failed: nothing was sent
    NotExecuted, ///< the endpoint states that it did not run the request
    EngineFailed, ///< the endpoint ran the request and responded with a failure
    Broken, ///< the request was sent and no complete response arrived: it may have run
    Silent, ///< as Broken, because the time for the response was up
};

inline constexpr NameTable<AttemptEnd, 7> attemptEndNames{{{AttemptEnd::Delivered, "delivered"},
                                                           {AttemptEnd::CallerGone, "caller_gone"},
                                                           {AttemptEnd::Unreached, "unreached"},
                                                           {AttemptEnd::NotExecuted, "not_executed"},
                                                           {AttemptEnd::EngineFailed, "engine_failed"},
                                                           {AttemptEnd::Broken, "broken"},
                                                           {AttemptEnd::Silent, "silent"}}};

/// Why a request got no further attempt.
enum class GiveUpReason {
    AttemptsUsed, ///< its attempts are used up, or it may not run again
    TimedOut,
    NoEndpoint, ///< no endpoint can take it
    NoVersion, ///< no endpoint of the stream's software version can take it
    RetryDenied, ///< for want of retry budget
    Withheld, ///< endpoints crashed, or are suspected to have crashed, while they ran its content or a part of its prompt
    Stopping, ///< this router is about to exit
    Failed, ///< an exception ended it
};

inline constexpr NameTable<GiveUpReason, 8> giveUpReasonNames{{{GiveUpReason::AttemptsUsed, "attempts_used"},
                                                               {GiveUpReason::TimedOut, "timed_out"},
                                                               {GiveUpReason::NoEndpoint, "no_endpoint"},
                                                               {GiveUpReason::NoVersion, "no_version"},
                                                               {GiveUpReason::RetryDenied, "retry_denied"},
                                                               {GiveUpReason::Withheld, "withheld"},
                                                               {GiveUpReason::Stopping, "stopping"},
                                                               {GiveUpReason::Failed, "failed"}}};

/// Returns true if the request may have run in an attempt that ended this way.
constexpr bool mayHaveRun(AttemptEnd end)
{
    return end == AttemptEnd::EngineFailed || end == AttemptEnd::Broken || end == AttemptEnd::Silent;
}

/// Returns true if the requests of a route may run more than once.
inline bool repeatable(const Route &route)
{
    return route.kind == RequestKind::Idempotent || (route.kind == RequestKind::Stream && route.resumable);
}

/// Attempts of one request so far.
struct AttemptCount {
    int attempts = 0; ///< attempts, with any result
    int arrivals = 0; ///< attempts that reached an endpoint
    int runs = 0; ///< attempts in which the request may have run
};

/// Maximum number of attempts beyond those that may run the request. Endpoints that refuse
/// connections or shed requests cost little, but a request must not try a whole pool.
inline constexpr int maxExtraAttempts = 3;

/// Returns true if another endpoint may be tried after an attempt that ended this way.
inline bool mayRetry(const Route &route, AttemptEnd end, const AttemptCount &count)
{
    switch (end) {
    case AttemptEnd::Delivered:
    case AttemptEnd::CallerGone:
        return false;
    case AttemptEnd::Unreached:
    case AttemptEnd::NotExecuted:
        return count.attempts < route.maxAttempts + maxExtraAttempts;
    case AttemptEnd::EngineFailed:
    case AttemptEnd::Broken:
    case AttemptEnd::Silent:
        return repeatable(route) && count.runs < route.maxAttempts && count.attempts < route.maxAttempts + maxExtraAttempts;
    }
    return false;
}

} // namespace yucca::entry
