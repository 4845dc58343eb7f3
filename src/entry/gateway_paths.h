// The two paths to an endpoint: a connection of this router, and one relayed by a peer while the direct path is cut.
// Nothing of a request is sent before a connection to the endpoint is open, whichever path it takes.
#pragma once

#include "connect_probe.h"
#include "entry/gateway.h"

namespace yucca::entry
{

// The request as it is sent now: its deadline is the time that is left at this moment.
template <Dialect D> http::Request Gateway<D>::makeRequestFor(const http::Exchange &ex, const RequestState &state, const Endpoint &endpoint) const
{
    const auto left = std::chrono::duration_cast<Millis>(state.profile.responseDeadline - Clock::now());
    const ForwardOptions forward{endpoint, left, state.events.lastId(), state.promptEstimate.source};
    return m_dialect.makeForwardedRequest(ex, state.profile, forward);
}

template <Dialect D>
Task<typename Gateway<D>::OpenResult> Gateway<D>::openDirect(http::Exchange &ex, RequestState &state, Endpoint endpoint, http::CallOptions options)
{
    state.path = Path::Direct;
    auto request = makeRequestFor(ex, state, endpoint);
    const http::Address address{endpoint.host, endpoint.port};
    auto opened = co_await m_client.open(address, std::move(request), options);
    const auto *error = std::get_if<http::CallError>(&opened);
    const bool reused = error ? error->reused : std::get<std::unique_ptr<http::Response>>(opened)->reused();
    const bool unreached = error && error->stage == http::CallStage::Connect;
    const bool givenUp = state.cancellation.isCancelled() || Clock::now() >= options.deadline;
    if (unreached && !givenUp) {
        m_paths.recordFailure(endpoint, Clock::now());
    } else if (!unreached && !reused) {
        recordConnected(endpoint);
    }
    co_return std::move(opened);
}

// Asks peers for a tunnel to the endpoint, one after the other, and sends the request through the first one. One peer that
// cannot reach the endpoint may have lost its own path, so a second one is asked.
template <Dialect D>
Task<typename Gateway<D>::OpenResult> Gateway<D>::openRelayed(http::Exchange &ex, RequestState &state, Endpoint endpoint, http::CallOptions options)
{
    state.path = Path::Relayed;
    options.connectTimeout = m_options.relayConnectTimeout;
    int unreachable = 0;
    std::set<http::Address> asked;
    while (asked.size() < m_options.maxRelayPeers && unreachable < m_options.minUnreachablePeers && !state.cancellation.isCancelled()) {
        const auto now = Clock::now();
        const auto peer = m_relayPeers->pick(now, state.constraints.regions, asked); // the request must not leave its regions on the way
        if (!peer || now >= options.deadline) {
            break;
        }
        asked.insert(*peer);
        const auto lifetime = std::chrono::ceil<Millis>(state.profile.responseDeadline - now);
        options.tunnel = http::TunnelRequest{*peer, incarnationKey(endpoint), lifetime};
        auto request = makeRequestFor(ex, state, endpoint);
        const http::Address address{endpoint.host, endpoint.port};
        auto opened = co_await m_client.open(address, std::move(request), options);
        const auto *error = std::get_if<http::CallError>(&opened);
        if (!error || error->stage != http::CallStage::Connect) {
            ++m_metrics.relayed;
            co_await recordCutPath(endpoint);
            co_return std::move(opened);
        }
        if (state.cancellation.isCancelled() || Clock::now() >= options.deadline) {
            break; // the request gave up, not the peer
        }
        excludeAfterRefusal(*peer, error->tunnelStatus);
        unreachable += error->tunnelStatus == static_cast<unsigned>(http::TunnelStatus::Unreachable) ? 1 : 0;
    }
    if (unreachable > 0) {
        m_paths.recordUnreachable(endpoint, Clock::now());
    }
    ++m_metrics.relaysRefused;
    co_return http::CallError{http::CallStage::Connect, "no peer relays to the endpoint"};
}

// Sends the request by the direct path; by way of a peer if that path is cut, or if it fails and is likely cut.
template <Dialect D>
Task<typename Gateway<D>::OpenResult> Gateway<D>::openByAnyPath(http::Exchange &ex, RequestState &state, Endpoint endpoint, http::CallOptions options)
{
    const auto began = Clock::now();
    if (mayAskPeers() && m_paths.pathTo(endpoint) == Path::Relayed) {
        auto relayed = co_await openRelayed(ex, state, endpoint, options);
        co_return std::move(relayed);
    }
    auto opened = co_await openDirect(ex, state, endpoint, options);
    const auto *error = std::get_if<http::CallError>(&opened);
    const bool unreached = error && error->stage == http::CallStage::Connect && !state.cancellation.isCancelled() && Clock::now() < options.deadline;
    if (!unreached || !mayAskPeers() || m_paths.isUnreachable(endpoint, Clock::now())) {
        co_return std::move(opened);
    }
    if (shouldRelayAtOnce(endpoint, began)) {
        auto relayed = co_await openRelayed(ex, state, endpoint, options);
        co_return std::move(relayed);
    }
    const auto executor = co_await asio::this_coro::executor;
    asio::co_spawn(executor, verifyByPeer(endpoint), logTaskFailure("verify by a peer", endpoint.id));
    co_return std::move(opened);
}

// An endpoint that does not answer at all is most often down, and a peer would wait for it as long as this router has: the
// request is sent elsewhere at once, unless other endpoints did not answer either.
template <Dialect D> bool Gateway<D>::shouldRelayAtOnce(const Endpoint &endpoint, Clock::time_point began) const
{
    const bool refused = Clock::now() - began < m_options.connectTimeout;
    return refused || m_paths.othersFail(endpoint, Clock::now());
}

template <Dialect D> void Gateway<D>::excludeAfterRefusal(const http::Address &peer, unsigned status)
{
    if (status == static_cast<unsigned>(http::TunnelStatus::Unreachable) || status == static_cast<unsigned>(http::TunnelStatus::Unknown)) {
        return; // the peer may reach other endpoints
    }
    const bool unsupported = status == static_cast<unsigned>(http::TunnelStatus::Unsupported);
    m_relayPeers->exclude(peer, Clock::now() + (unsupported ? m_options.relayUnsupportedPause : m_options.relayPeerPause));
}

// Opens a tunnel to the endpoint and closes it unused.
template <Dialect D> Task<typename Gateway<D>::PeerView> Gateway<D>::askPeers(Endpoint endpoint)
{
    std::set<http::Address> asked;
    while (mayAskPeers() && asked.size() < m_options.maxRelayPeers) {
        const auto peer = m_relayPeers->pick(Clock::now(), {}, asked);
        if (!peer) {
            break;
        }
        asked.insert(*peer);
        const http::TunnelRequest request{*peer, incarnationKey(endpoint), m_options.relayConnectTimeout};
        const auto refused = co_await m_client.tryTunnel(request, m_options.relayConnectTimeout);
        if (!refused) {
            co_return PeerView::Reached;
        }
        excludeAfterRefusal(*peer, *refused);
        if (*refused == static_cast<unsigned>(http::TunnelStatus::Unreachable)) {
            m_relayPeers->exclude(*peer, Clock::now() + 2 * m_options.crashConfirmPause); // a later question goes to another peer
            co_return PeerView::Unreachable;
        }
    }
    co_return PeerView::Unknown;
}

// Finds out whether an endpoint to which a connection failed is down, or the path to it is cut.
template <Dialect D> Task<void> Gateway<D>::verifyByPeer(Endpoint endpoint)
{
    const auto key = incarnationKey(endpoint);
    if (!m_verifying.insert(key).second) {
        co_return;
    }
    const auto view = co_await askPeers(endpoint);
    m_verifying.erase(key);
    if (view == PeerView::Reached) {
        co_await recordCutPath(endpoint);
    }
}

// Records that a peer reached the endpoint to which the direct path failed. Connections that are kept over that path are
// closed: requests on them would wait in vain.
template <Dialect D> Task<void> Gateway<D>::recordCutPath(Endpoint endpoint)
{
    m_table.withdrawSuspicion(endpoint.id);
    if (!m_paths.recordReachedByPeer(endpoint, Clock::now())) {
        co_return;
    }
    m_table.eject(endpoint.id, {}); // requests that failed over the cut path are no fault of the endpoint
    m_outliers[endpoint.pool].forget(incarnationKey(endpoint));
    log::Line{log::Event::PathCut}.add("endpoint", endpoint.id).add("service", endpoint.pool).add("cut_paths", static_cast<int64_t>(m_paths.cutCount()));
    const auto executor = co_await asio::this_coro::executor;
    m_client.closeIdleConnections(asio::query(executor, asio::execution::context), {endpoint.host, endpoint.port});
    if (!m_probingPaths) {
        m_probingPaths = true;
        asio::co_spawn(executor, probeCutPaths(), logTaskFailure("probe cut paths", endpoint.id));
    }
}

template <Dialect D> void Gateway<D>::recordConnected(const Endpoint &endpoint)
{
    if (m_paths.recordConnected(endpoint, Clock::now())) {
        log::Line{log::Event::PathRestored}
            .add("endpoint", endpoint.id)
            .add("service", endpoint.pool)
            .add("cut_paths", static_cast<int64_t>(m_paths.cutCount()));
    }
}

// Probes the cut paths in turn, one new connection for each probe, until none is cut. After a success the next one follows at
// once, because paths that were lost together mostly return together.
template <Dialect D> Task<void> Gateway<D>::probeCutPaths()
{
    for (;;) {
        const auto endpoint = m_paths.nextProbe();
        if (!endpoint) {
            break;
        }
        const auto listingState = m_table.listingState(*endpoint);
        if (listingState == router::ListingState::Unlisted || listingState == router::ListingState::Restarted) {
            m_paths.forget(*endpoint);
            continue;
        }
        const http::Address address{endpoint->host, endpoint->port};
        const auto probe = co_await http::probeConnection(address, m_options.connectTimeout, m_options.probeOpenTime);
        if (probe == http::Probe::Open) {
            recordConnected(*endpoint);
        } else {
            co_await sleepFor(m_options.pathProbeInterval);
        }
    }
    m_probingPaths = false;
}

} // namespace yucca::entry
