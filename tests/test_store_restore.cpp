// Tests of a store that is restored from a backup: later writes are lost, and the revisions after the backup are assigned again.
#include "control_fixture.h"
#include "follower_fixture.h"

// CppUTest goes last: its memory-leak macros redefine operator new.
#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;

namespace
{

constexpr int stepsToConverge = 4; ///< a listing and a watch, each once more

void converge(Loop &loop, FollowerFixture &fixture)
{
    for (int i = 0; i < stepsToConverge; ++i) {
        loop.run(fixture.follower->step());
    }
}

bool recorded(const RecordingSink &sink, const std::string &updates)
{
    return std::find(sink.updates.begin(), sink.updates.end(), updates) != sink.updates.end();
}

} // namespace

LOOP_GROUP(StoreRestore);

TEST(StoreRestore, WritesUnderAReassignedRevisionTakeEffect)
{
    FollowerFixture fixture;
    fixture.rank = std::nullopt;
    fixture.store.put("k", "a", 1, std::nullopt);
    const auto backup = fixture.store.backup();
    fixture.store.put("k", "b", 1, std::nullopt);
    fixture.store.put("k", "c", 1, std::nullopt);
    converge(loop(), fixture);
    fixture.store.restore(backup);
    fixture.store.put("k", "x", 1, std::nullopt);
    fixture.store.put("k", "b", 1, std::nullopt);
    fixture.store.put("k", "c", 1, std::nullopt);
    fixture.sink.updates.clear();
    converge(loop(), fixture);
    CHECK(recorded(fixture.sink, "listed 4") || recorded(fixture.sink, "set x"));
}

namespace
{

nlohmann::json leavingEntryAt(const std::string &address)
{
    auto entry = endpointEntryAt(address);
    entry["state"] = "draining";
    return entry;
}

} // namespace

TEST(StoreRestore, ADrainingEndpointIsNotUsedAgainWhenTheBackupListsItAsReady)
{
    ControlFixture fixture;
    fixture.start(loop());
    const auto backup = fixture.store.backup();
    fixture.store.put("servers", "i-north", leavingEntryAt("10.0.0.1:80"), std::nullopt);
    CHECK(loop().run(fixture.control.stepEndpoints()));
    CHECK((fixture.placementTargets() == std::set<std::string>{"i-south"}));
    fixture.store.restore(backup);
    for (int i = 0; i < stepsToConverge; ++i) {
        loop().run(fixture.control.stepEndpoints());
        CHECK((fixture.placementTargets() == std::set<std::string>{"i-south"}));
    }
}

TEST(StoreRestore, AConfirmationFromBeforeTheRestoreNeitherConfirmsNorRaisesTheRevision)
{
    FollowerFixture fixture;
    fixture.store.put("k", "a", 1, std::nullopt);
    const auto backup = fixture.store.backup();
    fixture.neighbourQueriesStore(loop());
    fixture.start(loop());
    fixture.store.put("j", "other", 1, std::nullopt); // raises the revision without a change of this kind
    fixture.store.put("j", "other", 2, std::nullopt);
    fixture.neighbourQueriesStore(loop());
    const auto confirmation = *fixture.other.currentConfirmation();
    fixture.store.restore(backup);
    fixture.rank = std::nullopt;
    converge(loop(), fixture);
    const auto confirmedAt = fixture.own.confirmedAt();
    fixture.own.receiveConfirmation({"k", confirmation.revision, confirmation.digest, Clock::now() + std::chrono::seconds(1), confirmation.epoch}, neighbour,
                                    Clock::now());
    CHECK(fixture.own.confirmedAt() == confirmedAt);
    fixture.store.put("k", "x", 1, std::nullopt);
    converge(loop(), fixture);
    CHECK(recorded(fixture.sink, "set x") || recorded(fixture.sink, "listed 2"));
}

TEST(StoreRestore, ARouterThatTheStoreRefusesFetchesTheLaterEpochFromItsNeighbour)
{
    FollowerFixture fixture;
    fixture.store.put("k", "a", 1, std::nullopt);
    const auto backup = fixture.store.backup();
    fixture.store.put("k", "lost", 1, std::nullopt);
    fixture.neighbourQueriesStore(loop());
    fixture.start(loop());
    fixture.api.outage = true;
    fixture.store.restore(backup);
    fixture.store.put("k", "b", 1, std::nullopt);
    for (int i = 0; i < stepsToConverge; ++i) {
        fixture.neighbourQueriesStore(loop());
    }
    fixture.receiveNeighbourConfirmation();
    CHECK(loop().run(fixture.follower->step()));
    CHECK(recorded(fixture.sink, "restored"));
    CHECK(recorded(fixture.sink, "listed 2"));
    CHECK(fixture.own.currentConfirmation()->digest == fixture.other.currentConfirmation()->digest);
    CHECK(fixture.own.currentConfirmation()->epoch == 1);
}

