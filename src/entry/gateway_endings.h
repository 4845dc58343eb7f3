// Endpoints that end while they run requests: seen, told to the quarantine,
// and the requests under which they end kept from others.
#pragma once

#include "connect_probe.h"
#include "entry/gateway.h"

#include <boost/asio/detached.hpp>

namespace yucca::entry
{

// How long a request must still be kept from endpoints; nothing when it may go on.
template <Dialect D> std::optional<Millis> Gateway<D>::quarantinedFor(const RequestProfile &profile, Clock::time_point now) const
{
    const auto until = m_quarantine.heldUntil(contentKey(profile), now);
    return until ? std::optional(std::chrono::ceil<Millis>(*until - now)) : std::nullopt;
}

// Notes a request whose answer broke: its endpoint may have ended under it. One
// that was leaving, or is listed no more, ended as planned.
template <Dialect D> Task<void> Gateway<D>::noteBroken(uint64_t content, Endpoint endpoint)
{
    const auto standing = m_table.standingOf(endpoint);
    if (standing == router::Standing::Leaving || standing == router::Standing::Unlisted) {
        co_return;
    }
    const auto now = Clock::now();
    auto &held = m_endingWatches[incarnationKey(endpoint)];
    const bool first = !held;
    const bool probe = first || held->probedAt; // an endpoint that lived then may have ended since
    if (probe) {
        held = std::make_shared<EndingWatch>(first ? EndingWatch{} : successor(*held, now));
    }
    const auto watch = held;
    watch->brokeAt[content] = now;
    m_quarantine.broke(content, ring::hash(incarnationKey(endpoint)), now);
    if (probe) {
        const auto ex = co_await asio::this_coro::executor;
        asio::co_spawn(ex, watchForEnding(endpoint, watch), asio::detached);
    }
}

// What goes on from a watch to the next one of its endpoint.
template <Dialect D> typename Gateway<D>::EndingWatch Gateway<D>::successor(const EndingWatch &watch, Clock::time_point now) const
{
    EndingWatch next;
    next.probeAt = *watch.probedAt + m_options.probeEvery;
    std::copy_if(watch.brokeAt.begin(), watch.brokeAt.end(), std::inserter(next.brokeAt, next.brokeAt.end()), [&](const auto &entry) {
        return now - entry.second < m_options.endingSeenWithin;
    });
    return next;
}

// An endpoint has ended when nothing listens at its address, another instance
// answers there, or its entry lapses. A connection that was only cut is not
// held against a request.
template <Dialect D> Task<void> Gateway<D>::watchForEnding(Endpoint endpoint, EndingWatchPtr watch)
{
    const auto until = Clock::now() + m_options.endingSeenWithin;
    co_await sleepFor(std::max(Clock::duration::zero(), watch->probeAt - Clock::now()));
    const http::Address address{endpoint.host, endpoint.port};
    const auto probe = co_await http::probeConnection(address, m_options.connectTimeout, m_options.probeStaysOpenFor);
    watch->probedAt = Clock::now();
    if (probe == http::Probe::Open) {
        noteLives(endpoint, *watch); // likely; the listing has the last word
    }
    const auto key = incarnationKey(endpoint);
    const auto newest = [&] {
        const auto it = m_endingWatches.find(key);
        return it != m_endingWatches.end() && it->second == watch;
    };
    auto standing = m_table.standingOf(endpoint);
    bool ended = standing == router::Standing::Restarted || (probe == http::Probe::Refused && standing != router::Standing::Leaving);
    while (!ended && standing == router::Standing::Live && newest() && Clock::now() < until) {
        co_await sleepFor(m_options.endingPoll);
        standing = m_table.standingOf(endpoint);
        ended = watch->replaced || standing == router::Standing::Restarted || standing == router::Standing::Unlisted;
    }
    if (!newest()) {
        co_return; // a later one takes the requests of this one over
    }
    m_endingWatches.erase(key);
    if (ended) {
        noteEnding(endpoint, *watch);
    } else {
        noteLives(endpoint, *watch);
    }
}

template <Dialect D> void Gateway<D>::noteLives(const Endpoint &endpoint, const EndingWatch &watch)
{
    for (const auto &[content, brokeAt] : watch.brokeAt) {
        m_quarantine.lives(content, ring::hash(incarnationKey(endpoint)));
    }
}

template <Dialect D> void Gateway<D>::noteEnding(const Endpoint &endpoint, const EndingWatch &watch)
{
    const auto now = Clock::now();
    ++m_metrics.endings;
    log::Line{log::Event::EndpointEnded}.add("endpoint", endpoint.id).add("service", endpoint.pool).add("contents", static_cast<int64_t>(watch.brokeAt.size()));
    for (const auto &[content, brokeAt] : watch.brokeAt) {
        m_quarantine.ended(content, ring::hash(incarnationKey(endpoint)), now);
    }
}

} // namespace yucca::entry
