#include "connect.h"

namespace yucca::net
{

Task<boost::system::error_code> connectStream(boost::beast::tcp_stream &stream, asio::ip::tcp::endpoint to)
{
    boost::system::error_code ec;
    co_await stream.async_connect(to, asio::redirect_error(asio::use_awaitable, ec));
    co_return ec;
}

} // namespace yucca::net