TEST(StoreRestore, ALaterEpochThatTheNeighbourDoesNotServeIsListed)
{
    FollowerFixture fixture;
    fixture.store.put("k", "a", 1, std::nullopt);
    const auto backup = fixture.store.backup();
    fixture.neighbourQueriesStore(loop());
    fixture.start(loop());
    fixture.store.restore(backup);
    fixture.store.put("k", "b", 1, std::nullopt);
    for (int i = 0; i < stepsToConverge; ++i) {
        fixture.neighbourQueriesStore(loop());
    }
    fixture.source.peer = nullptr;
    fixture.receiveNeighbourConfirmation();
    CHECK(loop().run(fixture.follower->step()));
    CHECK(recorded(fixture.sink, "listed 2"));
}

TEST(StoreRestore, TwoSuccessiveRestoresAreFollowedByARouterThatMissedTheFirst)
{
    FollowerFixture fixture;
    fixture.rank = std::nullopt;
    fixture.store.put("k", "a", 1, std::nullopt);
    const auto first = fixture.store.backup();
    fixture.store.put("k", "b", 1, std::nullopt);
    converge(loop(), fixture);
    fixture.api.outage = true;
    fixture.store.restore(first);
    fixture.store.put("k", "c", 1, std::nullopt);
    const auto second = fixture.store.backup();
    fixture.store.put("k", "d", 1, std::nullopt);
    loop().run(fixture.follower->step());
    fixture.store.restore(second);
    fixture.store.put("k", "e", 1, std::nullopt);
    fixture.api.outage = false;
    fixture.sink.updates.clear();
    converge(loop(), fixture);
    CHECK(recorded(fixture.sink, "listed 3"));
    fixture.store.put("k", "f", 1, std::nullopt);
    converge(loop(), fixture);
    CHECK(recorded(fixture.sink, "set f"));
}

TEST(StoreRestore, ARouterStartedAfterTheRestoreAppliesWhatIsWrittenAgain)
{
    FollowerFixture fixture;
    fixture.rank = std::nullopt;
    fixture.store.put("k", "a", 1, std::nullopt);
    const auto backup = fixture.store.backup();
    fixture.store.put("k", "b", 1, std::nullopt);
    fixture.store.restore(backup);
    converge(loop(), fixture);
    CHECK(recorded(fixture.sink, "listed 1"));
    CHECK(!recorded(fixture.sink, "restored"));
    fixture.store.put("k", "b", 1, std::nullopt);
    converge(loop(), fixture);
    CHECK(recorded(fixture.sink, "set b"));
}

TEST(StoreRestore, AFollowerWithARestorePauseListsOnlyAfterIt)
{
    FollowerFixture fixture;
    fixture.options.sharedReplica = nullptr;
    fixture.options.relistDelayAfterRestore = Millis(30);
    fixture.follower = std::make_unique<Follower<RecordingSink>>(fixture.api, "k", fixture.sink, fixture.options);
    const auto backup = fixture.store.backup();
    fixture.store.put("k", "a", 1, std::nullopt);
    converge(loop(), fixture);
    fixture.store.restore(backup);
    fixture.sink.updates.clear();
    CHECK(loop().run(fixture.follower->step()));
    CHECK(loop().run(fixture.follower->step()) || true);
    CHECK(!recorded(fixture.sink, "listed 0"));
    fixture.store.put("k", "a", 1, std::nullopt);
    converge(loop(), fixture);
    CHECK(recorded(fixture.sink, "listed 1"));
    CHECK(!recorded(fixture.sink, "listed 0"));
}

TEST(StoreRestore, AnOlderConfigurationIsNotApplied)
{
    ControlFixture fixture;
    fixture.start(loop());
    Findings findings;
    fixture.published.apply(*platform::ObjectCodec::configuration(entryConfiguration(7), findings));
    fixture.published.apply(*platform::ObjectCodec::configuration(entryConfiguration(3), findings));
    LONGS_EQUAL(7, fixture.published.configuration()->version);
}

