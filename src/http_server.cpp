#include "http_server.h"

#include "failure.h"
#include "log.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <stdexcept>

namespace yucca::http
{

namespace
{

constexpr Millis idlePollInterval{10}; ///< at which waitIdle() checks for requests in flight
constexpr Millis acceptRetryDelay{20}; ///< after a failed accept, likely for want of file descriptors
constexpr Millis rejectWriteTimeout{500}; ///< for the response to an invalid message
constexpr std::size_t maxLoggedBytes = 200; ///< of a path or a reason: longer log lines may be dropped
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

using Parser = bhttp::request_parser<bhttp::string_body>;
enum class Part { Head, Message };

// Parses what has arrived; sets ec to would_block if more is needed.
void parseAvailable(Connection &c, Parser &parser, Part part, boost::system::error_code &ec)
{
    try {
        if (part == Part::Head) {
            bhttp::read_header(c.stream.socket(), c.buffer, parser, ec);
        } else {
            bhttp::read(c.stream.socket(), c.buffer, parser, ec);
        }
    } catch (const std::length_error &) {
        ec = bhttp::error::header_limit; // Beast cannot store header fields of 64 KiB or more
    }
}

// Reads a part of a message. Fails with a timeout if it has not arrived by the deadline; what has arrived by
// then is read, also when the event loop is late.
Task<boost::system::error_code> readPart(Connection &c, Parser &parser, Part part, Clock::time_point deadline)
{
    for (;;) {
        boost::system::error_code ec;
        parseAvailable(c, parser, part, ec);
        if (ec != asio::error::would_block) {
            co_return ec;
        }
        if (Clock::now() >= deadline) {
            co_return boost::beast::error::timeout;
        }
        co_await c.waitReadable(deadline);
    }
}

// True if a write failed because the caller or the path to it is gone.
bool isDisconnect(const boost::system::error_code &ec)
{
    return ec == asio::error::connection_reset || ec == asio::error::broken_pipe || ec == asio::error::connection_aborted || ec == asio::error::timed_out
        || ec == asio::error::host_unreachable || ec == asio::error::network_unreachable;
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
    asio::co_spawn(*m_loops.front(), acceptLoop(), [this](std::exception_ptr failure) {
        if (failure) {
            recordFailure("accept", {}, describe(failure));
        }
    });
    return port;
}

// Accepts connections until stopped.
Task<void> Server::acceptLoop()
{
    bool failing = false;
    while (!m_stopping) {
        boost::system::error_code ec;
        tcp::endpoint peer;
        tcp::socket socket(nextLoop());
        co_await m_acceptor.async_accept(socket, peer, asio::redirect_error(asio::use_awaitable, ec));
        if (ec && m_stopping) {
            co_return;
        }
        if (ec) {
            if (!failing) {
                recordFailure("accept", {}, ec.message());
            }
            failing = true;
            co_await sleepFor(acceptRetryDelay);
            continue;
        }
        failing = false;
        open(std::move(socket), peer);
    }
}

// Accepts the connections whose callers have connected already, without waiting.
void Server::acceptPending()
{
    boost::system::error_code ec;
    m_acceptor.non_blocking(true, ec);
    while (!ec) {
        tcp::endpoint peer;
        tcp::socket socket(nextLoop());
        m_acceptor.accept(socket, peer, ec);
        if (!ec) {
            open(std::move(socket), peer);
        }
    }
}

// Distributes the connections over the event loops.
asio::io_context &Server::nextLoop()
{
    return *m_loops[m_acceptedConnections++ % m_loops.size()];
}

void Server::open(tcp::socket socket, const tcp::endpoint &peer)
{
    boost::system::error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    const auto executor = socket.get_executor();
    auto connection = std::make_shared<Connection>(std::move(socket), peer);
    {
        std::lock_guard lock(m_mutex);
        m_connections.insert(connection);
        if (m_stopping) {
            connection->inflight.emplace(m_inflight); // until it is known whether a request has arrived
        }
    }
    asio::co_spawn(executor, serve(connection), [this, connection](std::exception_ptr failure) {
        if (failure) {
            m_counters.unanswered += connection->handling ? 1 : 0;
            recordFailure("serve", connection->peerName(), describe(failure));
            connection->stream.close(); // a wait for the caller's disconnect may still refer to the connection
        }
        std::lock_guard lock(m_mutex);
        m_connections.erase(connection);
    });
}

void Server::setLimits(const ServerLimits &limits)
{
    m_limits = std::make_shared<const ServerLimits>(limits);
}

// Waits for the first bytes of a request. Returns false if the connection must be closed. Bytes that have
// arrived come before the idle timeout and before a stop.
Task<bool> Server::awaitRequest(Connection &c)
{
    const auto idleSince = Clock::now();
    for (;;) {
        boost::system::error_code ec;
        if (c.buffer.size() == 0) {
            c.readAvailable(ec);
        }
        if (c.buffer.size() > 0) {
            if (!c.inflight) {
                c.inflight.emplace(m_inflight);
            }
            co_return true;
        }
        c.inflight.reset();
        const auto deadline = idleSince + m_limits.load()->idleTimeout;
        if (ec != asio::error::would_block || m_stopping || Clock::now() >= deadline) {
            co_return false;
        }
        c.idle = true;
        co_await c.waitReadable(deadline);
        c.idle = false;
    }
}

// Reads the head and body of one request. Rejects an invalid message and returns
// false, which closes the connection.
Task<bool> Server::readRequest(Connection &c, Request &out)
{
    const auto limits = m_limits.load();
    const auto deadline = Clock::now() + limits->headerTimeout;
    Parser parser;
    parser.header_limit(static_cast<uint32_t>(limits->headerBytes));
    parser.body_limit(limits->bodyBytes);
    auto ec = co_await readPart(c, parser, Part::Head, deadline);
    if (!ec) {
        if (const char *why = headViolation(parser)) {
            co_await rejectMessage(c, bhttp::status::bad_request, why);
            co_return false;
        }
        if (boost::beast::iequals(parser.get()[bhttp::field::expect], "100-continue")) {
            c.stream.expires_at(deadline);
            co_await asio::async_write(c.stream, asio::buffer(continueHead), asio::redirect_error(asio::use_awaitable, ec));
            c.stream.expires_never();
        }
    }
    if (!ec) {
        ec = co_await readPart(c, parser, Part::Message, deadline);
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
// the message is unknown.
Task<void> Server::rejectMessage(Connection &c, bhttp::status status, const char *why)
{
    ++m_counters.rejectedMessages;
    bhttp::response<bhttp::string_body> res{status, 11};
    res.set(bhttp::field::content_type, "text/plain");
    res.keep_alive(false);
    res.body() = why;
    res.prepare_payload();
    boost::system::error_code ec;
    c.stream.expires_after(rejectWriteTimeout);
    co_await bhttp::async_write(c.stream, res, asio::redirect_error(asio::use_awaitable, ec));
    c.stream.expires_never();
    if (!ec) {
        co_await c.closeGracefully();
    }
}

// Serves the requests of one connection in sequence.
Task<void> Server::serve(ConnectionPtr c)
{
    Request request;
    for (;;) {
        const bool arrived = co_await awaitRequest(*c);
        if (!arrived) {
            break;
        }
        const bool read = co_await readRequest(*c, request);
        if (!read) {
            break;
        }
        c->handling = true;
        const bool keepOpen = co_await handleRequest(c, request);
        c->handling = false;
        if (!keepOpen) {
            break;
        }
    }
    boost::system::error_code ec;
    c->stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    c->stream.close();
    c->inflight.reset();
}

// Runs the handler for one request and watches for a disconnect of the caller.
// Returns true if the connection may carry another request.
Task<bool> Server::handleRequest(ConnectionPtr c, const Request &request)
{
    const bool keepAlive = request.keep_alive() && !m_stopping && !m_closeAfterResponse;
    Exchange exchange(c->stream, request, keepAlive, m_limits.load()->writeTimeout);
    auto exchangeRef = std::make_shared<Exchange *>(&exchange);
    watchForDisconnect(c, exchangeRef);
    std::string failure;
    try {
        co_await m_handler(exchange);
        if (!exchange.complete() && !exchange.callerDisconnected()) {
            failure = exchange.answered() ? "returned before the end of its response" : "returned without a response";
        }
    } catch (...) {
        failure = describe(std::current_exception());
    }
    *exchangeRef = nullptr;
    exchange.onCallerDisconnect({}); // it may refer to the handler's variables
    if (!failure.empty()) {
        ++m_counters.handlerFailures;
        const auto path = exchange.path();
        log::Line{log::Event::HandlerFailed}
            .add("peer", c->peerName())
            .add("path", std::string_view(path).substr(0, maxLoggedBytes))
            .add("why", std::string_view(failure).substr(0, maxLoggedBytes))
            .add("answered", exchange.answered());
    }
    if (!exchange.answered() && !exchange.callerDisconnected()) {
        co_await exchange.reply(500, R"({"error":{"message":"internal error","type":"internal"}})");
    }
    recordEnd(*c, exchange);
    if (!exchange.complete() || exchange.callerDisconnected()) {
        c->stream.close();
    } else if (!keepAlive) {
        c->inflight.reset();
        co_await c->closeGracefully();
    }
    co_return keepAlive && c->stream.socket().is_open();
}

// Counts how a request ended, unless its response is complete.
void Server::recordEnd(const Connection &c, const Exchange &exchange)
{
    if (exchange.complete() || exchange.detached()) {
        return;
    }
    if (exchange.aborted()) {
        ++m_counters.aborted;
    } else if (exchange.writeError() && !isDisconnect(exchange.writeError())) {
        ++m_counters.truncated;
        recordFailure("write", c.peerName(), exchange.writeError().message());
    } else if (exchange.callerDisconnected()) {
        ++m_counters.callersGone;
    } else {
        ++m_counters.truncated;
    }
}

void Server::recordFailure(std::string_view where, std::string_view peer, std::string_view why)
{
    ++m_counters.connectionFailures;
    log::Line{log::Event::ConnectionFailed}.add("where", where).add("peer", peer).add("why", why.substr(0, maxLoggedBytes));
}

// Marks the exchange when its caller closes the connection. Ends silently when
// bytes arrive, as they belong to the next, pipelined request.
void Server::watchForDisconnect(ConnectionPtr c, std::shared_ptr<Exchange *> exchange)
{
    auto &socket = c->stream.socket();
    socket.async_wait(tcp::socket::wait_read, [c, exchange](const boost::system::error_code &ec) {
        if (*exchange && ec) {
            (*exchange)->markCallerDisconnected();
            return;
        }
        boost::system::error_code available;
        if (*exchange && !(*exchange)->pollCallerDisconnected() && c->stream.socket().available(available) == 0) {
            watchForDisconnect(c, exchange); // an event of bytes that were read before
        }
    });
}

void Server::stopAccepting()
{
    // Each posted function counts as in flight, so that no wait for the requests in flight ends before the
    // requests that have arrived are counted themselves.
    m_stopping = true;
    asio::post(m_acceptor.get_executor(), [this, count = InflightCount(m_inflight)]() mutable {
        acceptPending();
        boost::system::error_code ec;
        m_acceptor.close(ec);
        asio::post(m_acceptor.get_executor(), [count = std::move(count)] {}); // a connection accepted before may be queued for acceptLoop()
    });
    std::lock_guard lock(m_mutex);
    for (const auto &c : m_connections) {
        asio::post(c->stream.get_executor(), [c, count = InflightCount(m_inflight)]() mutable {
            if (!c->inflight) {
                c->inflight.emplace(std::move(count));
            }
            if (c->idle) {
                c->interruptWait();
            }
        });
    }
}

Task<bool> Server::waitIdle(Millis grace)
{
    const auto deadline = Clock::now() + grace;
    while (*m_inflight > 0 && Clock::now() < deadline) {
        co_await sleepFor(idlePollInterval);
    }
    co_return *m_inflight == 0;
}

} // namespace yucca::http
