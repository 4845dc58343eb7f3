// The HTTP server must reject messages whose end two parsers could place
// differently (RFC 9112): otherwise a caller could smuggle a request past the checks.
#include "entry_fixture.h"

#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;

namespace
{

// Sends raw bytes to a server and returns all it sends until it closes the connection.
Task<std::string> sendAndReadAll(uint16_t port, std::string bytes)
{
    tcp::socket socket(co_await asio::this_coro::executor);
    const tcp::endpoint to(asio::ip::make_address("127.0.0.1"), port);
    boost::system::error_code ec;
    co_await socket.async_connect(to, asio::redirect_error(asio::use_awaitable, ec));
    co_await sendBytes(socket, bytes);
    std::string answer;
    while (!ec) {
        char buffer[2048];
        const auto n = co_await socket.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, ec));
        answer.append(buffer, n);
    }
    co_return answer;
}

struct EchoServer {
    explicit EchoServer(Loop &loop, http::ServerLimits limits = {})
        : server(
            {&loop.io}, "127.0.0.1", 0,
            [this](http::Exchange &ex) -> Task<void> {
                paths.push_back(ex.path());
                co_await ex.reply(200, ex.request().body());
            },
            limits)
        , port(std::get<uint16_t>(server.start()))
    {
    }
    std::vector<std::string> paths;
    http::Server server;
    uint16_t port;
};

std::string statusLine(const std::string &answer)
{
    return answer.substr(0, answer.find("\r\n"));
}

} // namespace

LOOP_GROUP(StrictHttp);

TEST(StrictHttp, AmbiguousMessageIsRejectedAndTheConnectionIsClosed)
{
    const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::vector<std::string> ambiguous{
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" + smuggled,
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n" + smuggled,
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + smuggled,
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + smuggled,
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 40\r\n\r\n" + smuggled,
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1x\r\n\r\n" + smuggled,
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length : 0\r\n\r\n" + smuggled,
        "GET /a HTTP/1.1\r\n\r\n" + smuggled,
        "GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n" + smuggled,
        "NONSENSE\r\n\r\n" + smuggled,
    };
    for (const auto &message : ambiguous) {
        EchoServer echo(loop());
        const auto answer = loop().run(sendAndReadAll(echo.port, message));
        STRCMP_EQUAL("HTTP/1.1 400 Bad Request", statusLine(answer).c_str());
        LONGS_EQUAL(0, echo.paths.size());
        CHECK(answer.find("HTTP/1.1 ", 1) == std::string::npos); // the bytes after the message got no response
    }
}

TEST(StrictHttp, ValidPipelinedRequestsAreHandled)
{
    EchoServer echo(loop());
    const auto answer = loop().run(sendAndReadAll(echo.port,
                                                  "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
                                                  "GET /b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"));
    CHECK(answer.find("abcde") != std::string::npos);
    LONGS_EQUAL(2, echo.paths.size());
}

TEST(StrictHttp, TooLargeHeadOrBodyGives431Or413)
{
    http::ServerLimits limits;
    limits.headerBytes = 1024;
    limits.bodyBytes = 1000;
    EchoServer echo(loop(), limits);
    const auto head = loop().run(sendAndReadAll(echo.port, "GET /a HTTP/1.1\r\nHost: a\r\nX: " + std::string(2000, 'x') + "\r\n\r\n"));
    STRCMP_EQUAL("HTTP/1.1 431 Request Header Fields Too Large", statusLine(head).c_str());
    const auto body = loop().run(sendAndReadAll(echo.port, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n" + std::string(2000, 'x')));
    STRCMP_EQUAL("HTTP/1.1 413 Payload Too Large", statusLine(body).c_str());
    LONGS_EQUAL(0, echo.paths.size());
}

TEST(StrictHttp, ExpectContinueGivesAnInterimResponse)
{
    EchoServer echo(loop());
    const auto answer =
        loop().run(sendAndReadAll(echo.port, "POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi"));
    STRCMP_EQUAL("HTTP/1.1 100 Continue", statusLine(answer).c_str());
    CHECK(answer.find("200 OK") != std::string::npos);
}

TEST(StrictHttp, ResponsesCloseConnectionsBeforeAStop)
{
    EchoServer echo(loop());
    echo.server.closeConnectionsAfterResponses();
    const auto answer = loop().run(sendAndReadAll(echo.port, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"));
    CHECK(answer.find("Connection: close") != std::string::npos);
    LONGS_EQUAL(1, echo.paths.size());
}

// The event loop reads the request before it notices the end of the connection, as in a process that was paused meanwhile.
TEST(StrictHttp, CallerThatClosedTheConnectionBeforeItsRequestWasHandledIsSeenAtOnce)
{
    std::vector<bool> disconnected;
    FakeEndpoint server(loop(), [&disconnected](http::Exchange &ex) {
        disconnected.push_back(ex.pollCallerDisconnected());
        return ex.reply(200, "");
    });
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    for (const bool closes : {true, false}) {
        tcp::socket socket(loop().io);
        socket.connect({asio::ip::make_address("127.0.0.1"), server.port});
        asio::write(socket, asio::buffer(request));
        if (closes) {
            socket.close();
        }
        const std::size_t handled = disconnected.size() + 1;
        loop().runUntil([&] {
            return disconnected.size() == handled;
        });
    }
    CHECK((disconnected == std::vector<bool>{true, false}));
}
