#include "http_client.h"

#include "connect.h"
#include "forwarding.h"
#include "response_head.h"
#include "socket_queue.h"
#include "text.h"

#include <boost/asio/execution/context.hpp>
#include <boost/asio/write.hpp>

#include <limits>

#include <sys/socket.h>

namespace yucca::http
{

namespace
{

using tcp = asio::ip::tcp;

constexpr Millis defaultIdleLifetime{4000}; ///< for peers that state no idle timeout: shorter than the usual 5 s
constexpr double idleTimeoutShare = 0.7; ///< of the idle timeout that a peer states; the remainder covers a request in transit
constexpr Millis closeIdleInterval{1000};
constexpr std::size_t maxUnparsedBytes = 2 * maxResponseHeadBytes; ///< received on a connection: a head, or the head of a chunk
constexpr std::size_t maxSkippedBytes = 1024 * 1024; ///< of a late response to an earlier request
constexpr int maxInterimResponses = 16; ///< (1xx) before a final response
constexpr std::size_t heldHeadBytes = 2; ///< the empty line that completes a head
constexpr Millis firstAcknowledgementPoll{1}; ///< doubled for each further one

// True if an idle connection can carry a request: the peer has not closed it, and
// there are no unread bytes of a response that no call is waiting for.
bool isReusable(tcp::socket &socket)
{
    char byte;
    const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::string headText(const Request &request)
{
    std::string head = std::string(request.method_string()) + " " + std::string(request.target()) + " HTTP/1.1\r\n";
    for (const auto &field : request) {
        head.append(field.name_string().data(), field.name_string().size()).append(": ");
        head.append(field.value().data(), field.value().size()).append("\r\n");
    }
    return head + "\r\n";
}

// Returns how long a connection may stay idle, given the Keep-Alive header of its last response.
Millis idleLifetime(const std::string &keepAlive)
{
    constexpr std::string_view timeoutKey = "timeout=";
    const auto at = keepAlive.find(timeoutKey);
    if (at == std::string::npos) {
        return defaultIdleLifetime;
    }
    const auto value = std::string_view(keepAlive).substr(at + timeoutKey.size());
    const auto seconds = text::parseNumber(value.substr(0, value.find_first_not_of("0123456789")));
    return seconds ? Millis(static_cast<int64_t>(idleTimeoutShare * 1000.0 * static_cast<double>(*seconds))) : defaultIdleLifetime;
}

std::optional<std::size_t> unacknowledged(boost::beast::tcp_stream &stream)
{
    return net::unacknowledgedBytes(stream.socket().native_handle());
}

} // namespace

std::string Reply::header(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (boost::beast::iequals(beastView(key), beastView(name))) {
            return value;
        }
    }
    return {};
}

void Cancellation::cancel()
{
    m_cancelled = true;
    if (m_action) {
        m_action();
    }
}

void ClientConnection::resetOnClose()
{
    boost::system::error_code ec; // without the option, connections are closed in order
    stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
}

void ClientConnection::closeInOrder()
{
    if (stream.socket().is_open()) {
        boost::system::error_code ec;
        stream.socket().set_option(asio::socket_base::linger(false, 0), ec);
        stream.close();
    }
}

Response::Response(Client &client, Address peer, std::shared_ptr<ClientConnection> connection, const CallOptions &options)
    : m_client(client)
    , m_peer(std::move(peer))
    , m_connection(std::move(connection))
    , m_options(options)
{
    startParser();
    if (m_options.cancellation) {
        m_options.cancellation->m_action = [this] {
            if (m_connection) {
                m_connection->stream.close();
            }
        };
    }
}

Response::~Response()
{
    if (m_options.cancellation) {
        m_options.cancellation->m_action = nullptr;
    }
    if (m_connection) {
        m_connection->stream.close(); // closed explicitly, as a pending write may still own the connection
    }
}

void Response::startParser()
{
    m_parser.emplace();
    m_parser->header_limit(maxResponseHeadBytes);
    m_parser->body_limit(std::numeric_limits<uint64_t>::max()); // Beast 1.74 treats "none" as zero
    m_parser->skip(m_options.headOnly);
}

unsigned Response::status() const
{
    return m_parser->get().result_int();
}

std::string Response::header(std::string_view name) const
{
    return headerValue(m_parser->get(), name);
}

Headers Response::headers() const
{
    Headers out;
    for (const auto &field : m_parser->get()) {
        out.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    return out;
}

Headers Response::endToEndHeaders() const
{
    return endToEndFields(m_parser->get());
}

// Returns the connection of a complete response to the pool, or closes it. A
// connection whose request is not fully written is closed: the peer would read
// the next request as the remainder of this one.
void Response::releaseConnection()
{
    const bool clean = m_reusable && !m_options.tunnel && m_connection && !m_connection->writing && m_connection->buffer.size() == 0;
    if (clean && m_parser->get().keep_alive()) {
        m_connection->wire.clear();
        m_connection->idleSince = Clock::now();
        m_connection->closeDeadline = m_connection->idleSince + idleLifetime(header("keep-alive"));
        m_client.addIdle(m_peer, std::move(m_connection), m_options.maxIdleConnections);
    } else if (m_connection && !m_connection->writing) {
        m_connection->closeInOrder();
    } else if (m_connection) {
        m_connection->stream.close();
    }
    m_connection.reset();
}

// Reads the head of the next final response; skips interim (1xx) responses.
Task<std::optional<CallError>> Response::readHead()
{
    std::optional<std::string> failure;
    int interimResponses = 0;
    do {
        if (interimResponses++ > maxInterimResponses) {
            failure = "too many interim responses";
            break;
        }
        if (m_parser->is_done()) {
            startParser();
        }
        failure = co_await receiveHead();
    } while (!failure && status() < 200);
    if (failure) {
        m_connection->stream.close();
        co_return CallError{CallStage::Receive, std::move(*failure)};
    }
    co_return std::nullopt;
}

Task<std::optional<CallError>> Response::skipToNextResponse()
{
    m_reusable = false;
    std::size_t skipped = 0;
    for (bool more = true; more;) {
        auto part = co_await readBody();
        if (auto *error = std::get_if<CallError>(&part)) {
            co_return *error;
        }
        const auto size = std::get<std::string>(part).size();
        more = size > 0;
        skipped += size;
        if (skipped > maxSkippedBytes) {
            co_return CallError{CallStage::Receive, "the late response is too long"};
        }
    }
    startParser();
    co_return co_await readHead();
}

// GCC 12 evaluates both arms of a conditional expression if each contains co_await.
Task<std::optional<std::string>> Response::receiveHead()
{
    auto &c = *m_connection;
    if (c.tunnel) {
        co_return co_await readResponseHead(*c.tunnel, c.buffer, *m_parser, Upgrade::NotRequested);
    }
    co_return co_await readResponseHead(c.stream, c.buffer, *m_parser, Upgrade::NotRequested);
}

Task<boost::system::error_code> Response::receiveBody()
{
    auto &c = *m_connection;
    boost::system::error_code ec;
    if (c.tunnel) {
        co_await bhttp::async_read_some(*c.tunnel, c.buffer, *m_parser, asio::redirect_error(asio::use_awaitable, ec));
    } else {
        co_await bhttp::async_read_some(c.stream, c.buffer, *m_parser, asio::redirect_error(asio::use_awaitable, ec));
    }
    co_return ec;
}

Task<CallResult<std::string>> Response::readBody()
{
    while (m_connection && !m_parser->is_done()) {
        auto &body = m_parser->get().body();
        body.data = m_bodyBuffer.data();
        body.size = m_bodyBuffer.size();
        body.more = true;
        auto ec = co_await receiveBody();
        if (ec == bhttp::error::need_buffer) {
            ec = {};
        }
        const std::size_t got = m_bodyBuffer.size() - m_parser->get().body().size;
        if (got > 0) {
            co_return std::string(m_bodyBuffer.data(), got); // an error is reported by the next read
        }
        if (ec) {
            m_connection->stream.close();
            m_connection.reset();
            co_return CallError{CallStage::Receive, ec.message()};
        }
    }
    if (!m_parser->is_done()) {
        co_return CallError{CallStage::Receive, "connection closed before the end of the response"};
    }
    if (m_parser->need_eof()) {
        const bool written = co_await requestWritten();
        if (!written) {
            co_return CallError{CallStage::Receive, "the connection failed while the request was being written"};
        }
    }
    co_return std::string();
}

// Waits until the request is written, and returns false if that failed. A socket reports a reset once: if the write got it, the end
// of the connection is read as an orderly one.
Task<bool> Response::requestWritten()
{
    while (m_connection && m_connection->writing && !m_connection->writeFailed && Clock::now() < m_options.deadline) {
        co_await m_connection->writeEnded.wait(m_options.deadline);
    }
    co_return m_connection && !m_connection->writing;
}

Task<CallResult<std::string>> Response::read()
{
    auto part = co_await readBody();
    const auto *bytes = std::get_if<std::string>(&part);
    if (bytes && bytes->empty()) {
        releaseConnection();
    }
    co_return std::move(part);
}

std::shared_ptr<ClientConnection> Client::takeIdle(const asio::any_io_executor &ex, const Address &to)
{
    std::lock_guard lock(m_mutex);
    auto it = m_idle.find({&asio::query(ex, asio::execution::context), to});
    if (it == m_idle.end()) {
        return nullptr;
    }
    auto &idle = it->second;
    while (!idle.empty()) {
        auto c = std::move(idle.back());
        idle.pop_back();
        if (Clock::now() < c->closeDeadline && isReusable(c->stream.socket())) {
            return c;
        }
    }
    return nullptr;
}

void Client::addIdle(const Address &peer, std::shared_ptr<ClientConnection> connection, std::size_t maxIdle)
{
    connection->stream.expires_never();
    auto &loop = asio::query(connection->stream.get_executor(), asio::execution::context);
    bool closeDue = false;
    {
        std::lock_guard lock(m_mutex);
        auto &idle = m_idle[{&loop, peer}];
        idle.push_back(std::move(connection));
        if (idle.size() > maxIdle) {
            idle.pop_front();
        }
        closeDue = Clock::now() >= m_nextCloseIdle;
        m_nextCloseIdle = closeDue ? Clock::now() + closeIdleInterval : m_nextCloseIdle;
    }
    if (closeDue) {
        closeIdle(loop, Clock::now());
    }
}

void Client::closeIdle(asio::execution_context &loop, Clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        auto &[key, idle] = *it;
        // Sockets of another loop may only be closed on that loop's thread.
        if (key.first == &loop) {
            std::erase_if(idle, [now](const auto &c) {
                return now >= c->closeDeadline;
            });
        }
        it = idle.empty() ? m_idle.erase(it) : std::next(it);
    }
}

void Client::closeIdleConnections(asio::execution_context &loop, const Address &peer)
{
    std::lock_guard lock(m_mutex);
    m_idle.erase({&loop, peer});
}

std::size_t Client::idleConnections()
{
    std::lock_guard lock(m_mutex);
    std::size_t n = 0;
    for (const auto &[key, idle] : m_idle) {
        n += idle.size();
    }
    return n;
}

Task<std::optional<CallError>> Client::connect(ClientConnection &c, Address to, CallOptions options)
{
    boost::system::error_code ec;
    const Address next = options.tunnel ? options.tunnel->peer : to;
    const auto address = asio::ip::make_address(next.host, ec);
    if (ec) {
        co_return CallError{CallStage::Connect, "bad address " + next.host};
    }
    ++m_opened;
    c.stream.expires_at(std::min(options.deadline, Clock::now() + options.connectTimeout));
    const tcp::endpoint endpoint(address, next.port);
    ec = co_await net::connectStream(c.stream, endpoint);
    if (ec) {
        co_return CallError{CallStage::Connect, ec.message()};
    }
    c.stream.socket().set_option(tcp::no_delay(true), ec);
    c.resetOnClose();
    c.buffer.max_size(maxUnparsedBytes);
    if (options.tunnel) {
        co_return co_await enterTunnel(c, *options.tunnel);
    }
    co_return std::nullopt;
}

Task<std::optional<CallError>> Client::enterTunnel(ClientConnection &c, const TunnelRequest &request)
{
    boost::beast::flat_buffer received(maxUnparsedBytes);
    const auto opened = co_await openTunnel(c.stream, received, request);
    if (const auto *refusal = std::get_if<TunnelRefusal>(&opened)) {
        CallError error{CallStage::Connect, "no tunnel"};
        error.tunnelStatus = refusal->status;
        co_return error;
    }
    c.tunnel.emplace(c.stream, std::get<TunnelFraming>(opened), std::move(received));
    co_return std::nullopt;
}

Task<bool> Client::connectAhead(Address to, CallOptions options)
{
    const auto ex = co_await asio::this_coro::executor;
    auto connection = takeIdle(ex, to);
    const auto now = Clock::now();
    const bool fresh = connection && (!options.confirmAfterIdle || now - connection->idleSince < *options.confirmAfterIdle);
    if (connection && !fresh) {
        addIdle(to, std::move(connection), options.maxIdleConnections);
    }
    if (!fresh) {
        connection = std::make_shared<ClientConnection>(ex);
        const auto failed = co_await connect(*connection, to, options);
        if (failed) {
            co_return false;
        }
        connection->idleSince = Clock::now();
        connection->closeDeadline = connection->idleSince + defaultIdleLifetime;
    }
    addIdle(to, std::move(connection), options.maxIdleConnections);
    co_return true;
}

Task<std::optional<unsigned>> Client::tryTunnel(TunnelRequest request, Millis timeout)
{
    ClientConnection connection(co_await asio::this_coro::executor);
    CallOptions options;
    options.connectTimeout = timeout;
    options.deadline = Clock::now() + timeout;
    options.tunnel = std::move(request);
    const auto failed = co_await connect(connection, options.tunnel->peer, options);
    if (failed) {
        co_return failed->tunnelStatus;
    }
    co_return std::nullopt;
}

// Sends the request on a kept connection but for the end of its head, and waits until the peer's host has acknowledged it.
Task<Client::Confirmation> Client::confirmPath(std::shared_ptr<ClientConnection> connection, const Request &request, const CallOptions &options)
{
    auto &stream = connection->stream;
    connection->wire = headText(request);
    const auto until = std::min(options.deadline, Clock::now() + options.confirmTimeout);
    stream.expires_at(until);
    boost::system::error_code ec;
    const auto beginning = asio::buffer(connection->wire.data(), connection->wire.size() - heldHeadBytes);
    co_await asio::async_write(stream, beginning, asio::redirect_error(asio::use_awaitable, ec));
    for (auto poll = firstAcknowledgementPoll; !ec && stream.socket().is_open(); poll *= 2) {
        co_await sleepFor(poll);
        const auto left = stream.socket().is_open() ? unacknowledged(stream) : std::optional<std::size_t>(1);
        if (!left || *left == 0) {
            co_return isReusable(stream.socket()) ? Confirmation::Confirmed : Confirmation::Closed;
        }
        if (Clock::now() >= until) {
            break;
        }
    }
    const bool closed = ec && ec != boost::beast::error::timeout && ec != asio::error::operation_aborted;
    co_return closed ? Confirmation::Closed : Confirmation::Unacknowledged;
}

// Writes the request and reads the head of the response concurrently, since a
// peer may respond before it has read the whole request.
Task<CallResult<std::unique_ptr<Response>>> Client::exchange(std::unique_ptr<Response> response, Request request)
{
    auto c = response->m_connection;
    c->stream.expires_at(response->m_options.deadline);
    c->request = std::move(request);
    c->writing = true;
    const auto written = [c](const boost::system::error_code &ec, std::size_t) {
        c->writing = ec.failed(); // a truncated request leaves the connection unusable
        c->writeFailed = ec.failed();
        c->writeEnded.notifyAll();
    };
    if (c->wire.empty()) {
        bhttp::async_write(c->stream, c->request, written);
    } else {
        c->wire = c->wire.substr(c->wire.size() - heldHeadBytes) + c->request.body();
        asio::async_write(c->stream, asio::buffer(c->wire), written);
    }
    const auto failed = co_await response->readHead();
    if (failed) {
        co_return CallError{c->writing ? CallStage::Send : CallStage::Receive, failed->message, response->m_reused};
    }
    co_return std::move(response);
}

Task<CallResult<std::unique_ptr<Response>>> Client::open(Address to, Request request, CallOptions options)
{
    const auto ex = co_await asio::this_coro::executor;
    if (request.count(bhttp::field::host) == 0) {
        request.set(bhttp::field::host, to.host + ":" + std::to_string(to.port));
    }
    if (request.body().empty()) {
        request.prepare_payload();
    } else {
        request.content_length(request.body().size()); // prepare_payload() throws for methods that should have no body
    }
    if (!isSendable(request)) {
        co_return CallError{CallStage::Connect, "the request holds characters that cannot be sent"};
    }
    options.headOnly = request.method() == bhttp::verb::head;
    if (options.cancellation && options.cancellation->isCancelled()) {
        co_return CallError{CallStage::Connect, "cancelled"};
    }
    auto idle = options.reuse == ConnectionReuse::Never || options.tunnel ? nullptr : takeIdle(ex, to);
    if (idle && options.confirmAfterIdle && Clock::now() - idle->idleSince >= *options.confirmAfterIdle) {
        auto response = std::make_unique<Response>(*this, to, std::move(idle), options);
        response->m_reused = true;
        const auto confirmation = co_await confirmPath(response->m_connection, request, options);
        if (confirmation == Confirmation::Confirmed) {
            auto result = co_await exchange(std::move(response), std::move(request));
            co_return std::move(result);
        }
        if (confirmation == Confirmation::Unacknowledged || (options.cancellation && options.cancellation->isCancelled())) {
            co_return CallError{CallStage::Connect, "the peer does not acknowledge what a kept connection sends", true};
        }
        idle = nullptr; // the peer has closed the connection and cannot have run the request: send it on a new one
    }
    if (idle) {
        auto response = std::make_unique<Response>(*this, to, std::move(idle), options);
        response->m_reused = true;
        if (options.reuse == ConnectionReuse::KeepAlive) {
            auto result = co_await exchange(std::move(response), std::move(request));
            co_return std::move(result);
        }
        Request copy = request;
        auto result = co_await exchange(std::move(response), std::move(copy));
        const bool cancelled = options.cancellation && options.cancellation->isCancelled();
        if (std::holds_alternative<std::unique_ptr<Response>>(result) || cancelled || Clock::now() >= options.deadline) {
            co_return std::move(result);
        }
        // The idle connection was stale: send the request again on a new one.
    }
    auto response = std::make_unique<Response>(*this, to, std::make_shared<ClientConnection>(ex), options);
    auto failed = co_await connect(*response->m_connection, to, options);
    if (failed) {
        co_return *failed;
    }
    auto result = co_await exchange(std::move(response), std::move(request));
    co_return std::move(result);
}

Task<CallResult<Reply>> Client::call(Address to, Request request, CallOptions options)
{
    auto opened = co_await open(std::move(to), std::move(request), options);
    if (auto *err = std::get_if<CallError>(&opened)) {
        co_return *err;
    }
    auto &response = *std::get<std::unique_ptr<Response>>(opened);
    Reply reply;
    reply.status = response.status();
    reply.headers = response.headers(); // before the body, whose trailer is no part of the head
    for (;;) {
        auto part = co_await response.read();
        if (auto *err = std::get_if<CallError>(&part)) {
            co_return *err;
        }
        const auto &bytes = std::get<std::string>(part);
        if (bytes.empty()) {
            break;
        }
        reply.body += bytes;
        if (reply.body.size() > options.maxBodyBytes) {
            co_return CallError{CallStage::Receive, "the response is too long"};
        }
    }
    co_return reply;
}

} // namespace yucca::http
