// Tests of the load skew bound, and of draining and suspected endpoints in the routing table.
#include "router_core.h"
#include "yucca/ring.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <map>
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

/// Places requests of which most come from three keys. Each request stays in flight for `hold` placements. Returns the
/// worst ratio of an engine's load to the bound at placement; at most 1 if the bound holds.
template <typename P> double worstLoadToBoundRatio(P &picker, int engines, double c, int requests, int hold)
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

namespace
{
placement::Affinity affinityFor(const std::string &key)
{
    return {ring::hash(key), ring::hash(key)};
}

router::TableOptions options(Policy policy)
{
    router::TableOptions o;
    o.policy = policy;
    o.affinity.loadFactor = 1.25;
    o.suspectDuration = std::chrono::seconds(1);
    return o;
}
} // namespace

TEST_GROUP(InvariantSkewBound){};

TEST(InvariantSkewBound, NoEngineExceedsBoundWhenThreeWorkspacesSurge)
{
    ring::BoundedRing picker(64, 1.25);
    picker.setMembers(engineIds(18));
    CHECK(worstLoadToBoundRatio(picker, 18, 1.25, 20000, 90) <= 1.0);
}

TEST(InvariantSkewBound, UnboundedConsistentHashingExceedsBoundInSameSurge)
{
    // Runs the same placement with a load factor so large that the bound never applies, to show that the check detects
    // a violation.
    ring::BoundedRing unbounded(64, 1000.0);
    unbounded.setMembers(engineIds(18));
    CHECK(worstLoadToBoundRatio(unbounded, 18, 1.25, 20000, 90) > 1.0);
}

TEST(InvariantSkewBound, RoutersWithPartialViewsStayWithinSumOfTheirBounds)
{
    // Three routers each bound only their own in-flight requests. Requests go to the routers in turn, as from a load
    // balancer.
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
        // Each router's share is within ceil(c * (its total + 1) / n), so the engine's total load is within c * mean
        // plus one per router.
        double limit = c * static_cast<double>(total + routers) / engines + routers;
        worst = std::max(worst, static_cast<double>(peak) / limit);
    }
    CHECK(worst <= 1.0);
}

TEST(InvariantSkewBound, KeyStaysOnItsEngineWhileUnderBound)
{
    ring::BoundedRing picker(64, 1.25);
    picker.setMembers(engineIds(18));
    std::vector<int64_t> idle(18, 0);
    auto first = picker.pick(ring::hash("conversation-7"), idle);
    for (int i = 0; i < 10; ++i) {
        CHECK(picker.pick(ring::hash("conversation-7"), idle) == first);
    }
}

TEST(InvariantSkewBound, RemovedEngineMovesOnlyItsOwnKeys)
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

TEST(InvariantDrain, DrainingEngineGetsNoNewRequestsWhileVmListShowsItLive)
{
    router::RoutingTable table(options(Policy::Bounded));
    std::vector<Endpoint> eps;
    for (int i = 0; i < 4; ++i) {
        eps.push_back({"engine-" + std::to_string(i), "127.0.0.1", static_cast<uint16_t>(9000 + i), "pool", EndpointKind::Engine, EndpointState::Live});
    }
    table.setEndpoints(eps);
    table.recordLeaving(eps[2], true, Clock::now()); // from its own load report
    table.setEndpoints(eps); // the delayed VM list still shows it as live
    for (int k = 0; k < 2000; ++k) {
        auto ep = table.acquire("pool", affinityFor(std::to_string(k)), {}, Clock::now());
        CHECK(ep.has_value());
        CHECK(ep->id != "engine-2");
        table.release(*ep, Clock::now());
    }
}

TEST(InvariantDrain, EngineListedAsLeavingGetsNoRequests)
{
    router::RoutingTable table(options(Policy::RoundRobin));
    std::vector<Endpoint> eps{{"a", "127.0.0.1", 1, "pool", EndpointKind::Engine, EndpointState::Live},
                              {"b", "127.0.0.1", 2, "pool", EndpointKind::Engine, EndpointState::Leaving}};
    table.setEndpoints(eps);
    for (int k = 0; k < 10; ++k) {
        auto ep = table.acquire("pool", affinityFor(std::to_string(k)), {}, Clock::now());
        STRCMP_EQUAL("a", ep->id.c_str());
        table.release(*ep, Clock::now());
    }
}

