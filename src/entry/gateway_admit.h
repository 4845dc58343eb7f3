// The first steps of the pipeline: identification, admission and the claim of the idempotency key.
#pragma once

#include "entry/gateway.h"

namespace yucca::entry
{

/// How long a response waits until its record is stored. The store answers in milliseconds; while
/// it is unavailable, the record is stored in the background.
inline constexpr Millis recordStoreTimeout{500};

// Parses a request; returns its profile, or why it can't be served.
template <Dialect D> std::variant<RequestProfile, Rejection> Gateway<D>::identify(const http::Exchange &ex, Clock::time_point now)
{
    if (m_rejectingNewRequests) {
        return Rejection::Stopping;
    }
    if (!m_published.ready()) {
        return Rejection::NotLoaded;
    }
    auto identified = m_dialect.identify(ex, m_published.configuration(), now);
    const auto *why = std::get_if<Rejection>(&identified);
    // A caller takes these rejections as final, and another router may have a newer configuration.
    if (why && (*why == Rejection::UnknownKey || *why == Rejection::NoRoute) && configurationMayBeStale(now)) {
        return Rejection::OutOfDate;
    }
    return identified;
}

template <Dialect D> bool Gateway<D>::configurationMayBeStale(Clock::time_point now) const
{
    return m_options.maxConfigurationAge > Millis(0) && now - m_published.lastContact() > m_options.maxConfigurationAge;
}

// Tells whether a request of a route is expected to end before this router exits, from what requests of the route have taken and from
// those that are under way.
template <Dialect D> bool Gateway<D>::canEndInTime(const Route &route, Clock::time_point now) const
{
    const auto end = m_stopsAt.load();
    if (end == Clock::time_point::max()) {
        return true;
    }
    auto expected = m_durations.expected(route, now);
    for (const auto &[state, endpoint] : m_attempts) {
        if (RouteDurations::keyOf(*state->profile.route) == RouteDurations::keyOf(route)) {
            expected = std::max(expected, now - state->profile.arrived);
        }
    }
    return now + expected <= end;
}

// Counts a request against the limits of its workspace for the lifetime of the slot. When a limit
// is reached, returns the time after which the caller may retry, and leaves the slot empty.
template <Dialect D>
std::optional<Millis> Gateway<D>::admitWithinLimits(const RequestProfile &profile, Clock::time_point now, std::optional<limits::AdmissionSlot> &slot)
{
    if (!profile.limits) {
        return std::nullopt;
    }
    Clock::duration wait{};
    const auto result = m_admission.admit(profile.workspace, *profile.limits, now, wait);
    if (result != limits::AdmissionResult::Admitted) {
        return std::chrono::ceil<Millis>(wait);
    }
    slot.emplace(m_admission, profile.workspace);
    return std::nullopt;
}

// Claims the idempotency key of a request that has one. Returns false when the request has been
// answered here.
template <Dialect D> Task<bool> Gateway<D>::claimKey(http::Exchange &ex, RequestState &state)
{
    const auto &profile = state.profile;
    if (profile.idempotencyKey.empty() || !m_claims) {
        co_return true;
    }
    auto claim = co_await m_claims->claim(profile.workspace, profile.idempotencyKey, profile.contentHash);
    switch (claim.decision) {
    case idempotency::Decision::Run:
        state.claim = std::move(claim);
        co_return true;
    case idempotency::Decision::Replay: {
        ++m_metrics.replays;
        log::Line{log::Event::IdempotentReplay}.add("id", profile.id).add("key", profile.idempotencyKey);
        auto headers = m_dialect.replayHeaders(profile);
        co_await ex.reply(claim.storedStatus, std::move(claim.storedBody), std::move(headers), "");
        break;
    }
    case idempotency::Decision::InProgress:
        co_await reject(ex, profile.id, Rejection::KeyInUse);
        break;
    case idempotency::Decision::Mismatch:
        co_await reject(ex, profile.id, Rejection::KeyReused);
        break;
    case idempotency::Decision::NotRun:
        co_await reject(ex, profile.id, Rejection::NotRecorded);
        break;
    }
    co_return false;
}

// Releases the claim of a request that certainly did not run. The claim of a request that may have
// run stays, so that it is never sent again.
template <Dialect D> Task<void> Gateway<D>::releaseClaim(RequestState &state)
{
    if (state.claim && state.count.runs == 0) {
        auto record = idempotency::Guard::released(*state.claim);
        co_await settle(*state.claim, std::move(record));
    }
}

// Stores the final record of a claim. While the store is unavailable, this goes on in the
// background.
template <Dialect D> Task<void> Gateway<D>::settle(idempotency::Claim claim, nlohmann::json record)
{
    struct State {
        Notifier settled;
        bool done = false;
    };
    const auto ex = co_await asio::this_coro::executor;
    auto state = std::make_shared<State>();
    asio::co_spawn(ex, m_claims->settleEventually(std::move(claim), std::move(record)), [state](std::exception_ptr, bool settled) {
        if (!settled) {
            log::event(log::Event::RecordNotSettled);
        }
        state->done = true;
        state->settled.notifyAll();
    });
    if (!state->done) {
        co_await state->settled.wait(Clock::now() + recordStoreTimeout);
    }
}

// Answers a request with a rejection instead of an endpoint's response. Without an explicit wait,
// the Retry-After value is derived from the reason.
template <Dialect D> Task<void> Gateway<D>::reject(http::Exchange &ex, const std::string &id, Rejection why, std::optional<Millis> retryAfter)
{
    m_metrics.rejected(why);
    const auto wait = retryAfter ? *retryAfter : retryAfterFor(why, Clock::now() - m_startedAt, m_options.retryAfter, m_random);
    auto answer = m_dialect.rejection(why, wait);
    if (m_logLimiter.tryTake(true, Clock::now())) {
        const auto configuration = m_published.configuration();
        log::Line{log::Event::RequestRejected}
            .add("id", id)
            .add("why", nameOf(rejectionNames, why))
            .add("status", static_cast<int64_t>(answer.status))
            .add("config", configuration ? configuration->version : -1);
    }
    co_await ex.reply(answer.status, std::move(answer.body), std::move(answer.headers), std::move(answer.contentType));
}

} // namespace yucca::entry
