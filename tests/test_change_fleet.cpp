// Tests of how long a change of the store's objects takes to the last router of a large fleet.
#include "model/change_fleet.h"

// CppUTest goes last: its memory-leak macros redefine operator new.
#include "loop_group.h"

using namespace yucca;

namespace
{

constexpr Millis changeBound{5000}; ///< within which a change must be in force at every router
constexpr std::size_t configurationBytes = 120 * 1024; ///< of a fleet with 259 routes and 333 workspaces
constexpr int seriesLength = 6;
constexpr Millis seriesInterval{460};

/// Returns the times of the last of a series of versions, in a fleet of routers with 0.12 core and 20 Mbit/s.
model::ChangeTimes timesOfSeries(model::ChangeFleetOptions options)
{
    model::ChangeFleet fleet(options);
    for (int n = 0; n < seriesLength; ++n) {
        fleet.run(seriesInterval);
        fleet.write(configurationBytes);
    }
    fleet.run(changeBound);
    return fleet.timesOfLastWrite();
}

std::string describe(std::size_t routers, const model::ChangeTimes &times)
{
    return std::to_string(routers) + " routers: " + std::to_string(times.reached) + " reached, the last after " + std::to_string(times.last.count()) + " ms";
}

} // namespace

TEST_GROUP(ChangeFleet){void setup() override{MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
}
void teardown() override
{
    MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
}
}
;

// Guards against routers that each read every version of a large configuration from the store: its link is shared by all of them.
TEST(ChangeFleet, ASeriesOfConfigurationsReachesTheLastRouterWithinTheBoundAtAnySize)
{
    for (const std::size_t routers : {295u, 986u, 1972u}) {
        model::ChangeFleetOptions options;
        options.routers = routers;
        const auto times = timesOfSeries(options);
        CHECK_TEXT(times.reached == routers && times.last <= changeBound, describe(routers, times).c_str());
    }
}

// Guards against a router that the store refuses waiting for the one peer that it asked.
TEST(ChangeFleet, RoutersThatTheStoreRefusesGetASeriesOfConfigurationsWithinTheBoundAtAnySize)
{
    for (const std::size_t routers : {295u, 986u, 1972u}) {
        model::ChangeFleetOptions options;
        options.routers = routers;
        options.refusedShare = 0.33;
        const auto times = timesOfSeries(options);
        CHECK_TEXT(times.reached == routers && times.last <= changeBound, describe(routers, times).c_str());
    }
}
