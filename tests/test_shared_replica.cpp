// Tests of the state that the routers of a failure domain share: which router queries the store, what routers transfer to each
// other, and lost, late or wrong confirmations.
#include "change_exchange.h"
#include "follower.h"
#include "follower_fixture.h"
#include "local_object_api.h"
#include "peers/load_exchange.h"

// CppUTest goes last: its memory-leak macros redefine operator new.
#include "loop_group.h"

#include <algorithm>
#include <random>

using namespace yucca;
using namespace yucca::fixture;
using replica::Changes;
using replica::Confirmation;
using replica::ObjectReplica;
using replica::SharedReplica;

namespace
{

store::Object object(const std::string &name, uint64_t version, nlohmann::json value = 1)
{
    return {"k", name, version, std::move(value)};
}

store::Listing listing(uint64_t revision, std::vector<store::Object> items)
{
    return {revision, std::move(items), false};
}

std::vector<std::string> namesOf(const Changes &changes)
{
    std::vector<std::string> names;
    for (const auto &o : changes.objects) {
        names.push_back(o.name);
    }
    return names;
}

} // namespace

TEST_GROUP(ObjectReplica){};

TEST(ObjectReplica, TheDigestDependsOnlyOnTheHeldObjects)
{
    ObjectReplica a;
    ObjectReplica b;
    a.applyListing(listing(9, {object("x", 3), object("y", 7)}));
    b.applyListing(listing(2, {}));
    b.applyChange(object("y", 5), false, 5);
    b.applyChange(object("z", 6), false, 6);
    b.applyChange(object("y", 7), false, 7);
    b.applyChange(object("x", 3), false, 7);
    CHECK(a.digest() != b.digest());
    b.applyChange(object("z", 6), true, 8);
    CHECK(a.digest() == b.digest());
}

TEST(ObjectReplica, AnOlderVersionDoesNotReplaceANewerOne)
{
    ObjectReplica a;
    a.applyListing(listing(9, {object("x", 5)}));
    CHECK(!a.applyChange(object("x", 4), false, 10));
    CHECK(!a.applyChange(object("x", 5), false, 10));
    LONGS_EQUAL(5, a.versionOf("x"));
    CHECK(a.applyChange(object("x", 11), false, 11));
}

TEST(ObjectReplica, ChangesSinceARevisionAreCompleteOrRefused)
{
    ObjectReplica a;
    a.applyListing(listing(10, {object("x", 3), object("y", 7)}));
    a.applyChange(object("z", 12), false, 12);
    a.applyChange(object("x", 3), true, 14);
    a.advanceTo(20);
    const auto changes = std::get<Changes>(a.changesSince(10));
    CHECK(namesOf(changes) == std::vector<std::string>{"z"});
    CHECK(changes.deleted == std::vector<std::string>{"x"});
    LONGS_EQUAL(20, changes.revision);
    CHECK(changes.digest == a.digest());
    // Deletions before the first listing are unknown.
    LONGS_EQUAL(410, std::get<Error>(a.changesSince(9)).code);
    CHECK(std::get<Changes>(a.changesSince(14)).deleted.empty());
}

// Guards against every router of a fleet listing the objects after the store has dropped its history: one router lists them
// again, and the others must be able to fetch the difference from it.
TEST(ObjectReplica, ChangesSinceThePreviousListingAreKnownAfterAnotherOne)
{
    ObjectReplica a;
    a.applyListing(listing(10, {object("x", 3), object("y", 7)}));
    a.applyListing(listing(30, {object("y", 7), object("z", 25)}));
    const auto changes = std::get<Changes>(a.changesSince(10));
    CHECK(namesOf(changes) == std::vector<std::string>{"z"});
    CHECK(changes.deleted == std::vector<std::string>{"x"});
    LONGS_EQUAL(410, std::get<Error>(a.changesSince(9)).code);
    ObjectReplica fresh;
    fresh.applyListing(listing(30, {object("y", 7), object("z", 25)}));
    CHECK(a.digest() == fresh.digest());
}

TEST(ObjectReplica, ChangesThatLackForgottenDeletionsAreRefused)
{
    ObjectReplica a({64 * 1024, 1024 * 1024, 2});
    a.applyListing(listing(1, {object("p", 1), object("q", 1), object("r", 1)}));
    a.applyChange(object("p", 1), true, 2);
    a.applyChange(object("q", 1), true, 3);
    CHECK(ok(a.changesSince(1)));
    a.applyChange(object("r", 1), true, 4);
    LONGS_EQUAL(410, std::get<Error>(a.changesSince(1)).code);
    CHECK(ok(a.changesSince(2)));
}

