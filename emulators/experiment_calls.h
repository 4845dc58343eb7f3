// What the parts of an experiment share.
#pragma once

#include "experiment.h"

namespace yucca::experiment
{

inline constexpr int largeWorkspaces = 3; ///< the few large workspaces
inline constexpr Millis callerTimeout{30000};
inline constexpr Millis probeTimeout{2000};
inline constexpr Millis pollInterval{20};

// GCC 12 cannot keep braced lists in a coroutine's frame, so JSON bodies,
// headers and options are made in plain functions.

inline http::CallOptions callOptions(Clock::duration timeout, http::Reuse reuse)
{
    return {Clock::now() + timeout, reuse, nullptr};
}

inline http::Address addressOf(const Endpoint &e)
{
    return {e.host, e.port};
}

inline double millisSince(Clock::time_point t)
{
    return std::chrono::duration<double, std::milli>(Clock::now() - t).count();
}

} // namespace yucca::experiment
