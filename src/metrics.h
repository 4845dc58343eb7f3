// Latency statistics for the status page.
#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <mutex>

namespace yucca::metrics
{

namespace acc = boost::accumulators;

inline constexpr std::array<double, 3> latencyQuantiles{0.5, 0.95, 0.99};

/// Count, mean, maximum and estimated quantiles of latencies in milliseconds. Thread-safe.
class LatencyStats
{
public:
    LatencyStats()
        : m_acc(acc::extended_p_square_probabilities = latencyQuantiles)
    {
    }
    void add(double ms)
    {
        std::lock_guard lock(m_mutex);
        m_acc(ms);
    }
    /// The statistics as a JSON object; only the count if there are no samples.
    nlohmann::json toJson() const
    {
        std::lock_guard lock(m_mutex);
        const auto n = acc::count(m_acc);
        if (n == 0) {
            return {{"count", 0}};
        }
        return {{"count", n},
                {"meanMs", acc::mean(m_acc)},
                {"maxMs", acc::max(m_acc)},
                {"p50Ms", acc::extended_p_square(m_acc)[0]},
                {"p95Ms", acc::extended_p_square(m_acc)[1]},
                {"p99Ms", acc::extended_p_square(m_acc)[2]}};
    }

private:
    mutable std::mutex m_mutex;
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max, acc::tag::extended_p_square>> m_acc;
};

} // namespace yucca::metrics
