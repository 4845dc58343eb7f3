// Guards against requests that end without a response when the grace period of a stop ends.
#include "entry_fixture.h"

#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;

namespace
{

constexpr Millis relayTime{50}; ///< for what the endpoint has sent to reach the caller

// Sends a request to an endpoint that never answers it whole, ends all requests, and returns what the caller got.
std::optional<http::CallResult<http::Reply>> replyAtTheEnd(Loop &loop, const std::string &target, const std::string &service, ScriptedEndpoint::Script script,
                                                           entry::RequestEnd end)
{
    bool reached = false;
    ScriptedEndpoint endpoint(loop, [&](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        co_await script(socket, request);
        co_await sleepFor(relayTime);
        reached = true;
        co_await sleepFor(std::chrono::seconds(60));
    });
    EntryFixture router(loop, {{"i-0", {service, endpoint.port}}, {"i-1", {service, endpoint.port}}});
    std::optional<http::CallResult<http::Reply>> result;
    loop.start(router.send("POST", target, EntryFixture::caller("a1"), ""), result);
    loop.runUntil([&] {
        return reached;
    });
    router.gateway.endRequests();
    loop.runUntil([&] {
        return result.has_value();
    });
    LONGS_EQUAL(1, router.gateway.metrics().ended(end));
    LONGS_EQUAL(0, router.gateway.metrics().ejections);
    LONGS_EQUAL(1, endpoint.seen.size());
    return result;
}

Task<void> sendNothing(tcp::socket &, const ReceivedRequest &)
{
    co_return;
}

Task<void> beginStream(tcp::socket &socket, const ReceivedRequest &request)
{
    co_await sendBytes(socket, streamHead(request.header("Yuccasaddle-Attempt-Id")) + chunk(eventNumber(1)));
}

} // namespace

LOOP_GROUP(StopWithRequests);

TEST(StopWithRequests, RequestThatWaitsForItsResponseIsAnsweredBeforeTheExit)
{
    const auto result = replyAtTheEnd(loop(), "/book/1", "s", sendNothing, entry::RequestEnd::GivenUp);
    CHECK(std::holds_alternative<http::Reply>(*result));
    LONGS_EQUAL(502, std::get<http::Reply>(*result).status); // it may have run
}

TEST(StopWithRequests, RepeatableRequestIsNotSentAgainBeforeTheExit)
{
    const auto result = replyAtTheEnd(loop(), "/remind/1", "s", sendNothing, entry::RequestEnd::GivenUp);
    CHECK(std::holds_alternative<http::Reply>(*result));
    LONGS_EQUAL(502, std::get<http::Reply>(*result).status);
}

TEST(StopWithRequests, StreamDoesNotLookCompleteAtTheExit)
{
    const auto result = replyAtTheEnd(loop(), "/chat/1", "m", beginStream, entry::RequestEnd::Cut);
    CHECK(std::holds_alternative<http::CallError>(*result));
}

TEST_GROUP(RouteDurations)
{
    Clock::time_point now = Clock::now();
    entry::RouteDurations durations;
    entry::Route route;
    void setup() override
    {
        route.host = "h.example";
        route.pathPrefix = "/book/";
        route.targetLatency = Millis(300);
    }
};

TEST(RouteDurations, TargetIsExpectedUntilARequestHasEnded)
{
    CHECK(durations.expected(route, now) == Millis(300));
    auto other = route;
    other.pathPrefix = "/other/";
    durations.record(other, Millis(5000), now);
    CHECK(durations.expected(route, now) == Millis(300));
}

TEST(RouteDurations, LongestRecentDurationIsExpectedWithAMargin)
{
    durations.record(route, Millis(5000), now);
    durations.record(route, Millis(1000), now);
    CHECK(durations.expected(route, now) == Millis(6250));
    const auto next = now + entry::RouteDurations::window;
    durations.record(route, Millis(1000), next);
    CHECK(durations.expected(route, next) == Millis(6250));
    durations.record(route, Millis(1000), next + entry::RouteDurations::window);
    CHECK(durations.expected(route, next + entry::RouteDurations::window) == Millis(1250));
    CHECK(durations.expected(route, next + 4 * entry::RouteDurations::window) == Millis(300));
}

LOOP_GROUP(LateRequests);

namespace
{

constexpr Millis work{100};

/// A router in front of an endpoint that takes a while for each request, and has served one.
struct StoppingRouter {
    explicit StoppingRouter(Loop &loop)
        : endpoint(loop,
                   [](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
                       co_await sleepFor(work);
                       co_await sendBytes(socket, signedAnswer(request.header("Yuccasaddle-Attempt-Id"), "ok"));
                   })
        , router(loop, {{"e1", {"s", endpoint.port}}})
    {
        auto configuration = entryConfiguration(2);
        configuration["routes"][0]["target_latency_ms"] = 1;
        router.configure(configuration);
    }
    ScriptedEndpoint endpoint;
    EntryFixture router;
};

} // namespace

TEST(LateRequests, RequestThatIsNotExpectedToEndInTimeIsRejectedAndNotPassedOn)
{
    StoppingRouter stopping(loop());
    LONGS_EQUAL(200, stopping.router.reply("POST", "/book/1", "a1").status);
    stopping.router.gateway.stopBy(Clock::now() + work);
    const auto late = stopping.router.reply("POST", "/book/1", "a2");
    LONGS_EQUAL(503, late.status);
    CHECK(!late.header("Retry-After").empty());
    LONGS_EQUAL(1, stopping.endpoint.seen.size());
}

TEST(LateRequests, RequestThatIsExpectedToEndInTimeIsServed)
{
    StoppingRouter stopping(loop());
    LONGS_EQUAL(200, stopping.router.reply("POST", "/book/1", "a1").status);
    stopping.router.gateway.stopBy(Clock::now() + 20 * work);
    LONGS_EQUAL(200, stopping.router.reply("POST", "/book/1", "a2").status);
}

TEST(LateRequests, RequestThatWasNotDeliveredTellsNothingOfOthers)
{
    ScriptedEndpoint silent(loop(), [](tcp::socket &, const ReceivedRequest &) -> Task<void> {
        co_await sleepFor(std::chrono::seconds(60));
    });
    EntryFixture router(loop(), {{"e1", {"s", silent.port}}});
    auto configuration = entryConfiguration(2);
    configuration["routes"][0]["timeout_ms"] = 200;
    configuration["routes"][0]["target_latency_ms"] = 1;
    router.configure(configuration);
    LONGS_EQUAL(504, router.reply("POST", "/book/1", "a1").status);
    router.gateway.stopBy(Clock::now() + Millis(190));
    LONGS_EQUAL(504, router.reply("POST", "/book/1", "a2").status); // taken, and passed on
    LONGS_EQUAL(2, silent.seen.size());
}

TEST(LateRequests, RequestsUnderWayTellHowLongOthersTake)
{
    StoppingRouter stopping(loop());
    std::optional<http::CallResult<http::Reply>> first;
    loop().start(stopping.router.send("POST", "/book/1", EntryFixture::caller("a1"), ""), first);
    loop().runUntil([&] {
        return stopping.endpoint.seen.size() == 1;
    });
    const auto pause = []() -> Task<bool> {
        co_await sleepFor(work / 2);
        co_return true;
    };
    loop().run(pause());
    stopping.router.gateway.stopBy(Clock::now() + work / 4);
    LONGS_EQUAL(503, stopping.router.reply("POST", "/book/1", "a2").status);
    loop().runUntil([&] {
        return first.has_value();
    });
}
