// The in-memory object store: versions, conditional writes and watches.
#include "memory_store.h"

#include <CppUTest/TestHarness.h>

using namespace yucca;

TEST_GROUP(ObjectStore){};

TEST(ObjectStore, CreateOnlyPutOfExistingObjectConflicts)
{
    store::ObjectStore s;
    CHECK(ok(s.put("k", "a", 1, 0)));
    auto again = s.put("k", "a", 2, 0);
    CHECK_FALSE(ok(again));
    LONGS_EQUAL(store::Conflict, std::get<Error>(again).code);
}

TEST(ObjectStore, ConditionalPutWithOldVersionConflicts)
{
    store::ObjectStore s;
    auto v1 = std::get<store::Object>(s.put("k", "a", 1, 0)).version;
    auto v2 = std::get<store::Object>(s.put("k", "a", 2, v1)).version;
    CHECK(v2 > v1);
    LONGS_EQUAL(store::Conflict, std::get<Error>(s.put("k", "a", 3, v1)).code);
    LONGS_EQUAL(2, std::get<store::Object>(s.get("k", "a")).value.get<int>());
}

TEST(ObjectStore, WatchFromOldRevisionReturnsEveryLaterChange)
{
    store::ObjectStore s;
    s.put("k", "a", 1, std::nullopt);
    auto from = s.revision();
    s.put("k", "b", 2, std::nullopt);
    s.remove("k", "a", std::nullopt);
    auto b = std::get<store::WatchBatch>(s.since(from));
    LONGS_EQUAL(2, b.events.size());
    CHECK(b.events[1].deleted);
}

TEST(ObjectStore, WatchFromBeforeTheKeptHistoryIsGone)
{
    store::ObjectStore s(2);
    for (int i = 0; i < 5; ++i) {
        s.put("k", "a", i, std::nullopt);
    }
    auto r = s.since(1);
    CHECK_FALSE(ok(r));
    LONGS_EQUAL(store::Gone, std::get<Error>(r).code);
}

TEST(ObjectStore, WatchOfOneKindSkipsOthersAndAdvancesPastThem)
{
    store::ObjectStore s;
    s.put("idem", "r1", 1, std::nullopt);
    s.put("workspace", "ws-0", 2, std::nullopt);
    s.put("idem", "r2", 3, std::nullopt);
    auto b = std::get<store::WatchBatch>(s.since(0, {"workspace"}));
    LONGS_EQUAL(1, b.events.size());
    LONGS_EQUAL(3, b.revision);
}
