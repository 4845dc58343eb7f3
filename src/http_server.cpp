#include "http_server.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>

#include <array>

namespace yucca::http
{

namespace
{

constexpr Millis idlePollInterval{10}; ///< at which waitIdle() checks for requests in flight
constexpr std::size_t readBufferBytes = 4096; ///< most request heads fit into one read of this size
constexpr Millis rejectDrainTimeout{500}; ///< time for a rejected caller to read its response
constexpr std::size_t maxRejectDrainBytes = 256 * 1024; ///< maximum number of bytes read and ignored after a rejection
constexpr std::string_view continueHead = "HTTP/1.1 100 Continue\r\n\r\n";

// Returns why a parsed request head must be rejected, or null. Beast's parser
// accepts heads that RFC 9112 (3.2, 6.1, 6.3) requires to reject. If two parsers
// disagree on the end of a message, a caller can smuggle a request past the checks
// inside the body of another one.
const char *headViolation(const bhttp::request_parser<bhttp::string_body> &parser)
{
    const auto &request = parser.get();
    if (request.count(bhttp::field::host) != 1 && request.version() >= 11) {
        return "exactly one Host is needed";
    }
    if (request.count(bhttp::field::content_length) > 1) {
        return "more than one Content-Length";
    }
    const auto codings = request.count(bhttp::field::transfer_encoding);
    if (codings == 0) {
        return nullptr;
    }
    if (request.count(bhttp::field::content_length) > 0) {
        return "both Transfer-Encoding and Content-Length";
    }
    if (codings > 1 || !boost::beast::iequals(request[bhttp::field::transfer_encoding], "chunked")) {
        return "a transfer coding other than chunked";
    }
    return request.version() < 11 ? "a transfer coding in HTTP/1.0" : nullptr;
}

} // namespace

Server::Server(std::vector<asio::io_context *> loops, std::string host, uint16_t port, Handler handler, ServerLimits limits)
    : m_loops(std::move(loops))
    , m_host(std::move(host))
    , m_port(port)
    , m_handler(std::move(handler))
    , m_limits(std::make_shared<const ServerLimits>(limits))
    , m_acceptor(*m_loops.front())
{
}

Result<uint16_t> Server::start()
{
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(m_host, ec);
    if (ec) {
        return Error{400, "bad listen address " + m_host};
    }
    const tcp::endpoint endpoint(address, m_port);
    m_acceptor.open(endpoint.protocol(), ec);
    if (!ec) {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec) {
        m_acceptor.bind(endpoint, ec);
    }
    if (!ec) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return Error{503, "cannot listen on " + m_host + ":" + std::to_string(m_port) + ": " + ec.message()};
    }
    const uint16_t port = m_acceptor.local_endpoint().port();
    asio::co_spawn(*m_loops.front(), acceptLoop(), [](std::exception_ptr) {});
    return port;
}

// Accepts connections until stopped and assigns each to the next event loop.
Task<void> Server::acceptLoop()
{
    for (std::size_t next = 0; !m_stopping; ++next) {
        auto &loop = *m_loops[next % m_loops.size()];
        boost::system::error_code ec;
        tcp::socket socket(loop);
        co_await m_acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, ec));
        if (ec && m_stopping) {
            co_return;
        }
        if (ec) {
            co_await sleepFor(Millis(20)); // likely out of file descriptors: wait until some are closed
            continue;
        }
        socket.set_option(tcp::no_delay(true), ec);
        auto connection = std::make_shared<Connection>(std::move(socket));
        {
            std::lock_guard lock(m_mutex);
            m_connections.insert(connection);
        }
        asio::co_spawn(loop, serve(connection), [this, connection](std::exception_ptr) {
            std::lock_guard lock(m_mutex);
            m_connections.erase(connection);
        });
    }
}

void Server::setLimits(const ServerLimits &limits)
{
    m_limits = std::make_shared<const ServerLimits>(limits);
}

// Waits for a request and reads it. Returns false if the connection must be closed.
Task<bool> Server::readRequest(Connection &c, Request &out)
{
    const auto limits = m_limits.load();
    if (c.buffer.size() == 0) {
        c.stream.expires_after(limits->idleTimeout);
        boost::system::error_code ec;
        auto into = c.buffer.prepare(readBufferBytes);
        const auto n = co_await c.stream.async_read_some(into, asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            co_return false;
        }
        c.buffer.commit(n);
    }
    c.idle = false;
    ++m_inflight;
    const bool read = co_await readMessage(c, *limits, out);
    if (!read) {
        --m_inflight;
    }
    co_return read;
}

