// Replaces net::connectStream() in the router of the soak test: connections go to the ports that a file names, so that
// the soak test can cut the paths of one router alone.
#include "connect.h"
#include "soak/redirects.h"

#include <cstdlib>
#include <fstream>

namespace yucca::net
{

namespace
{

// Returns the port that stands for the given one in the file, which has a line "PORT REPLACEMENT" for each.
uint16_t redirectedPort(uint16_t port)
{
    const char *path = std::getenv(soak::redirectsVariable);
    std::ifstream redirects(path ? path : "");
    for (uint16_t from = 0, to = 0; redirects >> from >> to;) {
        if (from == port) {
            return to;
        }
    }
    return port;
}

} // namespace

Task<boost::system::error_code> connectStream(boost::beast::tcp_stream &stream, asio::ip::tcp::endpoint to)
{
    to.port(redirectedPort(to.port()));
    boost::system::error_code ec;
    co_await stream.async_connect(to, asio::redirect_error(asio::use_awaitable, ec));
    co_return ec;
}

} // namespace yucca::net
