// When a caller that was turned away may come back with a better chance.
#pragma once

#include "entry/request_profile.h"

#include <random>

namespace yucca::entry
{

/// Waits told to callers, by what has to change meanwhile.
struct ComeBackOptions {
    Millis elsewhere{50}; ///< only this router is in the way: the next connection reaches another
    Millis capacity{150}; ///< endpoints refused: a plain call takes 60 ms, so some slots are free by then
    Millis membership{400}; ///< no endpoint is usable: half a heartbeat, or the end of a short ejection
    Millis loading{300}; ///< a router that has just started needs about this long to load its state
    Millis storeAway{1500}; ///< it has not loaded it in longer than that, so the store is away: outages last seconds
    Millis loadsWithin{700};
    Millis evacuated{2000}; ///< until operators take the order back: many seconds
    Millis cold{300}; ///< other routers have shares of other endpoints; its own are free again within a second
    double jitter = 0.3; ///< of the wait, either way: those turned away together do not come back together
};

/// The wait for one rejection. Callers wait at most a third of the time they have left.
template <typename Random> Millis comeBackAfter(Rejection why, Clock::duration sinceStart, const ComeBackOptions &options, Random &random)
{
    Millis wait = options.capacity;
    if (why == Rejection::Stopping || why == Rejection::OutOfDate) {
        wait = options.elsewhere;
    } else if (why == Rejection::NoEndpoint) {
        wait = options.membership;
    } else if (why == Rejection::Evacuated) {
        wait = options.evacuated;
    } else if (why == Rejection::Cold) {
        wait = options.cold;
    } else if (why == Rejection::NotLoaded) {
        wait = sinceStart > options.loadsWithin ? options.storeAway : options.loading;
    }
    std::uniform_real_distribution<double> spread(1 - options.jitter, 1 + options.jitter);
    return Millis(static_cast<int64_t>(static_cast<double>(wait.count()) * spread(random)));
}

} // namespace yucca::entry