TEST(ObjectReplica, ChangesAboveTheSizeLimitAreRefused)
{
    ObjectReplica a({100, 1000, 10});
    a.applyListing(listing(1, {}));
    a.applyChange(object("large", 2, std::string(200, 'x')), false, 2);
    LONGS_EQUAL(413, std::get<Error>(a.changesSince(1)).code);
    CHECK(ok(a.changesSince(1, replica::TransferLimit::Large))); // limit for a router that the store refuses
    CHECK(ok(a.changesSince(2)));
    a.applyChange(object("s1", 3, std::string(60, 'x')), false, 3);
    a.applyChange(object("s2", 4, std::string(60, 'x')), false, 4);
    LONGS_EQUAL(413, std::get<Error>(a.changesSince(2)).code);
    CHECK(ok(a.changesSince(3)));
}

TEST(ObjectReplica, EncodedChangesAreDecodedAndOtherBytesAreRejected)
{
    const Changes changes{7, 0xfedcba9876543210u, {{"x", 5, {{"a", 1}}}}, {"gone"}};
    const auto bytes = encode(changes);
    const auto decoded = std::get<Changes>(replica::decode(bytes));
    CHECK(decoded.revision == 7 && decoded.digest == changes.digest && decoded.deleted == changes.deleted);
    CHECK(namesOf(decoded) == std::vector<std::string>{"x"});
    CHECK(decoded.objects[0].value == changes.objects[0].value);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK(!ok(replica::decode({bytes.data(), n})));
    }
    const std::vector<uint8_t> excessive{0x97, 0x00, 0x10, 0xbb, 0x6e, 0x83, 0xb9, 0xd2, 0x00, 0xed, 0x00, 0x66, 0x6e, 0x83, 0xb9, 0xd2, 0x00};
    CHECK(!ok(replica::decode(excessive)));
    CHECK(!ok(replica::decode(nlohmann::json::to_cbor({7, 8, {{"x", 5, "no bytes"}}, nlohmann::json::array()}))));
}

namespace
{

constexpr Millis step{10};
constexpr Millis roundTime{300};

// A router of a simulated failure domain; no sockets.
struct SimulatedRouter {
    replica::QuerySchedule schedule;
    bool dead = false;
    Clock::time_point watchEnds{};
    bool watching = false;
    Clock::time_point nextSendAt{};
    Clock::duration maxConfirmationAge{}; ///< greatest age of its last confirmation while it had no pending watch
};

// Simulates routers that announce the time of their last confirmation to eight others per round, and query the store when their
// Freshness says so. Datagrams may be lost and routers may fail.
class SimulatedDomain
{
public:
    SimulatedDomain(std::size_t routers, double lossRate, unsigned seed)
        : m_lossRate(lossRate)
        , m_random(seed)
        , m_routers(routers)
        , m_lastHeardAt(routers, std::vector<Clock::time_point>(routers, m_now))
    {
        std::uniform_real_distribution<double> jitter(0, 1);
        for (auto &r : m_routers) {
            r.schedule = replica::QuerySchedule(replica::queryScheduleWithin(Millis(2000)), jitter(m_random));
            r.schedule.recordConfirmation(m_now);
            r.nextSendAt = m_now + Millis(m_random() % roundTime.count());
        }
    }
    void run(Clock::duration time)
    {
        for (const auto end = m_now + time; m_now < end; m_now += step) {
            for (std::size_t i = 0; i < m_routers.size(); ++i) {
                if (!m_routers[i].dead) {
                    stepRouter(i);
                }
            }
        }
    }
    void kill(std::size_t first, std::size_t count)
    {
        for (std::size_t i = first; i < first + count; ++i) {
            m_routers[i].dead = true;
        }
    }
    Clock::duration maxConfirmationAge() const
    {
        Clock::duration maxAge{};
        for (const auto &r : m_routers) {
            maxAge = r.dead ? maxAge : std::max(maxAge, r.maxConfirmationAge);
        }
        return maxAge;
    }
    int storeCalls = 0;

private:
    void stepRouter(std::size_t i)
    {
        auto &r = m_routers[i];
        if (r.watching && m_now >= r.watchEnds) {
            r.watching = false;
            r.schedule.recordConfirmation(m_now);
        }
        if (!r.watching && r.schedule.queryDueAt(rank(i)) <= m_now) {
            ++storeCalls;
            r.watching = true;
            r.watchEnds = m_now + r.schedule.options().watchTimeout;
        }
        if (m_now >= r.nextSendAt) {
            r.nextSendAt = m_now + roundTime;
            sendConfirmations(i);
        }
        if (!r.watching) { // a pending watch reports a change at once
            r.maxConfirmationAge = std::max(r.maxConfirmationAge, m_now - r.schedule.confirmedAt());
        }
    }
    std::size_t rank(std::size_t i) const
    {
        const auto n = m_routers.size();
        const auto silence = std::max<Clock::duration>(Millis(2000), roundTime * 3 * n / std::min<std::size_t>(8, n));
        std::size_t before = 0;
        for (std::size_t j = 0; j < i; ++j) {
            before += m_now - m_lastHeardAt[i][j] <= silence ? 1 : 0;
        }
        return before;
    }
    void sendConfirmations(std::size_t i)
    {
        std::uniform_real_distribution<double> chance(0, 1);
        for (std::size_t sent = 0; sent < std::min<std::size_t>(8, m_routers.size() - 1); ++sent) {
            const std::size_t to = m_random() % m_routers.size();
            if (to != i && chance(m_random) >= m_lossRate) {
                m_lastHeardAt[to][i] = m_now;
                m_routers[to].schedule.recordConfirmation(m_routers[i].schedule.confirmedAt());
            }
        }
    }

