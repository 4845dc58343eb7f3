// The logic of the emulated engine: prefix cache, decode slots, delayed load reports, fencing and the execution log.
#include "engine_core.h"

#include <CppUTest/TestHarness.h>

using namespace yucca;

TEST_GROUP(EngineEmulator){};

TEST(EngineEmulator, PrefixCacheMatchesLeadingBlocksAndEvictsLeastRecentlyUsed)
{
    engine::PrefixCache cache(3);
    cache.insert({1, 2, 3});
    LONGS_EQUAL(2, cache.match({1, 2, 9}));
    cache.insert({4}); // 3 is the least recently used
    LONGS_EQUAL(0, cache.match({3}));
    LONGS_EQUAL(2, cache.match({1, 2}));
    LONGS_EQUAL(3, cache.size());
}

TEST(EngineEmulator, ReportedLoadIsTheLoadOfOneLagAgo)
{
    engine::LoadHistory h(std::chrono::milliseconds(300));
    auto t0 = Clock::time_point{} + std::chrono::hours(1);
    h.record(t0, 1);
    h.record(t0 + std::chrono::milliseconds(100), 5);
    h.record(t0 + std::chrono::milliseconds(350), 9);
    LONGS_EQUAL(1, h.reported(t0 + std::chrono::milliseconds(350)));
    LONGS_EQUAL(5, h.reported(t0 + std::chrono::milliseconds(500)));
    LONGS_EQUAL(9, h.reported(t0 + std::chrono::milliseconds(700)));
}

TEST(EngineEmulator, BusySlotsAreCountedUntilReleased)
{
    engine::SlotPool slots(2, 4);
    CHECK(runBlocking(slots.acquire(0, Clock::time_point::max())));
    CHECK(runBlocking(slots.acquire(5, Clock::time_point::max())));
    LONGS_EQUAL(2, slots.busy());
    slots.release();
    LONGS_EQUAL(1, slots.busy());
}

TEST(EngineEmulator, SameSeedGivesSameAnswerTokens)
{
    CHECK(engine::answerTokens(7, 5) == engine::answerTokens(7, 5));
    CHECK(engine::answerTokens(7, 5) != engine::answerTokens(8, 5));
}

TEST_GROUP(EngineFencing){};

TEST(EngineFencing, CheckingEngineRejectsOrderWithOlderFencingToken)
{
    // A holds the lease with fencing token 4 and is paused; the lease expires and B acquires it with token 5. A then
    // resumes and sends its stale order.
    engine::FencingGate gate(true);
    CHECK(ok(gate.admit({"load_model", "counsel-v2", 5, "B"})));
    CHECK_FALSE(ok(gate.admit({"load_model", "counsel-v1", 4, "A"})));
    LONGS_EQUAL(1, gate.applied().size());
}

TEST(EngineFencing, NonCheckingEngineAppliesOrderWithOlderFencingToken)
{
    // This is why orders to engines that do not check the token must be idempotent.
    engine::FencingGate gate(false);
    CHECK(ok(gate.admit({"load_model", "counsel-v2", 5, "B"})));
    CHECK(ok(gate.admit({"load_model", "counsel-v1", 4, "A"})));
    LONGS_EQUAL(2, gate.applied().size());
}

TEST_GROUP(PlainService){};

TEST(PlainService, KeyExecutedTwiceIsListedAsDuplicate)
{
    engine::ExecutionLog log;
    log.execute("book", "k1");
    log.execute("book", "k2");
    log.execute("book", "k1");
    LONGS_EQUAL(3, log.total());
    LONGS_EQUAL(1, log.duplicates().size());
    STRCMP_EQUAL("k1", log.duplicates()[0].c_str());
}

TEST(EngineEmulator, PrefixCacheIsMovableButNotCopyable)
{
    // The index of a cache holds iterators into its list. Those of a copy would point into the original, which
    // crashed the benchmark.
    static_assert(!std::is_copy_constructible_v<engine::PrefixCache>);
    engine::PrefixCache a(4);
    a.insert({1, 2});
    engine::PrefixCache b(std::move(a));
    LONGS_EQUAL(2, b.match({1, 2}));
    b.insert({3, 4, 5});
    LONGS_EQUAL(4, b.size());
}