TEST(StoreRestore, ARemovedEndpointListedByTheBackupIsUnusedUntilItIsKnownToRun)
{
    ControlFixture fixture;
    fixture.start(loop());
    const auto backup = fixture.store.backup();
    fixture.store.remove("servers", "i-north", std::nullopt);
    CHECK(loop().run(fixture.control.stepEndpoints()));
    CHECK((fixture.placementTargets() == std::set<std::string>{"i-south"}));
    fixture.store.restore(backup);
    for (int i = 0; i < stepsToConverge; ++i) {
        loop().run(fixture.control.stepEndpoints());
    }
    CHECK((fixture.placementTargets() == std::set<std::string>{"i-south"}));
    fixture.published.endExpiredRetention(Clock::now() + entry::restoreSettleTime);
    CHECK((fixture.placementTargets() == std::set<std::string>{"i-north", "i-south"}));
}

// The endpoint's entry had expired although it was running. Its heartbeat writes the entry after the restore.
TEST(StoreRestore, ARemovedEndpointThatWritesItsEntryAfterTheRestoreIsUsedAtOnce)
{
    for (const bool backupListsIt : {true, false}) {
        ControlFixture fixture;
        fixture.start(loop());
        auto backup = fixture.store.backup();
        fixture.store.remove("servers", "i-north", std::nullopt);
        CHECK(loop().run(fixture.control.stepEndpoints()));
        backup = backupListsIt ? backup : fixture.store.backup();
        fixture.store.restore(backup);
        for (int i = 0; i < stepsToConverge; ++i) {
            loop().run(fixture.control.stepEndpoints());
            CHECK((fixture.placementTargets() == std::set<std::string>{"i-south"}));
        }
        auto entry = endpointEntryAt("10.0.0.1:80");
        entry["zone"] = "north";
        fixture.store.put("servers", "i-north", entry, std::nullopt);
        CHECK(loop().run(fixture.control.stepEndpoints()));
        CHECK((fixture.placementTargets() == std::set<std::string>{"i-north", "i-south"}));
    }
}

TEST(StoreRestore, AnEndpointAddedAfterTheBackupIsKeptUntilItsEntryHasExpired)
{
    ControlFixture fixture;
    fixture.start(loop());
    const auto backup = fixture.store.backup();
    fixture.store.put("servers", "i-new", endpointEntryAt("10.0.0.3:80"), std::nullopt);
    CHECK(loop().run(fixture.control.stepEndpoints()));
    fixture.store.restore(backup);
    const std::set<std::string> all{"i-new", "i-north", "i-south"};
    for (int i = 0; i < stepsToConverge; ++i) {
        loop().run(fixture.control.stepEndpoints());
        CHECK(fixture.placementTargets() == all);
    }
    fixture.published.endExpiredRetention(Clock::now() + entry::expiredEntryRetention);
    CHECK((fixture.placementTargets() == std::set<std::string>{"i-north", "i-south"}));
}

TEST(StoreRestore, AnEvacuationLostByTheStoreStaysInForceUntilRewrittenOrMissingForLong)
{
    ControlFixture fixture;
    fixture.start(loop());
    CHECK(loop().run(fixture.control.stepEvacuations()));
    const auto backup = fixture.store.backup();
    const std::set<std::string> south{"i-south"};
    for (int round = 0; round < 2; ++round) { // the second restore follows right after the first
        fixture.store.put(platform::ObjectCodec::evacuationKind, "north", nlohmann::json::object(), std::nullopt);
        loop().run(fixture.control.stepEvacuations());
        fixture.store.restore(backup);
        for (int i = 0; i < stepsToConverge; ++i) {
            loop().run(fixture.control.stepEvacuations());
            CHECK(fixture.placementTargets() == south);
        }
    }
    fixture.published.endExpiredRetention(Clock::now() + entry::restoreSettleTime);
    CHECK(fixture.placementTargets() == south); // the store may not have answered since
    fixture.published.recordEvacuationsConfirmed(Clock::now() + entry::orderRewriteTime);
    CHECK((fixture.placementTargets() == std::set<std::string>{"i-north", "i-south"}));
}

