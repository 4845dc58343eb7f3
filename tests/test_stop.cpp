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