// Reads the head and body of one request. Rejects an invalid message and returns
// false, which closes the connection.
Task<bool> Server::readMessage(Connection &c, const ServerLimits &limits, Request &out)
{
    boost::system::error_code ec;
    c.stream.expires_after(limits.headerTimeout);
    bhttp::request_parser<bhttp::string_body> parser;
    parser.header_limit(static_cast<uint32_t>(std::min(limits.headerBytes, maxHeadBytes)));
    parser.body_limit(limits.bodyBytes);
    co_await bhttp::async_read_header(c.stream, c.buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
    if (!ec) {
        if (const char *why = headViolation(parser)) {
            co_await rejectMessage(c, bhttp::status::bad_request, why);
            co_return false;
        }
        if (boost::beast::iequals(parser.get()[bhttp::field::expect], "100-continue")) {
            co_await asio::async_write(c.stream, asio::buffer(continueHead), asio::redirect_error(asio::use_awaitable, ec));
        }
    }
    if (!ec) {
        co_await bhttp::async_read(c.stream, c.buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
    }
    if (!ec) {
        out = parser.release();
        co_return true;
    }
    if (ec == bhttp::error::body_limit) {
        co_await rejectMessage(c, bhttp::status::payload_too_large, "the body is too large");
    } else if (ec == bhttp::error::header_limit) {
        co_await rejectMessage(c, bhttp::status::request_header_fields_too_large, "the head is too large");
    } else if (ec == boost::beast::error::timeout) {
        co_await rejectMessage(c, bhttp::status::request_timeout, "the request took too long to arrive");
    } else if (ec.category() == bhttp::make_error_code(bhttp::error::bad_method).category() && ec != bhttp::error::end_of_stream
               && ec != bhttp::error::partial_message) {
        co_await rejectMessage(c, bhttp::status::bad_request, "the message is not HTTP/1.1");
    }
    co_return false;
}

// Responds to an invalid message. The connection must then be closed, as the end of
// the message is unknown. Reads and ignores further bytes for a limited time: closing
// a socket with unread bytes sends a reset, which may destroy the response.
Task<void> Server::rejectMessage(Connection &c, bhttp::status status, const char *why)
{
    bhttp::response<bhttp::string_body> res{status, 11};
    res.set(bhttp::field::content_type, "text/plain");
    res.keep_alive(false);
    res.body() = why;
    res.prepare_payload();
    boost::system::error_code ec;
    c.stream.expires_after(rejectDrainTimeout);
    co_await bhttp::async_write(c.stream, res, asio::redirect_error(asio::use_awaitable, ec));
    c.stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    std::array<char, readBufferBytes> ignored;
    for (std::size_t n = 0; !ec && n < maxRejectDrainBytes;) {
        n += co_await c.stream.async_read_some(asio::buffer(ignored), asio::redirect_error(asio::use_awaitable, ec));
    }
}

// Serves the requests of one connection in sequence.
Task<void> Server::serve(ConnectionPtr c)
{
    Request request;
    for (;;) {
        c->idle = true;
        if (m_stopping) {
            break;
        }
        const bool more = co_await readRequest(*c, request);
        if (!more) {
            break;
        }
        const bool keepOpen = co_await handleRequest(c, request);
        --m_inflight;
        if (!keepOpen) {
            break;
        }
    }
    boost::system::error_code ec;
    c->stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    c->stream.close();
}

// Runs the handler for one request and watches for a disconnect of the caller.
// Returns true if the connection may carry another request.
Task<bool> Server::handleRequest(ConnectionPtr c, const Request &request)
{
    c->stream.expires_never();
    const bool keepAlive = request.keep_alive() && !m_stopping && !m_closeAfterResponse;
    Exchange exchange(c->stream, request, keepAlive, m_limits.load()->writeTimeout);
    auto exchangeRef = std::make_shared<Exchange *>(&exchange);
    watchForDisconnect(c, exchangeRef);
    bool failed = false;
    try {
        co_await m_handler(exchange);
    } catch (const std::exception &) {
        failed = true;
    }
    *exchangeRef = nullptr;
    if (failed && !exchange.answered()) {
        co_await exchange.reply(500, R"({"error":{"message":"internal error","type":"internal"}})");
    }
    if (!exchange.answered() || exchange.callerDisconnected()) {
        c->stream.close();
    }
    co_return keepAlive && c->stream.socket().is_open();
}

// Marks the exchange when its caller closes the connection. Ends silently when
// bytes arrive, as they belong to the next, pipelined request.
void Server::watchForDisconnect(ConnectionPtr c, std::shared_ptr<Exchange *> exchange)
{
    auto &socket = c->stream.socket();
    socket.async_wait(tcp::socket::wait_read, [c, exchange](const boost::system::error_code &ec) {
        if (*exchange && ec) {
            (*exchange)->markCallerDisconnected();
        } else if (*exchange) {
            (*exchange)->pollCallerDisconnected();
        }
    });
}

void Server::stopAccepting()
{
    m_stopping = true;
    asio::post(m_acceptor.get_executor(), [this] {
        boost::system::error_code ec;
        m_acceptor.close(ec);
    });
    std::lock_guard lock(m_mutex);
    for (const auto &c : m_connections) {
        asio::post(c->stream.get_executor(), [c] {
            if (c->idle) {
                c->stream.close();
            }
        });
    }
}

Task<bool> Server::waitIdle(Millis grace)
{
    const auto deadline = Clock::now() + grace;
    while (m_inflight > 0 && Clock::now() < deadline) {
        co_await sleepFor(idlePollInterval);
    }
    co_return m_inflight == 0;
}

} // namespace yucca::http
