#include "tunnel.h"

#include "text.h"

#include <random>

namespace yucca::http
{

TunnelRequest makeTunnelRequest(const Address &peer, const std::string &endpoint, Millis lifetime)
{
    static thread_local std::mt19937_64 random{std::random_device{}()};
    return {peer, endpoint, lifetime, text::toHex(random()) + text::toHex(random())};
}

Task<std::optional<unsigned>> openTunnel(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, const TunnelRequest &request)
{
    bhttp::request<bhttp::empty_body> message(bhttp::verb::get, beastView(tunnelPath), 11);
    message.set(bhttp::field::host, request.peer.host + ":" + std::to_string(request.peer.port));
    message.set(bhttp::field::connection, "Upgrade");
    message.set(bhttp::field::upgrade, beastView(tunnelProtocol));
    message.set(beastView(tunnelEndpointHeader), request.endpoint);
    message.set(beastView(tunnelLifetimeHeader), std::to_string(request.lifetime.count()));
    message.set(beastView(tunnelEndMarkerHeader), request.endMarker);
    boost::system::error_code ec;
    co_await bhttp::async_write(stream, message, asio::redirect_error(asio::use_awaitable, ec));
    bhttp::response_parser<bhttp::empty_body> parser;
    if (!ec) {
        co_await bhttp::async_read_header(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
    }
    const unsigned status = ec ? 0 : parser.get().result_int();
    if (status == static_cast<unsigned>(TunnelStatus::Open)) {
        co_return std::nullopt;
    }
    co_return status;
}

} // namespace yucca::http
