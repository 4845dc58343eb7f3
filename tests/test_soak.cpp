// Tests of the soak test's parts: plans are reproducible, violations of guarantees are reported, and the proxy applies
// its disturbances.
#include "soak/endings.h"
#include "soak/invariants.h"
#include "soak/plan.h"

// CppUTest goes last: its memory-leak macros redefine operator new.
#include "loop_group.h"

#include <map>
#include <set>

using namespace yucca;
using namespace yucca::fixture;
using soak::Kind;

TEST_GROUP(SoakPlan){};

TEST(SoakPlan, SameSeedGivesSamePlanAndOtherSeedGivesAnother)
{
    soak::PlanOptions options;
    CHECK(soak::makePlan(options) == soak::makePlan(options));
    const auto first = soak::makePlan(options);
    options.seed = 2;
    CHECK(first != soak::makePlan(options));
}

TEST(SoakPlan, StepsAreOrderedHaveValidTargetsAndCoverEveryFaultOverManySeeds)
{
    std::set<soak::Fault> seen;
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        soak::PlanOptions options;
        options.seed = seed;
        options.powerLoss = seed % 2 == 1;
        options.retries = seed % 4 >= 2;
        options.pauses = seed % 8 == 4;
        Millis previous{0};
        for (const auto &step : soak::makePlan(options)) {
            CHECK(step.at >= previous && step.at < options.duration);
            CHECK(step.target < (step.fault == soak::Fault::ForeignEntry ? soak::foreignEntries : std::max(options.routers, options.endpoints)));
            CHECK(step.duration > Millis(0));
            previous = step.at;
            seen.insert(step.fault);
        }
        CHECK_EQUAL(options.powerLoss, soak::makePlan(options).back().fault == soak::Fault::PowerLost);
    }
    LONGS_EQUAL(soak::faultNames.size(), seen.size());
}

TEST(SoakPlan, PausePlanHasOnlyPlannedWorkAndShortPausesWithTimeBetweenThoseOfOneEndpoint)
{
    const std::set<soak::Fault> allowed{soak::Fault::EndpointPaused,       soak::Fault::EndpointRequestsPaused, soak::Fault::EndpointLeaves,
                                        soak::Fault::ConfigurationChanges, soak::Fault::RouterReloads,          soak::Fault::RouterSettingsWrong,
                                        soak::Fault::RouterStopped};
    std::set<soak::Fault> seen;
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        soak::PlanOptions options;
        options.seed = seed;
        options.pauses = true;
        std::map<std::size_t, Millis> nextPause;
        CHECK(soak::makePlan(options) == soak::makePlan(options));
        for (const auto &step : soak::makePlan(options)) {
            CHECK(allowed.contains(step.fault));
            CHECK(step.target < (step.fault == soak::Fault::RouterStopped ? options.routers : options.endpoints));
            seen.insert(step.fault);
            if (step.fault == soak::Fault::EndpointPaused || step.fault == soak::Fault::EndpointRequestsPaused) {
                CHECK(step.duration >= soak::minEndpointPause && step.duration <= soak::maxEndpointPause);
                CHECK(step.at >= nextPause[step.target]);
                nextPause[step.target] = step.at + step.duration + soak::minTimeBetweenPauses;
            }
        }
    }
    LONGS_EQUAL(allowed.size(), seen.size());
}

TEST_GROUP(SoakEndings)
{
    const soak::EndingLimits limits{Millis(8000), Millis(4000)};
    const Clock::time_point start = Clock::time_point(std::chrono::hours(1));

    soak::RequestEnding ending(Millis duration, bool answered = false)
    {
        soak::RequestEnding e;
        e.sent = true;
        e.answered = answered;
        e.sentAt = start;
        e.endedAt = start + duration;
        return e;
    }

    bool isLost(const soak::RequestEnding &e, bool arrived = true)
    {
        soak::EndingChecker checker(limits);
        checker.record("q1", e);
        if (arrived) {
            checker.recordArrival("q1");
        }
        return checker.lost().size() == 1;
    }

    // An ending after a stop signal, with times relative to that signal.
    soak::RequestEnding endingInStop(Millis sent, Millis ended)
    {
        auto e = ending(ended - sent);
        e.routerStopSignal = e.sentAt - sent;
        return e;
    }
};

TEST(SoakEndings, RequestSentWholeWithoutWholeResponseIsLost)
{
    CHECK(isLost(ending(Millis(1500))));
    CHECK(isLost(ending(Millis(50))));
    CHECK(isLost(ending(Millis(7999))));
    CHECK(!isLost(ending(Millis(1500), true)));
    auto notSent = ending(Millis(1500));
    notSent.sent = false;
    CHECK(!isLost(notSent));
    CHECK(!isLost(ending(Millis(8000)))); // the router may give the request up
}

TEST(SoakEndings, RequestThatReachedNoEndpointIsLostUnlessItsConnectionClosedAtOnce)
{
    CHECK(!isLost(ending(Millis(200)), false));
    CHECK(isLost(ending(Millis(201)), false));
}

TEST(SoakEndings, StoppingRouterMayGiveUpOnlyLateInItsGracePeriod)
{
    CHECK(isLost(endingInStop(Millis(-1000), Millis(3300))));
    CHECK(!isLost(endingInStop(Millis(-1000), Millis(3400))));
    CHECK(!isLost(endingInStop(Millis(3000), Millis(3400))));
    CHECK(isLost(endingInStop(Millis(3001), Millis(3400))));
}

