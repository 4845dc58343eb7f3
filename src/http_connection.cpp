#include "http_connection.h"

#include <array>
#include <sstream>

namespace yucca::http
{

namespace
{

constexpr std::size_t readBufferBytes = 4096; ///< most request heads fit into one read of this size
constexpr Millis lingerTimeout{500}; ///< time for a caller to read the last response and to close
constexpr std::size_t maxLingerBytes = 256 * 1024; ///< maximum number of bytes that are read and ignored meanwhile

} // namespace

Connection::Connection(tcp::socket socket, const tcp::endpoint &peer)
    : stream(std::move(socket))
    , m_peer(peer)
    , m_timer(stream.get_executor())
{
    boost::system::error_code ec;
    stream.socket().non_blocking(true, ec);
}

void Connection::readAvailable(boost::system::error_code &ec)
{
    const auto into = buffer.prepare(readBufferBytes);
    buffer.commit(stream.socket().read_some(into, ec));
}

Task<void> Connection::waitReadable(Clock::time_point deadline)
{
    const auto wait = ++m_waits;
    m_timer.expires_at(deadline);
    m_timer.async_wait([self = shared_from_this(), wait](const boost::system::error_code &ec) {
        if (!ec && self->m_waits == wait) {
            self->interruptWait();
        }
    });
    boost::system::error_code ec;
    co_await stream.socket().async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, ec));
    ++m_waits;
    m_timer.cancel();
}

void Connection::interruptWait()
{
    boost::system::error_code ec;
    stream.socket().cancel(ec);
}

Task<void> Connection::closeGracefully()
{
    boost::system::error_code ec;
    stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    const auto deadline = Clock::now() + lingerTimeout;
    std::array<char, readBufferBytes> ignored;
    for (std::size_t total = 0; !ec && total < maxLingerBytes && Clock::now() < deadline;) {
        total += stream.socket().read_some(asio::buffer(ignored), ec);
        if (ec == asio::error::would_block) {
            ec = {};
            co_await waitReadable(deadline);
        }
    }
    stream.close();
}

std::string Connection::peerName() const
{
    std::ostringstream name;
    name << m_peer;
    return name.str();
}

} // namespace yucca::http
