// Tests of the limit on requests that brittle endpoints have to reject: what all routers send adds up to less than it.
#include "endpoint_server.h"
#include "entry_fixture.h"
#include "rejection_limit.h"

// CppUTest goes last: its memory-leak macros redefine operator new.
#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;

namespace
{

std::vector<std::string> routerNames(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t n = 0; n < count; ++n) {
        names.push_back("router-" + std::to_string(n));
    }
    return names;
}

// The rejections that a fleet may risk at one endpoint when each router knows the others but for every `missing`-th.
std::size_t totalShare(std::size_t routers, int64_t limit, std::size_t missing)
{
    const auto now = Clock::now();
    const auto names = routerNames(routers);
    std::size_t total = 0;
    for (std::size_t self = 0; self < routers; ++self) {
        std::vector<std::string> others;
        for (std::size_t n = 0; n < routers; ++n) {
            if (n != self && (missing == 0 || (n + self) % missing != 0)) {
                others.push_back(names[n]);
            }
        }
        limits::RejectionLimiter limiter;
        limiter.setRouters(names[self], others);
        limiter.recordStatement("s", limit, now);
        total += limiter.available("s", "e1", now);
    }
    return total;
}

} // namespace

TEST_GROUP(RejectionLimiter){};

TEST(RejectionLimiter, SharesOfAllRoutersAddUpToAtMostTheLimit)
{
    for (const std::size_t routers : {1, 2, 3, 9, 68, 330}) {
        for (const int64_t limit : {1, 2, 5, 12, 40}) {
            CHECK(totalShare(routers, limit, 0) <= static_cast<std::size_t>(limit / 2));
            CHECK(totalShare(routers, limit, 3) <= static_cast<std::size_t>(limit));
        }
    }
    CHECK(totalShare(9, 12, 0) >= 4);
}

TEST(RejectionLimiter, RouterThatDoesNotKnowTheFleetRisksNothing)
{
    limits::RejectionLimiter limiter;
    const auto now = Clock::now();
    limiter.recordStatement("s", 40, now);
    CHECK(limiter.isBrittle("s", now));
    LONGS_EQUAL(0, limiter.available("s", "e1", now));
}

TEST(RejectionLimiter, AcceptedRequestsDoNotCountAndRejectedOnesDoForASecond)
{
    limits::RejectionLimiter limiter;
    const auto now = Clock::now();
    limiter.setRouters("router-0", {});
    limiter.recordStatement("s", 4, now);
    LONGS_EQUAL(2, limiter.available("s", "e1", now));
    limiter.recordSend("s", "e1", now);
    limiter.recordSend("s", "e1", now + Millis(1));
    LONGS_EQUAL(0, limiter.available("s", "e1", now + Millis(2)));
    limiter.recordAccepted("e1", now);
    LONGS_EQUAL(1, limiter.available("s", "e1", now + Millis(2)));
    LONGS_EQUAL(2, limiter.available("s", "e1", now + Millis(1100)));
}

TEST(RejectionLimiter, StatementEndsWithAnAnswerWithoutItOrWithTime)
{
    limits::RejectionLimiter limiter;
    const auto now = Clock::now();
    limiter.recordStatement("s", 4, now);
    CHECK(!limiter.isBrittle("m", now));
    CHECK(!limiter.isBrittle("s", now + std::chrono::seconds(11)));
    limiter.recordStatement("s", std::nullopt, now);
    CHECK(!limiter.isBrittle("s", now));
}

LOOP_GROUP(BrittleEndpoint);

namespace
{

constexpr int brittleAfter = 6;

/// Routers in front of one endpoint that serves the first request of each and is full from then on.
struct BrittleFleet {
    BrittleFleet(Loop &loop, bool statesLimit)
        : endpoint(loop, [this, statesLimit](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
            const std::string id = request.header("Yuccasaddle-Attempt-Id");
            const std::string limit = statesLimit ? "Server-Brittle: " + std::to_string(brittleAfter) + "\r\n" : "";
            if (id.starts_with("first")) {
                co_await sendBytes(socket, signedAnswer(id, "ok", "200 OK", limit + "Yuccasaddle-Server-Load: 6,0,6\r\n"));
                co_return;
            }
            ++rejections;
            co_await sendBytes(socket, "HTTP/1.1 503 Full\r\nYuccasaddle-Not-Executed: 1\r\n" + limit + "Content-Length: 0\r\n\r\n");
        })
    {
        const auto names = routerNames(4);
        for (const auto &name : names) {
            routers.push_back(std::make_unique<EntryFixture>(loop, std::map<std::string, std::pair<std::string, uint16_t>>{{"e1", {"s", endpoint.port}}}));
            std::vector<std::string> others = names;
            std::erase(others, name);
            routers.back()->table.setRouters(name, others);
            LONGS_EQUAL(200, routers.back()->reply("POST", "/book/1", "first-" + name).status);
        }
    }

    // Each router gets ten requests, all within a second.
    void press()
    {
        for (int round = 0; round < 10; ++round) {
            for (auto &router : routers) {
                const auto reply = router->reply("POST", "/book/1", "a" + std::to_string(round));
                LONGS_EQUAL(503, reply.status);
                CHECK(!reply.header("Retry-After").empty());
            }
        }
    }

    int rejections = 0;
    ScriptedEndpoint endpoint;
    std::vector<std::unique_ptr<EntryFixture>> routers;
};

} // namespace

TEST(BrittleEndpoint, FullEndpointGetsNoMoreRequestsThanItCanReject)
{
    BrittleFleet fleet(loop(), true);
    fleet.press();
    CHECK(fleet.rejections <= brittleAfter);
    STRCMP_EQUAL("brittle", fleet.routers[0]->reply("POST", "/book/1", "b").body.c_str());
}

TEST(BrittleEndpoint, EndpointThatStatesNoLimitGetsAllRequests)
{
    BrittleFleet fleet(loop(), false);
    fleet.press();
    LONGS_EQUAL(40, fleet.rejections);
}

TEST(BrittleEndpoint, EndpointThatWasReportedToHaveRoomIsUsedByAllRouters)
{
    BrittleFleet fleet(loop(), true);
    for (auto &router : fleet.routers) {
        router->table.recordLoadReport("e1", 1, Clock::now(), 6);
        LONGS_EQUAL(200, router->reply("POST", "/book/1", "first-again").status);
    }
}

TEST(BrittleEndpoint, StandInCrashesAfterMoreRejectionsInASecondThanItStates)
{
    int exitCode = 0;
    emulators::EndpointOptions options;
    options.slots = 0;
    options.brittleAfter = 3;
    options.crash = [&exitCode](int code) {
        exitCode = code;
    };
    emulators::EndpointServer endpoint(options);
    FakeEndpoint server(loop(), [&endpoint](http::Exchange &ex) {
        return endpoint.handle(ex);
    });
    http::Client client;
    for (int n = 0; n < 4; ++n) {
        LONGS_EQUAL(0, exitCode);
        http::CallOptions call;
        call.deadline = Clock::now() + std::chrono::seconds(5);
        auto request = http::makeRequest("GET", "/x", "", {{"Yuccasaddle-Attempt-Id", "a" + std::to_string(n)}});
        const auto result = loop().run(client.call({"127.0.0.1", server.port}, std::move(request), call));
        STRCMP_EQUAL("3", std::get<http::Reply>(result).header("Server-Brittle").c_str());
    }
    LONGS_EQUAL(emulators::exitCodeBrittle, exitCode);
}
