// What callers and members got of a modelled day, and how it is told.
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

/// Bins for times to the first event: 10 ms to 20 s, a tenth of a decade each.
inline auto timeHistogram()
{
    namespace bh = boost::histogram;
    return bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(33, 10.0, 20000.0));
}

/// What became of one kind's requests.
struct KindOutcome {
    int64_t offered = 0;
    int64_t onTime = 0;
    int64_t late = 0;
    int64_t refused = 0;
    int64_t failed = 0;
    double owed = 0; ///< worth
    double earned = 0;
    decltype(timeHistogram()) firstMs = timeHistogram();

    double served() const
    {
        return offered > 0 ? static_cast<double>(onTime + late) / static_cast<double>(offered) : 1;
    }
    /// An upper bound of the share q of the times to the first event.
    double quantileMs(double q) const;
};

/// How a pool's work was spread.
struct PoolOutcome {
    int64_t arrivals = 0;
    int64_t overBound = 0; ///< arrivals at a member over the bound
    double worstWindow = 0; ///< the largest share of them in any five seconds
    double worstSkew = 0; ///< the largest load over the mean, sampled each 100 ms
    int64_t turnedAway = 0;
    int64_t tokensRead = 0;
    int64_t tokensFound = 0;
    int64_t sharedReadAgain = 0;
    int64_t tokensFetched = 0;
    std::vector<int64_t> arrivalsAt; ///< by second
    std::vector<int64_t> overBoundAt;
};

/// A whole day.
struct Outcome {
    std::map<std::string, KindOutcome> kinds;
    std::map<std::string, PoolOutcome> pools;
    std::vector<double> owedAt; ///< worth, by two seconds
    std::vector<double> earnedAt;
    int64_t retries = 0;

    double credit() const;
    /// The two worst windows' share of what they were owed.
    double worstWindows() const;
};

/// The windows of owedAt and earnedAt.
inline constexpr double windowMs = 2000;

/// Adds to the bin of a time, growing the list as needed.
template <typename T> void addAt(std::vector<T> &bins, double at, double width, T amount)
{
    const auto bin = static_cast<std::size_t>(at / width);
    if (bins.size() <= bin) {
        bins.resize(bin + 1);
    }
    bins[bin] += amount;
}

/// As rows for people.
std::string table(const Outcome &outcome);
nlohmann::json toJson(const Outcome &outcome);

} // namespace yucca::model
