// Which endpoints fail their requests more than the others of their service,
// though they are listed and their status check passes: told from traffic.
#pragma once

#include "task.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace yucca::entry
{

/// When an endpoint is passed by, and for how long.
struct OutlierOptions {
    std::chrono::duration<double> halfLife{3.0}; ///< of the counts: a fault of seconds is to be seen in seconds
    double leastRequests = 4; ///< decayed count below which nothing is concluded
    double leastRate = 0.35; ///< failing share below which no endpoint is passed by: plain calls fail up to 0.14 of the time
    double margin = 0.25; ///< above the failing share of the others: what fails everywhere is no endpoint's fault
    Millis firstEjection{1500}; ///< doubled by each next
    Millis longestEjection{8000};
    Millis forgivenAfter{10000}; ///< since the last ejection: the next is a first one again
    double mostShare = 1.0 / 3; ///< of a service's endpoints that may be passed by at once
};

/// An endpoint to be passed by.
struct Ejection {
    Clock::time_point until;
    double rate = 0; ///< failing share of its requests
    double othersRate = 0;
};

/// Counts the outcomes of one service's endpoints. Used from one thread.
class OutlierDetector
{
public:
    explicit OutlierDetector(OutlierOptions options = {})
        : m_options(options)
    {
    }

    /// Notes an outcome. Returns an ejection when the endpoint is to be
    /// passed by from now on; endpoints is how many the service has.
    std::optional<Ejection> record(const std::string &endpoint, bool failed, std::size_t endpoints, Clock::time_point now);

private:
    struct Counts {
        double succeeded = 0;
        double failed = 0;
        Clock::time_point decayedAt{};
        Clock::time_point ejectedUntil{};
        int ejections = 0;
        double total() const
        {
            return succeeded + failed;
        }
    };
    void decay(Counts &counts, Clock::time_point now) const;
    bool mayEject(std::size_t endpoints, Clock::time_point now) const;
    void forgetIdle(Clock::time_point now);

    OutlierOptions m_options;
    std::map<std::string, Counts> m_counts; ///< by endpoint
};

} // namespace yucca::entry
