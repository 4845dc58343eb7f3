// Tests of requests that a router sends through a peer because its own path to an endpoint is cut.
#include "relay_fixture.h"

// CppUTest goes last: its memory-leak macros redefine operator new.
#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;

namespace
{

std::string idOf(const ReceivedRequest &request)
{
    return request.header("Yuccasaddle-Attempt-Id");
}

const char *const tunnelOpen = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: yucca-relay\r\n\r\n";

ScriptedEndpoint::Script answering()
{
    return [](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        co_await sendBytes(socket, signedAnswer(idOf(request), "ok"));
    };
}

// A peer that opens a tunnel and answers the request with these bytes instead of an endpoint's, and closes the connection.
ScriptedEndpoint::Script peerAnswering(std::string bytes)
{
    return [bytes](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        if (request.head.starts_with("GET /relay ")) {
            co_await sendBytes(socket, tunnelOpen);
            co_return;
        }
        co_await sendBytes(socket, bytes);
        socket.close();
    };
}

} // namespace

LOOP_GROUP(Relay);

TEST(Relay, RequestIsServedByWayOfAPeerWhenTheDirectPathIsCut)
{
    ScriptedEndpoint engine(loop(), answering());
    PeerRouter peer(loop(), {{"e1", {"s", engine.port}}});
    EntryFixture fixture(loop(), {{"e1", {"s", closedPort(loop())}}});
    usePeers(fixture, {peer.address});
    const auto reply = fixture.reply("POST", "/book/1", "a1", {{"Yuccasaddle-Deadline-Ms", "2000"}}, "{}");
    LONGS_EQUAL(200, reply.status);
    STRCMP_EQUAL("sig-a1", reply.header("Yuccasaddle-Response-Signature").c_str());
    LONGS_EQUAL(1, engine.seen.size());
    STRCMP_EQUAL("{}", engine.seen[0].body.c_str());
    STRCMP_EQUAL("e1", engine.seen[0].header("Yuccasaddle-Expected-Instance").c_str());
    CHECK(std::stol(engine.seen[0].header("Yuccasaddle-Deadline-Ms")) <= 2000);
    LONGS_EQUAL(1, fixture.gateway.metrics().relayed);
    LONGS_EQUAL(0, fixture.gateway.metrics().retries);
}

TEST(Relay, CutPathIsNotTriedAgainByRequestsAndIsUsedAgainOnceItIsBack)
{
    ScriptedEndpoint engine(loop(), answering());
    PeerRouter peer(loop(), {{"e1", {"s", engine.port}}});
    const auto port = closedPort(loop());
    EntryFixture fixture(loop(), {{"e1", {"s", port}}});
    usePeers(fixture, {peer.address});
    for (int n = 0; n < 3; ++n) {
        LONGS_EQUAL(200, fixture.reply("POST", "/book/1", "a" + std::to_string(n)).status);
    }
    LONGS_EQUAL(3, peer.relay.counters().accepted);
    CHECK(!fixture.gateway.reachesDirectly(fixture.table.endpoints()[0]));
    asio::ip::tcp::acceptor restored(loop().io, {asio::ip::make_address("127.0.0.1"), port});
    loop().runUntil([&] {
        return fixture.gateway.reachesDirectly(fixture.table.endpoints()[0]);
    });
    CHECK(fixture.gateway.reachesDirectly(fixture.table.endpoints()[0]));
}

TEST(Relay, EventsArriveAsTheyAreSentAndACancellationReachesTheEndpoint)
{
    Signal cancelled;
    ScriptedEndpoint engine(loop(), [&](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        co_await sendBytes(socket, streamHead(idOf(request)) + chunk(eventNumber(1)));
        char byte;
        boost::system::error_code ec;
        co_await socket.async_read_some(asio::buffer(&byte, 1), asio::redirect_error(asio::use_awaitable, ec));
        CHECK(ec.failed());
        cancelled.fire();
    });
    PeerRouter peer(loop(), {{"e1", {"m", engine.port}}});
    EntryFixture fixture(loop(), {{"e1", {"m", closedPort(loop())}}});
    usePeers(fixture, {peer.address});
    tcp::socket caller(loop().io);
    caller.connect({asio::ip::make_address("127.0.0.1"), fixture.port});
    auto request = http::makeRequest("POST", "/chat/1", "", EntryFixture::caller("a1"));
    http::bhttp::write(caller, request);
    std::string received;
    loop().runUntil([&] {
        char buffer[1024];
        boost::system::error_code ec;
        received.append(buffer, caller.available() > 0 ? caller.read_some(asio::buffer(buffer), ec) : 0);
        return received.find("token1") != std::string::npos;
    });
    caller.close();
    loop().runUntil([&] {
        return cancelled.fired() && peer.relay.counters().open == 0;
    });
    CHECK(cancelled.fired());
    LONGS_EQUAL(0, peer.relay.counters().open);
}

