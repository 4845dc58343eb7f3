#include "tunnel_stream.h"

#include <boost/asio/error.hpp>

#include <variant>

namespace yucca::http
{

namespace
{

boost::system::error_code errorFor(TunnelEnd end)
{
    switch (end) {
    case TunnelEnd::Orderly:
        return asio::error::eof;
    case TunnelEnd::TimedOut:
        return asio::error::timed_out;
    default:
        return asio::error::connection_reset;
    }
}

} // namespace

std::string_view TunnelStream::take(std::size_t maxBytes)
{
    if (m_end) {
        return {};
    }
    const auto data = m_received.data();
    const std::string_view received(static_cast<const char *>(data.data()), data.size());
    if (m_framing == TunnelFraming::Frames) {
        return takeFramed(received, maxBytes);
    }
    const auto bytes = received.substr(0, maxBytes);
    m_received.consume(bytes.size());
    return bytes;
}

std::string_view TunnelStream::takeFramed(std::string_view received, std::size_t maxBytes)
{
    const std::size_t arrived = received.size();
    const auto item = m_frames.next(received, maxBytes);
    m_received.consume(arrived - received.size());
    if (const auto *bytes = std::get_if<std::string_view>(&item)) {
        return *bytes;
    }
    if (const auto *end = std::get_if<TunnelEnd>(&item)) {
        m_end = errorFor(*end);
    } else if (std::holds_alternative<MalformedFrame>(item)) {
        m_end = make_error_code(boost::system::errc::protocol_error);
    }
    return {};
}

// Without the peer's statement, the end of the connection to it says nothing about the endpoint's.
void TunnelStream::endBy(const boost::system::error_code &ec)
{
    m_end = ec == asio::error::eof ? boost::system::error_code(asio::error::connection_aborted) : ec;
}

} // namespace yucca::http
