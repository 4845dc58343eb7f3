// At-most-once execution: the claim protocol of idempotency::Guard on a fake
// object API, under retries, crashes, lost answers, outages, races and restores.
#include "idempotency.h"
#include "local_object_api.h"

#include <CppUTest/TestHarness.h>

using namespace yucca;
using idempotency::Decision;

namespace
{

/// A service that counts the calls that ran.
struct Service {
    int runs = 0;
};

bool complete(idempotency::Guard &g, const idempotency::Claim &c, const std::string &body)
{
    return ok(runBlocking(g.settle(c, idempotency::Guard::completed(c, 200, body))));
}

bool release(idempotency::Guard &g, const idempotency::Claim &c)
{
    return ok(runBlocking(g.settle(c, idempotency::Guard::released(c))));
}

/// One attempt of a router: claims the key, runs the call when granted, stores the answer.
Decision attempt(idempotency::Guard &g, Service &svc, const std::string &key, uint64_t body = 11, bool crashAfterRun = false)
{
    auto c = runBlocking(g.claim("ws-0", key, body));
    if (c.decision == Decision::Run) {
        ++svc.runs;
        if (!crashAfterRun) {
            complete(g, c, R"({"confirmation":"book-1"})");
        }
    }
    return c.decision;
}

} // namespace

TEST_GROUP(InvariantAtMostOnce)
{
    store::ObjectStore store;
    platform::LocalObjectApi api{store};
    Service svc;
};

TEST(InvariantAtMostOnce, CallerRetryGetsTheStoredAnswer)
{
    idempotency::Guard g(api, "router-1");
    CHECK(attempt(g, svc, "k") == Decision::Run);
    auto again = runBlocking(g.claim("ws-0", "k", 11));
    CHECK(again.decision == Decision::Replay);
    STRCMP_EQUAL(R"({"confirmation":"book-1"})", again.storedBody.c_str());
    LONGS_EQUAL(1, svc.runs);
}

TEST(InvariantAtMostOnce, TwoRoutersRacingOnOneKeyRunItOnce)
{
    idempotency::Guard a(api, "router-1"), b(api, "router-2");
    auto ca = runBlocking(a.claim("ws-0", "k", 11));
    auto cb = runBlocking(b.claim("ws-0", "k", 11)); // before a has stored an answer
    CHECK(ca.decision == Decision::Run);
    CHECK(cb.decision == Decision::InProgress);
    LONGS_EQUAL(0, svc.runs + (cb.decision == Decision::Run ? 1 : 0));
}

TEST(InvariantAtMostOnce, RetryAfterARouterCrashDoesNotRunTheCallAgain)
{
    idempotency::Guard a(api, "router-1"), b(api, "router-2");
    attempt(a, svc, "k", 11, true); // the call ran; the router crashed before it stored the answer
    for (int i = 0; i < 3; ++i) {
        CHECK(attempt(b, svc, "k") == Decision::InProgress);
    }
    LONGS_EQUAL(1, svc.runs);
}

TEST(InvariantAtMostOnce, ClaimWithALostAnswerIsRecognisedAsOwn)
{
    idempotency::Guard g(api, "router-1");
    api.loseResponses = 1;
    CHECK(attempt(g, svc, "k") == Decision::Run);
    CHECK(attempt(g, svc, "k") == Decision::Replay);
    LONGS_EQUAL(1, svc.runs);
}

TEST(InvariantAtMostOnce, LostAnswerWhileStoringTheResultStillSettlesTheRecord)
{
    idempotency::Guard g(api, "router-1");
    auto c = runBlocking(g.claim("ws-0", "k", 11));
    api.loseResponses = 1;
    CHECK(complete(g, c, "{}"));
    CHECK(runBlocking(g.claim("ws-0", "k", 11)).decision == Decision::Replay);
}

TEST(InvariantAtMostOnce, StoreOutageReportsNotRunAndTheCallIsNotSent)
{
    idempotency::Guard g(api, "router-1");
    api.outage = true;
    CHECK(attempt(g, svc, "k") == Decision::NotRun);
    LONGS_EQUAL(0, svc.runs);
    api.outage = false;
    CHECK(attempt(g, svc, "k") == Decision::Run); // the caller was told that the call did not run, so it may run now
    LONGS_EQUAL(1, svc.runs);
}

