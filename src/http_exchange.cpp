#include "http_exchange.h"

#include "uri.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>

#include <sys/socket.h>

namespace yucca::http
{

namespace
{

void setHeaders(bhttp::fields &fields, std::string_view contentType, const Headers &headers)
{
    if (!contentType.empty()) {
        fields.set(bhttp::field::content_type, beastView(contentType));
    }
    for (const auto &[name, value] : headers) {
        fields.insert(name, value); // keeps repeated fields and their order
    }
}

// True if the peer has closed or reset the connection. Peeks, so that no byte of
// a pipelined request is consumed.
bool peerClosed(tcp::socket &socket)
{
    char byte;
    const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace

Exchange::Exchange(boost::beast::tcp_stream &stream, const Request &request, bool keepAlive, Millis writeTimeout)
    : m_stream(stream)
    , m_request(request)
    , m_keepAlive(keepAlive)
    , m_writeTimeout(writeTimeout)
{
}

std::string Exchange::path() const
{
    std::string_view target(m_request.target().data(), m_request.target().size());
    return std::string(target.substr(0, target.find('?')));
}

std::string Exchange::query(std::string_view key, std::string fallback) const
{
    std::string_view target(m_request.target().data(), m_request.target().size());
    const auto queryStart = target.find('?');
    std::string_view rest = queryStart == std::string_view::npos ? std::string_view{} : target.substr(queryStart + 1);
    while (!rest.empty()) {
        const auto amp = rest.find('&');
        const auto pair = rest.substr(0, amp);
        const auto eq = pair.find('=');
        if (pair.substr(0, eq) == key) {
            return eq == std::string_view::npos ? std::string() : uri::decodeParameter(pair.substr(eq + 1)).value_or(fallback);
        }
        rest = amp == std::string_view::npos ? std::string_view{} : rest.substr(amp + 1);
    }
    return fallback;
}

void Exchange::markCallerDisconnected()
{
    if (m_callerDisconnected) {
        return;
    }
    m_callerDisconnected = true;
    if (m_onCallerDisconnect) {
        m_onCallerDisconnect();
    }
}

bool Exchange::pollCallerDisconnected()
{
    if (peerClosed(m_stream.socket())) {
        markCallerDisconnected();
    }
    return m_callerDisconnected;
}

// Completes a write: stops the write timeout; a failed write means that the caller has disconnected.
void Exchange::finishWrite(const boost::system::error_code &ec)
{
    m_stream.expires_never();
    if (ec) {
        m_writeError = ec;
        markCallerDisconnected();
    }
}

Task<void> Exchange::reply(unsigned status, std::string body, Headers headers, std::string contentType)
{
    bhttp::response<bhttp::string_body> res{static_cast<bhttp::status>(status), m_request.version()};
    setHeaders(res, contentType, headers);
    res.keep_alive(m_keepAlive);
    res.body() = std::move(body);
    res.prepare_payload();
    m_answered = true;
    boost::system::error_code ec;
    m_stream.expires_after(m_writeTimeout);
    if (m_request.method() == bhttp::verb::head) {
        bhttp::response_serializer<bhttp::string_body> serializer{res};
        co_await bhttp::async_write_header(m_stream, serializer, asio::redirect_error(asio::use_awaitable, ec));
    } else {
        co_await bhttp::async_write(m_stream, res, asio::redirect_error(asio::use_awaitable, ec));
    }
    m_complete = !ec;
    finishWrite(ec);
}

Task<bool> Exchange::beginStream(unsigned status, std::string contentType, Headers headers)
{
    bhttp::response<bhttp::empty_body> res{static_cast<bhttp::status>(status), m_request.version()};
    setHeaders(res, contentType, headers);
    res.keep_alive(m_keepAlive);
    res.chunked(true);
    bhttp::response_serializer<bhttp::empty_body> serializer{res};
    m_answered = true;
    boost::system::error_code ec;
    m_stream.expires_after(m_writeTimeout);
    co_await bhttp::async_write_header(m_stream, serializer, asio::redirect_error(asio::use_awaitable, ec));
    finishWrite(ec);
    co_return !m_callerDisconnected;
}

Task<bool> Exchange::sendChunk(std::string data)
{
    if (m_callerDisconnected || data.empty()) {
        co_return !m_callerDisconnected;
    }
    const auto body = asio::buffer(data);
    boost::system::error_code ec;
    m_stream.expires_after(m_writeTimeout);
    co_await asio::async_write(m_stream, bhttp::make_chunk(body), asio::redirect_error(asio::use_awaitable, ec));
    finishWrite(ec);
    co_return !m_callerDisconnected;
}

Task<void> Exchange::endStream()
{
    if (m_callerDisconnected) {
        co_return;
    }
    boost::system::error_code ec;
    m_stream.expires_after(m_writeTimeout);
    co_await asio::async_write(m_stream, bhttp::make_chunk_last(), asio::redirect_error(asio::use_awaitable, ec));
    m_complete = !ec;
    finishWrite(ec);
}

int Exchange::detach()
{
    m_detached = true;
    m_callerDisconnected = true;
    boost::system::error_code ec;
    auto socket = m_stream.release_socket();
    const int descriptor = socket.release(ec);
    return ec ? -1 : descriptor;
}

void Exchange::abort()
{
    m_aborted = true;
    m_callerDisconnected = true;
    boost::system::error_code ec;
    m_stream.socket().shutdown(tcp::socket::shutdown_both, ec);
}

} // namespace yucca::http
