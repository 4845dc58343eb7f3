#include "tunnel.h"

#include "log.h"
#include "response_head.h"

namespace yucca::http
{

namespace
{

using Answer = std::variant<TunnelFraming, TunnelRefusal>;

// A framing that was not offered cannot be read.
Answer interpret(const bhttp::response<bhttp::empty_body> &response)
{
    const unsigned status = response.result_int();
    if (status != static_cast<unsigned>(TunnelStatus::Open)) {
        return TunnelRefusal{status};
    }
    const auto framing = headerValue(response, tunnelFramingHeader);
    if (framing.empty()) {
        return TunnelFraming::None;
    }
    if (framing != tunnelFrames) {
        return TunnelRefusal{static_cast<unsigned>(TunnelStatus::Unsupported)};
    }
    return TunnelFraming::Frames;
}

} // namespace

Task<Answer> openTunnel(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, const TunnelRequest &request)
{
    bhttp::request<bhttp::empty_body> message(bhttp::verb::get, beastView(tunnelPath), 11);
    message.set(bhttp::field::host, request.peer.host + ":" + std::to_string(request.peer.port));
    message.set(bhttp::field::connection, "Upgrade");
    message.set(bhttp::field::upgrade, beastView(tunnelProtocol));
    message.set(beastView(tunnelEndpointHeader), request.endpoint);
    message.set(beastView(tunnelLifetimeHeader), std::to_string(request.lifetime.count()));
    message.set(beastView(tunnelFramingHeader), beastView(tunnelFrames));
    boost::system::error_code ec;
    co_await bhttp::async_write(stream, message, asio::redirect_error(asio::use_awaitable, ec));
    bhttp::response_parser<bhttp::empty_body> parser;
    if (ec) {
        co_return TunnelRefusal{};
    }
    const auto failure = co_await readResponseHead(stream, buffer, parser, Upgrade::Requested);
    if (failure) {
        log::Line{log::Event::TunnelNotOpened}.add("peer", request.peer.host).add("why", *failure);
        co_return TunnelRefusal{};
    }
    co_return interpret(parser.get());
}

} // namespace yucca::http
