// Selection of the endpoint of the next attempt, and the handover of a request from a silent endpoint: its attempt ends
// only when the next one can begin.
#pragma once

#include "entry/gateway.h"

namespace yucca::entry
{

/// Until another endpoint is sought again for a request whose endpoint is silent; doubled each time.
inline constexpr Millis minSuccessorSearchInterval{100};
inline constexpr Millis maxSuccessorSearchInterval{1600};
/// The part of the time of an attempt that must be left for another endpoint, as a divisor.
inline constexpr int minSuccessorTimeDivisor = 4;
/// What has arrived during a stall of the event loop is read within this time.
inline constexpr Millis readPendingTime{1};

// Selects the endpoint of the next attempt, and takes a permit if the request has arrived at an endpoint before. An endpoint
// that was silent is selected again if no other one can take the request, as it may have gone on.
template <Dialect D>
std::variant<typename Gateway<D>::Selection, GiveUpReason> Gateway<D>::selectEndpoint(RequestState &state, bool hasArrived, Clock::time_point now)
{
    if (withheld(state.profile, now)) {
        return GiveUpReason::Withheld;
    }
    limits::HeldPermit permit; // taken first, as acquire() uses up the share of a cold endpoint
    if (hasArrived) {
        permit = limits::HeldPermit(state.reserve ? state.reserve.take() : takeRetryPermit(state.service));
    }
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
        return GiveUpReason::NoEndpoint;
    }
    return Selection{*endpoint, std::make_unique<router::AcquiredEndpoint>(m_table, *endpoint), now, std::move(permit)};
}

// Finds out why no endpoint can take a request.
template <Dialect D> GiveUpReason Gateway<D>::noEndpointReason(RequestState &state, Clock::time_point now)
{
    state.noEndpointReason = m_table.noEndpointReason(state.service, state.tried, now, state.constraints);
    return state.noEndpointReason == router::NoEndpointReason::Version ? GiveUpReason::NoVersion : GiveUpReason::NoEndpoint;
}

// Starts the watch of an attempt that another endpoint may take over; null if the request must stay where it is.
template <Dialect D>
std::shared_ptr<SilenceWatch> Gateway<D>::watchSilence(RequestState &state, const Endpoint &endpoint, const asio::any_io_executor &executor)
{
    const Route &route = *state.profile.route;
    const bool mayMove = repeatable(route) && state.count.runs + 1 < route.maxAttempts && state.count.attempts < route.maxAttempts + maxExtraAttempts;
    if (!mayMove) {
        return nullptr;
    }
    const auto watch = std::make_shared<SilenceWatch>(executor, headDeadline(state, Clock::now()));
    asio::co_spawn(executor, replaceSilentEndpoint(state, endpoint, watch), logTaskFailure("replace a silent endpoint", state.profile.id));
    return watch;
}

// Returns true if a request may leave its silent endpoint. A caller that receives a stream must not lose it by a pause of a
// sound endpoint, as the next endpoint may reject what is left of it.
template <Dialect D> bool Gateway<D>::mayBeReplaced(const RequestState &state, const Endpoint &endpoint, Clock::time_point now) const
{
    return !state.headSent || m_activity.isFault(incarnationKey(endpoint), state.lastReceived, now);
}

// Returns an endpoint that may take over from the silent one; nothing if there is none now.
template <Dialect D> std::optional<typename Gateway<D>::Selection> Gateway<D>::selectSuccessor(RequestState &state)
{
    limits::HeldPermit reserve;
    if (state.headSent) {
        reserve = limits::HeldPermit(takeRetryPermit(state.service));
    }
    if (state.headSent && !reserve) {
        return std::nullopt;
    }
    auto selected = selectEndpoint(state, true, Clock::now());
    auto *selection = std::get_if<Selection>(&selected);
    if (!selection) {
        return std::nullopt;
    }
    selection->reserve = std::move(reserve);
    return std::move(*selection);
}

// Returns true if what was learnt while an endpoint was being connected leaves it eligible.
template <Dialect D> bool Gateway<D>::mayTakeOver(const RequestState &state, const Endpoint &endpoint, Clock::time_point now) const
{
    return state.constraints.allows(endpoint) && m_table.listingState(endpoint) == router::ListingState::Live && !withheld(state.profile, now);
}

// Cancels the attempt at a silent endpoint once another one is connected and may take the request. Until then, and if there
// is none, the attempt goes on: its endpoint may be sound and about to send. The search ends when too little time is left for
// another endpoint.
template <Dialect D> Task<void> Gateway<D>::replaceSilentEndpoint(RequestState &state, Endpoint endpoint, std::shared_ptr<SilenceWatch> watch)
{
    const auto end = state.profile.responseDeadline;
    const auto minTimeLeft = std::min<Clock::duration>(state.profile.route->targetLatency, (end - Clock::now()) / minSuccessorTimeDivisor);
    auto interval = minSuccessorSearchInterval;
    for (;;) {
        co_await watch->waitForSilence();
        if (watch->ended() || end - Clock::now() < minTimeLeft) {
            co_return; // once the watch has ended, the state may be gone
        }
        std::optional<Selection> selection;
        if (mayBeReplaced(state, endpoint, Clock::now())) {
            selection = selectSuccessor(state);
        }
        bool connected = false;
        if (selection) {
            connected = co_await connectAhead(selection->endpoint);
            co_await sleepFor(readPendingTime);
        }
        if (watch->ended()) {
            co_return;
        }
        const auto now = Clock::now();
        if (connected && watch->isSilent(now) && mayTakeOver(state, selection->endpoint, now)) {
            state.successor = std::move(selection);
            state.cancellation.cancel();
            co_return;
        }
        if (watch->isSilent(now)) {
            watch->expectBy(now + interval);
            interval = std::min(2 * interval, maxSuccessorSearchInterval);
        }
    }
}

// Connects to an endpoint before a request is moved there, or makes sure that a peer reaches it.
template <Dialect D> Task<bool> Gateway<D>::connectAhead(Endpoint endpoint)
{
    if (!mayAskPeers() || m_paths.pathTo(endpoint) != Path::Relayed) {
        http::CallOptions options;
        options.connectTimeout = m_options.connectTimeout;
        options.deadline = Clock::now() + m_options.connectTimeout;
        options.confirmAfterIdle = m_options.confirmAfterIdle;
        options.maxIdleConnections = maxIdleConnectionsTo(endpoint);
        const http::Address address{endpoint.host, endpoint.port};
        const bool connected = co_await m_client.connectAhead(address, options);
        if (connected) {
            recordConnected(endpoint);
            co_return true;
        }
        m_paths.recordFailure(endpoint, Clock::now());
    }
    const auto view = co_await askPeers(endpoint);
    if (view == PeerView::Reached) {
        co_await recordCutPath(endpoint);
        co_return true;
    }
    m_table.suspect(endpoint.id, Clock::now());
    co_return false;
}

// Judges an endpoint that a request has left because of its silence: if it has sent nothing for longer than a pause, it may
// have crashed under the request without a reset.
template <Dialect D> Task<void> Gateway<D>::judgeSilence(RequestProfile profile, Endpoint endpoint, Clock::time_point since)
{
    co_await sleepFor(std::max(Clock::duration::zero(), since + m_options.maxEndpointPause - Clock::now()));
    if (m_activity.silentSince(incarnationKey(endpoint), since)) {
        co_await recordBrokenResponse(profile, endpoint);
    }
}

} // namespace yucca::entry
