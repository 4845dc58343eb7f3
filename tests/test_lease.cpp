// Leases and orders under pauses, lapses, races and lost answers, with the
// clock in the test's hand.
#include "engine_core.h"
#include "lease.h"
#include "local_object_api.h"
#include "orders.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace yucca;
using orders::Ack;
using orders::OrderResult;

namespace
{

constexpr Millis term{10000};

/// An engine that checks the fencing number of its orders, or ignores it.
struct FakeEngine {
    explicit FakeEngine(bool checks)
        : gate(checks)
    {
    }
    Task<Ack> take(orders::Order order, uint64_t fence)
    {
        const bool admitted = ok(gate.admit({order.kind, order.argument, fence, ""}));
        co_return admitted ? Ack::Applied : Ack::StaleFence;
    }
    engine::FencingGate gate;
};

} // namespace

TEST_GROUP(FencingLease)
{
    store::ObjectStore store;
    quarantine::RequestQuarantine quarantine;
    platform::LocalObjectApi api{store};
    lease::BootTime now{std::chrono::hours(1)};
    lease::BootClock clock = [this] {
        return now;
    };
    lease::Lease a{api, "duties", "a", term, clock};
    lease::Lease b{api, "duties", "b", term, clock};

    bool acquire(lease::Lease & l)
    {
        return runBlocking(l.acquireOrRenew());
    }
    // Lets b take over from a holder that no longer renews.
    void lapse()
    {
        CHECK_FALSE(acquire(b)); // sees a's record
        now += term;
        CHECK(acquire(b));
    }
    OrderResult carryOut(lease::Lease & l, const char *holder, const orders::Sender &sender)
    {
        orders::Desk desk(api, l, holder, sender, quarantine);
        return runBlocking(desk.carryOut({"engine-1", "load_model", "counsel-v2", "load.1"}));
    }
    static orders::Sender senderTo(FakeEngine & engine)
    {
        return [&engine](orders::Order order, uint64_t fence) {
            return engine.take(order, fence);
        };
    }
};

TEST(FencingLease, OneHolderAtATimeAndAHigherNumberForEachNext)
{
    CHECK(acquire(a));
    LONGS_EQUAL(1, a.fence());
    CHECK_FALSE(acquire(b));
    now += term / 2;
    CHECK(acquire(a)); // renewed: b must wait for a whole term again
    now += term / 2 + Millis(1);
    CHECK_FALSE(acquire(b));
    now += term;
    CHECK(acquire(b));
    LONGS_EQUAL(2, b.fence());
    CHECK_FALSE(a.held());
}

TEST(FencingLease, APausedHolderKnowsOnWakingThatItsTimeIsOver)
{
    CHECK(acquire(a));
    lapse();
    CHECK_FALSE(a.held()); // by its own clock, before it hears of b
    CHECK(b.held());
}

TEST(FencingLease, AHolderStopsBeforeAnotherMayStart)
{
    CHECK(acquire(a));
    CHECK_FALSE(acquire(b));
    for (; a.held(); now += Millis(100)) {
        CHECK_FALSE(acquire(b));
    }
    CHECK_FALSE(acquire(b)); // the margin between the two
}

TEST(FencingLease, ALostAnswerOfTheAcquisitionIsRecognised)
{
    api.loseAnswers = 1;
    CHECK(acquire(a));
    CHECK(a.held());
    CHECK_FALSE(acquire(b));
}

TEST(FencingLease, AStoreOutageEndsTheLeaseWithItsTerm)
{
    CHECK(acquire(a));
    api.outage = true;
    now += term / 2;
    CHECK(acquire(a)); // could not renew, but the term still runs
    now += term / 2;
    CHECK_FALSE(acquire(a));
}

TEST(FencingLease, AReleasedLeaseIsFreeAtOnceAndNumbersGoOn)
{
    CHECK(acquire(a));
    runBlocking(a.release());
    CHECK(acquire(b));
    LONGS_EQUAL(2, b.fence());
}

TEST(FencingLease, AnOrderActsOnceThoughTwoHoldersSendIt)
{
    for (const bool checks : {true, false}) {
        store::ObjectStore fresh;
        store = fresh;
        FakeEngine engine(checks);
        lease::Lease first{api, "duties", "first", term, clock};
        lease::Lease second{api, "duties", "second", term, clock};
        CHECK(acquire(first));
        CHECK(carryOut(first, "first", senderTo(engine)) == OrderResult::Applied);
        runBlocking(first.release());
        CHECK(acquire(second));
        CHECK(carryOut(second, "second", senderTo(engine)) == OrderResult::Applied); // known from the record
        LONGS_EQUAL(1, engine.gate.applied().size());
    }
}

