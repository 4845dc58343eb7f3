// Relays connections of peer routers to endpoints: a peer whose own path to an endpoint is cut reaches it through this
// router, which passes the bytes on unchanged. One hop only: a router that needs a relay itself offers none.
#pragma once

#include "http_exchange.h"
#include "relay_peers.h"
#include "router_core.h"
#include "tunnel.h"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <memory>

namespace yucca::relay
{

/// Limits of a RelayServer.
struct RelayOptions {
    int64_t maxTunnels = 64; ///< open at the same time; 0: offers none
    Millis connectTimeout{150}; ///< for the endpoint: the peer's request waits meanwhile
    Millis writeTimeout{30000}; ///< for bytes that the receiver does not read
    Millis maxLifetime{std::chrono::minutes(10)}; ///< of a tunnel, if its request states a longer one
};

/// Counters of a RelayServer, readable from any thread.
struct RelayCounters {
    std::atomic<int64_t> open{0}; ///< tunnels now
    std::atomic<uint64_t> accepted{0};
    std::atomic<uint64_t> refused{0};
};

/// Accepts requests for tunnels. Tunnels run on the event loop of the traffic thread.
class RelayServer
{
public:
    /// Tells whether this router reaches an endpoint directly. Called on the traffic thread.
    using ReachesDirectly = std::function<bool(const Endpoint &)>;

    RelayServer(asio::io_context &trafficLoop, const router::RoutingTable &table, const RelayPeers &peers, ReachesDirectly reachesDirectly,
                RelayOptions options = {});

    /// True for a request that handle() answers.
    static bool isTunnelRequest(const http::Exchange &ex);
    /// Takes over the connection of a request for a tunnel. Callable on the thread of the exchange.
    void handle(http::Exchange &ex);
    /// Refuses new tunnels from now on; open ones go on. Callable from any thread.
    void stop()
    {
        m_stopping = true;
    }
    const RelayCounters &counters() const
    {
        return m_counters;
    }

private:
    using Tcp = asio::ip::tcp;
    struct Tunnel;
    using TunnelPtr = std::shared_ptr<Tunnel>;

    Task<void> serve(TunnelPtr tunnel);
    Task<void> closeAfterLifetime(TunnelPtr tunnel);
    http::TunnelStatus connectable(const Tunnel &tunnel, std::optional<Endpoint> &endpoint) const;
    Task<http::TunnelStatus> connect(Tunnel &tunnel) const;

    asio::io_context &m_trafficLoop;
    const router::RoutingTable &m_table;
    const RelayPeers &m_peers;
    ReachesDirectly m_reachesDirectly;
    RelayOptions m_options;
    RelayCounters m_counters;
    std::atomic<bool> m_stopping{false};
};

} // namespace yucca::relay