TEST(Relay, UnsafeRequestIsNotSentAgainAfterItsTunnelBroke)
{
    ScriptedEndpoint dying(loop(), peerAnswering(""));
    EntryFixture fixture(loop(), {{"e1", {"s", closedPort(loop())}}, {"e2", {"s", closedPort(loop())}}});
    usePeers(fixture, {{"127.0.0.1", dying.port}});
    LONGS_EQUAL(502, fixture.reply("POST", "/book/1", "a1").status); // it may have run
    LONGS_EQUAL(2, dying.seen.size()); // the request for the tunnel, and the request itself
}

TEST(Relay, RefusedTunnelMeansThatTheRequestWasNotExecuted)
{
    PeerRouter peer(loop(), {{"e1", {"s", closedPort(loop())}}}); // the endpoint is down
    EntryFixture fixture(loop(), {{"e1", {"s", closedPort(loop())}}});
    usePeers(fixture, {peer.address});
    const auto reply = fixture.reply("POST", "/book/1", "a1");
    LONGS_EQUAL(503, reply.status);
    CHECK(!reply.header("Retry-After").empty());
    LONGS_EQUAL(1, peer.relay.counters().refused);
    CHECK(fixture.gateway.reachesDirectly(fixture.table.endpoints()[0])); // the endpoint is down, not the path
}

TEST(Relay, ResponseWithoutLengthIsCompleteOnlyIfTheEndpointEndedIt)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nYuccasaddle-Response-Signature: s\r\nYuccasaddle-Attempt-Id: a1\r\n\r\nall of it";
    ScriptedEndpoint engine(loop(), [&](tcp::socket &socket, const ReceivedRequest &) -> Task<void> {
        co_await sendBytes(socket, answer);
        socket.close();
    });
    PeerRouter peer(loop(), {{"e1", {"s", engine.port}}});
    EntryFixture fixture(loop(), {{"e1", {"s", closedPort(loop())}}});
    usePeers(fixture, {peer.address});
    const auto whole = fixture.reply("POST", "/book/1", "a1");
    LONGS_EQUAL(200, whole.status);
    STRCMP_EQUAL("all of it", whole.body.c_str());

    ScriptedEndpoint dying(loop(), peerAnswering(answer)); // a peer that ends in the middle of the response
    EntryFixture other(loop(), {{"e1", {"s", closedPort(loop())}}});
    usePeers(other, {{"127.0.0.1", dying.port}});
    LONGS_EQUAL(502, other.reply("POST", "/book/1", "a1").status);
}

TEST(Relay, ResetOfTheEndpointDoesNotLookLikeTheEndOfAResponse)
{
    ScriptedEndpoint engine(loop(), [](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        co_await sendBytes(socket, "HTTP/1.1 200 OK\r\nYuccasaddle-Response-Signature: s\r\nYuccasaddle-Attempt-Id: " + idOf(request) + "\r\n\r\na part");
        co_await sleepFor(Millis(20)); // the bytes must arrive before the reset
        resetConnection(socket);
    });
    PeerRouter peer(loop(), {{"e1", {"s", engine.port}}});
    EntryFixture fixture(loop(), {{"e1", {"s", closedPort(loop())}}});
    usePeers(fixture, {peer.address});
    LONGS_EQUAL(502, fixture.reply("POST", "/book/1", "a1").status);
}

TEST(Relay, PeerThatIsCutOffItselfOffersNoTunnelAndAnotherOneIsAsked)
{
    ScriptedEndpoint engine(loop(), answering());
    PeerRouter cutOff(loop(), {{"e1", {"s", engine.port}}});
    cutOff.reachesDirectly = false;
    PeerRouter peer(loop(), {{"e1", {"s", engine.port}}});
    EntryFixture fixture(loop(), {{"e1", {"s", closedPort(loop())}}});
    usePeers(fixture, {cutOff.address, peer.address});
    for (int n = 0; n < 8; ++n) {
        LONGS_EQUAL(200, fixture.reply("POST", "/book/1", "a" + std::to_string(n)).status);
    }
    CHECK(cutOff.relay.counters().refused <= 1); // it is not asked again for a while
    LONGS_EQUAL(0, cutOff.relay.counters().accepted);
}

TEST(Relay, PeerOfAReleaseWithoutTunnelsIsPassedOver)
{
    ScriptedEndpoint engine(loop(), answering());
    FakeEndpoint older(loop(), [](http::Exchange &ex) {
        return ex.reply(404, "no such kind\n");
    });
    PeerRouter peer(loop(), {{"e1", {"s", engine.port}}});
    EntryFixture fixture(loop(), {{"e1", {"s", closedPort(loop())}}});
    usePeers(fixture, {{"127.0.0.1", older.port}, peer.address});
    for (int n = 0; n < 4; ++n) {
        LONGS_EQUAL(200, fixture.reply("POST", "/book/1", "a" + std::to_string(n)).status);
    }
}

