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

constexpr Millis smallFleetBound{2000}; ///< as changeBound, in a fleet of a few routers
constexpr Millis replicaLag{5000}; ///< of a store whose answers that may lag are seconds old
constexpr std::size_t smallBytes = 4 * 1024;
constexpr std::size_t followedKinds = 3; ///< that each router follows: configuration, endpoints and evacuation orders
constexpr double storeReadsPerSecond = 2000; ///< the lowest rate that a store allows all routers together

/// Writes a series of versions. Returns what is wrong with the times of the first one that came late; empty if none did.
std::string playChanges(model::ChangeFleet &fleet, std::size_t routers, Millis bound)
{
    for (int n = 0; n < seriesLength; ++n) {
        fleet.write(smallBytes);
        fleet.run(bound);
        const auto times = fleet.timesOfLastWrite();
        if (times.reached != routers || times.last > bound) {
            return "version " + std::to_string(n) + ", " + std::to_string(times.reached) + " reached, the last after " + std::to_string(times.last.count())
                + " ms";
        }
    }
    return "";
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

// Guards against a router that nobody keeps current resting on a replica's answers.
TEST(ChangeFleet, EachRouterAloneAppliesASeriesOfChangesWithinTheBound)
{
    constexpr std::size_t routers = 9;
    for (std::size_t alone = 0; alone < routers; ++alone) {
        model::ChangeFleetOptions options;
        options.routers = routers;
        options.domains = 1;
        options.replicaLag = replicaLag;
        model::ChangeFleet fleet(options);
        fleet.setAlone(alone, true);
        STRCMP_EQUAL("", playChanges(fleet, routers, smallFleetBound).c_str());
        fleet.setAlone(alone, false);
        STRCMP_EQUAL("", playChanges(fleet, routers, smallFleetBound).c_str());
    }
}

// Guards against the same for a router without others, and for all routers of a fleet that is cut apart; and against their calls
// exceeding what the store allows.
TEST(ChangeFleet, AFleetThatIsCutApartFollowsTheStoreWithinTheBoundAndItsRate)
{
    for (const std::size_t routers : {1u, 9u, 68u, 295u}) {
        model::ChangeFleetOptions options;
        options.routers = routers;
        options.replicaLag = replicaLag;
        model::ChangeFleet fleet(options);
        for (std::size_t n = 0; n < routers; ++n) {
            fleet.setAlone(n, true);
        }
        fleet.run(replicaLag);
        const auto calls = fleet.storeCalls() - fleet.laggingCalls();
        constexpr Millis quiet{20000};
        fleet.run(quiet);
        const double perSecond = static_cast<double>(fleet.storeCalls() - fleet.laggingCalls() - calls) * 1000 / static_cast<double>(quiet.count());
        CHECK_TEXT(perSecond * followedKinds < storeReadsPerSecond, (std::to_string(routers) + " routers: " + std::to_string(perSecond)).c_str());
        STRCMP_EQUAL("", playChanges(fleet, routers, smallFleetBound).c_str());
    }
}
