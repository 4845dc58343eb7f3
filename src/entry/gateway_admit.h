// The pipeline's first steps: who asks for what, whether it may go on, and
// the claim of its idempotency key.
#pragma once

#include "entry/gateway.h"

namespace yucca::entry
{

/// How long an answer waits for its record to be stored. The store answers
/// in milliseconds; while it is away the record is stored in the background.
inline constexpr Millis settleBeforeAnswer{500};

// Reads a request, or says why it can't be served.
template <Dialect D> std::variant<RequestProfile, Rejection> Gateway<D>::identify(const http::Exchange &ex, Clock::time_point now)
{
    if (m_turningAway) {
        return Rejection::Stopping;
    }
    if (!m_published.ready()) {
        return Rejection::NotLoaded;
    }
    auto identified = m_dialect.identify(ex, m_published.configuration(), now);
    const auto *why = std::get_if<Rejection>(&identified);
    // "Unknown" is final for a caller; another router may know better.
    if (why && (*why == Rejection::UnknownKey || *why == Rejection::NoRoute) && outOfDate(now)) {
        return Rejection::OutOfDate;
    }
    return identified;
}

template <Dialect D> bool Gateway<D>::outOfDate(Clock::time_point now) const
{
    return m_options.outOfDateAfter > Millis(0) && now - m_published.lastContact() > m_options.outOfDateAfter;
}

// Counts a request against its workspace's limits, until the slot ends; when
// they are reached, when to come back.
template <Dialect D>
std::optional<Millis> Gateway<D>::overLimits(const RequestProfile &profile, Clock::time_point now, std::optional<limits::AdmissionSlot> &slot)
{
    if (!profile.limits) {
        return std::nullopt;
    }
    Clock::duration wait{};
    const auto verdict = m_admission.admit(profile.workspace, *profile.limits, now, wait);
    if (verdict != limits::Verdict::Admitted) {
        return std::chrono::ceil<Millis>(wait);
    }
    slot.emplace(m_admission, profile.workspace);
    return std::nullopt;
}

// Claims the idempotency key of a request that has one. False when the
// request was answered here.
template <Dialect D> Task<bool> Gateway<D>::claimKey(http::Exchange &ex, Flight &flight)
{
    const auto &profile = flight.profile;
    if (profile.idempotencyKey.empty() || !m_claims) {
        co_return true;
    }
    auto claim = co_await m_claims->claim(profile.workspace, profile.idempotencyKey, profile.contentHash);
    switch (claim.decision) {
    case idempotency::Decision::Run:
        flight.claim = std::move(claim);
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

// Lets go of the claim of a request that certainly did not run. One that may
// have run stays claimed: it is never sent again.
template <Dialect D> Task<void> Gateway<D>::releaseClaim(Flight &flight)
{
    if (flight.claim && flight.count.runs == 0) {
        auto record = idempotency::Guard::released(*flight.claim);
        co_await settle(*flight.claim, std::move(record));
    }
}

// Stores a claim's final record: at once when the store answers, else in the
// background for as long as the store is away.
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
        co_await state->settled.wait(Clock::now() + settleBeforeAnswer);
    }
}

// Answers in place of an endpoint. Without a wait of its own, the caller is
// told to come back when what is in the way has likely changed.
template <Dialect D> Task<void> Gateway<D>::reject(http::Exchange &ex, const std::string &id, Rejection why, std::optional<Millis> comeBack)
{
    m_metrics.rejected(why);
    const auto wait = comeBack ? *comeBack : comeBackAfter(why, Clock::now() - m_startedAt, m_options.comeBack, m_random);
    auto answer = m_dialect.rejection(why, wait);
    if (m_lines.take(true, Clock::now())) {
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