    double m_lossRate;
    std::minstd_rand m_random;
    Clock::time_point m_now{std::chrono::hours(1)};
    std::vector<SimulatedRouter> m_routers;
    std::vector<std::vector<Clock::time_point>> m_lastHeardAt;
};

int storeCallsInTenSeconds(std::size_t routers, double lossRate)
{
    SimulatedDomain domain(routers, lossRate, 7);
    domain.run(std::chrono::seconds(10));
    domain.storeCalls = 0;
    domain.run(std::chrono::seconds(10));
    return domain.storeCalls;
}

} // namespace

TEST_GROUP(QuerySchedule){};

// If each router queried the store itself, once per watch timeout of 2 s, that would be 5 calls per router in ten seconds: 295
// for a domain of 59.
TEST(QuerySchedule, TheNumberOfStoreCallsDoesNotGrowWithTheNumberOfRouters)
{
    for (const std::size_t routers : {2u, 8u, 59u, 200u}) {
        const int storeCalls = storeCallsInTenSeconds(routers, 0.0);
        CHECK_TEXT(storeCalls <= 75, (std::to_string(routers) + " routers: " + std::to_string(storeCalls)).c_str());
    }
    CHECK(storeCallsInTenSeconds(59, 0.05) <= 100);
}

TEST(QuerySchedule, TheAgeOfARoutersConfirmationIsBounded)
{
    for (unsigned seed = 1; seed <= 5; ++seed) {
        SimulatedDomain domain(59, 0.05, seed);
        domain.run(std::chrono::seconds(5));
        domain.kill(0, 1); // the router that queries the store
        domain.run(std::chrono::seconds(10));
        domain.kill(1, 20); // and those next in rank
        domain.run(std::chrono::seconds(10));
        // 0.4 s of the 2 s within which a change must be in effect remain to fetch it.
        CHECK(domain.maxConfirmationAge() <= Millis(1600));
    }
}

TEST(QuerySchedule, ARouterOfRankZeroQueriesContinuously)
{
    replica::QuerySchedule schedule(replica::queryScheduleWithin(Millis(2000)), 0.5);
    const Clock::time_point now{std::chrono::hours(1)};
    schedule.recordConfirmation(now);
    CHECK(schedule.queryDueAt(0) == now);
    CHECK(schedule.queryDueAt(1) > now + Millis(900));
    CHECK(schedule.queryDueAt(3) > schedule.queryDueAt(2));
    CHECK(schedule.queryDueAt(100) <= now + Millis(1600));
}

LOOP_GROUP(SharedFollower);

TEST(SharedFollower, TheStoreIsNotQueriedWhileANeighboursConfirmationIsRecent)
{
    FollowerFixture fixture;
    fixture.store.put("k", "a", 1, std::nullopt);
    fixture.neighbourQueriesStore(loop());
    std::optional<bool> ended;
    loop().start(runUntilStopped(*fixture.follower), ended);
    for (int i = 0; i < 30; ++i) {
        CHECK(loop().run(trueAfterDelay(Millis(100))));
        fixture.neighbourQueriesStore(loop());
        fixture.receiveNeighbourConfirmation();
    }
    LONGS_EQUAL(1, fixture.api.lists);
    LONGS_EQUAL(0, fixture.api.watches);
    fixture.follower->stop();
    loop().runUntil([&] {
        return ended.has_value();
    });
}

// The first listing is taken from a replica. It is not announced to peers until a neighbour or a watch has confirmed it.
TEST(SharedFollower, AFirstListingComesFromAReplicaAndIsConfirmedByANeighbour)
{
    FollowerFixture fixture;
    fixture.store.put("k", "a", 1, std::nullopt);
    CHECK(loop().run(fixture.follower->step()));
    CHECK(fixture.api.lastListFreshness == platform::Freshness::MayLag);
    CHECK(!fixture.own.currentConfirmation().has_value());
    CHECK(fixture.own.queryDueAt(Clock::now()) > Clock::now() + Millis(1000)); // peers are expected to confirm it
    fixture.neighbourQueriesStore(loop());
    fixture.receiveNeighbourConfirmation();
    CHECK(fixture.own.isConfirmed());
    LONGS_EQUAL(0, fixture.api.watches);
}

