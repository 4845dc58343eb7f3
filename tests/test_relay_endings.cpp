// Guards against relayed requests that end without a whole answer beside changes of the peers, of the list of endpoints and at
// the stop of the relaying router. docs/design/request-endings.md lists all cases.
#include "endings_fixture.h"
#include "relay_fixture.h"

// CppUTest goes last: its memory-leak macros redefine operator new.
#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;

namespace
{

/// A router with a request and a stream under way at two gated engines that only a peer reaches.
struct RelayedRequests {
    explicit RelayedRequests(Loop &l)
        : loop(l)
        , plain(l)
        , model(l)
        , peer(l, {{"e1", {"s", plain.endpoint.port}}, {"e2", {"m", model.endpoint.port}}})
        , fixture(l, {{"e1", {"s", closedPort(l)}}, {"e2", {"m", closedPort(l)}}})
    {
        usePeers(fixture, {peer.address});
        loop.start(fixture.send("POST", "/book/1", EntryFixture::caller("a1"), ""), request);
        loop.start(fixture.send("POST", "/once/1", EntryFixture::caller("a2"), ""), stream);
        require(becomesTrue(loop, [this] {
            return plain.endpoint.seen.size() == 1 && model.endpoint.seen.size() == 1;
        }));
    }
    void complete()
    {
        plain.goOn();
        model.goOn();
        require(becomesTrue(
            loop,
            [this] {
                return request.has_value() && stream.has_value();
            },
            Millis(30000)));
    }

    Loop &loop;
    GatedEngine plain;
    GatedEngine model;
    PeerRouter peer;
    EntryFixture fixture;
    std::optional<http::CallResult<http::Reply>> request;
    std::optional<http::CallResult<http::Reply>> stream;
};

void checkBothWhole(RelayedRequests &relayed)
{
    relayed.complete();
    CHECK(std::holds_alternative<http::Reply>(*relayed.request));
    CHECK(std::holds_alternative<http::Reply>(*relayed.stream));
    LONGS_EQUAL(200, std::get<http::Reply>(*relayed.request).status);
    STRCMP_EQUAL("ok", std::get<http::Reply>(*relayed.request).body.c_str());
    STRCMP_EQUAL(eventsUpTo(2).c_str(), std::get<http::Reply>(*relayed.stream).body.c_str());
    LONGS_EQUAL(2, relayed.peer.relay.counters().accepted);
}

} // namespace

LOOP_GROUP(RelayEndings);

TEST(RelayEndings, RelayedAnswersArriveWholeWhenThePeersAreReplaced)
{
    RelayedRequests relayed(loop());
    relayed.fixture.relayPeers.setPeers({{{"127.0.0.1", closedPort(loop())}, "zone-near"}}, {"127.0.0.9"});
    checkBothWhole(relayed);
}

TEST(RelayEndings, RelayedAnswersArriveWholeWhenNoPeerIsLeft)
{
    RelayedRequests relayed(loop());
    relayed.fixture.relayPeers.setPeers({}, {});
    checkBothWhole(relayed);
}

TEST(RelayEndings, RelayedAnswersArriveWholeWhenTheRelayingRouterNoLongerListsTheSender)
{
    RelayedRequests relayed(loop());
    relayed.peer.senders.setPeers({}, {"10.0.0.1"});
    checkBothWhole(relayed);
}

TEST(RelayEndings, RelayedAnswersArriveWholeWhenTheRelayingRouterStops)
{
    RelayedRequests relayed(loop());
    relayed.peer.server.closeConnectionsAfterResponses();
    relayed.peer.relay.stop();
    relayed.peer.server.stopAccepting();
    letPass(loop(), Millis(20));
    LONGS_EQUAL(2, relayed.peer.relay.counters().open); // a stopping router waits for these
    checkBothWhole(relayed);
    CHECK(becomesTrue(loop(), [&] {
        return relayed.peer.relay.counters().open == 0;
    }));
}

TEST(RelayEndings, RelayedAnswersArriveWholeWhenTheRelayingRouterUnlistsTheEndpointsOrLosesItsOwnPath)
{
    RelayedRequests relayed(loop());
    relayed.peer.reachesDirectly = false;
    relayed.peer.table.setEndpoints({});
    checkBothWhole(relayed);
}

TEST(RelayEndings, RelayedAnswersArriveWholeWhenTheConfigurationDropsTheirRoutes)
{
    RelayedRequests relayed(loop());
    auto configuration = entryConfiguration(2);
    configuration["routes"] = nlohmann::json::array();
    configuration["services"] = nlohmann::json::array();
    relayed.fixture.configure(configuration);
    checkBothWhole(relayed);
}

