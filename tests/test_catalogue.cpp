// The catalogue of a router: validation of entries, a view that late, repeated or
// re-listed changes never move back to an older version, and the audit records of changes.
#include "catalogue.h"
#include "ctl.h"
#include "local_object_api.h"
#include "router_control.h"

#include <CppUTest/TestHarness.h>

using namespace yucca;

namespace
{
store::Object object(const char *name, uint64_t version, const char *owner)
{
    return {catalogue::workspaceKind, name, version, {{"owner", owner}, {"class", "counsel"}}};
}
} // namespace

TEST_GROUP(InvariantCatalogue){};

TEST(InvariantCatalogue, OlderEventThatArrivesLateIsIgnored)
{
    catalogue::View v;
    CHECK(v.apply(object("ws-0", 5, "new"), false));
    CHECK_FALSE(v.apply(object("ws-0", 3, "old"), false));
    STRCMP_EQUAL("new", v.state().workspace("ws-0")->owner.c_str());
}

TEST(InvariantCatalogue, OlderWriteDoesNotUndoADeletion)
{
    catalogue::View v;
    v.apply(object("ws-0", 4, "a"), false);
    v.apply(object("ws-0", 6, "a"), true);
    CHECK_FALSE(v.apply(object("ws-0", 5, "b"), false));
    CHECK_FALSE((v.state().workspace("ws-0") != nullptr));
}

TEST(InvariantCatalogue, ListingAfterAWatchGapDropsDeletedEntriesAndUpdatesTheOthers)
{
    catalogue::View v;
    v.apply(object("ws-0", 2, "a"), false);
    v.apply(object("ws-1", 3, "a"), false);
    store::Listing l;
    l.revision = 10;
    l.items.push_back(object("ws-1", 9, "b")); // ws-0 was deleted during the gap
    v.applyListing(catalogue::workspaceKind, l);
    CHECK_FALSE((v.state().workspace("ws-0") != nullptr));
    STRCMP_EQUAL("b", v.state().workspace("ws-1")->owner.c_str());
    LONGS_EQUAL(10, v.state().revision);
}

TEST(InvariantCatalogue, InvalidEntryIsReportedWithEveryProblem)
{
    Findings f;
    catalogue::parseWorkspace(nlohmann::json{{"class", 3}, {"limits", {{"maxInflight", -1}}}, {"colour", "red"}}, "/0/value", f);
    LONGS_EQUAL(4, f.items().size()); // class type, maxInflight range, unknown key, owner required
}

TEST(InvariantCatalogue, OperatorsRacingOnOneEntryCannotOverwriteEachOther)
{
    store::ObjectStore s;
    auto v = std::get<store::Object>(s.put(catalogue::workspaceKind, "ws-0", {{"owner", "a"}}, 0)).version;
    CHECK(ok(s.put(catalogue::workspaceKind, "ws-0", {{"owner", "alice"}}, v)));
    auto bob = s.put(catalogue::workspaceKind, "ws-0", {{"owner", "bob"}}, v); // based on the same version as alice's write
    LONGS_EQUAL(store::Conflict, std::get<Error>(bob).code);
    STRCMP_EQUAL("alice", std::get<store::Object>(s.get(catalogue::workspaceKind, "ws-0")).value["owner"].get<std::string>().c_str());
}

TEST(InvariantCatalogue, InvalidEntryLeavesTheLastValidOneInEffect)
{
    int rejected = 0;
    catalogue::View v([&](const std::string &entry, const Findings &) {
        STRCMP_EQUAL("workspace/ws-0", entry.c_str());
        ++rejected;
    });
    v.apply(object("ws-0", 1, "good"), false);
    v.apply({catalogue::workspaceKind, "ws-0", 2, {{"owner", 7}}}, false);
    STRCMP_EQUAL("good", v.state().workspace("ws-0")->owner.c_str());
    LONGS_EQUAL(1, rejected);
}

TEST_GROUP(InvariantCatalogueRouter)
{
    store::ObjectStore store{8};
    platform::LocalObjectApi api{store};
    router::RoutingTable table;
    settings::RouterSettings s;
    router::Control control{s, api, table};

    bool step()
    {
        return runBlocking(control.step());
    }
    void put(const char *owner)
    {
        store.put(catalogue::workspaceKind, "ws-0", {{"owner", owner}, {"class", "counsel"}}, std::nullopt);
    }
    std::string owner()
    {
        const auto snapshot = control.snapshot();
        const auto *w = snapshot->workspace("ws-0");
        return w ? w->owner : "";
    }
};

TEST(InvariantCatalogueRouter, OutageKeepsTheCatalogueAndTheNextStepAppliesTheChange)
{
    put("before");
    CHECK(step());
    put("during"); // the store accepts the change and fails before the router reads it
    api.outage = true;
    for (int i = 0; i < 5; ++i) {
        CHECK_FALSE(step());
        STRCMP_EQUAL("before", owner().c_str());
    }
    api.outage = false;
    CHECK(step());
    STRCMP_EQUAL("during", owner().c_str());
}

TEST(InvariantCatalogueRouter, WatchGapIsClosedByAListing)
{
    put("before");
    CHECK(step());
    for (int i = 0; i < 20; ++i) {
        store.put("idem", "r" + std::to_string(i), 1, std::nullopt); // pushes the change out of the watch history
        if (i == 5) {
            put("in the gap");
        }
    }
    CHECK(step()); // the watch fails with Gone
    CHECK(step()); // the follower lists
    STRCMP_EQUAL("in the gap", owner().c_str());
}

