// A part of prompts that crashes engines, at the sizes of three fleets: how many requests with it reach engines after the fifth
// crash, and what becomes of sound requests that share engines and other parts with it.
#include "model/poisoned_part.h"

#include <CppUTest/TestHarness.h>
// MemoryLeakWarningPlugin.h must be included after TestHarness.h; the blank line keeps clang-format from sorting them.

#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <string>

using namespace yucca;

namespace
{

struct FleetSize {
    std::size_t routers = 0;
    std::size_t engines = 0;
};

constexpr FleetSize fleets[] = {{9, 9}, {68, 30}, {295, 30}};
constexpr uint64_t seeds = 2;
constexpr std::size_t maxLateSends = 3; ///< requests with the part that may reach engines later
constexpr double minSoundShare = 0.5; ///< of sound requests that must not be withheld

void checkSingledOut(model::PoisonedPartScenario scenario)
{
    for (const auto &fleet : fleets) {
        for (uint64_t seed = 1; seed <= seeds; ++seed) {
            scenario.seed = seed;
            scenario.routers = fleet.routers;
            scenario.engines = fleet.engines;
            const auto outcome = model::simulatePoisonedPart(scenario);
            const auto text = std::to_string(fleet.routers) + " routers, seed " + std::to_string(seed) + ": " + std::to_string(outcome.crashes) + " crashes, "
                + std::to_string(outcome.lateSends) + " late sends, " + std::to_string(outcome.soundWithheldLate) + " of " + std::to_string(outcome.soundLate)
                + " sound requests withheld, " + std::to_string(outcome.updates) + " datagrams";
            CHECK_TEXT(outcome.lateSends <= maxLateSends, text.c_str());
            CHECK_TEXT(static_cast<double>(outcome.soundWithheldLate) <= (1 - minSoundShare) * static_cast<double>(outcome.soundLate), text.c_str());
        }
    }
}

} // namespace

TEST_GROUP(PoisonedPartModel)
{
    void setup() override
    {
        MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
    }
    void teardown() override
    {
        MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
    }
    model::PoisonedPartScenario scenario;
};

TEST(PoisonedPartModel, PartIsSingledOutInFullBatches)
{
    checkSingledOut(scenario);
}

TEST(PoisonedPartModel, PartIsSingledOutAmongChanceCrashes)
{
    scenario.chanceCrashesPerS = 1;
    checkSingledOut(scenario);
}

TEST(PoisonedPartModel, PartIsSingledOutWhenItComesSeldom)
{
    scenario.poisonedPerS = 0.7;
    scenario.duration = Millis(20000);
    checkSingledOut(scenario);
}

TEST(PoisonedPartModel, RarePartsOfSoundRequestsAreServed)
{
    scenario.middleParts = 2000;
    checkSingledOut(scenario);
}

TEST(PoisonedPartModel, ChanceCrashesAloneKeepFewSoundRequestsFromEngines)
{
    scenario.poisonedPerS = 0;
    scenario.chanceCrashesPerS = 2;
    for (const auto &fleet : fleets) {
        for (uint64_t seed = 1; seed <= seeds; ++seed) {
            scenario.seed = seed;
            scenario.routers = fleet.routers;
            scenario.engines = fleet.engines;
            const auto outcome = model::simulatePoisonedPart(scenario);
            const auto text = std::to_string(outcome.soundWithheld) + " of " + std::to_string(outcome.sound) + " sound requests withheld";
            CHECK_TEXT(static_cast<double>(outcome.soundWithheld) <= (1 - minSoundShare) * static_cast<double>(outcome.sound), text.c_str());
        }
    }
}
