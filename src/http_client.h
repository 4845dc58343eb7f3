// An asynchronous HTTP/1.1 client with kept connections, and the response
// of a call as it arrives.
#pragma once

#include "http.h"

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

/// A whole response as the client got it.
struct Reply {
    unsigned status = 0;
    std::string body;
    Headers headers;
    /// A header, or empty.
    std::string header(std::string_view name) const;
};

/// Which connection a request goes out on. A kept connection can be closed
/// by its peer while a request is on its way; then nobody can tell whether
/// that request ran.
enum class Reuse {
    Never, ///< a new connection
    Kept, ///< a kept one when there is one; its failure is the call's
    KeptOrAgain, ///< the same, but sent once more on a new one when the kept one fails: idempotent requests only
};

/// Lets the owner of a call end it early, from the same event loop.
class Cancellation
{
public:
    void fire();
    bool fired() const
    {
        return m_fired;
    }

private:
    friend class Client;
    friend class Response;
    std::function<void()> m_action;
    bool m_fired = false;
};

/// How one call is made.
struct CallOptions {
    Clock::time_point deadline;
    Reuse reuse = Reuse::Never;
    Cancellation *cancellation = nullptr; ///< must outlive the call and its Response
    Millis connectTimeout{1000}; ///< a peer that does not answer a SYN is passed by
    std::size_t mostKept = 32; ///< connections kept to the peer
};

struct ClientConnection {
    explicit ClientConnection(const asio::any_io_executor &ex)
        : stream(ex)
    {
    }
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    Request request; ///< the one being sent; lives here, as its write may outlast the call
    bool writing = false; ///< a peer may answer before it has read the request whole
    Clock::time_point closeAt; ///< unless used again, before the peer closes it
};

class Client;

/// A response being received: its head, then its body piece by piece.
/// Destroyed before its end, it closes the connection, which cancels the
/// request at engines that watch for that.
class Response
{
public:
    Response(Client &client, Address peer, std::shared_ptr<ClientConnection> connection, const CallOptions &options);
    ~Response();
    Response(const Response &) = delete;
    Response &operator=(const Response &) = delete;

    unsigned status() const;
    std::string header(std::string_view name) const;
    /// All header fields.
    Headers headers() const;
    /// The fields that go on to another connection.
    Headers endToEndHeaders() const;
    /// The next piece of the body; empty at its complete end.
    Task<CallResult<std::string>> read();
    /// Reads this response to its end and then the head of the one behind
    /// it: for an answer that was another request's, late on this connection.
    /// The connection is not kept.
    Task<std::optional<CallError>> skipToNext();

    /// Bounds the reads that follow.
    void setDeadline(Clock::time_point deadline);

private:
    friend class Client;
    Task<std::optional<CallError>> readHead();
    Task<CallResult<std::string>> readPiece();
    void startParser();
    void finish();

    Client &m_client;
    Address m_peer;
    std::shared_ptr<ClientConnection> m_connection;
    CallOptions m_options;
    bool m_reused = false;
    bool m_keepable = true;
    std::optional<bhttp::response_parser<bhttp::buffer_body>> m_parser;
    std::array<char, 8192> m_piece;
};

/// Counts the bytes of bodies and an estimate of heads sent and received.
struct ByteCounter {
    std::atomic<uint64_t> sent{0};
    std::atomic<uint64_t> received{0};
    uint64_t total() const
    {
        return sent + received;
    }
};

/// Sends requests and keeps finished connections for the next ones. Safe to
/// use from several event loops: each keeps its own connections.
class Client
{
public:
    /// Sends a request and reads the head of its response.
    Task<CallResult<std::unique_ptr<Response>>> open(Address to, Request request, CallOptions options);
    /// Sends a request and reads its whole response.
    Task<CallResult<Reply>> call(Address to, Request request, CallOptions options);

    /// New connections opened since the start.
    uint64_t connectionsOpened() const
    {
        return m_opened;
    }
    /// Closes an event loop's connections that have been idle for too long:
    /// also those to engines that have gone and will not be called again.
    /// From that loop's thread; done now and then by itself.
    void closeIdle(asio::execution_context &loop, Clock::time_point now);
    std::size_t keptConnections();
    /// Closes an event loop's kept connections to a peer; from that loop's thread.
    void closeKept(asio::execution_context &loop, const Address &peer);

private:
    friend class Response;
    using PoolKey = std::pair<asio::execution_context *, Address>;

    std::shared_ptr<ClientConnection> takeKept(const asio::any_io_executor &ex, const Address &to);
    void keep(const Address &peer, std::shared_ptr<ClientConnection> connection, std::size_t most);
    Task<std::optional<CallError>> connect(ClientConnection &c, Address to, CallOptions options);
    Task<CallResult<std::unique_ptr<Response>>> exchange(std::unique_ptr<Response> response, Request request);

    std::mutex m_mutex;
    std::map<PoolKey, std::deque<std::shared_ptr<ClientConnection>>> m_kept;
    Clock::time_point m_nextCloseIdle{};
    std::atomic<uint64_t> m_opened{0};
};

} // namespace yucca::http
