// A request that the server has read ends with a whole response, a refusal, or a connection that does not look complete,
// and with a log line where the server is the cause.
#include "log_capture.h"
#include "raw_connection.h"

#include <boost/asio/local/connect_pair.hpp>
#include <boost/asio/local/stream_protocol.hpp>

#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;
using http::tcp;

namespace
{

const std::string get = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string halfOfAPost = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab";
const std::string ok200 = "HTTP/1.1 200 OK\r\n";
const std::string lastChunk = "0\r\n\r\n";

struct AnsweringServer {
    explicit AnsweringServer(Loop &loop, http::ServerLimits limits = {})
        : server(
            {&loop.io}, "127.0.0.1", 0,
            [this](http::Exchange &ex) -> Task<void> {
                ++handled;
                co_await ex.reply(200, ex.request().body());
            },
            limits)
        , port(std::get<uint16_t>(server.start()))
    {
    }
    int handled = 0;
    http::Server server;
    uint16_t port;
};

bool noneInFlight(Loop &loop, const http::Server &server)
{
    return runUntilOrFor(loop, [&] {
        return server.inflight() == 0;
    });
}

http::ServerLimits withIdleTimeout(Millis idleTimeout)
{
    http::ServerLimits limits;
    limits.idleTimeout = idleTimeout;
    return limits;
}

http::ServerLimits withHeaderTimeout(Millis headerTimeout)
{
    http::ServerLimits limits;
    limits.headerTimeout = headerTimeout;
    return limits;
}

} // namespace

LOOP_GROUP(HandlerFailures);

TEST(HandlerFailures, ExceptionBeforeTheResponseGives500AndALogLine)
{
    LogCapture log;
    FakeEndpoint server(loop(), [](http::Exchange &) -> Task<void> {
        throw std::runtime_error("no such workspace");
        co_return;
    });
    RawConnection caller(loop(), server.port);
    caller.send(get);
    CHECK(caller.runUntilReceived("internal error"));
    CHECK(caller.count("HTTP/1.1 500 ") == 1);
    const auto line = log.line("HandlerFailed");
    CHECK(line.find("no such workspace") != std::string::npos);
    CHECK(line.find("/a") != std::string::npos);
    CHECK(line.find("127.0.0.1:") != std::string::npos);
    LONGS_EQUAL(1, server.server.counters().handlerFailures.load());
    LONGS_EQUAL(0, server.server.counters().unanswered.load());
}

TEST(HandlerFailures, ExceptionOfAnotherTypeGives500)
{
    LogCapture log;
    FakeEndpoint server(loop(), [](http::Exchange &) -> Task<void> {
        throw 7;
        co_return;
    });
    RawConnection caller(loop(), server.port);
    caller.send(get);
    CHECK(caller.runUntilReceived("HTTP/1.1 500 "));
    CHECK(!log.line("HandlerFailed").empty());
    LONGS_EQUAL(0, server.server.inflight());
}

TEST(HandlerFailures, HandlerWithoutAResponseGives500)
{
    LogCapture log;
    FakeEndpoint server(loop(), [](http::Exchange &) -> Task<void> {
        co_return;
    });
    RawConnection caller(loop(), server.port);
    caller.send(get);
    CHECK(caller.runUntilReceived("HTTP/1.1 500 "));
    CHECK(!log.line("HandlerFailed").empty());
}

TEST(HandlerFailures, ExceptionInAStreamEndsTheConnectionWithoutTheEndOfTheStream)
{
    LogCapture log;
    FakeEndpoint server(loop(), [](http::Exchange &ex) -> Task<void> {
        co_await ex.beginStream(200, "text/event-stream");
        co_await ex.sendChunk("event 1");
        throw std::runtime_error("no such service");
    });
    RawConnection caller(loop(), server.port);
    caller.send(get);
    CHECK(caller.runUntilEnd());
    CHECK(caller.count("event 1") == 1);
    CHECK(caller.count(lastChunk) == 0);
    CHECK(log.line("HandlerFailed").find("no such service") != std::string::npos);
    LONGS_EQUAL(1, server.server.counters().handlerFailures.load());
    LONGS_EQUAL(1, server.server.counters().truncated.load());
}

TEST(HandlerFailures, StreamThatItsHandlerLeavesOpenEndsTheConnection)
{
    LogCapture log;
    FakeEndpoint server(loop(), [](http::Exchange &ex) -> Task<void> {
        co_await ex.beginStream(200, "text/event-stream");
    });
    RawConnection caller(loop(), server.port);
    caller.send(get);
    CHECK(caller.runUntilEnd());
    CHECK(caller.count(lastChunk) == 0);
    CHECK(!log.line("HandlerFailed").empty());
}

