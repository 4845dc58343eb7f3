#include "entry/outlier_detector.h"

#include <algorithm>
#include <cmath>

namespace yucca::entry
{

namespace
{

constexpr std::size_t maxTrackedEndpoints = 4096; ///< twice the number of endpoints of a service projected in two years

} // namespace

// Applies the exponential decay to the counts.
void OutlierDetector::decay(Counts &counts, Clock::time_point now) const
{
    const std::chrono::duration<double> age = now - counts.decayedAt;
    const double decayFactor = std::exp2(-age / m_options.halfLife);
    counts.succeeded *= decayFactor;
    counts.failed *= decayFactor;
    counts.decayedAt = now;
}

// Returns true if one more endpoint may be ejected, so that most of a service always stays in use.
bool OutlierDetector::mayEject(std::size_t endpoints, Clock::time_point now) const
{
    const auto ejected = std::count_if(m_counts.begin(), m_counts.end(), [now](const auto &entry) {
        return entry.second.ejectedUntil > now;
    });
    return static_cast<double>(ejected + 1) <= m_options.maxEjectedShare * static_cast<double>(endpoints);
}

// Endpoints are replaced under new names; entries of endpoints without recent requests are removed.
void OutlierDetector::removeIdle(Clock::time_point now)
{
    if (m_counts.size() > maxTrackedEndpoints) {
        std::erase_if(m_counts, [&](const auto &entry) {
            return now - entry.second.decayedAt > m_options.resetAfter;
        });
    }
}

std::optional<Ejection> OutlierDetector::record(const std::string &endpoint, bool failed, std::size_t endpoints, Clock::time_point now)
{
    removeIdle(now);
    auto &own = m_counts[endpoint];
    decay(own, now);
    (failed ? own.failed : own.succeeded) += 1;
    if (!failed || own.total() < m_options.minRequests || own.ejectedUntil > now) {
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
    if (rate < m_options.minFailureRate || rate < othersRate + m_options.margin || !mayEject(endpoints, now)) {
        return std::nullopt;
    }
    if (now - own.ejectedUntil > m_options.resetAfter) {
        own.ejections = 0;
    }
    constexpr int maxDoublings = 8;
    const Millis ejectionTime = std::min(m_options.baseEjectionTime * (1 << std::min(own.ejections, maxDoublings)), m_options.maxEjectionTime);
    ++own.ejections;
    own.ejectedUntil = now + ejectionTime;
    own.succeeded = 0; // after its return, only new outcomes count
    own.failed = 0;
    return Ejection{own.ejectedUntil, rate, othersRate};
}

} // namespace yucca::entry
