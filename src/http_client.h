// An asynchronous HTTP/1.1 client with a pool of idle connections, and a response
// type that streams the body as it arrives.
#pragma once

#include "http.h"
#include "notifier.h"
#include "tunnel_stream.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <array>
#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace yucca::http
{

/// A complete response.
struct Reply {
    unsigned status = 0;
    std::string body;
    Headers headers;
    /// Returns a header by its case-insensitive name; empty if absent.
    std::string header(std::string_view name) const;
};

/// Which connection a request is sent on. The peer may close an idle
/// keep-alive connection while a request is in transit; it is then unknown whether the
/// request ran.
enum class ConnectionReuse {
    Never, ///< always a new connection
    KeepAlive, ///< an idle connection if there is one; its failure fails the call
    KeepAliveWithRetry, ///< like KeepAlive, but if the idle connection fails, the request is resent once on a new one: for idempotent requests only
};

/// Lets the owner of a call abort it, from the event loop that the call runs on.
class Cancellation
{
public:
    /// Closes the call's connection, and makes later calls with this object fail at once.
    void cancel();
    bool isCancelled() const
    {
        return m_cancelled;
    }

private:
    friend class Client;
    friend class Response;
    std::function<void()> m_action;
    bool m_cancelled = false;
};

/// Options of one call.
struct CallOptions {
    Clock::time_point deadline;
    ConnectionReuse reuse = ConnectionReuse::Never;
    Cancellation *cancellation = nullptr; ///< must outlive the call and its Response
    Millis connectTimeout{1000}; ///< bounds the wait for a peer that does not answer a SYN
    std::size_t maxIdleConnections = 32; ///< maximum number of idle connections kept to the peer
    /// On a keep-alive connection that was idle for at least this long, the end of the request's head is sent only after the
    /// beginning has been acknowledged. If that fails, the request was never complete at the peer and has not run. Nothing:
    /// requests are sent as a whole.
    std::optional<Millis> confirmAfterIdle = {};
    Millis confirmTimeout{150}; ///< for that acknowledgement, which takes one round trip
    std::size_t maxBodyBytes = 8 * 1024 * 1024; ///< of a response that call() reads
    bool headOnly = false; ///< the response has no body, as to a HEAD request; set by the client
    std::optional<TunnelRequest> tunnel = {}; ///< connect through this tunnel, which carries one request and is not kept
};

/// A client connection, in use or idle.
struct ClientConnection {
    explicit ClientConnection(const asio::any_io_executor &ex)
        : stream(ex)
    {
    }
    /// Closes an idle connection in order.
    ~ClientConnection()
    {
        closeInOrder();
    }
    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;
    /// Makes every close a reset, which discards what has not been delivered: a request that was given up must not arrive
    /// later.
    void resetOnClose();
    /// Closes the connection without a reset, after a complete response.
    void closeInOrder();

    boost::beast::tcp_stream stream;
    std::optional<TunnelStream> tunnel; ///< through which responses arrive instead of the stream
    boost::beast::flat_buffer buffer;
    Request request; ///< the request being sent; stored here because its write may outlast the call
    std::string wire; ///< the same as text, if it is sent in two parts
    Clock::time_point idleSince{};
    bool writing = false; ///< the write is in progress or failed; a peer may respond before it has read the whole request
    bool writeFailed = false;
    Notifier writeEnded;
    Clock::time_point closeDeadline; ///< when an idle connection must be closed: before the peer closes it
};

class Client;

/// A response being received: first its head, then its body in parts.
/// Destroying it before its end closes the connection; engines that detect
/// this cancel the request.
class Response
{
public:
    Response(Client &client, Address peer, std::shared_ptr<ClientConnection> connection, const CallOptions &options);
    ~Response();
    Response(const Response &) = delete;
    Response &operator=(const Response &) = delete;

    unsigned status() const;
    std::string header(std::string_view name) const;
    Headers headers() const;
    /// All header fields except the hop-by-hop ones.
    Headers endToEndHeaders() const;
    /// True if the request was sent on a keep-alive connection.
    bool reused() const
    {
        return m_reused;
    }
    /// Returns the next part of the body; an empty string at its complete end; an error if the connection breaks.
    Task<CallResult<std::string>> read();
    /// Reads this response to its end, then the head of the next one on the
    /// connection: for a late response that belongs to an earlier request. The
    /// connection is not kept. Returns an error if the connection breaks.
    Task<std::optional<CallError>> skipToNextResponse();

private:
    friend class Client;
    Task<std::optional<CallError>> readHead();
    Task<CallResult<std::string>> readBody();
    Task<bool> requestWritten();
    Task<std::optional<std::string>> receiveHead();
    Task<boost::system::error_code> receiveBody();
    void startParser();
    void releaseConnection();

    Client &m_client;
    Address m_peer;
    std::shared_ptr<ClientConnection> m_connection;
    CallOptions m_options;
    bool m_reused = false;
    bool m_reusable = true;
    std::optional<bhttp::response_parser<bhttp::buffer_body>> m_parser;
    std::array<char, 8192> m_bodyBuffer;
};

/// Counts bytes sent and received: bodies, plus an estimate for the heads.
struct ByteCounter {
    std::atomic<uint64_t> sent{0};
    std::atomic<uint64_t> received{0};
    uint64_t total() const
    {
        return sent + received;
    }
};

/// Sends requests and keeps the connections of finished ones for reuse. Safe to
/// use from several event loops: each loop has connections of its own.
class Client
{
public:
    /// Sends a request and reads the head of its response. Fails with the stage at which the call broke.
    Task<CallResult<std::unique_ptr<Response>>> open(Address to, Request request, CallOptions options);
    /// Sends a request and reads its complete response. Fails with the stage at which the call broke.
    Task<CallResult<Reply>> call(Address to, Request request, CallOptions options);

    /// Makes sure that a connection to a peer is open for a call that follows at once. Returns false if it could not be opened
    /// within the connect timeout. Sends nothing.
    Task<bool> connectAhead(Address to, CallOptions options);

    /// Asks for a tunnel and closes it unused. Returns nothing if it was opened, otherwise the peer's status, 0 if it did not answer.
    Task<std::optional<unsigned>> tryTunnel(TunnelRequest request, Millis timeout);

    /// Number of connections opened since the start, including failed attempts.
    uint64_t connectionsOpened() const
    {
        return m_opened;
    }
    /// Closes the connections of an event loop that have been idle for too long,
    /// including those to peers that no longer exist. Must be called on the
    /// loop's thread; the client also calls it itself, at most once per second.
    void closeIdle(asio::execution_context &loop, Clock::time_point now);
    /// Number of idle connections over all event loops and peers.
    std::size_t idleConnections();
    /// Closes all idle connections of an event loop to a peer. Must be called on the loop's thread.
    void closeIdleConnections(asio::execution_context &loop, const Address &peer);

private:
    friend class Response;
    using PoolKey = std::pair<asio::execution_context *, Address>;

    std::shared_ptr<ClientConnection> takeIdle(const asio::any_io_executor &ex, const Address &to);
    void addIdle(const Address &peer, std::shared_ptr<ClientConnection> connection, std::size_t maxIdle);
    Task<std::optional<CallError>> connect(ClientConnection &c, Address to, CallOptions options);
    Task<std::optional<CallError>> enterTunnel(ClientConnection &c, const TunnelRequest &request);
    /// How the confirmation that a kept connection still reaches its peer ended.
    enum class Confirmation {
        Confirmed,
        Closed, ///< the peer has closed the connection
        Unacknowledged,
    };
    Task<Confirmation> confirmPath(std::shared_ptr<ClientConnection> connection, const Request &request, const CallOptions &options);
    Task<CallResult<std::unique_ptr<Response>>> exchange(std::unique_ptr<Response> response, Request request);

    std::mutex m_mutex;
    std::map<PoolKey, std::deque<std::shared_ptr<ClientConnection>>> m_idle;
    Clock::time_point m_nextCloseIdle{};
    std::atomic<uint64_t> m_opened{0};
};

} // namespace yucca::http
