// Selection of the endpoint of the next attempt, and the handover of a request from a silent endpoint: its attempt ends
// only when the next one can begin.
#pragma once

#include "entry/gateway.h"

#include <boost/asio/detached.hpp>

namespace yucca::entry
{

/// Until another endpoint is sought again for a request whose endpoint is silent.
inline constexpr Millis successorSearchInterval{100};

// Selects the endpoint of the next attempt, and takes a permit if the request has arrived at an endpoint before. An endpoint
// that was silent is selected again if no other one can take the request, as it may have gone on.
template <Dialect D>
std::variant<typename Gateway<D>::Selection, GiveUpReason> Gateway<D>::selectEndpoint(RequestState &state, bool hasArrived, Clock::time_point now)
{
    if (withheld(state.profile, now)) {
        return GiveUpReason::Withheld;
    }
    auto permit = hasArrived ? takeRetryPermit(state.service) : nullptr; // first, as acquire() uses up the share of a cold endpoint
    if (hasArrived && !permit) {
        return GiveUpReason::RetryDenied;
    }
    auto endpoint = m_table.acquire(state.service, state.profile.affinity, state.tried, now, state.constraints);
    if (!endpoint && !state.silent.empty()) {
        for (const auto &id : std::exchange(state.silent, {})) {
            state.tried.erase(id);
        }
        endpoint = m_table.acquire(state.service, state.profile.affinity, state.tried, now, state.constraints);
    }
    if (!endpoint) {
        if (permit) {
            permit->cancel();
        }
        state.noEndpointReason = m_table.noEndpointReason(state.service, state.tried, now, state.constraints);
        return state.noEndpointReason == router::NoEndpointReason::Version ? GiveUpReason::NoVersion : GiveUpReason::NoEndpoint;
    }
    return Selection(*endpoint, std::make_unique<router::AcquiredEndpoint>(m_table, *endpoint), std::move(permit));
}

// Starts the watch of an attempt that another endpoint may take over; null if the request must stay where it is.
template <Dialect D> std::shared_ptr<SilenceWatch> Gateway<D>::watchSilence(RequestState &state, const asio::any_io_executor &executor)
{
    const Route &route = *state.profile.route;
    const bool mayMove = repeatable(route) && state.count.runs + 1 < route.maxAttempts && state.count.attempts < route.maxAttempts + maxExtraAttempts;
    if (!mayMove) {
        return nullptr;
    }
    const auto watch = std::make_shared<SilenceWatch>(executor, headDeadline(state, Clock::now()));
    asio::co_spawn(executor, replaceSilentEndpoint(state, watch), [id = state.profile.id](std::exception_ptr failure) {
        if (failure) {
            log::Line{log::Event::RequestFailed}.add("id", id).add("endpoint", "").add("error", "search for another endpoint: " + describe(failure));
        }
    });
    return watch;
}

// Cancels the attempt at a silent endpoint once another one is connected and may take the request. Until then, and if there
// is none, the attempt goes on: its endpoint may be sound and about to send.
template <Dialect D> Task<void> Gateway<D>::replaceSilentEndpoint(RequestState &state, std::shared_ptr<SilenceWatch> watch)
{
    for (;;) {
        co_await watch->waitForSilence();
        if (watch->ended()) {
            co_return; // the state may be gone
        }
        auto selected = selectEndpoint(state, true, Clock::now());
        auto *selection = std::get_if<Selection>(&selected);
        bool connected = false;
        if (selection) {
            connected = co_await connectAhead(selection->endpoint);
        }
        if (watch->ended()) {
            co_return;
        }
        if (connected && watch->isSilent(Clock::now())) {
            state.successor = std::move(*selection);
            state.cancellation.cancel();
            co_return;
        }
        if (selection && !connected) {
            m_table.suspect(selection->endpoint.id, Clock::now());
            state.tried.insert(selection->endpoint.id);
        }
        if (!connected) {
            watch->expectBy(Clock::now() + successorSearchInterval);
        }
    }
}

// Connects to an endpoint before a request is moved there. A path that is known to be cut is not tried: peers relay over it.
template <Dialect D> Task<bool> Gateway<D>::connectAhead(Endpoint endpoint)
{
    if (mayAskPeers() && m_paths.pathTo(endpoint) == Path::Relayed) {
        co_return true;
    }
    http::CallOptions options;
    options.connectTimeout = m_options.connectTimeout;
    options.deadline = Clock::now() + m_options.connectTimeout;
    options.confirmAfterIdle = m_options.confirmAfterIdle;
    options.maxIdleConnections = maxIdleConnectionsTo(endpoint);
    const http::Address address{endpoint.host, endpoint.port};
    const bool connected = co_await m_client.connectAhead(address, options);
    if (!connected) {
        m_paths.recordFailure(endpoint, Clock::now());
    }
    co_return connected;
}

} // namespace yucca::entry
