// An asynchronous HTTP/1.1 server: one coroutine per connection, each on the
// event loop of one traffic thread.
#pragma once

#include "http_connection.h"
#include "http_exchange.h"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <exception>
#include <functional>
#include <memory>
#include <mutex>
#include <set>

namespace yucca::http
{

/// Handles one request; must respond through the Exchange, abort() or detach() it, unless the caller has
/// disconnected. If it does not, or throws, a caller without a response gets a 500, and a response that has
/// begun is cut off so that it does not look complete.
using Handler = std::function<Task<void>(Exchange &)>;

/// Limits on the size and duration of callers' requests.
struct ServerLimits {
    std::size_t headerBytes = 64 * 1024;
    std::size_t bodyBytes = 16 * 1024 * 1024;
    Millis headerTimeout{10000}; ///< from the first byte of a request to its last
    Millis idleTimeout{30000}; ///< between two requests on a connection
    Millis writeTimeout{30000}; ///< for one write to a caller that does not read its socket
    bool operator==(const ServerLimits &) const = default;
};

/// How requests that were read whole ended other than with a whole response, and what failed, since the start.
struct ServerCounters {
    std::atomic<uint64_t> handlerFailures{0}; ///< handlers that threw, or returned without a whole response
    std::atomic<uint64_t> connectionFailures{0}; ///< failures outside of a handler, each with a log line
    std::atomic<uint64_t> unanswered{0}; ///< no response was begun, though the caller was there
    std::atomic<uint64_t> truncated{0}; ///< a response was begun and not completed, by a failure or a write timeout
    std::atomic<uint64_t> aborted{0}; ///< the handler called Exchange::abort()
    std::atomic<uint64_t> callersGone{0}; ///< the caller disconnected before its response was complete
    std::atomic<uint64_t> rejectedMessages{0}; ///< messages that were not passed to the handler: 400, 408, 413 and 431
};

/// Accepts connections and runs the handler for each request. Counts the
/// requests in flight so that a graceful stop can wait for them.
class Server
{
public:
    /// Distributes connections over the event loops round robin. Port 0 selects a free port.
    Server(std::vector<asio::io_context *> loops, std::string host, uint16_t port, Handler handler, ServerLimits limits = {});

    /// Binds and starts accepting. Returns the port, or an error: 400 for an invalid address, 503 if the server cannot listen on it.
    Result<uint16_t> start();
    /// Replaces the limits; open connections use them from their next request on. A longer idle timeout also
    /// holds for connections that are idle.
    void setLimits(const ServerLimits &limits);
    /// From now on each response asks the caller to close its connection.
    /// Requests are still accepted until stopAccepting().
    void closeConnectionsAfterResponses()
    {
        m_closeAfterResponse = true;
    }
    /// Stops accepting connections and closes idle ones. Requests that have arrived, also on connections that
    /// were not accepted yet, are handled; they count as in flight from this call on.
    void stopAccepting();
    /// Waits until no request is in flight or the grace period has passed. Returns true if none is left.
    Task<bool> waitIdle(Millis grace);
    /// Number of requests being read or handled.
    int64_t inflight() const
    {
        return m_inflight->load();
    }
    const ServerCounters &counters() const
    {
        return m_counters;
    }

private:
    Task<void> acceptLoop();
    void acceptPending();
    void open(tcp::socket socket, const tcp::endpoint &peer);
    asio::io_context &nextLoop();
    Task<void> serve(ConnectionPtr connection);
    Task<bool> awaitRequest(Connection &c);
    Task<bool> readRequest(Connection &c, Request &out);
    Task<void> rejectMessage(Connection &c, bhttp::status status, const char *why);
    Task<bool> handleRequest(ConnectionPtr c, const Request &request);
    void recordEnd(const Connection &c, const Exchange &exchange);
    void recordFailure(std::string_view where, std::string_view peer, std::string_view why);
    static void watchForDisconnect(ConnectionPtr c, std::shared_ptr<Exchange *> exchange);

    std::vector<asio::io_context *> m_loops;
    std::string m_host;
    uint16_t m_port;
    Handler m_handler;
    std::atomic<std::shared_ptr<const ServerLimits>> m_limits;
    tcp::acceptor m_acceptor;
    std::size_t m_acceptedConnections = 0;
    std::atomic<bool> m_closeAfterResponse{false};
    std::atomic<bool> m_stopping{false};
    InflightCount::Counter m_inflight = std::make_shared<std::atomic<int64_t>>(0);
    ServerCounters m_counters;
    std::mutex m_mutex;
    std::set<ConnectionPtr> m_connections;
};

} // namespace yucca::http
