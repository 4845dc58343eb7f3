// Guards against answers that break off, are too long or come too late, and then leave their callers with a part of an answer
// that looks whole, or with nothing. docs/design/request-endings.md lists all cases.
#include "endings_fixture.h"

// CppUTest goes last: its memory-leak macros redefine operator new.
#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;

namespace
{

// Streams one event, then breaks off.
ScriptedEndpoint::Script breakingOff()
{
    return [](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        co_await sendBytes(socket, streamHead(idOf(request)) + chunk(eventNumber(1)));
        co_await sleepFor(Millis(20)); // the event must arrive before the reset
        resetConnection(socket);
    };
}

ScriptedEndpoint::Script failing()
{
    return [](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        co_await sendBytes(socket, signedAnswer(idOf(request), "failed", "500 Internal Server Error"));
    };
}

// Runs a stream that breaks off at e1 and is then resumed at the endpoints listed meanwhile.
Received resumed(Loop &loop, const std::vector<uint16_t> &others)
{
    ScriptedEndpoint breaking(loop, breakingOff());
    EntryFixture fixture(loop, {{"e1", {"m", breaking.port}}});
    auto configuration = entryConfiguration(2);
    configuration["routes"][2]["max_attempts"] = 3;
    fixture.configure(configuration);
    Received received;
    asio::co_spawn(loop.io, request(fixture, "/chat/1", "a1", received), asio::detached);
    require(becomesTrue(loop, [&] {
        return breaking.seen.size() == 1;
    }));
    std::map<std::string, Endpoint> listed{{"e1", endpointAt("e1", breaking.port, "m", EndpointKind::Service)}};
    for (const auto port : others) {
        const std::string id = "e" + std::to_string(listed.size() + 1);
        listed.emplace(id, endpointAt(id, port, "m", EndpointKind::Service));
    }
    fixture.published.replaceEndpoints(listed);
    loop.runUntil([&] {
        return received.ended;
    });
    return received;
}

} // namespace

LOOP_GROUP(AnswerEndings);

TEST(AnswerEndings, StreamIsNotContinuedWithTheFailureOfAnotherEndpoint)
{
    ScriptedEndpoint broken(loop(), failing());
    const auto received = resumed(loop(), {broken.port});
    CHECK(!received.complete);
    STRCMP_EQUAL(eventsUpTo(1).c_str(), received.body.c_str());
    LONGS_EQUAL(1, broken.seen.size());
}

TEST(AnswerEndings, StreamGoesOnAtASoundEndpointAfterTheFailureOfAnother)
{
    ScriptedEndpoint broken(loop(), failing());
    GatedEngine sound(loop());
    sound.goOn();
    const auto received = resumed(loop(), {broken.port, sound.endpoint.port});
    CHECK(received.complete);
    STRCMP_EQUAL(eventsUpTo(2).c_str(), received.body.c_str());
}

TEST(AnswerEndings, AnswerThatIsTooLongToBeHeldIsRefusedAsAWhole)
{
    const std::string body(17 * 1024 * 1024, 'x');
    ScriptedEndpoint engine(loop(), [&body](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        co_await sendBytes(socket, signedAnswer(idOf(request), body));
    });
    EntryFixture fixture(loop(), {{"e1", {"s", engine.port}}});
    LONGS_EQUAL(502, fixture.reply("POST", "/book/1", "a1").status);
    LONGS_EQUAL(404, fixture.reply("GET", "/nowhere", "a2").status); // the router serves on
}

TEST(AnswerEndings, StreamThatReachesItsTimeLimitIsCutAndDoesNotLookComplete)
{
    GatedEngine engine(loop());
    EntryFixture fixture(loop(), {{"e1", {"m", engine.endpoint.port}}});
    auto configuration = entryConfiguration(2);
    configuration["routes"][3]["timeout_ms"] = 100;
    fixture.configure(configuration);
    Received received;
    asio::co_spawn(loop().io, request(fixture, "/once/1", "a1", received), asio::detached);
    loop().runUntil([&] {
        return received.ended;
    });
    CHECK(!received.complete);
    STRCMP_EQUAL(eventsUpTo(1).c_str(), received.body.c_str());
    LONGS_EQUAL(1, fixture.gateway.metrics().ended(entry::RequestEnd::Cut));
}

TEST(AnswerEndings, RequestThatReachesItsTimeLimitWithoutAnAnswerIsRefused)
{
    GatedEngine engine(loop());
    EntryFixture fixture(loop(), {{"e1", {"s", engine.endpoint.port}}});
    LONGS_EQUAL(504, fixture.reply("POST", "/book/1", "a1", {{"Yuccasaddle-Deadline-Ms", "50"}}).status);
}

TEST(AnswerEndings, AnswerToAHeadRequestHasNoBodyAndTheConnectionServesTheNextRequest)
{
    ScriptedEndpoint engine(loop(), [](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        auto answer = signedAnswer(idOf(request), "ok");
        if (request.head.starts_with("HEAD ")) {
            answer.resize(answer.size() - 2);
        }
        co_await sendBytes(socket, answer);
    });
    EntryFixture fixture(loop(), {{"e1", {"s", engine.port}}});
    RawCaller caller(loop(), fixture.port);
    caller.send("HEAD /book/1 HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key-n\r\nYuccasaddle-Attempt-Id: a1\r\nYuccasaddle-Deadline-Ms: 500\r\n\r\n");
    CHECK(becomesTrue(loop(), [&] {
        return caller.responses() == 1;
    }));
    CHECK(caller.received().starts_with("HTTP/1.1 200 "));
    CHECK(caller.received().ends_with("\r\n\r\n"));
    caller.send(requestBytes("POST", "/book/1", "a2"));
    CHECK(becomesTrue(loop(), [&] {
        return caller.responses() == 2;
    }));
    CHECK(caller.received().ends_with("ok"));
}
