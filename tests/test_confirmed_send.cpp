// Tests of requests on kept connections whose path may be cut, and of connections that are given up. The system's count of
// unacknowledged bytes is replaced.
#include "entry_fixture.h"
#include "relay_server.h"
#include "socket_queue.h"

// CppUTest goes last: its memory-leak macros redefine operator new.
#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;

namespace
{

std::size_t unacknowledgedNow = 0; ///< what net::unacknowledgedBytes() returns

std::string idOf(const ReceivedRequest &request)
{
    return request.header("Yuccasaddle-Attempt-Id");
}

ScriptedEndpoint::Script answering()
{
    return [](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        co_await sendBytes(socket, signedAnswer(idOf(request), "ok"));
    };
}

Task<bool> pauseFor(Millis time)
{
    co_await sleepFor(time);
    co_return true;
}

} // namespace

namespace yucca::net
{

std::optional<std::size_t> unacknowledgedBytes(int)
{
    return unacknowledgedNow;
}

} // namespace yucca::net

LOOP_GROUP(ConfirmedSend);

namespace
{

http::CallResult<http::Reply> callConfirmed(Loop &loop, http::Client &client, uint16_t port, const std::string &id, const std::string &body)
{
    unacknowledgedNow = id == "lost" ? 1 : 0;
    http::CallOptions options;
    options.deadline = Clock::now() + std::chrono::seconds(5);
    options.reuse = http::ConnectionReuse::KeepAlive;
    options.confirmAfterIdle = Millis(0);
    auto request = http::makeRequest("POST", "/x", body, {{"Yuccasaddle-Attempt-Id", id}, {"X-Twice", "1"}, {"X-Twice", "2"}});
    auto result = loop.run(client.call({"127.0.0.1", port}, std::move(request), options));
    unacknowledgedNow = 0;
    return result;
}

} // namespace

TEST(ConfirmedSend, RequestArrivesUnchangedOnAConfirmedConnection)
{
    ScriptedEndpoint engine(loop(), answering());
    http::Client client;
    callConfirmed(loop(), client, engine.port, "a", "{\"n\":1}");
    const auto result = callConfirmed(loop(), client, engine.port, "b", "{\"n\":2}");
    LONGS_EQUAL(200, std::get<http::Reply>(result).status);
    LONGS_EQUAL(1, engine.connections);
    const auto &first = engine.seen[0];
    const auto &second = engine.seen[1];
    STRCMP_EQUAL("{\"n\":2}", second.body.c_str());
    std::string expected = first.head;
    expected.replace(expected.find("Id: a"), 5, "Id: b");
    STRCMP_EQUAL(expected.c_str(), second.head.c_str());
    callConfirmed(loop(), client, engine.port, "c", "");
    LONGS_EQUAL(3, engine.seen.size());
}

TEST(ConfirmedSend, RequestThatIsNotAcknowledgedIsNeverCompleteAtThePeer)
{
    ScriptedEndpoint engine(loop(), answering());
    http::Client client;
    callConfirmed(loop(), client, engine.port, "a", "{}");
    const auto result = callConfirmed(loop(), client, engine.port, "lost", "{}");
    CHECK(std::get<http::CallError>(result).stage == http::CallStage::Connect);
    callConfirmed(loop(), client, engine.port, "b", "{}");
    LONGS_EQUAL(2, engine.seen.size());
    LONGS_EQUAL(2, engine.connections); // the first one is given up
}

TEST(ConfirmedSend, RequestIsSentOnANewConnectionIfThePeerClosedTheKeptOne)
{
    Signal closed;
    ScriptedEndpoint engine(loop(), [&](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        co_await sendBytes(socket, signedAnswer(idOf(request), "ok"));
        if (idOf(request) == "a") {
            socket.close();
            closed.fire();
        }
    });
    http::Client client;
    callConfirmed(loop(), client, engine.port, "a", "{}");
    loop().runUntil([&] {
        return closed.fired();
    });
    const auto result = callConfirmed(loop(), client, engine.port, "b", "{}");
    LONGS_EQUAL(200, std::get<http::Reply>(result).status);
    LONGS_EQUAL(2, engine.seen.size());
}

TEST(ConfirmedSend, UnsafeRequestOverACutPathIsServedByWayOfAPeer)
{
    ScriptedEndpoint engine(loop(), answering());
    EntryFixture fixture(loop(), {{"e1", {"s", engine.port}}});
    LONGS_EQUAL(200, fixture.reply("POST", "/book/1", "a1").status);
    loop().run(pauseFor(Millis(300))); // the path is no longer taken for intact

    router::RoutingTable peerTable;
    peerTable.setEndpoints(fixture.table.endpoints());
    relay::RelayPeers senders;
    senders.setPeers({}, {"127.0.0.1"});
    relay::RelayServer relay(loop().io, peerTable, senders, [](const Endpoint &) {
        return true;
    });
    FakeEndpoint peer(loop(), [&relay](http::Exchange &ex) -> Task<void> {
        relay.handle(ex);
        co_return;
    });
    fixture.relayPeers.setPeers({{{"127.0.0.1", peer.port}, "zone-near"}}, {"127.0.0.1"});
    unacknowledgedNow = 1;
    const auto reply = fixture.reply("POST", "/book/1", "a2");
    unacknowledgedNow = 0;
    LONGS_EQUAL(200, reply.status);
    LONGS_EQUAL(2, engine.seen.size());
    LONGS_EQUAL(1, relay.counters().accepted);
}

TEST(ConfirmedSend, RequestThatWasGivenUpIsResetAtTheEndpoint)
{
    boost::system::error_code end;
    Signal ended;
    ScriptedEndpoint engine(loop(), [&](tcp::socket &socket, const ReceivedRequest &) -> Task<void> {
        char byte;
        co_await socket.async_read_some(asio::buffer(&byte, 1), asio::redirect_error(asio::use_awaitable, end));
        ended.fire();
    });
    EntryFixture fixture(loop(), {{"e1", {"s", engine.port}}});
    LONGS_EQUAL(504, fixture.reply("POST", "/book/1", "a1", {{"Yuccasaddle-Deadline-Ms", "50"}}).status);
    loop().runUntil([&] {
        return ended.fired();
    });
    CHECK(end == asio::error::connection_reset);
}

TEST(ConfirmedSend, EndpointThatIsSilentForASecondIsNeitherLeftNorBlamed)
{
    ScriptedEndpoint engine(loop(), [](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        co_await sleepFor(Millis(1100));
        co_await sendBytes(socket, signedAnswer(idOf(request), "ok"));
    });
    EntryFixture fixture(loop(), {{"e1", {"s", engine.port}}});
    LONGS_EQUAL(200, fixture.reply("POST", "/book/1", "a1").status);
    LONGS_EQUAL(1, engine.seen.size());
    LONGS_EQUAL(0, fixture.gateway.metrics().ejections);
    LONGS_EQUAL(0, fixture.gateway.metrics().endpointCrashes);
    CHECK(fixture.gateway.reachesDirectly(fixture.table.endpoints()[0]));
    CHECK(fixture.table.findLive(incarnationKey(fixture.table.endpoints()[0])).has_value());
}
