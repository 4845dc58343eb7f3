#include "http_client.h"

#include <boost/asio/execution/context.hpp>

#include <limits>

#include <sys/socket.h>

namespace yucca::http
{

namespace
{

using tcp = asio::ip::tcp;

constexpr Millis connectTimeout{1000}; ///< an engine that does not answer a SYN is passed by
constexpr std::size_t maxKeptPerPeer = 32;
constexpr Millis keptLifetime{4000}; ///< shorter than the idle timeouts of the servers we call
constexpr Millis closeIdleEvery{1000};
constexpr std::size_t responseHeaderLimit = 64 * 1024;

// True when a kept connection is still quiet: no end of stream, and no
// stray bytes of an answer that nobody waits for.
bool stillQuiet(tcp::socket &socket)
{
    char byte;
    const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
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

void Cancellation::fire()
{
    m_fired = true;
    if (m_action) {
        m_action();
    }
}

Response::Response(Client &client, Address peer, std::unique_ptr<ClientConnection> connection, Cancellation *cancellation)
    : m_client(client)
    , m_peer(std::move(peer))
    , m_connection(std::move(connection))
    , m_cancellation(cancellation)
{
    m_parser.header_limit(responseHeaderLimit);
    m_parser.body_limit(std::numeric_limits<uint64_t>::max()); // Beast 1.74 takes "none" for zero
    if (m_cancellation) {
        m_cancellation->m_action = [this] {
            if (m_connection) {
                m_connection->stream.close();
            }
        };
    }
}

Response::~Response()
{
    if (m_cancellation) {
        m_cancellation->m_action = nullptr;
    }
}

unsigned Response::status() const
{
    return m_parser.get().result_int();
}

std::string Response::header(std::string_view name) const
{
    return headerOf(m_parser.get(), name);
}

Headers Response::headers() const
{
    Headers out;
    for (const auto &field : m_parser.get()) {
        out.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    return out;
}

void Response::setDeadline(Clock::time_point deadline)
{
    if (m_connection) {
        m_connection->stream.expires_at(deadline);
    }
}

// Hands a connection whose response is complete back for the next request.
void Response::finish()
{
    if (m_connection && m_parser.get().keep_alive() && m_connection->buffer.size() == 0) {
        m_client.keep(m_peer, std::move(m_connection));
    }
    m_connection.reset();
}

Task<CallResult<std::string>> Response::read()
{
    while (m_connection && !m_parser.is_done()) {
        auto &body = m_parser.get().body();
        body.data = m_piece.data();
        body.size = m_piece.size();
        body.more = true;
        boost::system::error_code ec;
        co_await bhttp::async_read_some(m_connection->stream, m_connection->buffer, m_parser, asio::redirect_error(asio::use_awaitable, ec));
        if (ec == bhttp::error::need_buffer) {
            ec = {};
        }
        const std::size_t got = m_piece.size() - m_parser.get().body().size;
        if (got > 0) {
            co_return std::string(m_piece.data(), got); // bytes first, then the error on the next read
        }
        if (ec) {
            m_connection.reset();
            co_return CallError{CallStage::Receive, ec.message()};
        }
    }
    if (!m_parser.is_done()) {
        co_return CallError{CallStage::Receive, "connection closed before the end of the response"};
    }
    finish();
    co_return std::string();
}

std::unique_ptr<ClientConnection> Client::takeKept(const asio::any_io_executor &ex, const Address &to)
{
    std::lock_guard lock(m_mutex);
    auto it = m_kept.find({&asio::query(ex, asio::execution::context), to});
    if (it == m_kept.end()) {
        return nullptr;
    }
    auto &kept = it->second;
    while (!kept.empty()) {
        auto c = std::move(kept.back());
        kept.pop_back();
        if (Clock::now() - c->idleSince < keptLifetime && stillQuiet(c->stream.socket())) {
            return c;
        }
    }
    return nullptr;
}

void Client::keep(const Address &peer, std::unique_ptr<ClientConnection> connection)
{
    connection->stream.expires_never();
    connection->idleSince = Clock::now();
    auto &loop = asio::query(connection->stream.get_executor(), asio::execution::context);
    bool closeDue = false;
    {
        std::lock_guard lock(m_mutex);
        auto &kept = m_kept[{&loop, peer}];
        kept.push_back(std::move(connection));
        if (kept.size() > maxKeptPerPeer) {
            kept.pop_front();
        }
        closeDue = Clock::now() >= m_nextCloseIdle;
        m_nextCloseIdle = closeDue ? Clock::now() + closeIdleEvery : m_nextCloseIdle;
    }
    if (closeDue) {
        closeIdle(loop, Clock::now());
    }
}

void Client::closeIdle(asio::execution_context &loop, Clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    for (auto it = m_kept.begin(); it != m_kept.end();) {
        auto &[key, kept] = *it;
        // Another loop's sockets are that loop's to close.
        while (key.first == &loop && !kept.empty() && now - kept.front()->idleSince > keptLifetime) {
            kept.pop_front();
        }
        it = kept.empty() ? m_kept.erase(it) : std::next(it);
    }
}

std::size_t Client::keptConnections()
{
    std::lock_guard lock(m_mutex);
    std::size_t n = 0;
    for (const auto &[key, kept] : m_kept) {
        n += kept.size();
    }
    return n;
}

Task<std::optional<CallError>> Client::connect(ClientConnection &c, Address to, Clock::time_point deadline)
{
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(to.host, ec);
    if (ec) {
        co_return CallError{CallStage::Connect, "bad address " + to.host};
    }
    ++m_opened;
    c.stream.expires_at(std::min(deadline, Clock::now() + connectTimeout));
    const tcp::endpoint endpoint(address, to.port);
    co_await c.stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return CallError{CallStage::Connect, ec.message()};
    }
    c.stream.socket().set_option(tcp::no_delay(true), ec);
    co_return std::nullopt;
}

// Writes the request and reads the response's head on one connection.
Task<CallResult<std::unique_ptr<Response>>> Client::exchange(std::unique_ptr<Response> response, Request &request, CallOptions options)
{
    auto &c = *response->m_connection;
    c.stream.expires_at(options.deadline);
    boost::system::error_code ec;
    co_await bhttp::async_write(c.stream, request, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return CallError{CallStage::Send, ec.message()};
    }
    do {
        co_await bhttp::async_read_header(c.stream, c.buffer, response->m_parser, asio::redirect_error(asio::use_awaitable, ec));
    } while (!ec && !response->m_parser.is_header_done());
    if (ec) {
        co_return CallError{CallStage::Receive, ec.message()};
    }
    co_return std::move(response);
}

Task<CallResult<std::unique_ptr<Response>>> Client::open(Address to, Request request, CallOptions options)
{
    const auto ex = co_await asio::this_coro::executor;
    request.set(bhttp::field::host, to.host + ":" + std::to_string(to.port));
    request.prepare_payload();
    if (options.cancellation && options.cancellation->fired()) {
        co_return CallError{CallStage::Connect, "cancelled"};
    }
    if (options.repeatable == Repeatable::Yes) {
        if (auto kept = takeKept(ex, to)) {
            auto response = std::make_unique<Response>(*this, to, std::move(kept), options.cancellation);
            auto result = co_await exchange(std::move(response), request, options);
            const bool cancelled = options.cancellation && options.cancellation->fired();
            if (std::holds_alternative<std::unique_ptr<Response>>(result) || cancelled || Clock::now() >= options.deadline) {
                co_return std::move(result);
            }
            // The kept connection went stale: once more on a new one.
        }
    }
    auto response = std::make_unique<Response>(*this, to, std::make_unique<ClientConnection>(ex), options.cancellation);
    auto failed = co_await connect(*response->m_connection, to, options.deadline);
    if (failed) {
        co_return *failed;
    }
    auto result = co_await exchange(std::move(response), request, options);
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
    for (;;) {
        auto piece = co_await response.read();
        if (auto *err = std::get_if<CallError>(&piece)) {
            co_return *err;
        }
        const auto &bytes = std::get<std::string>(piece);
        if (bytes.empty()) {
            break;
        }
        reply.body += bytes;
    }
    reply.headers = response.headers();
    co_return reply;
}

} // namespace yucca::http
