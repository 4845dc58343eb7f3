// One request on a server connection, and the means to answer it.
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

/// One request on a server connection and the means to answer it, whole
/// or as a chunked stream.
class Exchange
{
public:
    Exchange(boost::beast::tcp_stream &stream, const Request &request, bool keepAlive, Millis writeTimeout);

    const Request &request() const
    {
        return m_request;
    }
    /// The path of the target without its query.
    std::string path() const;
    /// A query parameter of the target, or the fallback.
    std::string query(std::string_view key, std::string fallback = {}) const;
    /// A request header, or empty.
    std::string header(std::string_view name) const
    {
        return headerOf(m_request, name);
    }

    /// Answers the whole response at once. An empty content type sends none
    /// but what the headers hold.
    Task<void> reply(unsigned status, std::string body, Headers headers = {}, std::string contentType = "application/json");
    /// Starts a chunked response; then sendChunk() and endStream(). False when the caller has gone.
    Task<bool> beginStream(unsigned status, std::string contentType, Headers headers = {});
    /// Sends one chunk; false when the caller has gone.
    Task<bool> sendChunk(std::string data);
    /// Ends a chunked response as complete.
    Task<void> endStream();
    /// Closes the connection, so that what was sent does not look complete.
    void drop();

    /// True once anything of an answer was handed to the connection.
    bool answered() const
    {
        return m_answered;
    }
    bool callerGone() const
    {
        return m_callerGone;
    }
    /// Sets what to do when the caller closes its connection before the answer is complete.
    void onCallerGone(std::function<void()> action)
    {
        m_onCallerGone = std::move(action);
    }

private:
    friend class Server;
    void noteCallerGone();
    void written(const boost::system::error_code &ec);

    boost::beast::tcp_stream &m_stream;
    const Request &m_request;
    std::function<void()> m_onCallerGone;
    bool m_keepAlive;
    Millis m_writeTimeout;
    bool m_answered = false;
    bool m_callerGone = false;
};

} // namespace yucca::http
