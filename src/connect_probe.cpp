#include "connect_probe.h"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace yucca::http
{

Task<bool> refusesConnections(Address to, Millis timeout)
{
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(to.host, ec);
    if (ec) {
        co_return false;
    }
    boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    const asio::ip::tcp::endpoint endpoint(address, to.port);
    co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
    co_return ec == asio::error::connection_refused;
}

} // namespace yucca::http
