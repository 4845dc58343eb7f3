// The catalogue a router holds: checked entries, and a view that never
// moves back through late, repeated or re-listed changes.
#include "catalogue.h"

#include <CppUTest/TestHarness.h>

using namespace yucca;

namespace
{
store::Object entry(const char *name, uint64_t version, const char *owner)
{
    return {catalogue::workspaceKind, name, version, {{"owner", owner}, {"class", "counsel"}}};
}
} // namespace

TEST_GROUP(InvariantCatalogue){};

TEST(InvariantCatalogue, ALateOlderEventNeverRevertsAnAcceptedChange)
{
    catalogue::View v;
    CHECK(v.apply(entry("ws-0", 5, "new"), false));
    CHECK_FALSE(v.apply(entry("ws-0", 3, "old"), false));
    STRCMP_EQUAL("new", v.workspace("ws-0")->owner.c_str());
}

TEST(InvariantCatalogue, ADeletionIsNotUndoneByAnOlderWrite)
{
    catalogue::View v;
    v.apply(entry("ws-0", 4, "a"), false);
    v.apply(entry("ws-0", 6, "a"), true);
    CHECK_FALSE(v.apply(entry("ws-0", 5, "b"), false));
    CHECK_FALSE(v.workspace("ws-0").has_value());
}

TEST(InvariantCatalogue, AListingAfterAWatchGapDropsWhatWasDeletedAndKeepsNewer)
{
    catalogue::View v;
    v.apply(entry("ws-0", 2, "a"), false);
    v.apply(entry("ws-1", 3, "a"), false);
    store::Listing l;
    l.revision = 10;
    l.items.push_back(entry("ws-1", 9, "b")); // ws-0 was deleted in the gap
    v.applyListing(catalogue::workspaceKind, l);
    CHECK_FALSE(v.workspace("ws-0").has_value());
    STRCMP_EQUAL("b", v.workspace("ws-1")->owner.c_str());
    LONGS_EQUAL(10, v.revision());
}

TEST(InvariantCatalogue, ABadEntryIsRejectedWithEveryProblem)
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
    auto bob = s.put(catalogue::workspaceKind, "ws-0", {{"owner", "bob"}}, v); // read the same version
    LONGS_EQUAL(store::Conflict, std::get<Error>(bob).code);
    STRCMP_EQUAL("alice", std::get<store::Object>(s.get(catalogue::workspaceKind, "ws-0")).value["owner"].get<std::string>().c_str());
}
