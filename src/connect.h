// Connects a stream to an address. The one place where outgoing TCP connections begin.
#pragma once

#include "task.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace yucca::net
{

/// Connects the stream within its expiry time. Returns the error of the system, success if there is none.
Task<boost::system::error_code> connectStream(boost::beast::tcp_stream &stream, asio::ip::tcp::endpoint to);

} // namespace yucca::net
