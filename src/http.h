// HTTP on Boost.Beast: a small threaded server and a blocking client.
#pragma once

#include "yucca/types.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace yucca::http
{

namespace bhttp = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using Request = bhttp::request<bhttp::string_body>;
using Headers = std::vector<std::pair<std::string, std::string>>;

/// One request on a server connection and the means to answer it, whole
/// or as a chunked stream.
class Exchange
{
public:
    Exchange(tcp::socket &socket, const Request &request);

    const Request &request() const
    {
        return m_request;
    }
    /// The path of the target without its query.
    std::string path() const;
    /// A query parameter of the target, or the fallback.
    std::string query(std::string_view key, std::string fallback = {}) const;
    /// A request header, or empty.
    std::string header(std::string_view name) const;

    /// Answers the whole response at once.
    void reply(unsigned status, const std::string &body, const Headers &headers = {}, std::string_view contentType = "application/json");
    /// Starts a chunked response; then sendChunk() and endStream().
    bool beginStream(unsigned status, std::string_view contentType, const Headers &headers = {});
    /// Sends one chunk; false when the peer has gone.
    bool sendChunk(std::string_view data);
    void endStream();
    /// Closes the connection without an answer (a fault the stand-ins inject).
    void drop();
    bool answered() const
    {
        return m_answered;
    }

private:
    tcp::socket &m_socket;
    const Request &m_request;
    bool m_answered = false;
    bool m_broken = false;
};

using Handler = std::function<void(Exchange &)>;

/// A blocking HTTP/1.1 server: one acceptor thread, one thread per
/// connection. Counts requests in flight so that a planned stop can wait
/// for them.
class Server
{
public:
    Server(std::string host, uint16_t port, Handler handler);
    ~Server();

    /// Binds and starts accepting; returns an error when the port is taken.
    Result<uint16_t> start();
    /// Stops accepting new connections; requests in flight go on.
    void stopAccepting();
    /// Waits until no request is in flight or the grace has passed; true when idle.
    bool waitIdle(std::chrono::milliseconds grace);
    int64_t inflight() const
    {
        return m_inflight.load();
    }

private:
    void acceptLoop();
    void serve(tcp::socket socket);

    std::string m_host;
    uint16_t m_port;
    Handler m_handler;
    boost::asio::io_context m_io;
    std::unique_ptr<tcp::acceptor> m_acceptor;
    std::thread m_acceptThread;
    std::atomic<bool> m_stopping{false};
    std::atomic<int64_t> m_inflight{0};
    std::atomic<int64_t> m_connections{0};
};

/// A whole response as the client got it.
struct Reply {
    unsigned status = 0;
    std::string body;
    std::map<std::string, std::string> headers; ///< names in lower case
    /// A header, or the fallback.
    std::string header(const std::string &name, std::string fallback = {}) const;
};

/// Where a failed call broke off: decides whether the request may have run.
enum class CallStage {
    Connect, ///< nothing was sent: the request certainly did not run
    Send, ///< the request may be partly sent
    Receive, ///< the request was sent; it may have run
};

/// A failed call: the stage it broke at and why.
struct CallError {
    CallStage stage = CallStage::Connect;
    std::string message;
};

template <typename T> using CallResult = std::variant<T, CallError>;

/// One blocking request on a fresh connection, bounded by a timeout.
CallResult<Reply> call(const std::string &host, uint16_t port, std::string_view method, const std::string &target, const std::string &body,
                       std::chrono::milliseconds timeout, const Headers &headers = {});

/// Sends a request and hands the response on as it arrives: first the head,
/// then each piece of body. onData returns false to abandon the stream.
CallResult<unsigned> stream(const std::string &host, uint16_t port, Request request, std::chrono::milliseconds timeout,
                            const std::function<void(const bhttp::response_header<> &)> &onHead, const std::function<bool(std::string_view)> &onData);

/// Counts bytes a program sends and receives on control traffic.
struct ByteCounter {
    std::atomic<uint64_t> sent{0};
    std::atomic<uint64_t> received{0};
};

} // namespace yucca::http