TEST(HandlerFailures, ExceptionAfterAWholeResponseKeepsTheConnection)
{
    LogCapture log;
    FakeEndpoint server(loop(), [](http::Exchange &ex) -> Task<void> {
        co_await ex.reply(200, "whole");
        throw std::runtime_error("too late");
    });
    RawConnection caller(loop(), server.port);
    caller.send(get);
    CHECK(caller.runUntilReceived("whole"));
    caller.send(get);
    CHECK(caller.runUntilReceived("whole", 2));
    CHECK(!log.line("HandlerFailed").empty());
}

TEST(HandlerFailures, DisconnectCallbackOfAFailedHandlerIsNotCalledAfterIt)
{
    LogCapture log;
    bool handlerEnded = false;
    bool calledAfterwards = false;
    tcp::socket *callerSocket = nullptr;
    FakeEndpoint server(loop(), [&](http::Exchange &ex) -> Task<void> {
        ex.onCallerDisconnect([&] {
            calledAfterwards = handlerEnded;
        });
        callerSocket->set_option(asio::socket_base::linger(true, 0));
        callerSocket->close(); // a reset: the write of the response fails
        handlerEnded = true;
        throw std::runtime_error("failed");
        co_return;
    });
    RawConnection caller(loop(), server.port);
    callerSocket = &caller.socket();
    caller.send(get);
    runUntilOrFor(loop(), [&] {
        return handlerEnded && server.server.inflight() == 0;
    });
    CHECK(handlerEnded);
    CHECK(!calledAfterwards);
}

TEST(HandlerFailures, AbortByTheHandlerIsCountedApartFromFailures)
{
    LogCapture log;
    FakeEndpoint server(loop(), [](http::Exchange &ex) -> Task<void> {
        co_await ex.beginStream(200, "text/event-stream");
        ex.abort();
    });
    RawConnection caller(loop(), server.port);
    caller.send(get);
    CHECK(caller.runUntilEnd());
    CHECK(caller.count(lastChunk) == 0);
    CHECK(noneInFlight(loop(), server.server));
    const auto &counters = server.server.counters();
    LONGS_EQUAL(1, counters.aborted.load());
    LONGS_EQUAL(0, counters.handlerFailures.load());
    LONGS_EQUAL(0, counters.truncated.load());
    CHECK(log.line("HandlerFailed").empty());
}

TEST(HandlerFailures, CallerThatLeavesBeforeItsResponseIsCountedApartFromFailures)
{
    LogCapture log;
    Signal left;
    int handled = 0;
    FakeEndpoint server(loop(), [&](http::Exchange &ex) -> Task<void> {
        ++handled;
        ex.onCallerDisconnect([&] {
            left.fire();
        });
        co_await left.wait();
    });
    RawConnection caller(loop(), server.port);
    caller.send(get);
    runUntilOrFor(loop(), [&] {
        return handled == 1;
    });
    caller.socket().close();
    CHECK(noneInFlight(loop(), server.server));
    LONGS_EQUAL(1, server.server.counters().callersGone.load());
    LONGS_EQUAL(0, server.server.counters().handlerFailures.load());
    CHECK(log.line("HandlerFailed").empty());
}

LOOP_GROUP(RequestsAtTimeouts);

// The second request of a connection is read while a wait for the end of the first one's caller is still pending.
TEST(RequestsAtTimeouts, RequestThatArrivedWhileTheLoopStalledPastTheIdleTimeoutIsAnswered)
{
    AnsweringServer server(loop(), withIdleTimeout(Millis(100)));
    RawConnection caller(loop(), server.port);
    caller.send(get);
    CHECK(caller.runUntilReceived(ok200));
    asio::post(loop().io, [&] {
        caller.send(get);
        std::this_thread::sleep_for(Millis(200));
    });
    CHECK(caller.runUntilReceived(ok200, 2));
    LONGS_EQUAL(2, server.handled);
}

TEST(RequestsAtTimeouts, RequestThatArrivesAfterTheIdleTimerExpiredAndBeforeItsHandlerRunsIsAnswered)
{
    AnsweringServer server(loop(), withIdleTimeout(Millis(100)));
    RawConnection caller(loop(), server.port);
    caller.send(get);
    CHECK(caller.runUntilReceived(ok200));
    stallThen(loop(), Millis(200), [&] {
        caller.send(get);
    });
    CHECK(caller.runUntilReceived(ok200, 2));
}

