// The skew bound and the drain rule of the routing decisions.
#include "router_core.h"
#include "yucca/ring.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <numeric>
#include <random>

using namespace yucca;

namespace
{

std::vector<std::string> engineIds(int n)
{
    std::vector<std::string> ids;
    for (int i = 0; i < n; ++i) {
        ids.push_back("engine-" + std::to_string(i));
    }
    return ids;
}

/// Places requests from a surge: most come from three keys. Each request
/// stays in flight for `hold` placements. Returns the worst ratio of an
/// engine's load to the bound in force when it was placed (<= 1 holds).
template <typename P> double worstOverBound(P &picker, int engines, double c, int requests, int hold)
{
    std::mt19937_64 rng(1);
    std::vector<int64_t> loads(engines, 0);
    std::deque<std::size_t> inflight;
    double worst = 0;
    for (int r = 0; r < requests; ++r) {
        uint64_t key = (rng() % 100 < 80) ? rng() % 3 : rng();
        int64_t total = std::accumulate(loads.begin(), loads.end(), int64_t{0});
        auto m = *picker.pick(ring::hash(std::to_string(key)), loads);
        ++loads[m];
        worst = std::max(worst, static_cast<double>(loads[m]) / static_cast<double>(ring::BoundedRing::bound(total, engines, c)));
        inflight.push_back(m);
        if (static_cast<int>(inflight.size()) > hold) {
            --loads[inflight.front()];
            inflight.pop_front();
        }
    }
    return worst;
}

} // namespace

TEST_GROUP(InvariantSkewBound){};

TEST(InvariantSkewBound, NoEngineAboveTheBoundWhenThreeWorkspacesSurge)
{
    ring::BoundedRing picker(64, 1.25);
    picker.setMembers(engineIds(18));
    CHECK(worstOverBound(picker, 18, 1.25, 20000, 90) <= 1.0);
}

TEST(InvariantSkewBound, PlainConsistentHashingBreaksTheBoundInTheSameSurge)
{
    // The same placement without a bound (c so large it never binds) is
    // what the bound exists to prevent: this shows the check detects it.
    ring::BoundedRing unbounded(64, 1000.0);
    unbounded.setMembers(engineIds(18));
    CHECK(worstOverBound(unbounded, 18, 1.25, 20000, 90) > 1.0);
}

TEST(InvariantSkewBound, RoutersSeeingSlicesStayWithinTheSumOfTheirBounds)
{
    // Three routers, each bounding only its own in-flight requests; the
    // balancer spreads callers over them in turn.
    constexpr int engines = 9, routers = 3, hold = 60;
    constexpr double c = 1.25;
    std::vector<ring::BoundedRing> pickers(routers, ring::BoundedRing(64, c));
    for (auto &p : pickers) {
        p.setMembers(engineIds(engines));
    }
    std::vector<std::vector<int64_t>> local(routers, std::vector<int64_t>(engines, 0));
    std::deque<std::pair<int, std::size_t>> inflight;
    std::mt19937_64 rng(2);
    double worst = 0;
    for (int r = 0; r < 9000; ++r) {
        int router = r % routers;
        uint64_t key = (rng() % 100 < 70) ? rng() % 2 : rng();
        auto m = *pickers[router].pick(ring::hash(std::to_string(key)), local[router]);
        ++local[router][m];
        inflight.emplace_back(router, m);
        if (static_cast<int>(inflight.size()) > hold) {
            --local[inflight.front().first][inflight.front().second];
            inflight.pop_front();
        }
        int64_t total = 0, peak = 0;
        for (int e = 0; e < engines; ++e) {
            int64_t sum = 0;
            for (int k = 0; k < routers; ++k) {
                sum += local[k][e];
            }
            total += sum;
            peak = std::max(peak, sum);
        }
        // Each router's share is within ceil(c * (its total + 1) / n), so
        // the engine's whole load is within c * mean plus one per router.
        double limit = c * static_cast<double>(total + routers) / engines + routers;
        worst = std::max(worst, static_cast<double>(peak) / limit);
    }
    CHECK(worst <= 1.0);
}

TEST(InvariantSkewBound, AKeyStaysOnItsEngineWhileUnderTheBound)
{
    ring::BoundedRing picker(64, 1.25);
    picker.setMembers(engineIds(18));
    std::vector<int64_t> idle(18, 0);
    auto first = picker.pick(ring::hash("conversation-7"), idle);
    for (int i = 0; i < 10; ++i) {
        CHECK(picker.pick(ring::hash("conversation-7"), idle) == first);
    }
}

