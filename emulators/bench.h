// `yucca-sim bench`: runs the placement policies on a simulated fleet, deterministically, and prints their results and
// a signature of all decisions.
#pragma once

namespace yucca::bench
{

/// Parses the command line (argv[0] is "bench"), runs every policy and prints the table. Returns the exit code: 0, or 2
/// for invalid arguments.
int run(int argc, const char **argv);

} // namespace yucca::bench
