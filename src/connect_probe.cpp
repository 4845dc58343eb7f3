#include "connect_probe.h"

#include "connect.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace yucca::http
{

Task<Probe> probeConnection(Address to, Millis connectTimeout, Millis minOpenTime)
{
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(to.host, ec);
    if (ec) {
        co_return Probe::Silent;
    }
    boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(connectTimeout);
    const asio::ip::tcp::endpoint endpoint(address, to.port);
    ec = co_await net::connectStream(stream, endpoint);
    if (ec) {
        co_return ec == asio::error::connection_refused ? Probe::Refused : Probe::Silent;
    }
    stream.expires_after(minOpenTime);
    char byte;
    co_await stream.async_read_some(asio::buffer(&byte, 1), asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec || ec == boost::beast::error::timeout ? Probe::Open : Probe::Closed;
}

} // namespace yucca::http
