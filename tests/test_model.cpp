// The simulation of a deployment and its results for callers. Each test runs the load that a design decision is meant
// for.
#include "model/fleet.h"
#include "settings.h"

#include <CppUTest/TestHarness.h>
// MemoryLeakWarningPlugin.h must be included after TestHarness.h; the blank line keeps clang-format from sorting them.

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace yucca;

namespace
{

model::Scenario loadScenario(const std::string &file)
{
    Findings findings;
    auto scenario = model::parseScenario(settings::loadFile("config/scenarios/" + file + ".json", findings), findings);
    STRCMP_EQUAL("", findings.report().c_str());
    return scenario;
}

model::Outcome play(const model::Scenario &scenario, Policy policy = Policy::Home)
{
    router::TableOptions options;
    options.policy = policy;
    options.servicePolicy = Policy::LeastLoaded;
    return model::Fleet(scenario, options).play();
}

/// Requirement: in any five seconds, at most 3 of 100 requests arrive at an engine over the load bound.
constexpr double maxShareOverBound = 0.03;

double cacheReuse(const model::PoolOutcome &pool)
{
    return static_cast<double>(pool.tokensCached) / static_cast<double>(pool.tokensCached + pool.tokensPrefilled);
}

} // namespace

TEST_GROUP(ModelScenario){};

TEST(ModelScenario, InvalidScenarioReportsEveryProblemWithItsPlace)
{
    Findings findings;
    const auto document = settings::parseText(
        R"({"routers": 0, "colour": 1,
            "pools": [{"name": "p", "slots": "many"}, 7],
            "kinds": [{"name": "k", "pool": "q", "kind": "odd"}],
            "surges": {"atS": 1}, "crashes": [{"pool": "r"}]})",
        findings);
    model::parseScenario(document, findings);
    const std::string report = findings.report();
    for (const char *expected : {"/routers", "/colour", "/pools/0/slots", "/pools/1", "unknown kind 'odd'", "no pool 'q'", "/surges", "no pool 'r'"}) {
        CHECK_TEXT(report.find(expected) != std::string::npos, expected);
    }
}

TEST(ModelScenario, SampleScenariosParseWithoutProblems)
{
    for (const char *file : {"lonestar", "association", "association-grown", "lonestar-surge", "lonestar-shifted", "lonestar-evacuated", "lonestar-large"}) {
        CHECK(!loadScenario(file).kinds.empty());
    }
}

// The simulations allocate for millions of events: with the leak detection of CppUTest they would take most of their
// time in it.
TEST_GROUP(Model){void setup() override{MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
}
void teardown() override
{
    MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
}
}
;

TEST(Model, SameSeedGivesSameOutcomeAndOtherSeedAnother)
{
    auto scenario = loadScenario("lonestar-surge");
    const auto first = model::toJson(play(scenario));
    CHECK(first == model::toJson(play(scenario)));
    scenario.seed += 1;
    CHECK(first != model::toJson(play(scenario)));
}

TEST(Model, EveryOfferedRequestHasOneResult)
{
    for (const char *file : {"lonestar", "lonestar-surge", "association"}) {
        for (const auto &[name, k] : play(loadScenario(file)).kinds) {
            LONGS_EQUAL(k.offered, k.onTime + k.late + k.failed + k.refused);
        }
    }
}

TEST(Model, UsualLoadIsServedInTime)
{
    for (const char *file : {"lonestar", "association"}) {
        const auto outcome = play(loadScenario(file));
        CHECK(outcome.credit() > 0.98);
        for (const auto &[name, k] : outcome.kinds) {
            CHECK_TEXT(k.served() > 0.97, name.c_str()); // two endpoints fail a share of the reminders
        }
    }
}

TEST(Model, HomePolicyReusesMoreOfTheCacheThanRoundRobin)
{
    const auto scenario = loadScenario("lonestar");
    const auto home = play(scenario).pools.at("model");
    const auto roundRobin = play(scenario, Policy::RoundRobin).pools.at("model");
    CHECK(cacheReuse(home) > cacheReuse(roundRobin) + 0.1);
    CHECK(home.sharedTokensPrefilledAgain * 3 < roundRobin.sharedTokensPrefilledAgain);
}

TEST(Model, ManyRoutersKeepTheLoadBoundOnlyIfTheyShareLoads)
{
    // With 84 routers and 90 engines, each router receives a report of an engine only every 13 s, so the load bound
    // depends on routers sharing loads.
    auto scenario = loadScenario("association-grown");
    const double withSharing = play(scenario).pools.at("model").worstWindow;
    scenario.shareEveryMs = 0;
    const double withoutSharing = play(scenario).pools.at("model").worstWindow;
    CHECK(withSharing < maxShareOverBound);
    CHECK(withoutSharing > 2 * withSharing);
}

TEST(Model, HotPromptKeepsTheLoadBoundAtManyRouters)
{
    CHECK(play(loadScenario("lonestar-shifted")).pools.at("model").worstWindow < maxShareOverBound);
}

// A mean that falls later than the load leaves the bound of the routers above that of the fleet.
TEST(Model, EvacuatedDomainKeepsTheLoadBoundWhenTheLoadFalls)
{
    CHECK(play(loadScenario("lonestar-evacuated")).pools.at("model").worstWindow < maxShareOverBound);
}

TEST(Model, LoadedEndpointsAreAvoidedByRoutersThatSeldomReachThem)
{
    CHECK(play(loadScenario("lonestar-large")).pools.at("model").worstWindow < maxShareOverBound);
}

TEST(Model, RequiredSurgesAreAbsorbedByEndpointQueues)
{
    // The largest surges of the requirements: all requests at 1.7 times, one workspace at 7.5 times its usual rate.
    // Requests are first rejected when bookings reach 12 times their usual rate.
    auto scenario = loadScenario("lonestar");
    scenario.surges = {{10, 5, "appt-book", 8, 0}, {20, 5, "", 1.7, 0}};
    const auto outcome = play(scenario);
    for (const auto &[name, k] : outcome.kinds) {
        LONGS_EQUAL_TEXT(0, k.refused, name.c_str());
    }
    CHECK(outcome.worstWindows() > 0.9);
}

TEST(Model, SurgeAndCrashLeaveMostRequestsServed)
{
    const auto outcome = play(loadScenario("lonestar-surge"));
    CHECK(outcome.credit() > 0.97);
    CHECK(outcome.worstWindows() > 0.85);
}
