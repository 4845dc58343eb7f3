// Constants and helpers shared by the source files of an experiment.
#pragma once

#include "experiment.h"

namespace yucca::experiment
{

inline constexpr int largeWorkspaces = 3; ///< number of large workspaces
inline constexpr Millis callerTimeout{30000}; ///< of chat turns and bookings
inline constexpr Millis probeTimeout{2000}; ///< of calls to engines, the platform and router status
inline constexpr Millis pollInterval{20};

// GCC 12 cannot keep braced initializer lists in a coroutine frame, so JSON bodies, headers and options are made in
// plain functions.

inline http::CallOptions callOptions(Clock::duration timeout, http::ConnectionReuse reuse)
{
    http::CallOptions options;
    options.deadline = Clock::now() + timeout;
    options.reuse = reuse;
    return options;
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
