// Tests of a store that is restored from an older copy: later writes are lost, and the revisions after the copy are assigned again.
#include "control_rig.h"
#include "follower_rig.h"

// CppUTest goes last: its memory-leak macros redefine operator new.
#include "loop_group.h"

using namespace yucca;
using namespace yucca::rig;

namespace
{

constexpr int stepsToConverge = 4; ///< a listing and a watch, each once more

void converge(Loop &loop, FollowerRig &rig)
{
    for (int i = 0; i < stepsToConverge; ++i) {
        loop.run(rig.follower->step());
    }
}

bool recorded(const RecordingSink &sink, const std::string &news)
{
    return std::find(sink.news.begin(), sink.news.end(), news) != sink.news.end();
}

} // namespace

LOOP_GROUP(StoreRestore);

TEST(StoreRestore, WritesUnderAReassignedRevisionTakeEffect)
{
    FollowerRig rig;
    rig.rank = std::nullopt;
    rig.store.put("k", "a", 1, std::nullopt);
    const auto copy = rig.store.copy();
    rig.store.put("k", "b", 1, std::nullopt);
    rig.store.put("k", "c", 1, std::nullopt);
    converge(loop(), rig);
    rig.store.restore(copy);
    rig.store.put("k", "x", 1, std::nullopt);
    rig.store.put("k", "b", 1, std::nullopt);
    rig.store.put("k", "c", 1, std::nullopt);
    rig.sink.news.clear();
    converge(loop(), rig);
    CHECK(recorded(rig.sink, "listed 4") || recorded(rig.sink, "set x"));
}

namespace
{

nlohmann::json leavingEntryAt(const std::string &address)
{
    auto entry = entryAt(address);
    entry["state"] = "draining";
    return entry;
}

} // namespace

TEST(StoreRestore, ADrainingEndpointIsNotUsedAgainWhenTheCopyListsItAsReady)
{
    ControlRig rig;
    rig.start(loop());
    const auto copy = rig.store.copy();
    rig.store.put("servers", "i-north", leavingEntryAt("10.0.0.1:80"), std::nullopt);
    CHECK(loop().run(rig.control.stepEndpoints()));
    CHECK((rig.takers() == std::set<std::string>{"i-south"}));
    rig.store.restore(copy);
    for (int i = 0; i < stepsToConverge; ++i) {
        loop().run(rig.control.stepEndpoints());
        CHECK((rig.takers() == std::set<std::string>{"i-south"}));
    }
}

TEST(StoreRestore, AConfirmationFromBeforeTheRestoreNeitherConfirmsNorRaisesTheRevision)
{
    FollowerRig rig;
    rig.store.put("k", "a", 1, std::nullopt);
    const auto copy = rig.store.copy();
    rig.neighbourQueriesStore(loop());
    rig.start(loop());
    rig.store.put("j", "other", 1, std::nullopt); // raises the revision without a change of this kind
    rig.store.put("j", "other", 2, std::nullopt);
    rig.neighbourQueriesStore(loop());
    const auto confirmation = *rig.other.currentConfirmation();
    rig.store.restore(copy);
    rig.rank = std::nullopt;
    converge(loop(), rig);
    const auto confirmedAt = rig.own.confirmedAt();
    rig.own.receiveConfirmation({"k", confirmation.revision, confirmation.digest, Clock::now() + std::chrono::seconds(1), confirmation.epoch}, neighbour,
                                Clock::now());
    CHECK(rig.own.confirmedAt() == confirmedAt);
    rig.store.put("k", "x", 1, std::nullopt);
    converge(loop(), rig);
    CHECK(recorded(rig.sink, "set x") || recorded(rig.sink, "listed 2"));
}

