// The results of a simulation, and their output as a table or JSON.
#pragma once

#include "model/scenario.h"

#include <boost/histogram.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace yucca::model
{

/// Returns a histogram for times to the first event in milliseconds, with 33 logarithmic bins from 10 ms to 20 s.
inline auto timeHistogram()
{
    namespace bh = boost::histogram;
    return bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(33, 10.0, 20000.0));
}

/// The results of the requests of one kind.
struct KindOutcome {
    int64_t offered = 0;
    int64_t onTime = 0; ///< served within the target time
    int64_t late = 0; ///< served after the target time
    int64_t refused = 0; ///< rejected without having run
    int64_t failed = 0; ///< other requests without a complete response
    double owed = 0; ///< worth of all offered requests if served in time
    double earned = 0; ///< worth of the served requests
    decltype(timeHistogram()) firstMs = timeHistogram();

    /// Returns the share of the offered requests that were served; 1 if none was offered.
    double served() const
    {
        return offered > 0 ? static_cast<double>(onTime + late) / static_cast<double>(offered) : 1;
    }
    /// Returns the quantile q of the times to the first event in milliseconds, rounded up to the edge of its bin.
    double quantileMs(double q) const;
};

/// The results of one pool.
struct PoolOutcome {
    int64_t arrivals = 0;
    int64_t overBound = 0; ///< arrivals at a member over the load bound
    double worstWindow = 0; ///< largest share of these in any five seconds
    double worstSkew = 0; ///< highest load divided by mean load, the maximum of samples every 100 ms
    int64_t rejected = 0; ///< this and the next four: see MemberCounts
    int64_t tokensPrefilled = 0;
    int64_t tokensCached = 0;
    int64_t sharedTokensPrefilledAgain = 0;
    int64_t tokensFetched = 0;
    std::vector<int64_t> arrivalsAt; ///< arrivals by second
    std::vector<int64_t> overBoundAt; ///< overBound by second
};

/// The results of a simulation.
struct Outcome {
    std::map<std::string, KindOutcome> kinds;
    std::map<std::string, PoolOutcome> pools;
    std::vector<double> owedAt; ///< worth of the requests sent in each window of windowMs
    std::vector<double> earnedAt; ///< worth of those that were served, by the time at which they were sent
    int64_t retries = 0; ///< of routers

    /// Returns the earned share of the worth of all requests; 1 if none was offered.
    double credit() const;
    /// Returns the mean earned share of the two worst windows; 1 if no request was offered.
    double worstWindows() const;
};

/// Length of the windows of owedAt and earnedAt, in milliseconds.
inline constexpr double windowMs = 2000;

/// Adds an amount to the bin of a time, and extends the list as needed. Time and bin width have the same unit.
template <typename T> void addAt(std::vector<T> &bins, double at, double width, T amount)
{
    const auto bin = static_cast<std::size_t>(at / width);
    if (bins.size() <= bin) {
        bins.resize(bin + 1);
    }
    bins[bin] += amount;
}

/// Formats the results as a table for people.
std::string table(const Outcome &outcome);
/// Returns the results as JSON.
nlohmann::json toJson(const Outcome &outcome);

} // namespace yucca::model
