// Tests of changes of the endpoints' list that are applied in place, against a table that is built from the whole list.
#include "member_state.h"
#include "router_core.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <random>

using namespace yucca;

namespace
{

constexpr int endpointIds = 40;
constexpr std::array<const char *, 3> pools{"chat", "draft", "ledger"};
constexpr std::array<const char *, 3> domains{"a", "b", "c"};

/// A list of endpoints that changes at random.
class RandomListing
{
public:
    explicit RandomListing(unsigned seed)
        : m_random(seed)
    {
    }
    router::EndpointChanges change()
    {
        router::EndpointChanges changes;
        std::set<std::string> touched;
        for (int n = draw(5); n >= 0; --n) {
            const auto id = "e" + std::to_string(10 + draw(endpointIds));
            if (!touched.insert(id).second) {
                continue;
            }
            if (draw(4) == 0) {
                m_listed.erase(id);
                changes.removed.push_back(id);
                continue;
            }
            auto &endpoint = m_listed[id];
            const bool known = !endpoint.id.empty();
            endpoint.id = id;
            endpoint.host = "10.0.0.1";
            endpoint.pool = known ? endpoint.pool : pools[static_cast<std::size_t>(draw(3))];
            endpoint.kind = endpoint.pool == pools.back() ? EndpointKind::Service : EndpointKind::Engine;
            endpoint.state = draw(5) == 0 ? EndpointState::Leaving : EndpointState::Live;
            endpoint.zone = domains[static_cast<std::size_t>(draw(3))];
            endpoint.startedAtMs += draw(3) == 0 ? 1 : 0;
            endpoint.version = draw(10) == 0 ? "v2" : "v1";
            changes.listed.push_back(endpoint);
        }
        return changes;
    }
    std::vector<Endpoint> all() const
    {
        std::vector<Endpoint> out;
        for (const auto &[id, endpoint] : m_listed) {
            out.push_back(endpoint);
        }
        return out;
    }
    int draw(int below)
    {
        return static_cast<int>(m_random() % static_cast<unsigned>(below));
    }

private:
    std::mt19937 m_random;
    std::map<std::string, Endpoint> m_listed;
};

router::TableOptions homeOptions()
{
    router::TableOptions options;
    options.policy = Policy::Home;
    options.servicePolicy = Policy::LeastLoaded;
    return options;
}

void checkSameDecisions(const router::RoutingTable &table, const router::RoutingTable &naive)
{
    CHECK(table.endpoints() == naive.endpoints());
    for (const char *pool : pools) {
        LONGS_EQUAL(naive.poolSize(pool), table.poolSize(pool));
        for (uint64_t key = 1; key <= 8; ++key) {
            CHECK(table.homeOf(pool, key) == naive.homeOf(pool, key));
        }
    }
}

} // namespace

TEST_GROUP(EndpointChanges)
{
    Clock::time_point now{std::chrono::hours(1)};
};

TEST(EndpointChanges, ChangesLeadToTheSameTableAsAWholeList)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        for (const auto policy : {Policy::Home, Policy::Affinity}) {
            RandomListing listing(seed);
            auto options = homeOptions();
            options.policy = policy;
            router::RoutingTable table(options);
            std::set<std::string> evacuated;
            for (int step = 0; step < 60; ++step) {
                now += Millis(100);
                table.applyChanges(listing.change(), now);
                if (step % 20 == 19) {
                    evacuated = evacuated.empty() ? std::set<std::string>{"b"} : std::set<std::string>{};
                    table.setEvacuated(evacuated, now);
                }
                router::RoutingTable naive(options);
                naive.setEvacuated(evacuated, now);
                naive.setEndpoints(listing.all(), now);
                checkSameDecisions(table, naive);
            }
        }
    }
}

TEST(EndpointChanges, RequestsInFlightOutlastOtherChangesAndEndWithARestart)
{
    router::RoutingTable table(homeOptions());
    const Endpoint chosen{"e1", "10.0.0.1", 1, "chat"};
    table.applyChanges({{chosen}, {}}, now);
    CHECK(table.acquire("chat", {}, {}, now).has_value());
    table.applyChanges({{{"e0", "10.0.0.1", 1, "chat"}, {"e2", "10.0.0.1", 1, "chat"}}, {}}, now);
    table.applyChanges({{}, {"e0"}}, now);
    LONGS_EQUAL(1, table.inflightCounts().front().inflight);
    auto restarted = chosen;
    restarted.startedAtMs = 7;
    table.applyChanges({{restarted}, {}}, now);
    LONGS_EQUAL(0, table.inflightCounts().front().inflight);
    LONGS_EQUAL(1, table.restartCount());
}

TEST(EndpointChanges, AnUnchangedEntryChangesNothing)
{
    router::RoutingTable table(homeOptions());
    const Endpoint chosen{"e1", "10.0.0.1", 1, "chat"};
    CHECK(table.applyChanges({{chosen}, {}}, now));
    CHECK(!table.applyChanges({{chosen}, {}}, now));
    CHECK(!table.applyChanges({{}, {"e9"}}, now));
    CHECK(table.applyChanges({{}, {"e1"}}, now));
    LONGS_EQUAL(0, table.poolSize("chat"));
}

TEST_GROUP(MemberEdit){};

TEST(MemberEdit, StateFollowsItsMember)
{
    std::mt19937 random(3);
    for (int round = 0; round < 200; ++round) {
        std::set<std::string> before;
        std::set<std::string> added;
        std::set<std::string> removed;
        for (int n = 0; n < 12; ++n) {
            const auto id = std::string(1, static_cast<char>('a' + n));
            if (random() % 2 == 0) {
                before.insert(id);
            }
            if (random() % 3 == 0) {
                added.insert(id);
            }
            if (random() % 3 == 0) {
                removed.insert(id);
            }
        }
        const std::vector<std::string> ids(before.begin(), before.end());
        const std::vector<std::string> addedIds(added.begin(), added.end());
        const std::vector<std::string> removedIds(removed.begin(), removed.end());
        const auto edit = placement::MemberEdit::of(ids, addedIds, removedIds);
        const auto state = edit.apply(ids, [&addedIds](std::size_t i) {
            return "new " + addedIds[i];
        });
        std::vector<std::string> expected;
        for (char c = 'a'; c < 'a' + 12; ++c) {
            const std::string id(1, c);
            const bool stays = before.count(id) && !removed.count(id);
            if (stays || added.count(id)) {
                expected.push_back(stays ? id : "new " + id);
            }
        }
        CHECK(state == expected);
    }
}