TEST(InvariantAtMostOnce, ReleasedClaimRunsOnRetry)
{
    idempotency::Guard g(api, "router-1");
    auto c = runBlocking(g.claim("ws-0", "k", 11));
    CHECK(release(g, c)); // the service was unreachable, so the call certainly did not run
    CHECK(attempt(g, svc, "k") == Decision::Run);
    LONGS_EQUAL(1, svc.runs);
}

TEST(InvariantAtMostOnce, KeyReusedForAnotherRequestIsRejected)
{
    idempotency::Guard g(api, "router-1");
    attempt(g, svc, "k", 11);
    CHECK(attempt(g, svc, "k", 12) == Decision::Mismatch);
    LONGS_EQUAL(1, svc.runs);
}

TEST(InvariantAtMostOnce, CombinedFaultsRunEachKeyAtMostOnce)
{
    idempotency::Guard a(api, "router-1"), b(api, "router-2");
    std::map<std::string, int> runs;
    for (int k = 0; k < 200; ++k) {
        std::string key = "k" + std::to_string(k);
        api.loseResponses = k % 3; // up to two lost answers in a row
        api.outage = (k % 7 == 0);
        Service s;
        attempt(a, s, key, 1, k % 5 == 0); // every fifth attempt crashes after the call
        api.outage = false;
        attempt(b, s, key, 1);
        attempt(a, s, key, 1);
        runs[key] = s.runs;
    }
    for (const auto &[key, n] : runs) {
        CHECK_TEXT(n <= 1, key.c_str());
    }
}

TEST(InvariantAtMostOnce, RestartedRouterDoesNotMistakeItsOldClaimForItsOwn)
{
    idempotency::Guard before(api, "router-1");
    attempt(before, svc, "k", 11, true); // the call ran; the router crashed before it stored the answer
    idempotency::Guard restarted(api, "router-1"); // a new process with the same router id
    CHECK(attempt(restarted, svc, "k") == Decision::InProgress);
    LONGS_EQUAL(1, svc.runs);
}

TEST(InvariantAtMostOnce, KeyWithARecordLostInARestoreDoesNotRunAgain)
{
    idempotency::Guard first(api, "router-1");
    idempotency::Guard second(api, "router-2");
    const auto backup = store.backup();
    CHECK(attempt(first, svc, "k") == Decision::Run);
    store.restore(backup);
    CHECK(attempt(second, svc, "k") == Decision::NotRun);
    runBlocking(first.rewriteLostRecords()); // the router that ran the call rewrites its record
    CHECK(attempt(second, svc, "k") != Decision::Run);
    LONGS_EQUAL(1, svc.runs);
    CHECK(store.get(idempotency::recordKind, idempotency::Guard::recordName("ws-0", "k")).index() == 0);
}

TEST(InvariantAtMostOnce, CallWhoseClaimIsLostInARestoreIsSettledAndReplayed)
{
    idempotency::Guard g(api, "router-1");
    const auto backup = store.backup();
    const auto claim = runBlocking(g.claim("ws-0", "k", 11));
    store.restore(backup);
    CHECK(complete(g, claim, "done"));
    idempotency::Guard other(api, "router-2", idempotency::recordKind, {.claimPauseAfterRestore = Millis(0)});
    CHECK(runBlocking(other.claim("ws-0", "k", 11)).decision == Decision::Replay);
}

TEST(InvariantAtMostOnce, ClaimThatRevealsARestoreIsReleased)
{
    idempotency::Guard g(api, "router-1");
    CHECK(attempt(g, svc, "before") == Decision::Run);
    store.restore(store.backup());
    CHECK(attempt(g, svc, "k") == Decision::NotRun);
    LONGS_EQUAL(1, svc.runs);
}

TEST(InvariantAtMostOnce, RecordsAreRewrittenAfterEachOfTwoRestores)
{
    idempotency::Guard g(api, "router-1");
    const auto backup = store.backup();
    CHECK(attempt(g, svc, "k") == Decision::Run);
    const std::string name = idempotency::Guard::recordName("ws-0", "k");
    for (int round = 0; round < 2; ++round) {
        store.restore(backup);
        runBlocking(api.isReachable(idempotency::recordKind));
        runBlocking(g.rewriteLostRecords());
        const auto held = store.get(idempotency::recordKind, name);
        CHECK(held.index() == 0);
        STRCMP_EQUAL("done", std::get<store::Object>(held).value.value("state", "").c_str());
    }
}
