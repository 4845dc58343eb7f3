// `yucca-sim detect`: simulates the routers' failure detectors at several sizes of the fleet and prints what they cost and how fast
// they are.
#pragma once

namespace yucca::model
{

/// Parses the command line, runs the simulation and prints a table. Returns the exit code.
int runDetectorReport(int argc, const char **argv);

} // namespace yucca::model
