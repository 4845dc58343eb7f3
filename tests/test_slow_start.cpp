// Endpoints that join a pool whose prompts are held by others: which prompts
// move, when, and what returning requests find.
#include "rig.h"
#include "router_core.h"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <random>
#include <set>

using namespace yucca;
using namespace yucca::rig;

namespace
{

constexpr int routers = 20;
constexpr int engines = 30;
constexpr int joining = 10;
constexpr uint64_t prompts = 300;

std::vector<Endpoint> pool(int n)
{
    std::vector<Endpoint> out;
    for (int i = 0; i < n; ++i) {
        out.push_back(endpointAt("e" + std::to_string(100 + i), 7000, "m", EndpointKind::Engine));
    }
    return out;
}

router::TableOptions homeOptions()
{
    router::TableOptions options;
    options.policy = Policy::Home;
    return options;
}

placement::Affinity affinityOf(uint64_t prompt)
{
    return {prompt, prompt};
}

// Routers before one pool, each knowing only what it sees itself, and what the
// engines hold. Each prompt returns every three seconds, at any router.
class PlayedPool
{
public:
    PlayedPool()
    {
        for (int i = 0; i < routers; ++i) {
            m_tables.emplace_back(homeOptions()).setEndpoints(pool(engines), m_now);
        }
        play(std::chrono::seconds(12));
    }
    void join()
    {
        for (auto &table : m_tables) {
            table.setEndpoints(pool(engines + joining), m_now);
        }
    }
    // Requests that found their prompt not held by their engine.
    int play(Clock::duration time)
    {
        int missed = 0;
        for (const auto end = m_now + time; m_now < end; m_now += Millis(10)) {
            const uint64_t prompt = 1 + m_random() % prompts;
            auto &table = m_tables[m_random() % m_tables.size()];
            const auto taker = table.acquire("m", affinityOf(prompt), {}, m_now);
            table.tookPrompt(prompt, *taker, m_now);
            table.release(*taker, m_now);
            missed += m_held.insert({prompt, taker->id}).second ? 1 : 0;
        }
        return missed;
    }
    Clock::time_point now() const
    {
        return m_now;
    }
    router::RoutingTable &table()
    {
        return m_tables.front();
    }

private:
    Clock::time_point m_now{std::chrono::hours(1)};
    std::minstd_rand m_random{5};
    std::deque<router::RoutingTable> m_tables;
    std::set<std::pair<uint64_t, std::string>> m_held;
};

} // namespace

TEST_GROUP(SlowStart)
{
    Clock::time_point now{std::chrono::hours(1)};
};

// Ten engines join thirty: a quarter of the prompts are theirs. With the whole
// share taken at once 63 of the first 300 requests found nothing held, with slow
// start 8.
TEST(SlowStart, ReturningPromptsFindWhatIsHeldWhileEnginesJoin)
{
    PlayedPool played;
    played.join();
    const int missed = played.play(std::chrono::seconds(3));
    CHECK_TEXT(missed <= 30, std::to_string(missed).c_str());
}

TEST(SlowStart, AfterTheRampEachPromptIsAtItsHomeByRank)
{
    PlayedPool played;
    played.join();
    played.play(router::SlowStartOptions().ramp + std::chrono::seconds(1));
    router::RoutingTable fresh(homeOptions());
    fresh.setEndpoints(pool(engines + joining), played.now());
    for (uint64_t prompt = 1; prompt <= prompts; ++prompt) {
        STRCMP_EQUAL(fresh.homeOf("m", prompt, played.now())->id.c_str(), played.table().homeOf("m", prompt, played.now())->id.c_str());
    }
}

TEST(SlowStart, ANewcomerTakesWhatItsHomeCannotLikeAnyOther)
{
    router::RoutingTable table(homeOptions());
    table.setEndpoints(pool(2), now);
    now += std::chrono::minutes(1);
    table.setEndpoints(pool(3), now);
    std::map<std::string, int> taken;
    for (int i = 0; i < 30; ++i) {
        ++taken[table.acquire("m", affinityOf(7), {}, now)->id];
    }
    CHECK(taken["e102"] >= 8); // of thirty at once, three engines take ten each
}

TEST(SlowStart, EnginesThatStartTogetherAreHomesAtOnce)
{
    router::RoutingTable table(homeOptions());
    table.setEndpoints(pool(10), now);
    table.setEndpoints(pool(30), now + std::chrono::seconds(2)); // they register over some seconds
    router::RoutingTable other(homeOptions());
    other.setEndpoints(pool(30), now);
    for (uint64_t prompt = 1; prompt <= prompts; ++prompt) {
        STRCMP_EQUAL(other.homeOf("m", prompt, now)->id.c_str(), table.homeOf("m", prompt, now + std::chrono::seconds(2))->id.c_str());
    }
}

// Once an engine has taken a prompt over it may fetch it from the one before.
TEST(SlowStart, WhoHasJustTakenAPromptOverIsToldWhoLikelyHoldsIt)
{
    router::RoutingTable table(homeOptions());
    table.setEndpoints(pool(4), now);
    now += std::chrono::minutes(1);
    table.setEndpoints(pool(8), now);
    for (uint64_t prompt = 1; prompt <= prompts; ++prompt) {
        const auto before = table.homeOf("m", prompt, now);
        const auto later = now + router::SlowStartOptions().ramp / 2;
        const auto after = table.homeOf("m", prompt, later);
        if (after->id != before->id) {
            const auto belief = table.beliefOf(prompt, *after, later);
            CHECK(belief.source.has_value());
        }
    }
}
