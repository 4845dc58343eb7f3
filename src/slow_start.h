// Slow start: an endpoint that joins a pool becomes the home of prompts little
// by little. At once it would take its whole share of the prompts from
// endpoints that hold them, and the fleet would move or read all of them in
// the seconds in which it joins.
#pragma once

#include "task.h"
#include "yucca/ring.h"

#include <string>

namespace yucca::router
{

/// Times of slow start.
struct SlowStartOptions {
    /// Until an endpoint that joined is the home of its whole share: about as
    /// long as engines keep what nobody asks for. Of the conversations that
    /// end meanwhile none is moved.
    Millis ramp{30000};
    /// Endpoints that join within this time of a router's first ones started
    /// with them: nobody holds anything yet.
    Millis poolStart{10000};
};

/// When an endpoint takes a prompt over of which it is the home by its rank.
/// Every router that saw it join computes the same moment.
inline Clock::time_point takesOverAt(Clock::time_point joinedAt, const std::string &endpoint, uint64_t prompt, const SlowStartOptions &options)
{
    const uint64_t drawn = ring::hash(endpoint + "+" + std::to_string(prompt));
    const double share = static_cast<double>(drawn >> 11) * 0x1.0p-53;
    return joinedAt + std::chrono::duration_cast<Clock::duration>(options.ramp * share);
}

} // namespace yucca::router