TEST(SoakEndings, MessageNamesTheRequestAndTimedOutRequestsAreCounted)
{
    soak::EndingChecker checker(limits);
    checker.record("q1", ending(Millis(1500)));
    checker.record("q2", ending(Millis(8500)));
    checker.record("q3", ending(Millis(8500), true));
    checker.recordArrival("q1");
    checker.recordArrival("q2");
    LONGS_EQUAL(1, checker.lost().size());
    CHECK(checker.lost().front().starts_with("q1 "));
    LONGS_EQUAL(1, checker.timedOut());
}

TEST_GROUP(SoakInvariants)
{
    soak::InvariantChecker checker{2};
    const std::string allEvents = "id: 1\ndata: token1\n\nid: 2\ndata: token2\n\n";
    const std::string halfOfEvents = allEvents.substr(0, allEvents.size() / 2);

    // Returns true when the checker reports a violation for one request's record.
    bool isViolation(Kind kind, unsigned status, const std::string &body, bool complete, int runs, bool hasSignature = true)
    {
        soak::InvariantChecker ownChecker{2};
        ownChecker.recordResponse("q1", {kind, status, complete, hasSignature, body});
        for (int i = 0; i < runs; ++i) {
            ownChecker.recordRun("q1");
        }
        return !ownChecker.violations().empty();
    }
};

TEST(SoakInvariants, OutcomesWithinTheGuaranteesAreNoViolation)
{
    CHECK(!isViolation(Kind::Booking, 200, "answer of i-1 to q1", true, 1));
    CHECK(!isViolation(Kind::Booking, 502, "answer_lost", true, 1));
    CHECK(!isViolation(Kind::Booking, 503, "not_executed", true, 0));
    CHECK(!isViolation(Kind::Booking, 0, "", false, 1));
    CHECK(!isViolation(Kind::Reminder, 200, "answer of i-1 to q1", true, 2));
    CHECK(!isViolation(Kind::Reminder, 503, "no_endpoint", true, 1)); // an idempotent request may run again, so 503 need not mean that it was not run
    CHECK(!isViolation(Kind::Chat, 200, allEvents, true, 2));
    CHECK(!isViolation(Kind::Chat, 200, halfOfEvents, false, 1));
}

TEST(SoakInvariants, EachViolationIsReported)
{
    CHECK(isViolation(Kind::Booking, 200, "answer of i-1 to q1", true, 2));
    CHECK(isViolation(Kind::Single, 0, "", false, 2));
    CHECK(isViolation(Kind::Booking, 503, "not_executed", true, 1));
    CHECK(isViolation(Kind::Booking, 429, "", true, 1));
    CHECK(isViolation(Kind::Booking, 200, "answer of i-1 to q2", true, 1));
    CHECK(isViolation(Kind::Reminder, 200, "answer of i-1 to q1", true, 1, false));
    CHECK(isViolation(Kind::Chat, 200, halfOfEvents, true, 1)); // truncated, but ended as complete
    CHECK(isViolation(Kind::Chat, 200, halfOfEvents + halfOfEvents, true, 1));
    CHECK(isViolation(Kind::Chat, 200, allEvents + halfOfEvents, false, 1));
    CHECK(isViolation(Kind::Chat, 200, allEvents.substr(0, 5), false, 1)); // truncated within an event
}

LOOP_GROUP(SoakProxy);

namespace
{

// Calls the server through a proxy. Returns the status, 0 without a response.
unsigned callThrough(Loop &loop, http::Client &client, uint16_t port)
{
    http::CallOptions options;
    options.deadline = Clock::now() + Millis(400);
    options.reuse = http::ConnectionReuse::KeepAlive;
    const auto result = loop.run(client.call({"127.0.0.1", port}, http::makeRequest("GET", "/"), options));
    const auto *reply = std::get_if<http::Reply>(&result);
    return reply ? reply->status : 0;
}

uint16_t freePort(Loop &loop)
{
    asio::ip::tcp::acceptor acceptor(loop.io, {asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}

} // namespace

TEST(SoakProxy, ForwardsWithoutDisturbanceAndAgainAfterDisturbancesEnd)
{
    int receivedRequests = 0;
    FakeEndpoint server(loop(), [&](http::Exchange &ex) {
        ++receivedRequests;
        return ex.reply(200, "{}");
    });
    const uint16_t port = freePort(loop());
    soak::Proxy proxy(loop().io, port, server.port);
    http::Client client;
    LONGS_EQUAL(200, callThrough(loop(), client, port));
    proxy.disturb(soak::Disturbance::Reset);
    LONGS_EQUAL(0, callThrough(loop(), client, port));
    LONGS_EQUAL(1, receivedRequests);
    proxy.disturb(soak::Disturbance::MuteForth);
    LONGS_EQUAL(0, callThrough(loop(), client, port));
    LONGS_EQUAL(1, receivedRequests);
    proxy.disturb(soak::Disturbance::MuteBack);
    LONGS_EQUAL(0, callThrough(loop(), client, port));
    LONGS_EQUAL(2, receivedRequests); // the request arrived, and its response was dropped
    proxy.disturb(soak::Disturbance::None);
    LONGS_EQUAL(200, callThrough(loop(), client, port));
}
