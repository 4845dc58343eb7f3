#include "relay_server.h"

#include "connect.h"
#include "log.h"
#include "notifier.h"
#include "text.h"
#include "tunnel_frames.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <algorithm>
#include <vector>

namespace yucca::relay
{

namespace
{

using Stream = boost::beast::tcp_stream;

constexpr std::size_t relayBufferBytes = 8192;

// Closes a connection with a reset: bytes that have not been delivered are lost, and the other side does not take the end
// for an orderly one.
void abortStream(Stream &stream)
{
    boost::system::error_code ec;
    stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
    stream.close();
}

std::string headFor(http::TunnelStatus status, http::TunnelFraming framing)
{
    const auto code = std::to_string(static_cast<unsigned>(status));
    if (status == http::TunnelStatus::Open) {
        const std::string confirmed =
            framing == http::TunnelFraming::Frames ? std::string(http::tunnelFramingHeader) + ": " + std::string(http::tunnelFrames) + "\r\n" : "";
        return "HTTP/1.1 " + code + " Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + std::string(http::tunnelProtocol) + "\r\n" + confirmed
            + "\r\n";
    }
    return "HTTP/1.1 " + code + " Refused\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
}

template <typename Buffers> Task<bool> writeAll(Stream &stream, Buffers bytes, Millis timeout)
{
    boost::system::error_code ec;
    stream.expires_after(timeout);
    co_await asio::async_write(stream, bytes, asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec;
}

} // namespace

/// Two connections between which bytes are passed on. A peer of a release without frames gets the endpoint's bytes as they are.
struct RelayServer::Tunnel {
    Tunnel(Tcp::socket peerSocket, RelayCounters &relayCounters)
        : peer(std::move(peerSocket))
        , endpoint(peer.get_executor())
        , lifetimeTimer(peer.get_executor())
        , counters(relayCounters)
    {
        ++counters.open;
    }
    ~Tunnel()
    {
        --counters.open;
    }
    Tunnel(const Tunnel &) = delete;
    Tunnel &operator=(const Tunnel &) = delete;

    void abort()
    {
        abortStream(endpoint);
        abortStream(peer);
        lifetimeTimer.cancel();
    }

    Stream peer;
    Stream endpoint;
    asio::steady_timer lifetimeTimer;
    RelayCounters &counters;
    bool writing = false; ///< to the endpoint
    bool writeFailed = false; ///< the endpoint's connection took no more
    Notifier writeEnded;
    std::string endpointKey;
    http::TunnelFraming framing = http::TunnelFraming::None;
    Millis lifetime{};
    Millis writeTimeout{};
};

namespace
{

http::TunnelEnd endFor(const boost::system::error_code &ec)
{
    if (ec == asio::error::eof) {
        return http::TunnelEnd::Orderly;
    }
    // A write that timed out has closed the connection, which aborts the read.
    const bool timedOut = ec == asio::error::timed_out || ec == asio::error::operation_aborted;
    return timedOut ? http::TunnelEnd::TimedOut : http::TunnelEnd::Reset;
}

// Passes bytes of the peer on until it closes the tunnel, which ends the request at the endpoint. An endpoint that takes no more
// may have answered already: the tunnel stays open for that.
template <typename TunnelPtr> Task<void> forwardToEndpoint(TunnelPtr tunnel)
{
    std::array<char, relayBufferBytes> buffer;
    for (;;) {
        boost::system::error_code ec;
        tunnel->peer.expires_never();
        const auto n = co_await tunnel->peer.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            tunnel->abort();
            co_return;
        }
        if (!tunnel->writeFailed) {
            tunnel->writing = true;
            const bool taken = co_await writeAll(tunnel->endpoint, asio::buffer(buffer.data(), n), tunnel->writeTimeout);
            tunnel->writing = false;
            tunnel->writeFailed = !taken;
            tunnel->writeEnded.notifyAll();
        }
    }
}

// Returns how the endpoint ended its connection. A socket reports a reset once: if a write got it, the end is read as an orderly one.
template <typename TunnelPtr> Task<http::TunnelEnd> endOf(TunnelPtr tunnel, boost::system::error_code ec)
{
    const auto end = endFor(ec);
    if (end != http::TunnelEnd::Orderly) {
        co_return end;
    }
    while (tunnel->writing) {
        co_await tunnel->writeEnded.wait(Clock::now() + tunnel->writeTimeout);
    }
    co_return tunnel->writeFailed ? http::TunnelEnd::Reset : end;
}

template <typename TunnelPtr> Task<bool> sendToPeer(TunnelPtr tunnel, asio::const_buffer bytes)
{
    if (tunnel->framing == http::TunnelFraming::None) {
        co_return co_await writeAll(tunnel->peer, bytes, tunnel->writeTimeout);
    }
    const auto head = http::dataFrameHead(bytes.size());
    const std::array<asio::const_buffer, 2> frame{asio::buffer(head), bytes};
    co_return co_await writeAll(tunnel->peer, frame, tunnel->writeTimeout);
}

// Returns false if the tunnel must be reset: without frames, a reset is the only way to state that the endpoint's connection broke.
template <typename TunnelPtr> Task<bool> sendEndToPeer(TunnelPtr tunnel, http::TunnelEnd end)
{
    if (tunnel->framing == http::TunnelFraming::None) {
        co_return end == http::TunnelEnd::Orderly;
    }
    const auto frame = http::endFrame(end);
    co_return co_await writeAll(tunnel->peer, asio::buffer(frame), tunnel->writeTimeout);
}

// Passes bytes of the endpoint on, then how they ended.
template <typename TunnelPtr> Task<void> forwardToPeer(TunnelPtr tunnel)
{
    std::array<char, relayBufferBytes> buffer;
    static_assert(relayBufferBytes <= http::maxFrameBytes);
    for (;;) {
        boost::system::error_code ec;
        tunnel->endpoint.expires_never();
        const auto n = co_await tunnel->endpoint.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, ec));
        bool sent = false;
        if (ec) {
            const auto end = co_await endOf(tunnel, ec);
            sent = co_await sendEndToPeer(tunnel, end);
        } else {
            sent = co_await sendToPeer(tunnel, asio::buffer(buffer.data(), n));
        }
        if (!sent) {
            tunnel->abort();
            co_return;
        }
        if (ec) {
            tunnel->peer.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
            co_return;
        }
    }
}

} // namespace

