// Which failed attempts may be followed by another one.
#pragma once

#include "entry/configuration.h"

namespace yucca::entry
{

/// How one attempt at an endpoint ended.
enum class AttemptEnd {
    Delivered, ///< the caller has the endpoint's answer
    CallerGone,
    Unreached, ///< no connection: nothing was sent
    NotExecuted, ///< the endpoint states that it did not run the request
    EngineFailed, ///< the endpoint ran it and answered with a failure of its own
    Broken, ///< sent, and no whole answer came: it may have run
    Silent, ///< the same, because the time for it was up
};

inline constexpr NameTable<AttemptEnd, 7> attemptEndNames{{{AttemptEnd::Delivered, "delivered"},
                                                           {AttemptEnd::CallerGone, "caller_gone"},
                                                           {AttemptEnd::Unreached, "unreached"},
                                                           {AttemptEnd::NotExecuted, "not_executed"},
                                                           {AttemptEnd::EngineFailed, "engine_failed"},
                                                           {AttemptEnd::Broken, "broken"},
                                                           {AttemptEnd::Silent, "silent"}}};

/// True for an attempt after which the request may have run.
constexpr bool mayHaveRun(AttemptEnd end)
{
    return end == AttemptEnd::EngineFailed || end == AttemptEnd::Broken || end == AttemptEnd::Silent;
}

/// True when running a route's requests more than once does no harm.
inline bool repeatable(const Route &route)
{
    return route.kind == RequestKind::Idempotent || (route.kind == RequestKind::Stream && route.resumable);
}

/// What one request has used up so far.
struct AttemptCount {
    int sends = 0; ///< attempts, whatever became of them
    int arrivals = 0; ///< those that reached an endpoint
    int runs = 0; ///< those that may have run
};

/// Attempts beyond those that may run: endpoints that refuse connections or
/// shed cost little, but a request must not walk a whole pool.
inline constexpr int mostExtraSends = 3;

/// True when another endpoint may be tried after an attempt ended so.
inline bool mayTryAgain(const Route &route, AttemptEnd end, const AttemptCount &count)
{
    switch (end) {
    case AttemptEnd::Delivered:
    case AttemptEnd::CallerGone:
        return false;
    case AttemptEnd::Unreached:
    case AttemptEnd::NotExecuted:
        return count.sends < route.maxAttempts + mostExtraSends;
    case AttemptEnd::EngineFailed:
    case AttemptEnd::Broken:
    case AttemptEnd::Silent:
        return repeatable(route) && count.runs < route.maxAttempts && count.sends < route.maxAttempts + mostExtraSends;
    }
    return false;
}

} // namespace yucca::entry
