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
    auto &held = m_endingWatches[incarnationKey(endpoint)];
    const bool first = !held;
    held = first ? std::make_shared<EndingWatch>() : held;
    const auto watch = held;
    watch->contents.insert(content);
    if (first) {
        const auto ex = co_await asio::this_coro::executor;
        asio::co_spawn(ex, watchForEnding(endpoint, watch), asio::detached);
    }
    // Another endpoint is not risked for a request before it is known whether
    // this one has ended, where that would be one too many.
    if (m_quarantine.oneEndingLeft(content) && !watch->probed) {
        co_await watch->probeEnded.wait(Clock::now() + m_options.connectTimeout);
    }
}

// An endpoint has ended when nothing listens at its address, another instance
// answers there, or its entry lapses. A connection that was only cut is not
// held against a request.
template <Dialect D> Task<void> Gateway<D>::watchForEnding(Endpoint endpoint, EndingWatchPtr watch)
{
    const auto until = Clock::now() + m_options.endingSeenWithin;
    const http::Address address{endpoint.host, endpoint.port};
    const bool refused = co_await http::refusesConnections(address, m_options.connectTimeout);
    auto standing = m_table.standingOf(endpoint);
    bool ended = standing == router::Standing::Restarted || (refused && standing != router::Standing::Leaving);
    const auto conclude = [&] {
        m_endingWatches.erase(incarnationKey(endpoint));
        if (ended) {
            noteEnding(endpoint, *watch);
        }
    };
    if (ended) {
        conclude();
    }
    watch->probed = true;
    watch->probeEnded.notifyAll();
    if (ended) {
        co_return;
    }
    while (!ended && standing == router::Standing::Live && Clock::now() < until) {
        co_await sleepFor(m_options.endingPoll);
        standing = m_table.standingOf(endpoint);
        ended = watch->replaced || standing == router::Standing::Restarted || standing == router::Standing::Unlisted;
    }
    conclude();
}

template <Dialect D> void Gateway<D>::noteEnding(const Endpoint &endpoint, const EndingWatch &watch)
{
    const auto now = Clock::now();
    ++m_metrics.endings;
    log::Line{log::Event::EndpointEnded}
        .add("endpoint", endpoint.id)
        .add("service", endpoint.pool)
        .add("contents", static_cast<int64_t>(watch.contents.size()));
    for (const auto content : watch.contents) {
        m_quarantine.ended(content, ring::hash(incarnationKey(endpoint)), now);
    }
}

} // namespace yucca::entry
