// The soak's own parts: plans that can be played again, promises whose breach
// is seen, a proxy that disturbs what it is told to.
#include "soak/plan.h"
#include "soak/promises.h"

// CppUTest goes last: its memory-leak macros redefine operator new.
#include "loop_group.h"

#include <set>

using namespace yucca;
using namespace yucca::rig;
using soak::Kind;

TEST_GROUP(SoakPlan){};

TEST(SoakPlan, TheSameSeedMakesTheSamePlanAndAnotherAnother)
{
    soak::PlanOptions options;
    CHECK(soak::makePlan(options) == soak::makePlan(options));
    const auto first = soak::makePlan(options);
    options.seed = 2;
    CHECK(first != soak::makePlan(options));
}

TEST(SoakPlan, StepsComeInOrderStrikeWhatIsThereAndOverTheSeedsOfEveryKind)
{
    std::set<soak::Fault> seen;
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        soak::PlanOptions options;
        options.seed = seed;
        Millis before{0};
        for (const auto &step : soak::makePlan(options)) {
            CHECK(step.at >= before && step.at < options.length);
            CHECK(step.target < std::max(options.routers, options.endpoints));
            CHECK(step.lasts > Millis(0));
            before = step.at;
            seen.insert(step.fault);
        }
    }
    LONGS_EQUAL(soak::faultNames.size(), seen.size());
}

TEST_GROUP(SoakPromises)
{
    soak::Promises promises{2};
    const std::string events = "id: 1\ndata: token1\n\nid: 2\ndata: token2\n\n";
    const std::string half = events.substr(0, events.size() / 2);

    // True when a request's record is taken for a broken promise.
    bool broken(Kind kind, unsigned status, const std::string &body, bool whole, int runs, bool authentic = true)
    {
        soak::Promises own{2};
        own.note("q1", {kind, status, whole, authentic, body});
        for (int i = 0; i < runs; ++i) {
            own.ran("q1");
        }
        return !own.broken().empty();
    }
};

TEST(SoakPromises, WhatIsKeptIsNotTakenForBroken)
{
    CHECK(!broken(Kind::Booking, 200, "answer of i-1 to q1", true, 1));
    CHECK(!broken(Kind::Booking, 502, "answer_lost", true, 1));
    CHECK(!broken(Kind::Booking, 503, "not_executed", true, 0));
    CHECK(!broken(Kind::Booking, 0, "", false, 1));
    CHECK(!broken(Kind::Reminder, 200, "answer of i-1 to q1", true, 2));
    CHECK(!broken(Kind::Reminder, 503, "no_endpoint", true, 1)); // it may be repeated
    CHECK(!broken(Kind::Chat, 200, events, true, 2));
    CHECK(!broken(Kind::Chat, 200, half, false, 1));
}

TEST(SoakPromises, EachBreachIsSeen)
{
    CHECK(broken(Kind::Booking, 200, "answer of i-1 to q1", true, 2));
    CHECK(broken(Kind::Single, 0, "", false, 2));
    CHECK(broken(Kind::Booking, 503, "not_executed", true, 1));
    CHECK(broken(Kind::Booking, 429, "", true, 1));
    CHECK(broken(Kind::Booking, 200, "answer of i-1 to q2", true, 1));
    CHECK(broken(Kind::Reminder, 200, "answer of i-1 to q1", true, 1, false));
    CHECK(broken(Kind::Chat, 200, half, true, 1)); // cut, and looks complete
    CHECK(broken(Kind::Chat, 200, half + half, true, 1));
    CHECK(broken(Kind::Chat, 200, events + half, false, 1));
    CHECK(broken(Kind::Chat, 200, events.substr(0, 5), false, 1)); // cut within an event
}

LOOP_GROUP(SoakProxy);

namespace
{

// One call through a proxy; 0 when no answer came.
unsigned callThrough(Loop &loop, http::Client &client, uint16_t port)
{
    http::CallOptions options;
    options.deadline = Clock::now() + Millis(400);
    options.reuse = http::Reuse::Kept;
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

TEST(SoakProxy, ItForwardsDisturbsAndForwardsAgain)
{
    int asked = 0;
    FakeEndpoint server(loop(), [&](http::Exchange &ex) {
        ++asked;
        return ex.reply(200, "{}");
    });
    const uint16_t port = freePort(loop());
    soak::Proxy proxy(loop().io, port, server.port);
    http::Client client;
    LONGS_EQUAL(200, callThrough(loop(), client, port));
    proxy.disturb(soak::Disturbance::Reset);
    LONGS_EQUAL(0, callThrough(loop(), client, port));
    LONGS_EQUAL(1, asked);
    proxy.disturb(soak::Disturbance::MuteForth);
    LONGS_EQUAL(0, callThrough(loop(), client, port));
    LONGS_EQUAL(1, asked);
    proxy.disturb(soak::Disturbance::MuteBack);
    LONGS_EQUAL(0, callThrough(loop(), client, port));
    LONGS_EQUAL(2, asked); // it ran, and its answer was swallowed
    proxy.disturb(soak::Disturbance::None);
    LONGS_EQUAL(200, callThrough(loop(), client, port));
}