TEST(RequestsAtTimeouts, IdleConnectionIsClosedAtTheIdleTimeout)
{
    AnsweringServer server(loop(), withIdleTimeout(Millis(50)));
    RawConnection caller(loop(), server.port);
    caller.send(get);
    CHECK(caller.runUntilEnd());
    CHECK(caller.count(ok200) == 1);
}

TEST(RequestsAtTimeouts, RaisedIdleTimeoutHoldsForConnectionsThatAreIdle)
{
    AnsweringServer server(loop(), withIdleTimeout(Millis(100)));
    RawConnection caller(loop(), server.port);
    caller.send(get);
    CHECK(caller.runUntilReceived(ok200));
    server.server.setLimits({});
    CHECK(!caller.runUntilEnd(Millis(200)));
    caller.send(get);
    CHECK(caller.runUntilReceived(ok200, 2));
}

TEST(RequestsAtTimeouts, SlowRequestIsRefusedWith408)
{
    AnsweringServer server(loop(), withHeaderTimeout(Millis(50)));
    RawConnection caller(loop(), server.port);
    caller.send(halfOfAPost);
    CHECK(caller.runUntilEnd());
    CHECK(caller.count("HTTP/1.1 408 ") == 1);
    LONGS_EQUAL(0, server.handled);
    LONGS_EQUAL(1, server.server.counters().rejectedMessages.load());
    CHECK(noneInFlight(loop(), server.server));
}

TEST(RequestsAtTimeouts, RestOfARequestThatArrivedWhileTheLoopStalledPastTheHeaderTimeoutIsRead)
{
    AnsweringServer server(loop(), withHeaderTimeout(Millis(150)));
    RawConnection caller(loop(), server.port);
    caller.send(halfOfAPost);
    runUntilOrFor(
        loop(),
        [] {
            return false; // until the server waits for the rest
        },
        Millis(50));
    stallThen(loop(), Millis(300), [&] {
        caller.send("cd");
    });
    CHECK(caller.runUntilReceived("abcd"));
    CHECK(caller.count(ok200) == 1);
}

LOOP_GROUP(RequestsAtAStop);

TEST(RequestsAtAStop, RequestThatArrivedOnAnIdleConnectionIsAnsweredAndItsConnectionClosed)
{
    AnsweringServer server(loop());
    RawConnection caller(loop(), server.port);
    caller.send(get);
    CHECK(caller.runUntilReceived(ok200));
    caller.send(get);
    server.server.stopAccepting();
    CHECK(caller.runUntilEnd());
    CHECK(caller.count(ok200) == 2);
    CHECK(caller.count("Connection: close") == 1);
}

TEST(RequestsAtAStop, RequestThatIsReadBeforeTheStopReachesItsConnectionIsAnswered)
{
    AnsweringServer server(loop());
    RawConnection caller(loop(), server.port);
    caller.send(get);
    CHECK(caller.runUntilReceived(ok200));
    asio::local::stream_protocol::socket stop(loop().io);
    asio::local::stream_protocol::socket stopper(loop().io);
    asio::local::connect_pair(stop, stopper);
    stop.async_wait(asio::socket_base::wait_read, [&](const boost::system::error_code &) {
        server.server.stopAccepting();
    });
    asio::write(stopper, asio::buffer("s", 1)); // becomes ready first
    caller.send(get);
    CHECK(caller.runUntilEnd());
    CHECK(caller.count(ok200) == 2);
}

TEST(RequestsAtAStop, PipelinedRequestBehindOneInFlightIsAnswered)
{
    Signal release;
    int handled = 0;
    FakeEndpoint server(loop(), [&](http::Exchange &ex) -> Task<void> {
        ++handled;
        co_await release.wait();
        co_await ex.reply(200, "");
    });
    RawConnection caller(loop(), server.port);
    caller.send(get + get);
    runUntilOrFor(loop(), [&] {
        return handled == 1;
    });
    server.server.stopAccepting();
    release.fire();
    CHECK(caller.runUntilEnd());
    CHECK(caller.count(ok200) == 2);
    CHECK(caller.count("Connection: close") == 1);
}

TEST(RequestsAtAStop, PipelinedRequestBehindAResponseThatClosesTheConnectionIsNotHandled)
{
    AnsweringServer server(loop());
    server.server.closeConnectionsAfterResponses();
    RawConnection caller(loop(), server.port);
    caller.send(get + get);
    CHECK(caller.runUntilEnd());
    CHECK(caller.count(ok200) == 1);
    CHECK(caller.count("Connection: close") == 1);
    LONGS_EQUAL(1, server.handled);
}

