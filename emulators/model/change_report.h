// Prints how changes reach the routers of fleets of several sizes.
#pragma once

namespace yucca::model
{

/// Runs "yucca-sim changes"; returns the exit code.
int runChangeReport();

} // namespace yucca::model
