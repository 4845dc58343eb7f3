// The endpoint's bytes that arrive through a tunnel, as a stream that Boost.Beast reads from like from a socket.
#pragma once

#include "tunnel.h"
#include "tunnel_frames.h"

#include <boost/asio/compose.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <utility>

namespace yucca::http
{

/// Reads what an endpoint sends through an open tunnel. Its end is an end of file only if the peer states that the endpoint ended the
/// connection in order; otherwise it is an error. Writes go to the connection to the peer itself.
class TunnelStream
{
public:
    using executor_type = boost::beast::tcp_stream::executor_type;

    /// connection leads to the peer and must outlive this object; received holds what arrived with the peer's answer.
    TunnelStream(boost::beast::tcp_stream &connection, TunnelFraming framing, boost::beast::flat_buffer received)
        : m_connection(connection)
        , m_framing(framing)
        , m_received(std::move(received))
    {
    }
    executor_type get_executor()
    {
        return m_connection.get_executor();
    }
    /// Reads at least one byte of the endpoint, or its end.
    template <typename Buffers, typename Token> auto async_read_some(const Buffers &buffers, Token &&token)
    {
        return asio::async_compose<Token, void(boost::system::error_code, std::size_t)>(ReadOperation<Buffers>{*this, buffers}, token, m_connection);
    }

private:
    static constexpr std::size_t readBytes = 8192; ///< at a time, from the peer

    template <typename Buffers> struct ReadOperation {
        enum class Step { Begin, Take, Received };

        template <typename Self> void operator()(Self &self, boost::system::error_code ec = {}, std::size_t received = 0)
        {
            if (step == Step::Begin) {
                step = Step::Take;
                asio::post(stream.get_executor(), std::move(self)); // an operation must not complete before it has been started
                return;
            }
            if (step == Step::Received) {
                stream.m_received.commit(received);
                if (ec) {
                    stream.endBy(ec);
                }
            }
            const auto taken = stream.take(asio::buffer_size(buffers));
            if (!taken.empty() || stream.m_end) {
                const auto copied = asio::buffer_copy(buffers, asio::buffer(taken.data(), taken.size()));
                self.complete(taken.empty() ? stream.m_end : boost::system::error_code(), copied);
                return;
            }
            step = Step::Received;
            stream.m_connection.async_read_some(stream.m_received.prepare(readBytes), std::move(self));
        }

        TunnelStream &stream;
        Buffers buffers;
        Step step = Step::Begin;
    };

    /// Returns bytes of the endpoint, which stay valid until the next call; none if more must be received or at the end.
    std::string_view take(std::size_t maxBytes);
    std::string_view takeFramed(std::string_view received, std::size_t maxBytes);
    /// Records that the connection to the peer ended with an error.
    void endBy(const boost::system::error_code &ec);

    boost::beast::tcp_stream &m_connection;
    const TunnelFraming m_framing;
    boost::beast::flat_buffer m_received; ///< from the peer, and not yet read
    TunnelFrameReader m_frames;
    boost::system::error_code m_end; ///< of the endpoint's bytes; unset until it is known
};

} // namespace yucca::http