TEST(Relay, TunnelsAreForListedRoutersAndLiveEndpointsOnly)
{
    ScriptedEndpoint engine(loop(), answering());
    PeerRouter peer(loop(), {{"e1", {"s", engine.port}}});
    http::Client client;
    const auto ask = [&](const std::string &endpoint) {
        const http::TunnelRequest request{peer.address, endpoint, Millis(1000)};
        return loop().run(client.tryTunnel(request, Millis(1000))).value_or(101);
    };
    const auto key = incarnationKey(peer.table.endpoints()[0]);
    LONGS_EQUAL(101, ask(key));
    LONGS_EQUAL(421, ask("e2#0"));
    peer.senders.setPeers({}, {"10.0.0.1"});
    LONGS_EQUAL(403, ask(key));
    peer.senders.setPeers({}, {"127.0.0.1"});
    peer.table.backOff(peer.table.endpoints()[0], Clock::now() + Millis(1000));
    LONGS_EQUAL(503, ask(key));
    peer.table.recordLeaving(peer.table.endpoints()[0], true, Clock::now());
    LONGS_EQUAL(421, ask(key));
}

TEST(Relay, NumberOfTunnelsIsLimitedAndAStoppingPeerOffersNone)
{
    ScriptedEndpoint engine(loop(), answering());
    relay::RelayOptions options;
    options.maxTunnels = 0;
    PeerRouter full(loop(), {{"e1", {"s", engine.port}}}, options);
    PeerRouter stopping(loop(), {{"e1", {"s", engine.port}}});
    stopping.relay.stop();
    http::Client client;
    for (const auto *peer : {&full, &stopping}) {
        const http::TunnelRequest request{peer->address, "e1#0", Millis(1000)};
        LONGS_EQUAL(503, loop().run(client.tryTunnel(request, Millis(1000))).value_or(101));
    }
}

TEST(Relay, TunnelEndsWithItsLifetime)
{
    ScriptedEndpoint engine(loop(), answering());
    PeerRouter peer(loop(), {{"e1", {"s", engine.port}}});
    tcp::socket router(loop().io);
    router.connect({asio::ip::make_address("127.0.0.1"), peer.address.port});
    const std::string ask =
        "GET /relay HTTP/1.1\r\nHost: peer\r\nConnection: Upgrade\r\nUpgrade: yucca-relay\r\nRelay-Endpoint: e1#0\r\nRelay-Lifetime-Ms: 30\r\n\r\n";
    asio::write(router, asio::buffer(ask));
    loop().runUntil([&] {
        return peer.relay.counters().accepted == 1;
    });
    LONGS_EQUAL(1, peer.relay.counters().open);
    loop().runUntil([&] {
        return peer.relay.counters().open == 0;
    });
    LONGS_EQUAL(0, peer.relay.counters().open);
}

TEST(Relay, RequestDoesNotLeaveItsRegionsOnTheWay)
{
    ScriptedEndpoint engine(loop(), answering());
    PeerRouter peer(loop(), {{"e1", {"s", engine.port}}});
    EntryFixture fixture(loop(), {});
    auto endpoint = endpointAt("e1", closedPort(loop()), "s", EndpointKind::Service);
    endpoint.region = "region-1";
    auto configuration = entryConfiguration(2);
    configuration["routes"][0]["allowed_regions"] = {"region-1"};
    fixture.configure(configuration);
    fixture.table.setEndpoints({endpoint});
    fixture.relayPeers.setPeers({{peer.address, "zone-far"}}, {"127.0.0.1"});
    LONGS_EQUAL(503, fixture.reply("POST", "/book/1", "a1").status);
    LONGS_EQUAL(0, peer.relay.counters().accepted + peer.relay.counters().refused);
    fixture.relayPeers.setPeers({{peer.address, "zone-near"}}, {"127.0.0.1"});
    fixture.table.clearFailures("e1");
    LONGS_EQUAL(200, fixture.reply("POST", "/book/1", "a2").status);
}

TEST(Relay, CutPathCondemnsNeitherTheEndpointNorTheRequest)
{
    // The endpoint breaks off, and refuses new connections of this router only.
    auto engine = std::make_unique<ScriptedEndpoint>(loop(), [](tcp::socket &socket, const ReceivedRequest &) -> Task<void> {
        resetConnection(socket);
        co_return;
    });
    ScriptedEndpoint reached(loop(), answering());
    PeerRouter peer(loop(), {{"e1", {"s", reached.port}}});
    EntryFixture fixture(loop(), {{"e1", {"s", engine->port}}});
    usePeers(fixture, {peer.address});
    LONGS_EQUAL(502, fixture.reply("POST", "/book/1", "a1").status);
    engine->stopListening();
    loop().runUntil([&] {
        return !fixture.gateway.reachesDirectly(fixture.table.endpoints()[0]);
    });
    LONGS_EQUAL(0, fixture.gateway.metrics().endpointCrashes);
    LONGS_EQUAL(200, fixture.reply("POST", "/book/1", "a2").status);
}