TEST(SharedFollower, ALaggingFirstListingIsCorrectedByANeighboursChanges)
{
    FollowerFixture fixture;
    CHECK(loop().run(fixture.follower->step()));
    fixture.store.put("k", "a", 1, std::nullopt); // missing in the replica's listing
    fixture.neighbourQueriesStore(loop());
    fixture.receiveNeighbourConfirmation();
    CHECK(loop().run(fixture.follower->step()));
    STRCMP_EQUAL("set a", fixture.sink.updates.back().c_str());
}

TEST(SharedFollower, ARouterThatHearsNobodyConfirmsItsFirstListingItself)
{
    FollowerFixture fixture;
    fixture.rank = std::nullopt;
    std::optional<std::size_t> routers;
    fixture.own.routerCount = [&routers] {
        return routers;
    };
    CHECK(loop().run(fixture.follower->step()));
    CHECK(fixture.api.lastListFreshness == platform::Freshness::MayLag);
    CHECK(!fixture.own.isConfirmed()); // a replica's answer confirms nothing
    const auto now = Clock::now();
    CHECK(fixture.own.queryDueAt(now) > now); // the size of the fleet is unknown
    routers = 1;
    CHECK(fixture.own.queryDueAt(now) <= now + Millis(5));
    CHECK(loop().run(trueAfterDelay(Millis(10))));
    CHECK(loop().run(fixture.follower->step()));
    CHECK(fixture.own.isConfirmed());
    LONGS_EQUAL(1, fixture.api.watches);
    LONGS_EQUAL(1, fixture.api.currentWatchCount);
}

// Guards against all routers of a large fleet, restarted together, calling the store at the same moment.
TEST(QuerySchedule, FirstConfirmationsOfALargeFleetAreSpread)
{
    const replica::QuerySchedule first({}, 0);
    const replica::QuerySchedule middle({}, 0.5);
    const replica::QuerySchedule last({}, 1);
    const auto listed = Clock::now();
    CHECK(first.firstConfirmationDueAt(listed, 300, listed) == listed);
    CHECK(middle.firstConfirmationDueAt(listed, 300, listed) == listed + Millis(750));
    CHECK(last.firstConfirmationDueAt(listed, 300, listed) == listed + Millis(1500));
    CHECK(last.firstConfirmationDueAt(listed, 2000, listed) == listed + Millis(2500));
    CHECK(last.firstConfirmationDueAt(listed, std::nullopt, listed + Millis(2450)) == listed + Millis(2500));
}

// Guards against a router that nobody keeps current following a replica, which may be seconds behind: each watch is a current one, and
// its timeout is within the bound.
TEST(SharedFollower, ARouterThatHearsNobodyNeverWatchesAReplica)
{
    FollowerFixture fixture;
    fixture.rank = std::nullopt;
    fixture.start(loop());
    fixture.api.replicaRevision = 1; // and without changes
    for (int i = 0; i < 30; ++i) {
        fixture.store.put("k", "a", i, std::nullopt);
        CHECK(loop().run(fixture.follower->step()));
    }
    LONGS_EQUAL(30, fixture.api.watches);
    LONGS_EQUAL(30, fixture.api.currentWatchCount);
    LONGS_EQUAL(31, fixture.sink.updates.size());
    CHECK(fixture.api.lastWait <= Millis(1500));
    CHECK(replica::queryScheduleWithin(Millis(2000)).standaloneWatchTimeout + platform::watchResponseMargin < Millis(2000));
}

// Guards against the same in the time until a router's neighbours are known to be gone.
TEST(SharedFollower, ARouterThatLosesItsNeighboursQueriesTheStoreAtOnce)
{
    FollowerFixture fixture;
    fixture.start(loop());
    const auto later = Clock::now() + std::chrono::seconds(5);
    CHECK(fixture.own.queryDueAt(Clock::now()) > Clock::now() + Millis(1000));
    fixture.rank = std::nullopt;
    CHECK(fixture.own.queryDueAt(later) <= later);
    fixture.store.put("k", "a", 1, std::nullopt);
    CHECK(loop().run(fixture.follower->step()));
    LONGS_EQUAL(1, fixture.api.currentWatchCount);
    STRCMP_EQUAL("set a", fixture.sink.updates.back().c_str());
}

// Guards against a suspended process announcing an old answer as the store's present state.
TEST(SharedFollower, AnAnswerThatIsReadLateConfirmsNoMoreThanTheEndOfItsWatch)
{
    FollowerFixture fixture;
    fixture.start(loop());
    fixture.rank = 0;
    const auto wait = fixture.own.watchTimeout(Clock::now());
    fixture.api.watchLatency = wait + Millis(300); // the answer is read that much after the call
    const auto begun = Clock::now();
    CHECK(loop().run(fixture.follower->step()));
    CHECK(fixture.own.confirmedAt() <= begun + wait + Millis(50));
    CHECK(fixture.own.confirmedAt() >= begun + wait);
}

