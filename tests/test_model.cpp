// The model of a deployment, and what callers get of its days: each test
// plays the load that a decision answers.
#include "model/fleet.h"
#include "settings.h"

#include <CppUTest/TestHarness.h>
// The plugin's header needs TestHarness.h first; the blank line keeps the order.

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace yucca;

namespace
{

model::Scenario scenarioOf(const std::string &file)
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

double reuseOf(const model::PoolOutcome &pool)
{
    return static_cast<double>(pool.tokensFound) / static_cast<double>(pool.tokensFound + pool.tokensRead);
}

} // namespace

TEST_GROUP(ModelScenario){};

TEST(ModelScenario, EveryProblemIsReportedWithItsPlace)
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

TEST(ModelScenario, TheSamplesAreAsTheyShouldBe)
{
    for (const char *file : {"lonestar", "association", "association-grown", "lonestar-surge"}) {
        CHECK(!scenarioOf(file).kinds.empty());
    }
}

// Millions of events: CppUTest's leak count would take most of the time.
TEST_GROUP(Model){void setup() override{MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
}
void teardown() override
{
    MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
}
}
;

TEST(Model, TheSameSeedPlaysTheSameDay)
{
    auto scenario = scenarioOf("lonestar-surge");
    const auto first = model::toJson(play(scenario));
    CHECK(first == model::toJson(play(scenario)));
    scenario.seed += 1;
    CHECK(first != model::toJson(play(scenario)));
}

TEST(Model, EveryRequestEndsOnce)
{
    for (const char *file : {"lonestar", "lonestar-surge", "association"}) {
        for (const auto &[name, k] : play(scenarioOf(file)).kinds) {
            LONGS_EQUAL(k.offered, k.onTime + k.late + k.failed + k.refused);
        }
    }
}

TEST(Model, OnAUsualDayNearlyEveryCallerIsServedInTime)
{
    for (const char *file : {"lonestar", "association"}) {
        const auto day = play(scenarioOf(file));
        CHECK(day.credit() > 0.98); // 0.997 and 0.995 over three seeds
        for (const auto &[name, k] : day.kinds) {
            CHECK_TEXT(k.served() > 0.97, name.c_str()); // reminders: a part fails at two endpoints
        }
    }
}

TEST(Model, AHomeForEachPromptFindsWhatWasReadBefore)
{
    const auto scenario = scenarioOf("lonestar");
    const auto home = play(scenario).pools.at("model");
    const auto inTurn = play(scenario, Policy::RoundRobin).pools.at("model");
    CHECK(reuseOf(home) > reuseOf(inTurn) + 0.1);
    CHECK(home.sharedReadAgain * 3 < inTurn.sharedReadAgain);
}

TEST(Model, ManyRoutersWithSliversKeepTheBoundOnlyBecauseTheyTellEachOtherLoads)
{
    // 84 routers before 90 engines: each hears of an engine every 13 s. The
    // users' bound allows 3 of 100 requests in five seconds at an engine over
    // twice the mean plus three; the model is the stricter one, with 8.8 of 100
    // where their own play counts 3.3.
    auto scenario = scenarioOf("association-grown");
    const double together = play(scenario).pools.at("model").worstWindow;
    scenario.shareEveryMs = 0;
    const double alone = play(scenario).pools.at("model").worstWindow;
    CHECK(together < 0.04); // 0.022 over three seeds
    CHECK(alone > 2 * together);
}

TEST(Model, SurgesOfTheSheetsAreBorneByTheEndpointsOwnQueues)
{
    // The sheets' worst: everything 1.7 times, a workspace 7.5 times its usual.
    // Bookings first have anybody refused at 12 times their usual.
    auto scenario = scenarioOf("lonestar");
    scenario.surges = {{10, 5, "appt-book", 8, 0}, {20, 5, "", 1.7, 0}};
    const auto day = play(scenario);
    for (const auto &[name, k] : day.kinds) {
        LONGS_EQUAL_TEXT(0, k.refused, name.c_str());
    }
    CHECK(day.worstWindows() > 0.9); // 0.97
}

TEST(Model, ASurgeAndACrashLeaveMostCallersServed)
{
    const auto day = play(scenarioOf("lonestar-surge"));
    CHECK(day.credit() > 0.97); // 0.990 over three seeds
    CHECK(day.worstWindows() > 0.85); // 0.943
}
