#include "entry/outlier_detector.h"

#include <algorithm>
#include <cmath>

namespace yucca::entry
{

namespace
{

constexpr std::size_t mostCounted = 4096; ///< endpoints; twice the two-year size of a service

} // namespace

// Lets old outcomes count for less.
void OutlierDetector::decay(Counts &counts, Clock::time_point now) const
{
    const std::chrono::duration<double> age = now - counts.decayedAt;
    const double keep = std::exp2(-age / m_options.halfLife);
    counts.succeeded *= keep;
    counts.failed *= keep;
    counts.decayedAt = now;
}

// True while one more endpoint may be passed by: never most of a service.
bool OutlierDetector::mayEject(std::size_t endpoints, Clock::time_point now) const
{
    const auto ejected = std::count_if(m_counts.begin(), m_counts.end(), [now](const auto &entry) {
        return entry.second.ejectedUntil > now;
    });
    return static_cast<double>(ejected + 1) <= m_options.mostShare * static_cast<double>(endpoints);
}

// Endpoints come and go under new names; those that got nothing for long are dropped.
void OutlierDetector::forgetIdle(Clock::time_point now)
{
    if (m_counts.size() > mostCounted) {
        std::erase_if(m_counts, [&](const auto &entry) {
            return now - entry.second.decayedAt > m_options.forgivenAfter;
        });
    }
}

std::optional<Ejection> OutlierDetector::record(const std::string &endpoint, bool failed, std::size_t endpoints, Clock::time_point now)
{
    forgetIdle(now);
    auto &own = m_counts[endpoint];
    decay(own, now);
    (failed ? own.failed : own.succeeded) += 1;
    if (!failed || own.total() < m_options.leastRequests || own.ejectedUntil > now) {
        return std::nullopt;
    }
    double othersFailed = 0;
    double othersTotal = 0;
    for (auto &[id, counts] : m_counts) {
        if (id != endpoint) {
            decay(counts, now);
            othersFailed += counts.failed;
            othersTotal += counts.total();
        }
    }
    const double rate = own.failed / own.total();
    const double othersRate = othersTotal > 0 ? othersFailed / othersTotal : 0;
    if (rate < m_options.leastRate || rate < othersRate + m_options.margin || !mayEject(endpoints, now)) {
        return std::nullopt;
    }
    if (now - own.ejectedUntil > m_options.forgivenAfter) {
        own.ejections = 0;
    }
    constexpr int mostDoublings = 8;
    const Millis pause = std::min(m_options.firstEjection * (1 << std::min(own.ejections, mostDoublings)), m_options.longestEjection);
    ++own.ejections;
    own.ejectedUntil = now + pause;
    own.succeeded = 0; // on its return it is judged by what it does then
    own.failed = 0;
    return Ejection{own.ejectedUntil, rate, othersRate};
}

} // namespace yucca::entry
