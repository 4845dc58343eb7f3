// Retry-After values for rejected requests.
#pragma once

#include "entry/request_profile.h"

#include <random>

namespace yucca::entry
{

/// Waits before a retry, by the condition that has to change before it can succeed.
struct RetryAfterOptions {
    Millis otherRouter{50}; ///< only this router rejects: the next connection reaches another one
    Millis capacity{150}; ///< endpoints rejected the request: a plain call takes 60 ms, so some slots are free by then
    Millis noUsableEndpoint{400}; ///< no endpoint is usable: half a heartbeat, or the end of a short ejection
    Millis loading{300}; ///< typical time that a router needs after its start to load its state
    Millis storeUnavailable{1500}; ///< the state was not loaded within loadTimeout, so the store is unavailable: outages last seconds
    Millis loadTimeout{700};
    Millis evacuated{2000}; ///< until operators revoke the evacuation order: many seconds
    Millis cold{300}; ///< other routers have shares of other endpoints; the share of this router is free again within a second
    double jitter = 0.3; ///< fraction of the wait, in both directions: requests rejected together are not retried together
};

/// Returns the randomised wait for a rejection. sinceStart is the age of this router. Callers wait
/// at most a third of their remaining time.
template <typename Random> Millis retryAfterFor(Rejection why, Clock::duration sinceStart, const RetryAfterOptions &options, Random &random)
{
    Millis wait = options.capacity;
    if (why == Rejection::Stopping || why == Rejection::OutOfDate || why == Rejection::VersionUnknown) {
        wait = options.otherRouter;
    } else if (why == Rejection::NoEndpoint || why == Rejection::VersionUnavailable) {
        wait = options.noUsableEndpoint;
    } else if (why == Rejection::Evacuated) {
        wait = options.evacuated;
    } else if (why == Rejection::Cold) {
        wait = options.cold;
    } else if (why == Rejection::NotLoaded) {
        wait = sinceStart > options.loadTimeout ? options.storeUnavailable : options.loading;
    }
    std::uniform_real_distribution<double> spread(1 - options.jitter, 1 + options.jitter);
    return Millis(static_cast<int64_t>(static_cast<double>(wait.count()) * spread(random)));
}

} // namespace yucca::entry