TEST(InvariantCatalogueRouter, StartingRouterLoadsTheCurrentEntries)
{
    put("old");
    put("new");
    CHECK(step());
    STRCMP_EQUAL("new", owner().c_str());
}

TEST(InvariantCatalogueRouter, CatalogueOfSeveralPagesIsListedCompletely)
{
    for (int i = 0; i < 1201; ++i) {
        store.put(catalogue::workspaceKind, "w" + std::to_string(i), {{"owner", "o"}, {"class", "c"}}, std::nullopt);
    }
    CHECK(step());
    LONGS_EQUAL(1201, control.snapshot()->workspaces.size());
}

TEST_GROUP(AuditTrail)
{
    store::ObjectStore store;
    platform::LocalObjectApi api{store};

    ctl::Change change(const char *owner, std::optional<uint64_t> ifVersion = std::nullopt)
    {
        ctl::Entry e{catalogue::workspaceKind, "ws-0", {{"owner", owner}, {"class", "counsel"}}, ifVersion};
        return runBlocking(ctl::applyEntry(api, e, {"alice", "test"}));
    }
    std::vector<std::string> outcomes()
    {
        std::vector<std::string> out;
        const auto lines = runBlocking(ctl::history(api, catalogue::workspaceKind, "ws-0"));
        for (const auto &line : std::get<std::vector<ctl::AuditLine>>(lines)) {
            out.push_back(line.outcome);
        }
        return out;
    }
};

TEST(AuditTrail, AcceptedChangeHasAnAuditRecordAlsoAfterLostAnswers)
{
    CHECK(change("a").result == ctl::ChangeResult::Applied);
    api.loseResponses = 2; // the answers to the audit record's write and to the change itself
    CHECK(change("b").result == ctl::ChangeResult::Applied);
    CHECK((outcomes() == std::vector<std::string>{"accepted", "accepted"}));
}

TEST(AuditTrail, LostRaceWritesNothingAndIsReported)
{
    const auto version = change("a").version;
    change("b");
    const auto lost = change("c", version);
    CHECK(lost.result == ctl::ChangeResult::LostRace);
    STRCMP_EQUAL("b", std::get<store::Object>(store.get(catalogue::workspaceKind, "ws-0")).value["owner"].get<std::string>().c_str());
}

TEST(AuditTrail, ChangeCountsAsAcceptedWhenTheProgramDiedAfterTheWrite)
{
    change("a");
    // The state that the program leaves when it dies between the change and the update of the audit record.
    auto listed = store.list(catalogue::auditKind);
    auto record = listed.items[0];
    record.value["outcome"] = "proposed";
    store.put(catalogue::auditKind, record.name, record.value, std::nullopt);
    CHECK((outcomes() == std::vector<std::string>{"accepted"}));
}

TEST(AuditTrail, ChangeFailsWhenNoAuditRecordCanBeWritten)
{
    change("a");
    api.outage = true;
    CHECK(change("b").result == ctl::ChangeResult::Failed);
    api.outage = false;
    STRCMP_EQUAL("a", std::get<store::Object>(store.get(catalogue::workspaceKind, "ws-0")).value["owner"].get<std::string>().c_str());
}

namespace
{

/// An object API whose store is restored from a backup right before or after the audit record of a change is written.
class RestoringApi : public platform::LocalObjectApi
{
public:
    RestoringApi(store::ObjectStore &store, store::ObjectStore::Backup backup, bool beforeRecord)
        : LocalObjectApi(store)
        , m_store(store)
        , m_backup(std::move(backup))
        , m_beforeRecord(beforeRecord)
    {
    }
    Task<Result<store::Object>> put(std::string kind, std::string name, nlohmann::json value, std::optional<uint64_t> ifVersion) override
    {
        const bool restores = kind == catalogue::auditKind && !std::exchange(m_restored, true);
        if (restores && m_beforeRecord) {
            m_store.restore(m_backup);
        }
        auto written = co_await LocalObjectApi::put(kind, name, std::move(value), ifVersion);
        if (restores && !m_beforeRecord) {
            m_store.restore(m_backup);
        }
        co_return written;
    }

private:
    store::ObjectStore &m_store;
    store::ObjectStore::Backup m_backup;
    bool m_beforeRecord;
    bool m_restored = false;
};

} // namespace

// The version that was read belongs to another change after the restore.
TEST(AuditTrail, ChangeThatCrossesARestoreOfTheStoreIsNotReportedAsApplied)
{
    for (const bool beforeRecord : {true, false}) {
        store::ObjectStore restored;
        const nlohmann::json other{{"owner", "other"}, {"class", "counsel"}};
        const auto version = std::get<store::Object>(restored.put(catalogue::workspaceKind, "ws-0", other, std::nullopt)).version;
        const auto backup = restored.backup();
        restored = store::ObjectStore();
        const nlohmann::json read{{"owner", "a"}, {"class", "counsel"}};
        LONGS_EQUAL(version, std::get<store::Object>(restored.put(catalogue::workspaceKind, "ws-0", read, std::nullopt)).version);
        RestoringApi restoringApi(restored, backup, beforeRecord);
        const ctl::Entry entry{catalogue::workspaceKind, "ws-0", {{"owner", "b"}, {"class", "counsel"}}, std::nullopt};
        const auto result = runBlocking(ctl::applyEntry(restoringApi, entry, {"alice", "test"})).result;
        CHECK(result == (beforeRecord ? ctl::ChangeResult::LostRace : ctl::ChangeResult::Unknown));
        const auto owner = std::get<store::Object>(restored.get(catalogue::workspaceKind, "ws-0")).value["owner"].get<std::string>();
        STRCMP_EQUAL(beforeRecord ? "other" : "b", owner.c_str());
    }
}