TEST(RequestsAtAStop, RequestOnAConnectionThatWasNotYetAcceptedIsAnswered)
{
    AnsweringServer server(loop());
    RawConnection caller(loop(), server.port);
    RawConnection another(loop(), server.port);
    caller.send(get);
    another.send(get);
    server.server.stopAccepting();
    CHECK(caller.runUntilEnd());
    CHECK(another.runUntilEnd());
    CHECK(caller.count(ok200) == 1);
    CHECK(another.count(ok200) == 1);
}

TEST(RequestsAtAStop, ReceivedRequestCountsAsInFlightUntilItIsAnswered)
{
    AnsweringServer server(loop());
    RawConnection caller(loop(), server.port);
    caller.send(get);
    CHECK(caller.runUntilReceived(ok200));
    LONGS_EQUAL(0, server.server.inflight());
    caller.send(get);
    server.server.stopAccepting();
    CHECK(server.server.inflight() > 0);
    CHECK(loop().run(server.server.waitIdle(waitLimit)));
    LONGS_EQUAL(2, server.handled);
}

TEST(RequestsAtAStop, IdleConnectionsAreClosedAtOnce)
{
    AnsweringServer server(loop());
    RawConnection caller(loop(), server.port);
    RawConnection silent(loop(), server.port);
    caller.send(get);
    CHECK(caller.runUntilReceived(ok200));
    server.server.stopAccepting();
    CHECK(caller.runUntilEnd());
    CHECK(silent.runUntilEnd());
    LONGS_EQUAL(0, server.server.inflight());
}

LOOP_GROUP(ConnectionEnds);

// Beast throws for a header field of 64 KiB or more.
TEST(ConnectionEnds, HeaderFieldThatTheParserCannotStoreGives431)
{
    LogCapture log;
    http::ServerLimits limits;
    limits.headerBytes = 256 * 1024;
    AnsweringServer server(loop(), limits);
    RawConnection caller(loop(), server.port);
    caller.send("GET /a HTTP/1.1\r\nHost: a\r\nX: " + std::string(70000, 'x') + "\r\n\r\n");
    CHECK(caller.runUntilEnd());
    CHECK(caller.count("HTTP/1.1 431 ") == 1);
    CHECK(noneInFlight(loop(), server.server));
}

TEST(ConnectionEnds, LastResponseIsWholeThoughBytesFollowTheRequest)
{
    const std::string body(200 * 1024, 'x');
    FakeEndpoint server(loop(), [&](http::Exchange &ex) {
        return ex.reply(200, body);
    });
    RawConnection caller(loop(), server.port);
    caller.socket().set_option(asio::socket_base::receive_buffer_size(32 * 1024));
    caller.send("GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + std::string(16 * 1024, '\n'));
    runUntilOrFor(
        loop(),
        [] {
            return false;
        },
        Millis(100));
    CHECK(caller.runUntilEnd());
    const auto headEnd = caller.received().find("\r\n\r\n");
    CHECK(headEnd != std::string::npos);
    LONGS_EQUAL(body.size(), caller.received().size() - headEnd - 4);
}

TEST(ConnectionEnds, CallerThatHasClosedItsSendingSideGetsTheResponse)
{
    Signal release;
    int handled = 0;
    FakeEndpoint server(loop(), [&](http::Exchange &ex) -> Task<void> {
        ++handled;
        co_await release.wait();
        co_await ex.reply(200, "whole");
    });
    RawConnection caller(loop(), server.port);
    caller.send(get);
    caller.socket().shutdown(tcp::socket::shutdown_send);
    runUntilOrFor(loop(), [&] {
        return handled == 1;
    });
    release.fire();
    CHECK(caller.runUntilEnd());
    CHECK(caller.count("whole") == 1);
}

TEST(ConnectionEnds, ResponseThatItsCallerDoesNotReadIsLogged)
{
    LogCapture log;
    http::ServerLimits limits;
    limits.writeTimeout = Millis(50);
    Signal ended;
    const std::string chunk(64 * 1024, 'x');
    http::Server server(
        {&loop().io}, "127.0.0.1", 0,
        [&](http::Exchange &ex) -> Task<void> {
            co_await ex.beginStream(200, "text/plain");
            while (co_await ex.sendChunk(chunk)) { }
            ended.fire();
        },
        limits);
    const auto port = std::get<uint16_t>(server.start());
    RawConnection caller(loop(), port);
    caller.send(get);
    CHECK(runUntilOrFor(loop(), [&] {
        return ended.fired() && server.inflight() == 0;
    }));
    const auto line = log.line("ConnectionFailed");
    CHECK(line.find("where=\"write\"") != std::string::npos);
    CHECK(line.find("127.0.0.1:") != std::string::npos);
    LONGS_EQUAL(1, server.counters().truncated.load());
}
