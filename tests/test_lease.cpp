// Leases and orders under pauses, expiry, races, lost answers and restores of
// the store, with a simulated clock.
#include "engine_core.h"
#include "lease.h"
#include "local_object_api.h"
#include "orders.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace yucca;
using orders::OrderResult;
using orders::SendResult;

namespace
{

constexpr Millis leaseDuration{10000};

/// An engine that either checks or ignores the fencing token of its orders.
struct FakeEngine {
    explicit FakeEngine(bool checks)
        : gate(checks)
    {
    }
    Task<SendResult> take(orders::Order order, uint64_t fence)
    {
        const bool admitted = ok(gate.admit({order.kind, order.argument, fence, ""}));
        co_return admitted ? SendResult::Applied : SendResult::StaleFence;
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
    lease::Lease a{api, "duties", "a", leaseDuration, clock};
    lease::Lease b{api, "duties", "b", leaseDuration, clock};

    bool acquire(lease::Lease & l)
    {
        return runBlocking(l.acquireOrRenew());
    }
    // Expires the lease of a, which does not renew it, and lets b acquire it.
    void expireAndTakeOver()
    {
        CHECK_FALSE(acquire(b)); // b sees the record of a
        now += leaseDuration;
        CHECK(acquire(b));
    }
    OrderResult dispatch(lease::Lease & l, const char *holder, const orders::Sender &sender)
    {
        orders::Dispatcher dispatcher(api, l, holder, sender, quarantine);
        return runBlocking(dispatcher.dispatch({"engine-1", "load_model", "counsel-v2", "load.1"}));
    }
    static orders::Sender senderTo(FakeEngine & engine)
    {
        return [&engine](orders::Order order, uint64_t fence) {
            return engine.take(order, fence);
        };
    }
};

TEST(FencingLease, OneHolderAtATimeAndAHigherTokenForEachNext)
{
    CHECK(acquire(a));
    LONGS_EQUAL(1, a.fence());
    CHECK_FALSE(acquire(b));
    now += leaseDuration / 2;
    CHECK(acquire(a)); // renewed: b must wait for a whole duration again
    now += leaseDuration / 2 + Millis(1);
    CHECK_FALSE(acquire(b));
    now += leaseDuration;
    CHECK(acquire(b));
    LONGS_EQUAL(2, b.fence());
    CHECK_FALSE(a.held());
}

TEST(FencingLease, ResumedHolderSeesThatItsLeaseHasExpired)
{
    CHECK(acquire(a));
    expireAndTakeOver();
    CHECK_FALSE(a.held()); // by its own clock, without a call to the store
    CHECK(b.held());
}

TEST(FencingLease, HolderStopsBeforeAnotherMayAcquire)
{
    CHECK(acquire(a));
    CHECK_FALSE(acquire(b));
    for (; a.held(); now += Millis(100)) {
        CHECK_FALSE(acquire(b));
    }
    CHECK_FALSE(acquire(b)); // the safety margin
}

TEST(FencingLease, LostAnswerToTheAcquisitionIsResolvedByReadingBack)
{
    api.loseResponses = 1;
    CHECK(acquire(a));
    CHECK(a.held());
    CHECK_FALSE(acquire(b));
}

TEST(FencingLease, StoreOutageLetsTheLeaseExpire)
{
    CHECK(acquire(a));
    api.outage = true;
    now += leaseDuration / 2;
    CHECK(acquire(a)); // the renewal failed, but the lease has not expired
    now += leaseDuration / 2;
    CHECK_FALSE(acquire(a));
}

TEST(FencingLease, ReleasedLeaseIsFreeAtOnceAndTokensKeepRising)
{
    CHECK(acquire(a));
    runBlocking(a.release());
    CHECK(acquire(b));
    LONGS_EQUAL(2, b.fence());
}

TEST(FencingLease, OrderOfTwoSuccessiveHoldersIsAppliedOnce)
{
    for (const bool checks : {true, false}) {
        store::ObjectStore fresh;
        store = fresh;
        FakeEngine engine(checks);
        lease::Lease first{api, "duties", "first", leaseDuration, clock};
        lease::Lease second{api, "duties", "second", leaseDuration, clock};
        CHECK(acquire(first));
        CHECK(dispatch(first, "first", senderTo(engine)) == OrderResult::Applied);
        runBlocking(first.release());
        CHECK(acquire(second));
        CHECK(dispatch(second, "second", senderTo(engine)) == OrderResult::Applied); // replayed from the record
        LONGS_EQUAL(1, engine.gate.applied().size());
    }
}

TEST(FencingLease, HolderPausedBetweenClaimAndSendDoesNotSend)
{
    FakeEngine engine(false); // ignores the token, so only the holder's own check prevents the order
    CHECK(acquire(a));
    CHECK_FALSE(acquire(b));
    // The claim's write takes so long that the lease expires.
    struct PausingApi : platform::LocalObjectApi {
        using LocalObjectApi::LocalObjectApi;
        Task<Result<platform::Object>> put(std::string kind, std::string name, nlohmann::json value, std::optional<uint64_t> ifVersion) override
        {
            auto written = co_await LocalObjectApi::put(kind, name, value, ifVersion);
            if (kind == orders::recordKind) {
                *testClock += leaseDuration;
            }
            co_return std::move(written);
        }
        lease::BootTime *testClock = nullptr;
    };
    PausingApi pausing(store);
    pausing.testClock = &now;
    orders::Dispatcher dispatcher(pausing, a, "a", senderTo(engine), quarantine);
    CHECK(runBlocking(dispatcher.dispatch({"engine-1", "load_model", "counsel-v2", "load.1"})) == OrderResult::NotHolder);
    LONGS_EQUAL(0, engine.gate.applied().size());
    CHECK(acquire(b));
    CHECK(dispatch(b, "b", senderTo(engine)) == OrderResult::Applied); // the claim was released
    LONGS_EQUAL(1, engine.gate.applied().size());
}

TEST(FencingLease, OrderOfAHolderPausedWhileSendingIsNotSentByTheNext)
{
    FakeEngine engine(false);
    CHECK(acquire(a));
    CHECK_FALSE(acquire(b));
    // a is frozen while it sends the order; b acquires the lease and tries to send the same order.
    OrderResult taken = OrderResult::Applied;
    const orders::Sender frozen = [&](orders::Order order, uint64_t fence) -> Task<SendResult> {
        now += leaseDuration;
        CHECK(co_await b.acquireOrRenew());
        orders::Dispatcher dispatcher(api, b, "b", senderTo(engine), quarantine);
        taken = co_await dispatcher.dispatch(order);
        co_return co_await engine.take(order, fence); // a resumes; its order arrives late
    };
    CHECK(dispatch(a, "a", frozen) == OrderResult::Applied);
    CHECK(taken == OrderResult::Pending);
    LONGS_EQUAL(1, engine.gate.applied().size());
}

TEST(FencingLease, OrderRecordsAreNotOfTheKindThatIsSwept)
{
    // A record that is swept after a day, like those of callers' requests, would
    // let the next holder send the order a second time.
    FakeEngine engine(false);
    CHECK(acquire(a));
    CHECK(dispatch(a, "a", senderTo(engine)) == OrderResult::Applied);
    LONGS_EQUAL(0, store.list(idempotency::recordKind).items.size());
}

TEST(FencingLease, OrderWithALostAnswerIsNotSentAgain)
{
    FakeEngine engine(false);
    CHECK(acquire(a));
    const orders::Sender lossy = [&](orders::Order order, uint64_t fence) -> Task<SendResult> {
        co_await engine.take(order, fence);
        co_return SendResult::Unknown;
    };
    CHECK(dispatch(a, "a", lossy) == OrderResult::Pending);
    CHECK(dispatch(a, "a", lossy) == OrderResult::Pending);
    LONGS_EQUAL(1, engine.gate.applied().size());
}

TEST(FencingLease, RestoreWithoutTheRecordEndsTheTermAndTokensKeepRising)
{
    const auto backup = store.backup();
    CHECK(acquire(a));
    const auto before = a.fence();
    store.restore(backup);
    CHECK_FALSE(acquire(b)); // a may still act as the holder
    CHECK_FALSE(acquire(a));
    CHECK_FALSE(a.held());
    now += leaseDuration;
    CHECK(acquire(b));
    CHECK(b.fence() > before);
    CHECK_FALSE(acquire(a));
}

TEST(FencingLease, LeaseReleasedInTheBackupIsNotAcquiredBeforeTheLostTermIsOver)
{
    CHECK(acquire(a));
    runBlocking(a.release());
    const auto backup = store.backup();
    CHECK(acquire(a));
    const auto before = a.fence();
    store.restore(backup);
    CHECK_FALSE(acquire(b));
    now += leaseDuration;
    CHECK(acquire(b));
    CHECK(b.fence() > before);
}

TEST(FencingLease, RenewalInALaterEpochDoesNotHoldTheLease)
{
    CHECK(acquire(a));
    const auto backup = store.backup();
    store.restore(backup); // the record has the same version in the new epoch
    CHECK_FALSE(acquire(a));
    CHECK_FALSE(a.held());
}

TEST(FencingLease, TokensStayUniqueAcrossTwoRestores)
{
    const auto backup = store.backup();
    std::set<uint64_t> tokens;
    for (int round = 0; round < 3; ++round) {
        for (int tries = 0; !acquire(a) && tries < 5; ++tries) {
            now += leaseDuration;
        }
        CHECK(a.held());
        CHECK(tokens.insert(a.fence()).second);
        store.restore(backup);
    }
}