TEST(InvariantDrain, SuspectEngineIsExcludedUntilSuspicionExpires)
{
    router::RoutingTable table(options(Policy::Bounded));
    std::vector<Endpoint> eps{{"a", "127.0.0.1", 1, "pool", EndpointKind::Engine, EndpointState::Live},
                              {"b", "127.0.0.1", 2, "pool", EndpointKind::Engine, EndpointState::Live}};
    table.setEndpoints(eps);
    auto now = Clock::now();
    table.suspect("a", now);
    for (int k = 0; k < 50; ++k) {
        auto ep = table.acquire("pool", affinityFor(std::to_string(k)), {}, now);
        STRCMP_EQUAL("b", ep->id.c_str());
        table.release(*ep, Clock::now());
    }
    bool sawA = false;
    for (int k = 0; k < 50; ++k) {
        auto ep = table.acquire("pool", affinityFor(std::to_string(k)), {}, now + std::chrono::seconds(2));
        sawA = sawA || ep->id == "a";
        table.release(*ep, Clock::now());
    }
    CHECK(sawA);
}

TEST_GROUP(AffinityThroughChurn){};

TEST(AffinityThroughChurn, SuspectEngineMovesOnlyItsOwnKeys)
{
    std::vector<Endpoint> eps;
    for (const auto &id : engineIds(8)) {
        eps.push_back({id, "127.0.0.1", 9, "pool", EndpointKind::Engine, EndpointState::Live});
    }
    router::RoutingTable table(options(Policy::Bounded));
    table.setEndpoints(eps);
    auto now = Clock::now();
    int moved = 0;
    for (int k = 0; k < 400; ++k) {
        auto key = affinityFor("k" + std::to_string(k));
        auto before = table.acquire("pool", key, {}, now);
        table.release(*before, Clock::now());
        table.suspect("engine-3", now);
        auto during = table.acquire("pool", key, {}, now);
        table.release(*during, Clock::now());
        table.clearFailures("engine-3");
        CHECK(during->id != "engine-3");
        moved += before->id != "engine-3" && during->id != before->id ? 1 : 0;
    }
    LONGS_EQUAL(0, moved);
}

TEST(AffinityThroughChurn, ExclusionOfFlappingEngineDoublesUntilItAnswers)
{
    router::RoutingTable table(options(Policy::Affinity));
    table.setEndpoints({{"a", "127.0.0.1", 1, "pool", EndpointKind::Engine, EndpointState::Live}});
    auto now = Clock::now();
    const auto usable = [&] {
        const auto ep = table.acquire("pool", affinityFor("k"), {}, now);
        if (ep) {
            table.release(*ep, now);
        }
        return ep.has_value();
    };
    for (const int seconds : {1, 2, 4, 8, 8}) { // doubles up to maxSuspectDuration
        table.suspect("a", now);
        now += std::chrono::seconds(seconds) - std::chrono::milliseconds(1);
        CHECK_FALSE(usable());
        now += std::chrono::milliseconds(1);
        CHECK(usable());
    }
    table.clearFailures("a");
    table.suspect("a", now);
    now += std::chrono::seconds(1);
    CHECK(usable());
}

namespace
{

/// Many routers that each send a small part of one pool's traffic and learn loads only from answers.
template <placement::Policy P> class PartialViewFleet
{
public:
    PartialViewFleet(const P &policy, int routers, int engines)
        : m_policies(routers, policy)
        , m_loads(engines, 0)
    {
        for (auto &p : m_policies) {
            p.setMembers(engineIds(engines));
        }
    }

    /// Places requests, 80% of them from three workspaces. Each stays in flight for `hold` placements. Returns the
    /// worst ratio of the highest load to the mean.
    double worstSkew(int requests, int hold)
    {
        std::mt19937_64 rng(3);
        double worst = 0;
        for (int r = 0; r < requests; ++r) {
            m_now += std::chrono::milliseconds(10);
            const bool surge = rng() % 100 < 80;
            const uint64_t workspace = surge ? rng() % 3 : 3 + rng() % 500;
            const placement::Affinity affinity{ring::hash("w", workspace), ring::hash("c", workspace * 1000 + rng() % 300)};
            const auto router = rng() % m_policies.size();
            auto &policy = m_policies[router];
            const auto m = *policy.pick(affinity, placement::Usable(m_loads.size(), true), m_now);
            policy.requestStarted(m, m_now);
            m_inflight.emplace_back(router, m);
            policy.recordLoadReport(m, m_loads[m]++, m_now); // the load before this request
            if (static_cast<int>(m_inflight.size()) > hold) {
                const auto [from, done] = m_inflight.front();
                m_inflight.pop_front();
                m_policies[from].requestFinished(done, m_now);
                --m_loads[done];
                const double mean = static_cast<double>(hold) / static_cast<double>(m_loads.size());
                worst = std::max(worst, static_cast<double>(*std::max_element(m_loads.begin(), m_loads.end())) / mean);
            }
        }
        return worst;
    }

private:
    std::vector<P> m_policies;
    std::vector<int64_t> m_loads;
    std::deque<std::pair<std::size_t, std::size_t>> m_inflight;
    placement::TimePoint m_now{};
};

} // namespace