TEST(FencingLease, AHolderPausedBetweenClaimAndSendDoesNotSend)
{
    FakeEngine engine(false); // ignores the number: only the holder's own care helps
    CHECK(acquire(a));
    CHECK_FALSE(acquire(b));
    // The claim's write takes so long that the lease lapses and b takes it.
    struct PausingApi : platform::LocalObjectApi {
        using LocalObjectApi::LocalObjectApi;
        Task<Result<platform::Object>> put(std::string kind, std::string name, nlohmann::json value, std::optional<uint64_t> ifVersion) override
        {
            auto written = co_await LocalObjectApi::put(kind, name, value, ifVersion);
            if (kind == orders::recordKind) {
                *pausedNow += term;
            }
            co_return std::move(written);
        }
        lease::BootTime *pausedNow = nullptr;
    };
    PausingApi pausing(store);
    pausing.pausedNow = &now;
    orders::Desk desk(pausing, a, "a", senderTo(engine), quarantine);
    CHECK(runBlocking(desk.carryOut({"engine-1", "load_model", "counsel-v2", "load.1"})) == OrderResult::NotHolder);
    LONGS_EQUAL(0, engine.gate.applied().size());
    CHECK(acquire(b));
    CHECK(carryOut(b, "b", senderTo(engine)) == OrderResult::Applied); // the claim was given back
    LONGS_EQUAL(1, engine.gate.applied().size());
}

TEST(FencingLease, AHolderPausedWhileSendingLeavesTheOrderToNobodyElse)
{
    FakeEngine engine(false);
    CHECK(acquire(a));
    CHECK_FALSE(acquire(b));
    // a is frozen with the order on the wire; b takes over and wants it too.
    OrderResult taken = OrderResult::Applied;
    const orders::Sender frozen = [&](orders::Order order, uint64_t fence) -> Task<Ack> {
        now += term;
        CHECK(co_await b.acquireOrRenew());
        orders::Desk desk(api, b, "b", senderTo(engine), quarantine);
        taken = co_await desk.carryOut(order);
        co_return co_await engine.take(order, fence); // a wakes: its bytes arrive late
    };
    CHECK(carryOut(a, "a", frozen) == OrderResult::Applied);
    CHECK(taken == OrderResult::Pending);
    LONGS_EQUAL(1, engine.gate.applied().size());
}

TEST(FencingLease, AnOrdersRecordIsNotAmongThoseThatAreSweptAway)
{
    // Swept with the callers' records after a day, it would let the next
    // holder send the order a second time.
    FakeEngine engine(false);
    CHECK(acquire(a));
    CHECK(carryOut(a, "a", senderTo(engine)) == OrderResult::Applied);
    LONGS_EQUAL(0, store.list(idempotency::recordKind).items.size());
}

TEST(FencingLease, AnOrderWhoseAnswerIsLostIsNotSentAgain)
{
    FakeEngine engine(false);
    CHECK(acquire(a));
    const orders::Sender lossy = [&](orders::Order order, uint64_t fence) -> Task<Ack> {
        co_await engine.take(order, fence);
        co_return Ack::Unknown;
    };
    CHECK(carryOut(a, "a", lossy) == OrderResult::Pending);
    CHECK(carryOut(a, "a", lossy) == OrderResult::Pending);
    LONGS_EQUAL(1, engine.gate.applied().size());
}

TEST(FencingLease, AHolderStopsAndNumbersGoOnWhenTheStoreReturnsFromACopyWithoutItsRecord)
{
    const auto copy = store.copy();
    CHECK(acquire(a));
    const auto before = a.fence();
    store.restore(copy);
    CHECK_FALSE(acquire(b)); // a may still believe that it holds it
    CHECK_FALSE(acquire(a));
    CHECK_FALSE(a.held());
    now += term;
    CHECK(acquire(b));
    CHECK(b.fence() > before);
    CHECK_FALSE(acquire(a));
}

TEST(FencingLease, ALeaseThatTheCopyHasAsReleasedIsNotTakenBeforeItsLastHoldersTermIsOver)
{
    CHECK(acquire(a));
    runBlocking(a.release());
    const auto copy = store.copy();
    CHECK(acquire(a));
    const auto before = a.fence();
    store.restore(copy);
    CHECK_FALSE(acquire(b));
    now += term;
    CHECK(acquire(b));
    CHECK(b.fence() > before);
}

TEST(FencingLease, ARenewalThatMeetsALaterEpochDoesNotHoldTheLease)
{
    CHECK(acquire(a));
    const auto copy = store.copy();
    store.restore(copy); // the record stands at the same version
    CHECK_FALSE(acquire(a));
    CHECK_FALSE(a.held());
}

TEST(FencingLease, TwoReturnsInARowGiveNoNumberTwice)
{
    const auto copy = store.copy();
    std::set<uint64_t> numbers;
    for (int round = 0; round < 3; ++round) {
        for (int tries = 0; !acquire(a) && tries < 5; ++tries) {
            now += term;
        }
        CHECK(a.held());
        CHECK(numbers.insert(a.fence()).second);
        store.restore(copy);
    }
}
