// Decides when a router queries the store for missed changes. The routers of a failure domain announce to each other when the
// store last confirmed their state. A router that receives a confirmation of the state it holds need not query the store, so
// a few calls serve all routers.
#pragma once

#include "task.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace yucca::replica
{

/// Intervals of QuerySchedule, each a fraction of the bound within which a change must be in effect.
struct QueryScheduleOptions {
    /// Watch timeout of the router that queries the store for the others. The end of a watch confirms that nothing has changed, so
    /// it bounds the age of the peers' state.
    Millis watchTimeout{600};
    /// Maximum age of a confirmation; the router queries the store itself once it is older. It exceeds a watch timeout plus two
    /// datagram rounds. If a change is not announced, typically because the querying router hangs or has failed, it is delayed by at most this.
    Millis maxAge{1350};
    /// Delay per rank while nobody queries the store: the first router by name queries first, and its confirmation reaches the next in time.
    Millis rankDelay{150};
    std::size_t maxRankDelays = 6; ///< all further routers query after this many delays, still within the bound
    /// Watch timeout of a router that hears no other one. Changes end a watch at once, so the timeout only limits how long a watch
    /// whose connection has silently failed may hide them.
    Millis standaloneWatchTimeout{1500};
    /// A router that hears no other one confirms its first listing, which a replica served, after a random delay up to this for each
    /// router of the fleet, since all of them may have started at the same time.
    Millis confirmDelayPerRouter{5};
    Millis maxConfirmDelay{2500}; ///< routers that started together hear each other by then
    Millis fleetSizePollInterval{100}; ///< between checks for the size of the fleet while it is unknown
    /// Minimum age of a revision that is watched from. A store that drops its history may hide the changes of the second before
    /// from watches and still report its newest revision.
    Millis watchRevisionMinAge{3000};
};

/// Returns the options for deployments in which a change must be in effect within a bound, which is clamped to minBound and maxBound.
inline QueryScheduleOptions queryScheduleWithin(Millis bound)
{
    constexpr Millis minBound{1000}; ///< peers cannot inform each other in less than three datagram rounds
    constexpr Millis maxBound{3000}; ///< entries expire after 3.6 s of an outage; every router must notice an outage before that
    const double base = static_cast<double>(std::clamp(bound, minBound, maxBound).count());
    const auto fraction = [base](double x) {
        return Millis(static_cast<int64_t>(base * x));
    };
    QueryScheduleOptions options;
    options.watchTimeout = fraction(0.20);
    options.maxAge = fraction(0.45);
    options.rankDelay = fraction(0.05);
    options.standaloneWatchTimeout = fraction(0.50);
    return options;
}

/// Decides for one kind of objects; performs no I/O.
class QuerySchedule
{
public:
    /// jitter is drawn once per router from 0 to 1, so that routers of equal rank do not query together.
    explicit QuerySchedule(QueryScheduleOptions options = {}, double jitter = 0)
        : m_options(options)
        , m_jitter(jitter)
    {
    }

    /// Records that the store confirmed at a time, to this router or to a peer with the same state, that no change is missing.
    void recordConfirmation(Clock::time_point at)
    {
        m_confirmedAt = std::max(m_confirmedAt, at);
    }
    Clock::time_point confirmedAt() const
    {
        return m_confirmedAt;
    }
    /// Peers can be expected to confirm the held state from a time on: the state was read from a replica, or peers have been heard
    /// since then. Without this allowance, every router of a large fleet queries the store once at its start.
    void expectConfirmationsFrom(Clock::time_point at)
    {
        m_confirmationsExpectedFrom = std::max(m_confirmationsExpectedFrom, at);
    }
    /// Returns when to query the store. The rank is the number of recently heard routers whose names sort before this router's;
    /// the router of rank 0 queries continuously.
    Clock::time_point queryDueAt(std::size_t rank) const
    {
        if (rank == 0) {
            return m_confirmedAt;
        }
        const auto steps = static_cast<double>(std::min(rank, m_options.maxRankDelays)) + m_jitter;
        return std::max(m_confirmedAt, m_confirmationsExpectedFrom) + m_options.maxAge
            + std::chrono::duration_cast<Clock::duration>(m_options.rankDelay * steps);
    }
    /// Returns when a router that hears no other one confirms its first listing, made at listedAt. If the size of the fleet is
    /// unknown, this is the time of the next check.
    Clock::time_point firstConfirmationDueAt(Clock::time_point listedAt, std::optional<std::size_t> routers, Clock::time_point now) const
    {
        if (!routers) {
            return std::min(listedAt + m_options.maxConfirmDelay, now + m_options.fleetSizePollInterval);
        }
        const auto spread = std::min<Clock::duration>(m_options.maxConfirmDelay, m_options.confirmDelayPerRouter * static_cast<int64_t>(*routers));
        return listedAt + std::chrono::duration_cast<Clock::duration>(spread * m_jitter);
    }
    const QueryScheduleOptions &options() const
    {
        return m_options;
    }

private:
    QueryScheduleOptions m_options;
    double m_jitter;
    Clock::time_point m_confirmedAt{};
    Clock::time_point m_confirmationsExpectedFrom{};
};

} // namespace yucca::replica