TEST(StoreRestore, ARouterThatTheStoreRefusesFetchesTheLaterEpochFromItsNeighbour)
{
    FollowerRig rig;
    rig.store.put("k", "a", 1, std::nullopt);
    const auto copy = rig.store.copy();
    rig.store.put("k", "lost", 1, std::nullopt);
    rig.neighbourQueriesStore(loop());
    rig.start(loop());
    rig.api.outage = true;
    rig.store.restore(copy);
    rig.store.put("k", "b", 1, std::nullopt);
    for (int i = 0; i < stepsToConverge; ++i) {
        rig.neighbourQueriesStore(loop());
    }
    rig.receiveNeighbourConfirmation();
    CHECK(loop().run(rig.follower->step()));
    CHECK(recorded(rig.sink, "restored"));
    CHECK(recorded(rig.sink, "listed 2"));
    CHECK(rig.own.currentConfirmation()->digest == rig.other.currentConfirmation()->digest);
    CHECK(rig.own.currentConfirmation()->epoch == 1);
}

TEST(StoreRestore, ALaterEpochThatTheNeighbourDoesNotServeIsListed)
{
    FollowerRig rig;
    rig.store.put("k", "a", 1, std::nullopt);
    const auto copy = rig.store.copy();
    rig.neighbourQueriesStore(loop());
    rig.start(loop());
    rig.store.restore(copy);
    rig.store.put("k", "b", 1, std::nullopt);
    for (int i = 0; i < stepsToConverge; ++i) {
        rig.neighbourQueriesStore(loop());
    }
    rig.source.peer = nullptr;
    rig.receiveNeighbourConfirmation();
    CHECK(loop().run(rig.follower->step()));
    CHECK(recorded(rig.sink, "listed 2"));
}

TEST(StoreRestore, TwoSuccessiveRestoresAreFollowedByARouterThatMissedTheFirst)
{
    FollowerRig rig;
    rig.rank = std::nullopt;
    rig.store.put("k", "a", 1, std::nullopt);
    const auto first = rig.store.copy();
    rig.store.put("k", "b", 1, std::nullopt);
    converge(loop(), rig);
    rig.api.outage = true;
    rig.store.restore(first);
    rig.store.put("k", "c", 1, std::nullopt);
    const auto second = rig.store.copy();
    rig.store.put("k", "d", 1, std::nullopt);
    loop().run(rig.follower->step());
    rig.store.restore(second);
    rig.store.put("k", "e", 1, std::nullopt);
    rig.api.outage = false;
    rig.sink.news.clear();
    converge(loop(), rig);
    CHECK(recorded(rig.sink, "listed 3"));
    rig.store.put("k", "f", 1, std::nullopt);
    converge(loop(), rig);
    CHECK(recorded(rig.sink, "set f"));
}

TEST(StoreRestore, ARouterStartedAfterTheRestoreAppliesWhatIsWrittenAgain)
{
    FollowerRig rig;
    rig.rank = std::nullopt;
    rig.store.put("k", "a", 1, std::nullopt);
    const auto copy = rig.store.copy();
    rig.store.put("k", "b", 1, std::nullopt);
    rig.store.restore(copy);
    converge(loop(), rig);
    CHECK(recorded(rig.sink, "listed 1"));
    CHECK(!recorded(rig.sink, "restored"));
    rig.store.put("k", "b", 1, std::nullopt);
    converge(loop(), rig);
    CHECK(recorded(rig.sink, "set b"));
}

TEST(StoreRestore, AFollowerWithARestorePauseListsOnlyAfterIt)
{
    FollowerRig rig;
    rig.options.shared = nullptr;
    rig.options.restorePause = Millis(30);
    rig.follower = std::make_unique<Follower<RecordingSink>>(rig.api, "k", rig.sink, rig.options);
    const auto copy = rig.store.copy();
    rig.store.put("k", "a", 1, std::nullopt);
    converge(loop(), rig);
    rig.store.restore(copy);
    rig.sink.news.clear();
    CHECK(loop().run(rig.follower->step()));
    CHECK(loop().run(rig.follower->step()) || true);
    CHECK(!recorded(rig.sink, "listed 0"));
    rig.store.put("k", "a", 1, std::nullopt);
    converge(loop(), rig);
    CHECK(recorded(rig.sink, "listed 1"));
    CHECK(!recorded(rig.sink, "listed 0"));
}