TEST(RelayEndings, StreamWithoutFramingIsCompleteWhenItsEndpointEndsTheTunnel)
{
    ScriptedEndpoint engine(loop(), [](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        const std::string head =
            "HTTP/1.1 200 OK\r\nYuccasaddle-Attempt-Id: " + idOf(request) + "\r\nYuccasaddle-Response-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n";
        co_await sendBytes(socket, head + eventNumber(1));
        co_await sleepFor(Millis(20)); // so that the end arrives by itself
        co_await sendBytes(socket, eventNumber(2));
        socket.close();
    });
    PeerRouter peer(loop(), {{"e1", {"m", engine.port}}});
    EntryFixture fixture(loop(), {{"e1", {"m", closedPort(loop())}}});
    usePeers(fixture, {peer.address});
    const auto reply = fixture.reply("POST", "/once/1", "a1");
    LONGS_EQUAL(200, reply.status);
    STRCMP_EQUAL(eventsUpTo(2).c_str(), reply.body.c_str());
    CHECK(becomesTrue(loop(), [&] {
        return peer.relay.counters().open == 0;
    }));
}

TEST(RelayEndings, ResumableStreamGoesOnElsewhereWhenItsTunnelBreaks)
{
    ScriptedEndpoint breaking(loop(), [](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        co_await sendBytes(socket, streamHead(idOf(request)) + chunk(eventNumber(1)));
        co_await sleepFor(Millis(20)); // the event must arrive before the reset
        resetConnection(socket);
    });
    GatedEngine sound(loop());
    sound.goOn();
    PeerRouter peer(loop(), {{"e1", {"m", breaking.port}}});
    EntryFixture fixture(loop(), {{"e1", {"m", closedPort(loop())}}});
    usePeers(fixture, {peer.address});
    std::optional<http::CallResult<http::Reply>> result;
    loop().start(fixture.send("POST", "/chat/1", EntryFixture::caller("a1"), ""), result);
    CHECK(becomesTrue(loop(), [&] {
        return breaking.seen.size() == 1;
    }));
    auto listed = fixture.table.endpoints();
    listed.push_back(endpointAt("e2", sound.endpoint.port, "m", EndpointKind::Service));
    fixture.published.replaceEndpoints({{"e1", listed[0]}, {"e2", listed[1]}});
    loop().runUntil([&] {
        return result.has_value();
    });
    CHECK(std::holds_alternative<http::Reply>(*result));
    STRCMP_EQUAL(eventsUpTo(2).c_str(), std::get<http::Reply>(*result).body.c_str());
}

TEST(RelayEndings, TruncatedAnswerIsNotCompletedByTheRelayingRouter)
{
    for (const std::size_t missing : {1, 16, 31, 32, 33, 40}) {
        Loop ownLoop; // what is suspended in it ends with its fixtures
        ScriptedEndpoint engine(ownLoop, [missing](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
            auto answer = signedAnswer(idOf(request), std::string(60, 'x'));
            answer.resize(answer.size() - missing);
            co_await sendBytes(socket, answer);
            socket.close();
        });
        PeerRouter peer(ownLoop, {{"e1", {"s", engine.port}}});
        EntryFixture fixture(ownLoop, {{"e1", {"s", closedPort(ownLoop)}}});
        usePeers(fixture, {peer.address});
        LONGS_EQUAL(502, fixture.reply("POST", "/book/1", "a1").status);
        LONGS_EQUAL(1, engine.seen.size());
        CHECK(peer.relay.counters().accepted >= 1);
        CHECK(becomesTrue(ownLoop, [&] {
            return peer.relay.counters().open == 0;
        }));
    }
}

TEST(RelayEndings, StreamThatBreaksInsideAChunkBringsNoByteOfTheRelayingRouter)
{
    for (const std::string framing : {"Transfer-Encoding: chunked\r\n", "Content-Length: 400\r\n"}) {
        Loop ownLoop;
        ScriptedEndpoint engine(ownLoop, [framing](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
            const std::string head = "HTTP/1.1 200 OK\r\nYuccasaddle-Attempt-Id: " + idOf(request) + "\r\nYuccasaddle-Response-Signature: s\r\n" + framing;
            const std::string begun = framing.starts_with("T") ? "100\r\n" : ""; // the head of a chunk of 256 bytes
            co_await sendBytes(socket, head + "Content-Type: text/event-stream\r\n\r\n" + begun + eventNumber(1) + "id: 2\ndata: ");
            socket.close();
        });
        PeerRouter peer(ownLoop, {{"e1", {"m", engine.port}}});
        EntryFixture fixture(ownLoop, {{"e1", {"m", closedPort(ownLoop)}}});
        usePeers(fixture, {peer.address});
        Received received;
        asio::co_spawn(ownLoop.io, request(fixture, "/once/1", "a1", received), asio::detached);
        ownLoop.runUntil([&] {
            return received.ended;
        });
        CHECK(!received.complete);
        STRCMP_EQUAL(eventNumber(1).c_str(), received.body.c_str());
        CHECK(becomesTrue(ownLoop, [&] {
            return peer.relay.counters().open == 0;
        }));
    }
}
