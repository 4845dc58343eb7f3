// `yucca-router bench`: a deterministic run of the routing decisions on a
// simulated fleet, printing the measures and a signature of every choice.
#pragma once

namespace yucca::bench
{

/// Runs the bench; argv[0] is "bench". Returns the exit code.
int run(int argc, const char **argv);

} // namespace yucca::bench
