// `yucca-sim play`: simulates a scenario and prints the results as a table or JSON.
#pragma once

namespace yucca::model
{

/// Parses the command line, runs the simulation and prints its results. Returns the exit code.
int runPlay(int argc, const char **argv);

} // namespace yucca::model
