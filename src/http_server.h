// An asynchronous HTTP/1.1 server: one coroutine per connection, each on
// the event loop of one traffic thread.
#pragma once

#include "http_exchange.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>

namespace yucca::http
{

using Handler = std::function<Task<void>(Exchange &)>;

/// Limits on what a caller may send and how long it may take.
struct ServerLimits {
    std::size_t headerBytes = 64 * 1024;
    std::size_t bodyBytes = 16 * 1024 * 1024;
    Millis headerTimeout{10000}; ///< from a request's first byte to its last
    Millis idleTimeout{30000}; ///< between requests on a kept connection
    Millis writeTimeout{30000}; ///< for one write to a caller that does not read
    bool operator==(const ServerLimits &) const = default;
};

/// Accepts connections and runs the handler for each request. Counts
/// requests in flight so that a planned stop can wait for them.
class Server
{
public:
    /// Connections are spread over the event loops in turn.
    Server(std::vector<asio::io_context *> loops, std::string host, uint16_t port, Handler handler, ServerLimits limits = {});

    /// Binds and starts accepting; an error when the address is taken. Returns the port.
    Result<uint16_t> start();
    /// Puts other limits in force: for connections that are open, from their next request on.
    void setLimits(const ServerLimits &limits);
    /// From now on each answer asks its caller to use another connection.
    /// Requests are still taken; stopAccepting() follows.
    void askCallersToLeave()
    {
        m_leaving = true;
    }
    /// Stops accepting, closes idle connections; requests in flight go on.
    void stopAccepting();
    /// Waits until no request is in flight or the grace has passed; true when idle.
    Task<bool> waitIdle(Millis grace);
    int64_t inflight() const
    {
        return m_inflight.load();
    }

private:
    struct Connection {
        explicit Connection(tcp::socket socket)
            : stream(std::move(socket))
        {
        }
        boost::beast::tcp_stream stream;
        boost::beast::flat_buffer buffer;
        bool idle = true; ///< waiting for a request: may be closed by a stop
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    Task<void> acceptLoop();
    Task<void> serve(ConnectionPtr connection);
    Task<bool> readRequest(Connection &c, Request &out);
    Task<bool> readMessage(Connection &c, const ServerLimits &limits, Request &out);
    Task<void> rejectMessage(Connection &c, bhttp::status status, const char *why);
    Task<bool> answer(ConnectionPtr c, const Request &request);
    static void watchCaller(ConnectionPtr c, std::shared_ptr<Exchange *> exchange);

    std::vector<asio::io_context *> m_loops;
    std::string m_host;
    uint16_t m_port;
    Handler m_handler;
    std::atomic<std::shared_ptr<const ServerLimits>> m_limits;
    tcp::acceptor m_acceptor;
    std::atomic<bool> m_leaving{false};
    std::atomic<bool> m_stopping{false};
    std::atomic<int64_t> m_inflight{0};
    std::mutex m_mutex;
    std::set<ConnectionPtr> m_connections;
};

} // namespace yucca::http