TEST(InvariantSkewBound, OneEngineLeavingMovesOnlyItsOwnKeys)
{
    ring::BoundedRing before(64, 1.25), after(64, 1.25);
    auto ids = engineIds(20);
    before.setMembers(ids);
    ids.erase(ids.begin() + 5);
    after.setMembers(ids);
    std::vector<int64_t> idle(20, 0);
    int moved = 0;
    for (int k = 0; k < 5000; ++k) {
        auto key = ring::hash("k" + std::to_string(k));
        const auto &a = before.members()[*before.pick(key, idle)];
        const auto &b = after.members()[*after.pick(key, std::vector<int64_t>(19, 0))];
        moved += (a != b && a != "engine-5") ? 1 : 0;
    }
    LONGS_EQUAL(0, moved);
}

TEST_GROUP(InvariantDrain){};

TEST(InvariantDrain, ADrainingEngineGetsNoNewWorkBeforeTheVmListKnows)
{
    router::RoutingTable table(Policy::Bounded, 64, 1.25);
    std::vector<Endpoint> eps;
    for (int i = 0; i < 4; ++i) {
        eps.push_back({"engine-" + std::to_string(i), "127.0.0.1", static_cast<uint16_t>(9000 + i), "pool", EndpointKind::Engine, EndpointState::Live});
    }
    table.setEndpoints(eps);
    table.markDraining("engine-2"); // its own load report says so
    table.setEndpoints(eps); // the lagging VM list still shows it live
    for (int k = 0; k < 2000; ++k) {
        auto ep = table.acquire("pool", ring::hash(std::to_string(k)), {}, router::Clock::now());
        CHECK(ep.has_value());
        CHECK(ep->id != "engine-2");
        table.release(ep->id);
    }
}

TEST(InvariantDrain, ALeavingEngineInTheVmListIsDropped)
{
    router::RoutingTable table(Policy::RoundRobin, 64, 1.25);
    std::vector<Endpoint> eps{{"a", "127.0.0.1", 1, "pool", EndpointKind::Engine, EndpointState::Live},
                              {"b", "127.0.0.1", 2, "pool", EndpointKind::Engine, EndpointState::Leaving}};
    table.setEndpoints(eps);
    for (int k = 0; k < 10; ++k) {
        auto ep = table.acquire("pool", static_cast<uint64_t>(k), {}, router::Clock::now());
        STRCMP_EQUAL("a", ep->id.c_str());
        table.release(ep->id);
    }
}

TEST(InvariantDrain, ASuspectEngineIsPassedByUntilItsTimeIsUp)
{
    router::RoutingTable table(Policy::Bounded, 64, 1.25);
    std::vector<Endpoint> eps{{"a", "127.0.0.1", 1, "pool", EndpointKind::Engine, EndpointState::Live},
                              {"b", "127.0.0.1", 2, "pool", EndpointKind::Engine, EndpointState::Live}};
    table.setEndpoints(eps);
    auto now = router::Clock::now();
    table.suspect("a", now + std::chrono::seconds(1));
    for (int k = 0; k < 50; ++k) {
        auto ep = table.acquire("pool", ring::hash(std::to_string(k)), {}, now);
        STRCMP_EQUAL("b", ep->id.c_str());
        table.release(ep->id);
    }
    bool sawA = false;
    for (int k = 0; k < 50; ++k) {
        auto ep = table.acquire("pool", ring::hash(std::to_string(k)), {}, now + std::chrono::seconds(2));
        sawA = sawA || ep->id == "a";
        table.release(ep->id);
    }
    CHECK(sawA);
}

TEST_GROUP(AffinityThroughChurn){};

TEST(AffinityThroughChurn, OneSuspectEngineMovesOnlyItsOwnKeys)
{
    std::vector<Endpoint> eps;
    for (const auto &id : engineIds(8)) {
        eps.push_back({id, "127.0.0.1", 9, "pool", EndpointKind::Engine, EndpointState::Live});
    }
    router::RoutingTable table(Policy::Bounded, 64, 1.25);
    table.setEndpoints(eps);
    auto now = router::Clock::now();
    int moved = 0;
    for (int k = 0; k < 400; ++k) {
        auto key = ring::hash("k" + std::to_string(k));
        auto before = table.acquire("pool", key, {}, now);
        table.release(before->id);
        table.suspect("engine-3", now + std::chrono::seconds(1));
        auto during = table.acquire("pool", key, {}, now);
        table.release(during->id);
        table.suspect("engine-3", now); // its time is up
        CHECK(during->id != "engine-3");
        moved += before->id != "engine-3" && during->id != before->id ? 1 : 0;
    }
    LONGS_EQUAL(0, moved);
}
