#include "http_client.h"

#include "forwarding.h"
#include "text.h"

#include <boost/asio/execution/context.hpp>

#include <limits>

#include <sys/socket.h>

namespace yucca::http
{

namespace
{

using tcp = asio::ip::tcp;

constexpr Millis keptLifetime{4000}; ///< where a peer states no timeout: shorter than the usual 5 s
constexpr double keptShare = 0.7; ///< of the idle timeout that a peer states: the rest covers a request on its way
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

// How long a connection may stay idle after this response.
Millis keptFor(const std::string &keepAlive)
{
    constexpr std::string_view timeoutKey = "timeout=";
    const auto at = keepAlive.find(timeoutKey);
    if (at == std::string::npos) {
        return keptLifetime;
    }
    const auto value = std::string_view(keepAlive).substr(at + timeoutKey.size());
    const auto seconds = text::number(value.substr(0, value.find_first_not_of("0123456789")));
    return seconds ? Millis(static_cast<int64_t>(keptShare * 1000.0 * static_cast<double>(*seconds))) : keptLifetime;
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
        m_connection->stream.close(); // a write may still hold the connection
    }
}

void Response::startParser()
{
    m_parser.emplace();
    m_parser->header_limit(responseHeaderLimit);
    m_parser->body_limit(std::numeric_limits<uint64_t>::max()); // Beast 1.74 takes "none" for zero
}

unsigned Response::status() const
{
    return m_parser->get().result_int();
}

std::string Response::header(std::string_view name) const
{
    return headerOf(m_parser->get(), name);
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
    return endToEnd(m_parser->get());
}

void Response::setDeadline(Clock::time_point deadline)
{
    if (m_connection) {
        m_connection->stream.expires_at(deadline);
    }
}

// Hands a connection whose response is complete back for the next request:
// not one whose request the peer has yet to read, as it would take the next
// one for the rest of it.
void Response::finish()
{
    const bool clean = m_keepable && m_connection && !m_connection->writing && m_connection->buffer.size() == 0;
    if (clean && m_parser->get().keep_alive()) {
        m_connection->closeAt = Clock::now() + keptFor(header("keep-alive"));
        m_client.keep(m_peer, std::move(m_connection), m_options.mostKept);
    } else if (m_connection) {
        m_connection->stream.close();
    }
    m_connection.reset();
}

// Reads the head of the next final response; interim ones (1xx) are passed over.
Task<std::optional<CallError>> Response::readHead()
{
    boost::system::error_code ec;
    do {
        if (m_parser->is_done()) {
            startParser();
        }
        co_await bhttp::async_read_header(m_connection->stream, m_connection->buffer, *m_parser, asio::redirect_error(asio::use_awaitable, ec));
    } while (!ec && status() < 200);
    if (ec) {
        m_connection->stream.close();
        co_return CallError{CallStage::Receive, ec.message()};
    }
    co_return std::nullopt;
}

Task<std::optional<CallError>> Response::skipToNext()
{
    m_keepable = false;
    for (bool more = true; more;) {
        auto piece = co_await readPiece();
        if (auto *error = std::get_if<CallError>(&piece)) {
            co_return *error;
        }
        more = !std::get<std::string>(piece).empty();
    }
    startParser();
    co_return co_await readHead();
}

Task<CallResult<std::string>> Response::readPiece()
{
    while (m_connection && !m_parser->is_done()) {
        auto &body = m_parser->get().body();
        body.data = m_piece.data();
        body.size = m_piece.size();
        body.more = true;
        boost::system::error_code ec;
        co_await bhttp::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, asio::redirect_error(asio::use_awaitable, ec));
        if (ec == bhttp::error::need_buffer) {
            ec = {};
        }
        const std::size_t got = m_piece.size() - m_parser->get().body().size;
        if (got > 0) {
            co_return std::string(m_piece.data(), got); // bytes first, then the error on the next read
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
    co_return std::string();
}

Task<CallResult<std::string>> Response::read()
{
    auto piece = co_await readPiece();
    const auto *bytes = std::get_if<std::string>(&piece);
    if (bytes && bytes->empty()) {
        finish();
    }
    co_return std::move(piece);
}

std::shared_ptr<ClientConnection> Client::takeKept(const asio::any_io_executor &ex, const Address &to)
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
        if (Clock::now() < c->closeAt && stillQuiet(c->stream.socket())) {
            return c;
        }
    }
    return nullptr;
}

void Client::keep(const Address &peer, std::shared_ptr<ClientConnection> connection, std::size_t most)
{
    connection->stream.expires_never();
    auto &loop = asio::query(connection->stream.get_executor(), asio::execution::context);
    bool closeDue = false;
    {
        std::lock_guard lock(m_mutex);
        auto &kept = m_kept[{&loop, peer}];
        kept.push_back(std::move(connection));
        if (kept.size() > most) {
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
        if (key.first == &loop) {
            std::erase_if(kept, [now](const auto &c) {
                return now >= c->closeAt;
            });
        }
        it = kept.empty() ? m_kept.erase(it) : std::next(it);
    }
}

void Client::closeKept(asio::execution_context &loop, const Address &peer)
{
    std::lock_guard lock(m_mutex);
    m_kept.erase({&loop, peer});
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

Task<std::optional<CallError>> Client::connect(ClientConnection &c, Address to, CallOptions options)
{
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(to.host, ec);
    if (ec) {
        co_return CallError{CallStage::Connect, "bad address " + to.host};
    }
    ++m_opened;
    c.stream.expires_at(std::min(options.deadline, Clock::now() + options.connectTimeout));
    const tcp::endpoint endpoint(address, to.port);
    co_await c.stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return CallError{CallStage::Connect, ec.message()};
    }
    c.stream.socket().set_option(tcp::no_delay(true), ec);
    co_return std::nullopt;
}

// Writes the request and reads the response's head on one connection, both
// at once: a peer may answer before it has read the request whole.
Task<CallResult<std::unique_ptr<Response>>> Client::exchange(std::unique_ptr<Response> response, Request request)
{
    auto c = response->m_connection;
    c->stream.expires_at(response->m_options.deadline);
    c->request = std::move(request);
    c->writing = true;
    bhttp::async_write(c->stream, c->request, [c](const boost::system::error_code &ec, std::size_t) {
        c->writing = ec.failed(); // a request that was cut short leaves the connection unusable
    });
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
    request.prepare_payload();
    if (options.cancellation && options.cancellation->fired()) {
        co_return CallError{CallStage::Connect, "cancelled"};
    }
    auto kept = options.reuse == Reuse::Never ? nullptr : takeKept(ex, to);
    if (kept) {
        auto response = std::make_unique<Response>(*this, to, std::move(kept), options);
        response->m_reused = true;
        if (options.reuse == Reuse::Kept) {
            auto result = co_await exchange(std::move(response), std::move(request));
            co_return std::move(result);
        }
        Request copy = request;
        auto result = co_await exchange(std::move(response), std::move(copy));
        const bool cancelled = options.cancellation && options.cancellation->fired();
        if (std::holds_alternative<std::unique_ptr<Response>>(result) || cancelled || Clock::now() >= options.deadline) {
            co_return std::move(result);
        }
        // The kept connection went stale: once more on a new one.
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