// Guards against a router that left the calls to others, after a failed one, waiting on when these have gone.
TEST(SharedFollower, ARouterThatLeftTheCallsToOthersCallsSoonAfterTheyAreGone)
{
    FollowerFixture fixture;
    fixture.start(loop());
    fixture.api.outage = true;
    std::optional<bool> ended;
    loop().start(runUntilStopped(*fixture.follower), ended);
    loop().runUntil([&] {
        return fixture.api.watches == 1;
    });
    CHECK(loop().run(trueAfterDelay(Millis(50))));
    fixture.rank = std::nullopt;
    const auto gone = Clock::now();
    loop().runUntil([&] {
        return fixture.api.watches == 2;
    });
    CHECK(Clock::now() - gone < Millis(1000)); // 3.2 s while others call
    fixture.follower->stop();
    loop().runUntil([&] {
        return ended.has_value();
    });
}

// Guards against every router of a fleet querying the store when routers begin to hear each other.
TEST(SharedFollower, ARouterThatBeginsToHearOthersWaitsForTheirConfirmation)
{
    FollowerFixture fixture;
    fixture.rank = std::nullopt;
    fixture.start(loop());
    const auto later = Clock::now() + std::chrono::seconds(5);
    CHECK(fixture.own.queryDueAt(later) <= later);
    fixture.rank = 5;
    CHECK(fixture.own.queryDueAt(later) > later + Millis(1000));
    CHECK(fixture.own.queryDueAt(later + Millis(100)) < later + Millis(2500)); // counted from the first time that others were heard
}

// Guards against a router taking its view for the store's present state when it missed a change: it was suspended, or those that it hears
// missed it too.
TEST(SharedFollower, CatchingUpReadsWhatTheStoreHasAndTheNeighboursHaveNot)
{
    FollowerFixture fixture;
    CHECK(!loop().run(fixture.follower->catchUp(Clock::now() + Millis(100)))); // nothing is held
    fixture.start(loop());
    std::optional<bool> ended;
    loop().start(runUntilStopped(*fixture.follower), ended);
    CHECK(loop().run(fixture.follower->catchUp(Clock::now() + Millis(100))));
    LONGS_EQUAL(1, fixture.sink.updates.size());
    fixture.store.put("k", "a", 1, std::nullopt);
    const auto begun = Clock::now();
    CHECK(loop().run(fixture.follower->catchUp(Clock::now() + Millis(500))));
    CHECK(Clock::now() - begun < Millis(400)); // a query is due after a second only
    STRCMP_EQUAL("set a", fixture.sink.updates.back().c_str());
    fixture.api.outage = true;
    CHECK(!loop().run(fixture.follower->catchUp(Clock::now() + Millis(100))));
    fixture.follower->stop();
    loop().runUntil([&] {
        return ended.has_value();
    });
}

TEST(SharedFollower, ChangesAreFetchedFromTheNeighbourThatAnnouncedThem)
{
    FollowerFixture fixture;
    fixture.store.put("k", "a", 1, std::nullopt);
    fixture.start(loop());
    fixture.neighbourQueriesStore(loop());
    fixture.store.put("k", "b", 1, std::nullopt);
    fixture.store.remove("k", "a", std::nullopt);
    fixture.neighbourQueriesStore(loop());
    fixture.receiveNeighbourConfirmation();
    CHECK(fixture.own.behindPeer());
    CHECK(loop().run(fixture.follower->step()));
    const std::vector<std::string> expected{"listed 1", "set b", "gone a"};
    CHECK(fixture.sink.updates == expected);
    LONGS_EQUAL(0, fixture.api.watches);
    CHECK(fixture.own.currentConfirmation()->digest == fixture.other.currentConfirmation()->digest);
    CHECK(fixture.source.lastFrom == neighbour);
}

TEST(SharedFollower, TheStoreIsQueriedAtOnceWhenTheNeighbourDoesNotAnswer)
{
    FollowerFixture fixture;
    fixture.start(loop());
    fixture.neighbourQueriesStore(loop());
    fixture.store.put("k", "b", 1, std::nullopt);
    fixture.neighbourQueriesStore(loop());
    fixture.receiveNeighbourConfirmation();
    fixture.source.peer = nullptr;
    CHECK(loop().run(fixture.follower->step()));
    const std::vector<std::string> expected{"listed 0", "set b"};
    CHECK(fixture.sink.updates == expected);
    LONGS_EQUAL(1, fixture.api.watches); // at a replica, which has the announced change
}

TEST(SharedFollower, ANeighboursChangesAreAppliedWhileTheStoreIsUnreachable)
{
    FollowerFixture fixture;
    fixture.start(loop());
    fixture.neighbourQueriesStore(loop());
    fixture.api.outage = true;
    CHECK(!loop().run(fixture.follower->step()));
    fixture.store.put("k", "b", 1, std::nullopt);
    fixture.neighbourQueriesStore(loop());
    fixture.receiveNeighbourConfirmation();
    CHECK(loop().run(fixture.follower->step()));
    const std::vector<std::string> expected{"listed 0", "regained", "set b"};
    CHECK(fixture.sink.updates == expected);
}

