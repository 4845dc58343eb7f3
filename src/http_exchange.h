// One request on a server connection and its response.
#pragma once

#include "http.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace yucca::http
{

using tcp = asio::ip::tcp;

/// One request on a server connection, with functions to send the response
/// either at once or as a chunked stream.
class Exchange
{
public:
    Exchange(boost::beast::tcp_stream &stream, const Request &request, bool keepAlive, Millis writeTimeout);

    const Request &request() const
    {
        return m_request;
    }
    /// The path of the request target, without the query.
    std::string path() const;
    /// A query parameter of the request target, decoded; the fallback if it is absent or cannot be decoded.
    std::string query(std::string_view key, std::string fallback = {}) const;
    /// A request header; empty if absent.
    std::string header(std::string_view name) const
    {
        return headerValue(m_request, name);
    }

    /// Sends a complete response. With an empty content type, only the given
    /// headers can set one.
    Task<void> reply(unsigned status, std::string body, Headers headers = {}, std::string contentType = "application/json");
    /// Starts a chunked response, to be followed by sendChunk() and endStream(). Returns false if the caller has disconnected.
    Task<bool> beginStream(unsigned status, std::string contentType, Headers headers = {});
    /// Sends one chunk; does nothing for empty data. Returns false if the caller has disconnected.
    Task<bool> sendChunk(std::string data);
    /// Sends the last chunk, which marks the response as complete.
    Task<void> endStream();
    /// Shuts the connection down without completing the response, so that the caller sees it as truncated.
    void abort();
    /// Takes the connection away from the server, for another protocol. Returns its descriptor, which the caller then owns, or -1.
    int detach();

    /// True once any part of a response was passed to the connection.
    bool answered() const
    {
        return m_answered;
    }
    /// True once a response was passed to the connection as a whole.
    bool complete() const
    {
        return m_complete;
    }
    /// True if the handler called abort().
    bool aborted() const
    {
        return m_aborted;
    }
    /// True if the handler called detach().
    bool detached() const
    {
        return m_detached;
    }
    /// The error that ended the last write; none while all writes have succeeded.
    const boost::system::error_code &writeError() const
    {
        return m_writeError;
    }
    /// True if the caller has disconnected, or abort() or detach() was called.
    bool callerDisconnected() const
    {
        return m_callerDisconnected;
    }
    /// Checks now whether the caller has closed the connection: the event loop may not have noticed yet.
    bool pollCallerDisconnected();
    /// Sets a function to call when the caller disconnects before the response is complete.
    void onCallerDisconnect(std::function<void()> action)
    {
        m_onCallerDisconnect = std::move(action);
    }

private:
    friend class Server;
    void markCallerDisconnected();
    void finishWrite(const boost::system::error_code &ec);

    boost::beast::tcp_stream &m_stream;
    const Request &m_request;
    std::function<void()> m_onCallerDisconnect;
    bool m_keepAlive;
    Millis m_writeTimeout;
    boost::system::error_code m_writeError;
    bool m_answered = false;
    bool m_complete = false;
    bool m_aborted = false;
    bool m_detached = false;
    bool m_callerDisconnected = false;
};

} // namespace yucca::http
