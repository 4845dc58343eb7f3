// When a router asks the store whether it lacks a change. Routers of a failure
// domain tell each other what the store last confirmed; who hears a confirmation
// of what it holds need not ask, so that a few calls serve all.
#pragma once

#include "task.h"

#include <algorithm>
#include <cstddef>

namespace yucca::replica
{

/// Times of Freshness, each a share of the time in which a change must be in force.
struct FreshnessOptions {
    /// Wait of a watch of the router that asks for the others. Its end confirms
    /// that nothing has changed: it bounds the age of what the others know.
    Millis watchWait{600};
    /// A confirmation older than this does not hold: the router asks by itself.
    /// More than a watch's wait and two rounds of datagrams; what is lost on the
    /// way of a change, a frozen or dead asker above all, costs at most this.
    Millis limit{1350};
    /// Between those that ask when nobody else does: the first by name asks
    /// first, and its confirmation reaches the next in time.
    Millis step{150};
    std::size_t mostSteps = 6; ///< the others all ask then: together within the bound
    /// A revision is watched from only once it is this old. A store that drops
    /// its history may keep a change from the watches of a second before that
    /// and still tell its newest revision.
    Millis trustedAfter{3000};
};

/// The options for deployments in which a change must be in force within a bound.
inline FreshnessOptions freshnessWithin(Millis bound)
{
    constexpr Millis leastBound{1000}; ///< less than three rounds of datagrams cannot be met by telling each other
    constexpr Millis mostBound{3000}; ///< entries lapse after 3.6 s of an outage: each router notices one before
    const double base = static_cast<double>(std::clamp(bound, leastBound, mostBound).count());
    const auto share = [base](double x) {
        return Millis(static_cast<int64_t>(base * x));
    };
    FreshnessOptions options;
    options.watchWait = share(0.20);
    options.limit = share(0.45);
    options.step = share(0.05);
    return options;
}

/// Decides for one kind of objects; free of I/O.
class Freshness
{
public:
    /// spread is drawn from 0 to 1 once a router: those of one rank do not ask together.
    explicit Freshness(FreshnessOptions options = {}, double spread = 0)
        : m_options(options)
        , m_spread(spread)
    {
    }

    /// The store confirmed at a moment, to this router or to another one that
    /// holds the same, that nothing is missing.
    void confirmed(Clock::time_point at)
    {
        m_confirmedAt = std::max(m_confirmedAt, at);
    }
    Clock::time_point confirmedAt() const
    {
        return m_confirmedAt;
    }
    /// From a moment on, others can be expected to confirm what is held here:
    /// it was read from a replica of the store, or they are heard since then.
    /// 295 routers that each ask once at a start are a third of a calm day's calls.
    void expectFrom(Clock::time_point at)
    {
        m_expectedFrom = std::max(m_expectedFrom, at);
    }
    /// When to ask the store. The rank is the number of routers heard lately
    /// whose names come before this one's; the first asks all the time.
    Clock::time_point askAt(std::size_t rank) const
    {
        if (rank == 0) {
            return m_confirmedAt;
        }
        const auto steps = static_cast<double>(std::min(rank, m_options.mostSteps)) + m_spread;
        return std::max(m_confirmedAt, m_expectedFrom) + m_options.limit + std::chrono::duration_cast<Clock::duration>(m_options.step * steps);
    }
    const FreshnessOptions &options() const
    {
        return m_options;
    }

private:
    FreshnessOptions m_options;
    double m_spread;
    Clock::time_point m_confirmedAt{};
    Clock::time_point m_expectedFrom{};
};

} // namespace yucca::replica