TEST(StoreRestore, AnOlderConfigurationIsNotApplied)
{
    ControlRig rig;
    rig.start(loop());
    Findings findings;
    rig.published.apply(*platform::ObjectCodec::configuration(entryConfiguration(7), findings));
    rig.published.apply(*platform::ObjectCodec::configuration(entryConfiguration(3), findings));
    LONGS_EQUAL(7, rig.published.configuration()->version);
}

TEST(StoreRestore, ARemovedEndpointListedByTheCopyIsUnusedUntilItIsKnownToRun)
{
    ControlRig rig;
    rig.start(loop());
    const auto copy = rig.store.copy();
    rig.store.remove("servers", "i-north", std::nullopt);
    CHECK(loop().run(rig.control.stepEndpoints()));
    CHECK((rig.takers() == std::set<std::string>{"i-south"}));
    rig.store.restore(copy);
    for (int i = 0; i < stepsToConverge; ++i) {
        loop().run(rig.control.stepEndpoints());
    }
    CHECK((rig.takers() == std::set<std::string>{"i-south"}));
    rig.published.dropLapsed(Clock::now() + entry::restoreSettles);
    CHECK((rig.takers() == std::set<std::string>{"i-north", "i-south"}));
}

TEST(StoreRestore, AnEndpointAddedAfterTheCopyIsKeptUntilItsEntryHasLapsed)
{
    ControlRig rig;
    rig.start(loop());
    const auto copy = rig.store.copy();
    rig.store.put("servers", "i-new", entryAt("10.0.0.3:80"), std::nullopt);
    CHECK(loop().run(rig.control.stepEndpoints()));
    rig.store.restore(copy);
    const std::set<std::string> all{"i-new", "i-north", "i-south"};
    for (int i = 0; i < stepsToConverge; ++i) {
        loop().run(rig.control.stepEndpoints());
        CHECK(rig.takers() == all);
    }
    rig.published.dropLapsed(Clock::now() + entry::lapsedKeptFor);
    CHECK((rig.takers() == std::set<std::string>{"i-north", "i-south"}));
}

TEST(StoreRestore, AnEvacuationLostByTheStoreStaysInForceUntilRewrittenOrMissingForLong)
{
    ControlRig rig;
    rig.start(loop());
    CHECK(loop().run(rig.control.stepEvacuations()));
    const auto copy = rig.store.copy();
    const std::set<std::string> south{"i-south"};
    for (int round = 0; round < 2; ++round) { // the second restore follows right after the first
        rig.store.put(platform::ObjectCodec::evacuationKind, "north", nlohmann::json::object(), std::nullopt);
        loop().run(rig.control.stepEvacuations());
        rig.store.restore(copy);
        for (int i = 0; i < stepsToConverge; ++i) {
            loop().run(rig.control.stepEvacuations());
            CHECK(rig.takers() == south);
        }
    }
    rig.published.dropLapsed(Clock::now() + entry::restoreSettles);
    CHECK((rig.takers() == std::set<std::string>{"i-north", "i-south"}));
}

TEST(StoreRestore, AnEvacuationRemovedAfterTheRestoreEndsAtOnce)
{
    ControlRig rig;
    rig.start(loop());
    CHECK(loop().run(rig.control.stepEvacuations()));
    rig.store.put(platform::ObjectCodec::evacuationKind, "north", nlohmann::json::object(), std::nullopt);
    const auto copy = rig.store.copy();
    rig.store.remove(platform::ObjectCodec::evacuationKind, "north", std::nullopt);
    CHECK(loop().run(rig.control.stepEvacuations()));
    rig.store.restore(copy);
    for (int i = 0; i < stepsToConverge; ++i) {
        loop().run(rig.control.stepEvacuations());
    }
    CHECK((rig.takers() == std::set<std::string>{"i-south"})); // the copy contains the evacuation
    rig.store.remove(platform::ObjectCodec::evacuationKind, "north", std::nullopt);
    CHECK(loop().run(rig.control.stepEvacuations()));
    CHECK((rig.takers() == std::set<std::string>{"i-north", "i-south"}));
}
