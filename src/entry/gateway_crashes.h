// Detects endpoints that crash while they run requests, and reports them to the quarantine, which
// keeps the requests that cause crashes from other endpoints.
#pragma once

#include "connect_probe.h"
#include "entry/gateway.h"
#include "text.h"

namespace yucca::entry
{

// Returns how long and why a request must still be kept from endpoints; nothing if it may be sent.
template <Dialect D> std::optional<typename Gateway<D>::Withheld> Gateway<D>::withheld(const RequestProfile &profile, Clock::time_point now) const
{
    const auto verdict = m_quarantine.quarantineOf(crashKeys(profile), now);
    if (!verdict) {
        return std::nullopt;
    }
    Withheld result{std::chrono::ceil<Millis>(verdict->until - now), verdict->content, std::nullopt};
    if (verdict->content != contentKey(profile)) {
        const auto &parts = profile.prompt.parts;
        const auto part = std::find_if(parts.begin(), parts.end(), [&verdict](const PromptPart &candidate) {
            return partKey(candidate) == verdict->content;
        });
        result.part = part->id;
    }
    return result;
}

// Logs that a request was kept from endpoints, and the part of its prompt or the content that is quarantined.
template <Dialect D> void Gateway<D>::logWithheld(const RequestProfile &profile, const Withheld &withheld)
{
    if (m_logLimiter.tryTake(true, Clock::now())) {
        log::Line{log::Event::RequestWithheld}
            .add("id", profile.id)
            .add("content", text::toHex(withheld.key))
            .add("part", withheld.part ? text::toHex(*withheld.part) : "")
            .add("for_ms", withheld.remaining.count());
    }
}

// Records that the response to a request broke: the endpoint may have crashed. An endpoint that was
// leaving or is no longer listed was stopped as planned.
template <Dialect D> Task<void> Gateway<D>::recordBrokenResponse(const RequestProfile &profile, Endpoint endpoint)
{
    const auto listingState = m_table.listingState(endpoint);
    if (listingState == router::ListingState::Leaving || listingState == router::ListingState::Unlisted) {
        co_return;
    }
    const auto now = Clock::now();
    auto &held = m_crashWatches[incarnationKey(endpoint)];
    const bool first = !held;
    const bool probe = first || held->probedAt; // the endpoint was alive at that probe, and may have crashed since
    if (probe) {
        held = std::make_shared<CrashWatch>(first ? CrashWatch{} : nextWatch(*held, now));
    }
    const auto watch = held;
    for (const auto key : crashKeys(profile)) {
        watch->brokeAt[key] = now;
        m_quarantine.recordBrokenResponse(key, ring::hash(incarnationKey(endpoint)), now);
    }
    if (probe) {
        const auto ex = co_await asio::this_coro::executor;
        asio::co_spawn(ex, watchForCrash(endpoint, watch), logTaskFailure("watch for a crash", endpoint.id));
    }
}

// Returns the watch that follows an earlier one of the same endpoint, with the broken responses
// that are still recent.
template <Dialect D> typename Gateway<D>::CrashWatch Gateway<D>::nextWatch(const CrashWatch &watch, Clock::time_point now) const
{
    CrashWatch next;
    next.probeAt = *watch.probedAt + m_options.probeInterval;
    std::copy_if(watch.brokeAt.begin(), watch.brokeAt.end(), std::inserter(next.brokeAt, next.brokeAt.end()), [&](const auto &entry) {
        return now - entry.second < m_options.crashDetectionTimeout;
    });
    return next;
}

// An endpoint counts as crashed when nothing listens at its address, another instance answers
// there, or its entry in the store expires. A request is not blamed for a connection that merely
// broke.
template <Dialect D> Task<void> Gateway<D>::watchForCrash(Endpoint endpoint, CrashWatchPtr watch)
{
    const auto until = Clock::now() + m_options.crashDetectionTimeout;
    co_await sleepFor(std::max(Clock::duration::zero(), watch->probeAt - Clock::now()));
    const http::Address address{endpoint.host, endpoint.port};
    const auto probe = co_await http::probeConnection(address, m_options.connectTimeout, m_options.probeOpenTime);
    watch->probedAt = Clock::now();
    if (probe == http::Probe::Open) {
        recordAlive(endpoint, *watch); // the endpoint is probably alive; its listing in the store decides
    }
    const auto key = incarnationKey(endpoint);
    const auto newest = [&] {
        const auto it = m_crashWatches.find(key);
        return it != m_crashWatches.end() && it->second == watch;
    };
    auto peerView = PeerView::Unknown;
    if (probe == http::Probe::Refused || probe == http::Probe::Silent) {
        peerView = co_await askPeers(endpoint);
    }
    if (peerView == PeerView::Unreachable && probe == http::Probe::Refused) {
        co_await sleepFor(m_options.crashConfirmPause);
        peerView = co_await askPeers(endpoint);
    }
    if (peerView == PeerView::Reached) {
        recordAlive(endpoint, *watch); // the path was cut, not the endpoint
        co_await recordCutPath(endpoint);
    }
    // A refusal shows a crash only if it is not the path's: unless there are no peers, two of them must confirm it.
    const bool refused = probe == http::Probe::Refused && (peerView == PeerView::Unreachable || !mayAskPeers());
    auto listingState = m_table.listingState(endpoint);
    bool crashed = listingState == router::ListingState::Restarted || (refused && listingState != router::ListingState::Leaving);
    while (!crashed && listingState == router::ListingState::Live && newest() && Clock::now() < until) {
        co_await sleepFor(m_options.crashPollInterval);
        listingState = m_table.listingState(endpoint);
        crashed = watch->replaced || listingState == router::ListingState::Restarted || listingState == router::ListingState::Unlisted;
    }
    if (!newest()) {
        co_return; // a later watch has taken over the requests of this one
    }
    m_crashWatches.erase(key);
    if (crashed) {
        recordCrash(endpoint, *watch);
    } else {
        recordAlive(endpoint, *watch);
    }
}

template <Dialect D> void Gateway<D>::recordAlive(const Endpoint &endpoint, const CrashWatch &watch)
{
    for (const auto &[content, brokeAt] : watch.brokeAt) {
        m_quarantine.recordAlive(content, ring::hash(incarnationKey(endpoint)));
    }
}

template <Dialect D> void Gateway<D>::recordCrash(const Endpoint &endpoint, const CrashWatch &watch)
{
    const auto now = Clock::now();
    ++m_metrics.endpointCrashes;
    log::Line{log::Event::EndpointEnded}.add("endpoint", endpoint.id).add("service", endpoint.pool).add("contents", static_cast<int64_t>(watch.brokeAt.size()));
    for (const auto &[content, brokeAt] : watch.brokeAt) {
        m_quarantine.recordCrash(content, ring::hash(incarnationKey(endpoint)), now);
    }
}

} // namespace yucca::entry