RelayServer::RelayServer(asio::io_context &trafficLoop, const router::RoutingTable &table, const RelayPeers &peers, ReachesDirectly reachesDirectly,
                         RelayOptions options)
    : m_trafficLoop(trafficLoop)
    , m_table(table)
    , m_peers(peers)
    , m_reachesDirectly(std::move(reachesDirectly))
    , m_options(options)
{
}

bool RelayServer::isTunnelRequest(const http::Exchange &ex)
{
    return ex.path() == http::tunnelPath && boost::beast::iequals(ex.header("Upgrade"), http::beastView(http::tunnelProtocol));
}

void RelayServer::handle(http::Exchange &ex)
{
    const auto lifetime = text::parseNumber(ex.header(http::tunnelLifetimeHeader)).value_or(0);
    const auto key = ex.header(http::tunnelEndpointHeader);
    const auto framing = ex.header(http::tunnelFramingHeader) == http::tunnelFrames ? http::TunnelFraming::Frames : http::TunnelFraming::None;
    const int descriptor = ex.detach();
    if (descriptor < 0) {
        return;
    }
    asio::post(m_trafficLoop, [this, descriptor, lifetime, key, framing] {
        boost::system::error_code ec;
        Tcp::socket socket(m_trafficLoop);
        socket.assign(Tcp::v4(), descriptor, ec);
        if (ec) {
            log::Line{log::Event::RelayRefused}.add("endpoint", key).add("why", ec.message());
            return;
        }
        auto tunnel = std::make_shared<Tunnel>(std::move(socket), m_counters);
        tunnel->endpointKey = key;
        tunnel->framing = framing;
        tunnel->lifetime = std::clamp(Millis(lifetime), Millis(0), m_options.maxLifetime);
        tunnel->writeTimeout = m_options.writeTimeout;
        asio::co_spawn(m_trafficLoop, serve(tunnel), asio::detached);
    });
}

// Tells whether a tunnel may be opened, and to which endpoint.
http::TunnelStatus RelayServer::connectable(const Tunnel &tunnel, std::optional<Endpoint> &endpoint) const
{
    boost::system::error_code ec;
    const auto sender = tunnel.peer.socket().remote_endpoint(ec);
    if (ec || !m_peers.isPeer(sender.address().to_string())) {
        return http::TunnelStatus::Forbidden;
    }
    if (m_stopping || m_counters.open > m_options.maxTunnels) {
        return http::TunnelStatus::Unavailable;
    }
    endpoint = m_table.findLive(tunnel.endpointKey);
    if (!endpoint) {
        return http::TunnelStatus::Unknown;
    }
    // A back-off that the endpoint asked of this router holds for all that it sends.
    if (!m_reachesDirectly(*endpoint) || m_table.backsOff(*endpoint, Clock::now())) {
        return http::TunnelStatus::Unavailable;
    }
    return http::TunnelStatus::Open;
}

Task<http::TunnelStatus> RelayServer::connect(Tunnel &tunnel) const
{
    std::optional<Endpoint> endpoint;
    const auto status = connectable(tunnel, endpoint);
    if (status != http::TunnelStatus::Open) {
        co_return status;
    }
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(endpoint->host, ec);
    if (ec) {
        co_return http::TunnelStatus::Unknown;
    }
    tunnel.endpoint.expires_after(m_options.connectTimeout);
    ec = co_await net::connectStream(tunnel.endpoint, Tcp::endpoint(address, endpoint->port));
    if (ec) {
        co_return http::TunnelStatus::Unreachable;
    }
    boost::system::error_code ignored; // an optimisation only
    tunnel.endpoint.socket().set_option(Tcp::no_delay(true), ignored);
    co_return http::TunnelStatus::Open;
}

Task<void> RelayServer::serve(TunnelPtr tunnel)
{
    const auto status = co_await connect(*tunnel);
    const std::string head = headFor(status, tunnel->framing);
    const bool answered = co_await writeAll(tunnel->peer, asio::buffer(head), m_options.writeTimeout);
    if (status != http::TunnelStatus::Open) {
        ++m_counters.refused;
        if (status == http::TunnelStatus::Forbidden) {
            log::Line{log::Event::RelayRefused}.add("endpoint", tunnel->endpointKey).add("why", "the sender is not a listed router");
        }
        tunnel->endpoint.close();
        tunnel->peer.close();
        co_return;
    }
    ++m_counters.accepted;
    if (!answered) {
        tunnel->abort();
        co_return;
    }
    asio::co_spawn(m_trafficLoop, closeAfterLifetime(tunnel), asio::detached);
    asio::co_spawn(m_trafficLoop, forwardToPeer(tunnel), asio::detached);
    co_await forwardToEndpoint(tunnel);
}

// Aborts a tunnel whose peer is gone without a sign.
Task<void> RelayServer::closeAfterLifetime(TunnelPtr tunnel)
{
    boost::system::error_code ec;
    tunnel->lifetimeTimer.expires_after(tunnel->lifetime);
    co_await tunnel->lifetimeTimer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    if (!ec) {
        tunnel->abort();
    }
}

} // namespace yucca::relay