TEST(InvariantSkewBound, FortyRoutersWithPartialViewsKeepSurgeWithinTwiceTheMean)
{
    PartialViewFleet<placement::PrefixAffinity> fleet(placement::PrefixAffinity(), 40, 60);
    CHECK(fleet.worstSkew(20000, 1200) <= 2.0);
}

TEST(InvariantSkewBound, SameSurgeExceedsTwiceTheMeanWithoutReplicaSets)
{
    // One engine per workspace regardless of its popularity, and a bound that never applies.
    placement::AffinityOptions naive;
    naive.fillFactor = 1e9;
    naive.burstFillFactor = 1e9;
    naive.loadFactor = 1e9;
    PartialViewFleet<placement::PrefixAffinity> fleet(placement::PrefixAffinity(naive), 40, 60);
    CHECK(fleet.worstSkew(20000, 1200) > 2.0);
}

TEST(InvariantSkewBound, EngineReportedAtBoundIsSkippedUntilReportAges)
{
    placement::PrefixAffinity p;
    p.setMembers(engineIds(4));
    const placement::Affinity a{1, 2};
    const placement::Usable all(4, true);
    placement::TimePoint now{};
    const auto home = *p.pick(a, all, now);
    for (std::size_t m = 0; m < 4; ++m) {
        p.recordLoadReport(m, m == home ? 40 : 10, now);
    }
    now += std::chrono::milliseconds(300);
    CHECK(*p.pick(a, all, now) != home);
    // An old report loses its weight, and the engine counts as average again.
    now += std::chrono::seconds(60);
    LONGS_EQUAL(home, *p.pick(a, all, now));
}

TEST(AffinityThroughChurn, RoutersSendConversationToSameEngine)
{
    placement::PrefixAffinity a, b;
    a.setMembers(engineIds(20));
    b.setMembers(engineIds(20));
    const placement::Usable all(20, true);
    for (uint64_t c = 0; c < 500; ++c) {
        const placement::Affinity affinity{ring::hash("w", c % 7), ring::hash("c", c)};
        LONGS_EQUAL(*a.pick(affinity, all, {}), *b.pick(affinity, all, {}));
    }
}

TEST(AffinityThroughChurn, PopularPromptGetsAllEnginesAndRarePromptFew)
{
    placement::PrefixAffinity p;
    p.setMembers(engineIds(64));
    const placement::Usable all(64, true);
    placement::TimePoint now{};
    for (int i = 0; i < 2000; ++i) {
        now += std::chrono::milliseconds(10);
        const uint64_t w = i % 2 ? 1 : 100 + i % 200;
        p.requestStarted(*p.pick({ring::hash("w", w), ring::hash("c", i)}, all, now), now);
    }
    LONGS_EQUAL(64, p.replicas(ring::hash("w", 1), 64));
    CHECK(p.replicas(ring::hash("w", 100), 64) <= 8);
}

TEST(AffinityThroughChurn, StoredReplicaSetsStayBoundedForUnlimitedPrompts)
{
    placement::AffinityOptions o;
    o.trackedKeys = 64;
    placement::PrefixAffinity p(o);
    p.setMembers(engineIds(32));
    const placement::Usable all(32, true);
    placement::TimePoint now{};
    for (int i = 0; i < 20000; ++i) {
        now += std::chrono::milliseconds(10);
        p.requestStarted(*p.pick({ring::hash("w", i / 8), ring::hash("c", i)}, all, now), now);
        CHECK(p.replicaSetCount() <= 4 * o.trackedKeys);
    }
}

TEST(AffinityThroughChurn, AffinityReturnsMoreTurnsToTheirEngineThanRoundRobin)
{
    // Sends the same returning turns through the affinity policy and round robin while engines leave and join, and
    // counts the turns that reach their last engine again.
    const auto returns = [](auto policy) {
        std::mt19937_64 rng(5);
        auto ids = engineIds(12);
        policy.setMembers(ids);
        std::map<uint64_t, std::string> last;
        int home = 0;
        for (int t = 0; t < 6000; ++t) {
            if (t % 1000 == 999) {
                ids.erase(ids.begin());
                ids.push_back("engine-" + std::to_string(100 + t));
                policy.setMembers(ids);
            }
            const uint64_t c = rng() % 300;
            const placement::TimePoint now{std::chrono::milliseconds(10 * t)};
            const auto m = *policy.pick({ring::hash("w", c % 10), ring::hash("c", c)}, placement::Usable(ids.size(), true), now);
            home += last[c] == policy.members()[m] ? 1 : 0;
            last[c] = policy.members()[m];
        }
        return home;
    };
    const int ours = returns(placement::PrefixAffinity());
    const int naive = returns(placement::RoundRobin());
    CHECK(ours > 5 * naive);
}