TEST(StoreRestore, AnEvacuationRemovedAfterTheRestoreEndsAtOnce)
{
    ControlFixture fixture;
    fixture.start(loop());
    CHECK(loop().run(fixture.control.stepEvacuations()));
    fixture.store.put(platform::ObjectCodec::evacuationKind, "north", nlohmann::json::object(), std::nullopt);
    const auto backup = fixture.store.backup();
    fixture.store.remove(platform::ObjectCodec::evacuationKind, "north", std::nullopt);
    CHECK(loop().run(fixture.control.stepEvacuations()));
    fixture.store.restore(backup);
    for (int i = 0; i < stepsToConverge; ++i) {
        loop().run(fixture.control.stepEvacuations());
    }
    CHECK((fixture.placementTargets() == std::set<std::string>{"i-south"})); // the backup contains the evacuation
    fixture.store.remove(platform::ObjectCodec::evacuationKind, "north", std::nullopt);
    CHECK(loop().run(fixture.control.stepEvacuations()));
    CHECK((fixture.placementTargets() == std::set<std::string>{"i-north", "i-south"}));
}

TEST_GROUP(EvacuationOrders)
{
    const std::set<std::string> none;
    const std::set<std::string> north{"north"};
    const Clock::time_point start{std::chrono::hours(1)};
    entry::EvacuationOrders orders;
};

TEST(EvacuationOrders, ALostOrderEndsOnceTheStoreHasBeenBackForTheTimeInWhichItIsRewritten)
{
    orders.replaceListed(north);
    orders.recordRestore(start);
    orders.replaceListed(none);
    CHECK(!orders.recordConfirmation(start + entry::orderRewriteTime - Millis(1)));
    CHECK(orders.inEffect() == north);
    CHECK(orders.recordConfirmation(start + entry::orderRewriteTime));
    CHECK(orders.inEffect() == none);
}

// A router that is cut off cannot know whether the order was written again.
TEST(EvacuationOrders, ALostOrderStaysInEffectWithoutAConfirmation)
{
    orders.replaceListed(north);
    orders.recordRestore(start);
    orders.replaceListed(none);
    orders.replaceListed(none); // listed from a replica that may lag
    CHECK(orders.inEffect() == north);
}

TEST(EvacuationOrders, ARewrittenOrderIsKeptAndItsDeletionEndsIt)
{
    orders.replaceListed(north);
    orders.recordRestore(start);
    orders.replaceListed(none);
    orders.setListed("north", true);
    CHECK(!orders.recordConfirmation(start + entry::orderRewriteTime));
    CHECK(orders.inEffect() == north);
    orders.setListed("north", false);
    CHECK(orders.inEffect() == none);
}

// Operators could not write while the store was away, so a lost order is kept anew; but an order that ended is not.
TEST(EvacuationOrders, OfTwoRestoresInARowEachKeepsTheOrdersInEffectBeforeIt)
{
    const Millis between = entry::orderRewriteTime / 2;
    orders.replaceListed({"north", "south"});
    orders.recordRestore(start);
    orders.replaceListed(none);
    orders.setListed("south", true);
    orders.setListed("south", false); // revoked between the restores
    orders.recordRestore(start + between);
    orders.replaceListed(none);
    CHECK(!orders.recordConfirmation(start + entry::orderRewriteTime));
    CHECK(orders.inEffect() == north);
    CHECK(orders.recordConfirmation(start + between + entry::orderRewriteTime));
    orders.recordRestore(start + between + 2 * entry::orderRewriteTime);
    orders.replaceListed(none);
    CHECK(orders.inEffect() == none);
}

TEST(StoreRestore, OrdersRevokedAcrossTwoRestoresLeaveNoServiceWithoutEndpoints)
{
    ControlFixture fixture;
    fixture.start(loop());
    CHECK(loop().run(fixture.control.stepEvacuations()));
    const auto backup = fixture.store.backup();
    for (const char *domain : {"north", "south"}) {
        fixture.store.put(platform::ObjectCodec::evacuationKind, domain, nlohmann::json::object(), std::nullopt);
    }
    CHECK(loop().run(fixture.control.stepEvacuations()));
    for (int restores = 0; restores < 2; ++restores) {
        fixture.store.restore(backup); // the operators revoke both orders and find none
        for (int i = 0; i < stepsToConverge; ++i) {
            loop().run(fixture.control.stepEvacuations());
        }
    }
    CHECK((fixture.placementTargets() == std::set<std::string>{""}));
    fixture.published.recordEvacuationsConfirmed(Clock::now() + entry::orderRewriteTime);
    CHECK((fixture.placementTargets() == std::set<std::string>{"i-north", "i-south"}));
}
