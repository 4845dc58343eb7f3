// One connection of a caller to the server: its socket is read without blocking, so that
// bytes are only taken from it by the coroutine that handles them.
#pragma once

#include "task.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <atomic>
#include <memory>
#include <optional>

namespace yucca::http
{

using tcp = asio::ip::tcp;

/// Counts one request in flight for as long as it exists. Shares the counter, because suspended
/// coroutines may outlive their server.
class InflightCount
{
public:
    using Counter = std::shared_ptr<std::atomic<int64_t>>;

    explicit InflightCount(Counter counter)
        : m_counter(std::move(counter))
    {
        ++*m_counter;
    }
    ~InflightCount()
    {
        if (m_counter) {
            --*m_counter;
        }
    }
    InflightCount(InflightCount &&) noexcept = default;
    InflightCount &operator=(InflightCount &&) = delete;

private:
    Counter m_counter;
};

/// A connection that was accepted. Used on one event loop only.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(tcp::socket socket, const tcp::endpoint &peer);

    /// Appends bytes that have already arrived to the buffer. Sets ec to would_block if there are none.
    void readAvailable(boost::system::error_code &ec);
    /// Waits until the socket is readable, the deadline has passed or interruptWait() was called.
    Task<void> waitReadable(Clock::time_point deadline);
    void interruptWait();
    /// Ends the connection after its last response. A socket that is closed with unread bytes, or
    /// receives some afterwards, is reset, which discards what the caller has not received yet.
    /// Therefore reads and ignores bytes until the caller closes, for a limited time.
    Task<void> closeGracefully();

    /// The caller's address and port, for log lines.
    std::string peerName() const;

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::optional<InflightCount> inflight; ///< set from the arrival of a request's first bytes to the end of its response
    bool idle = false; ///< waiting for a request
    bool handling = false; ///< a whole request was read and its response is not complete

private:
    tcp::endpoint m_peer;
    asio::steady_timer m_timer;
    uint64_t m_waits = 0; ///< identifies the current wait: an expired timer must not interrupt a later one
};

using ConnectionPtr = std::shared_ptr<Connection>;

} // namespace yucca::http