// Guards against a retry delay that keeps a change out of force: the announcement of the change arrives while a last call to
// the unreachable store is still pending, and the delay after that call ignores it.
TEST(SharedFollower, ChangesAnnouncedDuringAFailingCallDoNotWaitForTheRetryDelay)
{
    FollowerFixture fixture;
    fixture.start(loop());
    fixture.neighbourQueriesStore(loop());
    fixture.options.nonProberRetryDelay = Millis(60000);
    fixture.api.outage = true;
    fixture.api.watchLatency = Millis(200);
    std::optional<bool> ended;
    fixture.own.recordConfirmation(1, Clock::now() - std::chrono::seconds(5), false);
    auto follower = std::make_unique<Follower<RecordingSink>>(fixture.api, "k", fixture.sink, fixture.options);
    fixture.api.outage = false;
    CHECK(loop().run(follower->step()));
    fixture.api.outage = true;
    loop().start(runUntilStopped(*follower), ended);
    loop().runUntil([&] {
        return fixture.api.watches == 1; // the call is pending
    });
    fixture.store.put("k", "b", 1, std::nullopt);
    fixture.neighbourQueriesStore(loop());
    fixture.receiveNeighbourConfirmation();
    std::optional<bool> waited;
    loop().start(trueAfterDelay(Millis(2000)), waited);
    loop().runUntil([&] {
        return waited.has_value() || fixture.sink.updates.back() == "set b";
    });
    STRCMP_EQUAL("set b", fixture.sink.updates.back().c_str());
    follower->stop();
    loop().runUntil([&] {
        return ended.has_value();
    });
}

// Guards against every router of a fleet reading each change of a large configuration from the store, and against a router that the
// store refuses calling it at each confirmation from a neighbour.
TEST(SharedFollower, LargeChangesAreFetchedFromANeighbourWhetherOrNotTheStoreAnswers)
{
    for (const bool outage : {false, true}) {
        FollowerFixture fixture;
        fixture.start(loop());
        fixture.neighbourQueriesStore(loop());
        fixture.api.outage = outage;
        fixture.store.put("k", "large", std::string(200000, 'x'), std::nullopt);
        fixture.neighbourQueriesStore(loop());
        fixture.receiveNeighbourConfirmation();
        CHECK(loop().run(fixture.follower->step()));
        STRCMP_EQUAL("set large", fixture.sink.updates.back().c_str());
        LONGS_EQUAL(0, fixture.api.watches);
        LONGS_EQUAL(2, fixture.source.fetches); // the first one was too large for a regular answer
    }
}

// Guards against a router that the store refuses calling it again at each confirmation of a state that no neighbour can send.
TEST(SharedFollower, ChangesThatNoNeighbourCanSendAreNotRequestedAtEachConfirmation)
{
    FollowerFixture fixture;
    fixture.start(loop());
    fixture.neighbourQueriesStore(loop());
    fixture.api.outage = true;
    fixture.store.put("k", "huge", std::string(1200000, 'x'), std::nullopt);
    fixture.neighbourQueriesStore(loop());
    fixture.receiveNeighbourConfirmation();
    CHECK(!loop().run(fixture.follower->step()));
    fixture.receiveNeighbourConfirmation();
    CHECK(!fixture.own.behindPeer());
    CHECK(loop().run(trueAfterDelay(Millis(1050))));
    fixture.receiveNeighbourConfirmation();
    CHECK(fixture.own.behindPeer());
    LONGS_EQUAL(1, fixture.api.watches);
}

// Guards against a router that waits for one busy peer, or reads the store, while another peer holds the same state.
TEST(SharedFollower, AnotherPeerIsAskedWhenTheFirstIsBusyOrDoesNotAnswer)
{
    for (const int failure : {replica::PeerBusy, store::Unavailable}) {
        FollowerFixture fixture;
        fixture.start(loop());
        fixture.neighbourQueriesStore(loop());
        fixture.store.put("k", "b", 1, std::nullopt);
        fixture.neighbourQueriesStore(loop());
        const auto confirmation = *fixture.other.currentConfirmation();
        fixture.own.receiveConfirmation(confirmation, neighbour, Clock::now());
        fixture.own.receiveConfirmation(confirmation, {"10.0.0.3", 7000}, Clock::now());
        fixture.source.failures = {{"10.0.0.3", failure}};
        CHECK(loop().run(fixture.follower->step()));
        STRCMP_EQUAL("set b", fixture.sink.updates.back().c_str());
        LONGS_EQUAL(0, fixture.api.watches);
        CHECK(fixture.source.lastFrom == neighbour);
    }
}

