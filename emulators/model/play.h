// yucca-sim's play command: one day of a scenario, told as a table or JSON.
#pragma once

namespace yucca::model
{

/// Parses the command line and plays. Returns the exit code.
int runPlay(int argc, const char **argv);

} // namespace yucca::model
