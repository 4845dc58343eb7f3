// The retries of all routers of a fleet against the limit of the whole fleet. Each test plays the model at the sizes of three
// deployments.
#include "model/retry_sum.h"

#include <CppUTest/TestHarness.h>
// MemoryLeakWarningPlugin.h must be included after TestHarness.h; the blank line keeps clang-format from sorting them.

#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <string>

using namespace yucca;

namespace
{

struct Deployment {
    std::size_t routers = 0;
    double slack = 0;
    double requestsPerS = 0;
};

constexpr Deployment deployments[] = {{9, 58, 20}, {68, 208, 200}, {295, 630, 900}};
constexpr int64_t seedsPerDeployment = 4;

void checkLimit(model::RetrySumScenario scenario)
{
    for (const auto &deployment : deployments) {
        for (int64_t seed = 1; seed <= seedsPerDeployment; ++seed) {
            scenario.seed = seed;
            scenario.routers = deployment.routers;
            scenario.allowance.slack = deployment.slack;
            scenario.requestsPerS = deployment.requestsPerS;
            const auto sum = model::simulateRetrySum(scenario);
            CHECK(sum.worst.has_value());
            const auto text = std::to_string(deployment.routers) + " routers, seed " + std::to_string(seed) + ": " + std::to_string(sum.worst->retries)
                + " retries, " + std::to_string(sum.worst->allowed) + " allowed; " + std::to_string(sum.permitted) + " of " + std::to_string(sum.demanded)
                + " permitted";
            CHECK_TEXT(sum.worst->used() <= 1, text.c_str());
        }
    }
}

} // namespace

TEST_GROUP(RetrySum){void setup() override{MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
}
void teardown() override
{
    MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
}
}
;

TEST(RetrySum, CalmFleetKeepsTheLimit)
{
    checkLimit({});
}

TEST(RetrySum, RestartedRoutersKeepTheLimit)
{
    model::RetrySumScenario scenario;
    scenario.restarts = true;
    checkLimit(scenario);
}

TEST(RetrySum, RoutersThatStoodStillKeepTheLimit)
{
    model::RetrySumScenario scenario;
    scenario.pauses = true;
    checkLimit(scenario);
}

TEST(RetrySum, ChangingListsOfRoutersKeepTheLimit)
{
    model::RetrySumScenario scenario;
    scenario.listChanges = true;
    checkLimit(scenario);
}

TEST(RetrySum, CallersThatMoveBetweenRoutersKeepTheLimit)
{
    model::RetrySumScenario scenario;
    scenario.moves = true;
    checkLimit(scenario);
}

TEST(RetrySum, AllFaultsInSeriesKeepTheLimit)
{
    model::RetrySumScenario scenario;
    scenario.restarts = true;
    scenario.pauses = true;
    scenario.listChanges = true;
    scenario.moves = true;
    checkLimit(scenario);
}