// Guards against a read of the store by each of the routers that a busy peer turns away, and against routers that wait for it for ever.
TEST(SharedFollower, ABusyPeerIsAskedAgainUntilTheStoreMustBeQueried)
{
    FollowerFixture fixture;
    fixture.start(loop());
    fixture.neighbourQueriesStore(loop());
    fixture.store.put("k", "b", 1, std::nullopt);
    fixture.neighbourQueriesStore(loop());
    fixture.receiveNeighbourConfirmation();
    fixture.source.failures = {{neighbour.host, replica::PeerBusy}};
    std::optional<bool> ended;
    loop().start(runUntilStopped(*fixture.follower), ended);
    loop().runUntil([&] {
        return fixture.source.fetches >= 4;
    });
    LONGS_EQUAL(0, fixture.api.watches);
    loop().runUntil([&] {
        return fixture.api.watches > 0;
    });
    CHECK(fixture.own.queryDueAt(Clock::now()) <= Clock::now());
    loop().runUntil([&] {
        return fixture.sink.updates.back() == "set b";
    });
    fixture.follower->stop();
    loop().runUntil([&] {
        return ended.has_value();
    });
}

// A cheap replica is tried before the store.
TEST(SharedFollower, ChangesThatNoNeighbourCanSendAreReadFromAReplicaAndFromTheStoreOnlyIfItLags)
{
    FollowerFixture fixture;
    fixture.start(loop());
    fixture.neighbourQueriesStore(loop());
    const uint64_t before = fixture.store.revision();
    for (const bool lags : {false, true}) {
        fixture.api.replicaRevision = lags ? std::optional(fixture.store.revision()) : std::nullopt;
        fixture.store.put("k", "large", std::string(1200000, lags ? 'x' : 'y'), std::nullopt);
        fixture.neighbourQueriesStore(loop());
        fixture.receiveNeighbourConfirmation();
        CHECK(loop().run(fixture.follower->step()));
        STRCMP_EQUAL("set large", fixture.sink.updates.back().c_str());
        LONGS_EQUAL(lags ? 1 : 0, fixture.api.currentWatchCount);
        CHECK(fixture.own.currentConfirmation()->revision >= before);
    }
}

TEST(SharedFollower, AnOldConfirmationChangesNothing)
{
    FollowerFixture fixture;
    fixture.store.put("k", "a", 1, std::nullopt);
    fixture.neighbourQueriesStore(loop());
    const auto old = *fixture.other.currentConfirmation();
    fixture.store.put("k", "a", 2, std::nullopt);
    fixture.start(loop());
    const auto confirmed = fixture.own.confirmedAt();
    fixture.own.receiveConfirmation(old, neighbour, Clock::now());
    CHECK(!fixture.own.behindPeer());
    CHECK(fixture.own.confirmedAt() == confirmed);
    LONGS_EQUAL(0, fixture.source.fetches);
}

TEST(SharedFollower, AConfirmationOfTheSameObjectsCountsFromItsOwnTime)
{
    FollowerFixture fixture;
    fixture.start(loop());
    fixture.neighbourQueriesStore(loop());
    auto confirmation = *fixture.other.currentConfirmation();
    const auto before = fixture.own.confirmedAt();
    confirmation.at = before - Millis(100); // delayed on its way
    fixture.own.receiveConfirmation(confirmation, neighbour, Clock::now());
    CHECK(fixture.own.confirmedAt() == before);
    confirmation.at = before + Millis(1);
    fixture.own.receiveConfirmation(confirmation, neighbour, Clock::now());
    CHECK(fixture.own.confirmedAt() == confirmation.at);
}

// A neighbour that claims a revision the store never had, or that misses an object, must not mislead this router for long.
TEST(SharedFollower, TheStoreIsListedWhenTwoRoutersHoldDifferentObjects)
{
    FollowerFixture fixture;
    fixture.options.minRelistInterval = Millis(0);
    fixture.follower = std::make_unique<Follower<RecordingSink>>(fixture.api, "k", fixture.sink, fixture.options);
    fixture.store.put("k", "a", 1, std::nullopt);
    fixture.start(loop());
    fixture.neighbourQueriesStore(loop());
    fixture.other.applyChange(object("a", 0), true, 1); // the neighbour takes "a" for deleted; the store has it
    fixture.other.recordConfirmation(50, Clock::now(), false);
    fixture.receiveNeighbourConfirmation();
    CHECK(fixture.own.behindPeer());
    CHECK(loop().run(fixture.follower->step()));
    STRCMP_EQUAL("listed 1", fixture.sink.updates.back().c_str());
    LONGS_EQUAL(2, fixture.api.lists);
}

// During an outage of the store, the last confirmations still spread. They must not end the retry delays of routers that found
// the store unreachable.
TEST(SharedFollower, AnExpiredConfirmationDoesNotEndTheRetryDelay)
{
    FollowerFixture fixture;
    fixture.start(loop());
    fixture.neighbourQueriesStore(loop());
    fixture.options.nonProberRetryDelay = Millis(60000);
    Follower<RecordingSink> follower(fixture.api, "k", fixture.sink, fixture.options);
    CHECK(loop().run(follower.step()));
    fixture.api.outage = true;
    fixture.api.watchLatency = Millis(1);
    std::optional<bool> ended;
    loop().start(runUntilStopped(follower), ended);
    loop().runUntil([&] {
        return fixture.api.watches == 1;
    });
    CHECK(loop().run(trueAfterDelay(Millis(20))));
    auto confirmation = *fixture.own.currentConfirmation();
    for (int i = 0; i < 20; ++i) {
        confirmation.at += Millis(1);
        fixture.own.receiveConfirmation(confirmation, neighbour, Clock::now());
        CHECK(loop().run(trueAfterDelay(Millis(5))));
    }
    LONGS_EQUAL(1, fixture.api.watches);
    follower.stop();
    loop().runUntil([&] {
        return ended.has_value();
    });
}

// Guards against one round of store calls per received datagram while two routers hold different objects and the store refuses calls.
TEST(SharedFollower, AnUnresolvedDifferenceIsNotFetchedAtEachConfirmation)
{
    FollowerFixture fixture;
    fixture.store.put("k", "a", 1, std::nullopt);
    fixture.start(loop());
    fixture.neighbourQueriesStore(loop());
    fixture.other.applyChange(object("a", 0), true, 1);
    fixture.other.recordConfirmation(50, Clock::now(), false);
    fixture.api.outage = true;
    for (int i = 0; i < 20; ++i) {
        fixture.receiveNeighbourConfirmation();
        if (fixture.own.behindPeer()) {
            CHECK(!loop().run(fixture.follower->step()));
        }
    }
    LONGS_EQUAL(1, fixture.source.fetches);
    CHECK(fixture.api.watches <= 2);
}

TEST(SharedFollower, ARouterThatHearsNobodyQueriesTheStoreItself)
{
    FollowerFixture fixture;
    fixture.rank = std::nullopt;
    fixture.store.put("k", "a", 1, std::nullopt);
    std::optional<bool> ended;
    loop().start(runUntilStopped(*fixture.follower), ended);
    loop().runUntil([&] {
        return fixture.api.watches >= 2;
    });
    fixture.store.put("k", "b", 1, std::nullopt);
    loop().runUntil([&] {
        return fixture.sink.updates.back() == "set b";
    });
    STRCMP_EQUAL("set b", fixture.sink.updates.back().c_str());
    fixture.follower->stop();
    loop().runUntil([&] {
        return ended.has_value();
    });
}

// A store that drops its history hides the changes of the second before from watches, and still reports its newest revision. A
// watch from that revision would never report them.
TEST(SharedFollower, ARevisionIsWatchedFromOnlyAfterItsMinimumAge)
{
    ReplicaSource source;
    SharedReplica r(
        "k",
        [](Clock::time_point) {
            return std::optional<std::size_t>(0);
        },
        source);
    const Clock::time_point now{std::chrono::hours(1)};
    r.applyListing(listing(10, {}), store::Freshness::Current, now);
    for (int i = 1; i <= 40; ++i) {
        r.recordConfirmation(10 + static_cast<uint64_t>(i), now + Millis(100 * i), false);
    }
    LONGS_EQUAL(10, r.watchFrom(now + Millis(2900)));
    const auto from = r.watchFrom(now + Millis(4000));
    CHECK(from > 10 && from <= 20); // confirmed at least 3 s ago
}

TEST(SharedFollower, ChangesAreFetchedOverHttp)
{
    ReplicaSource none;
    const auto hearsNobody = [](Clock::time_point) {
        return std::optional<std::size_t>();
    };
    SharedReplica held("k", hearsNobody, none);
    held.applyListing(listing(3, {object("a", 2)}), store::Freshness::Current, Clock::now());
    held.applyChange(object("b", 5, {{"deep", {1, 2}}}), false, 5);
    held.recordConfirmation(5, Clock::now(), true);
    replica::ChangeServer changes({&held});
    http::Server server({&loop().io}, "127.0.0.1", 0, [&](http::Exchange &ex) {
        return changes.handle(ex);
    });
    const http::Address at{"127.0.0.1", std::get<uint16_t>(server.start())};
    replica::ChangeClient client;
    const auto fetched = loop().run(client.fetch(at, "k", {0, 3}, replica::TransferLimit::Regular));
    CHECK(namesOf(std::get<Changes>(fetched)) == std::vector<std::string>{"b"});
    LONGS_EQUAL(410, std::get<Error>(loop().run(client.fetch(at, "k", {0, 2}, replica::TransferLimit::Regular))).code);
    LONGS_EQUAL(404, std::get<Error>(loop().run(client.fetch(at, "other", {0, 3}, replica::TransferLimit::Regular))).code);
    server.stopAccepting();
    const http::Address nobody{"127.0.0.1", 1};
    LONGS_EQUAL(503, std::get<Error>(loop().run(client.fetch(nobody, "k", {0, 3}, replica::TransferLimit::Regular))).code);
}
