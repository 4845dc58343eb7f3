// Detects from traffic which endpoints fail more of their requests than the others of their
// service, although they are listed and pass their health check.
#pragma once

#include "task.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace yucca::entry
{

/// When an endpoint is ejected, and for how long.
struct OutlierOptions {
    std::chrono::duration<double> halfLife{3.0}; ///< of the outcome counts: a fault that lasts seconds must be detected within seconds
    double minRequests = 4; ///< minimum decayed number of requests for a decision
    double minFailureRate = 0.35; ///< minimum failure rate for an ejection: the normal failure rate of plain calls is up to 0.14
    double margin = 0.25; ///< required excess over the failure rate of the others: a failure of all endpoints is not the fault of one
    Millis baseEjectionTime{1500}; ///< doubled by each consecutive ejection
    Millis maxEjectionTime{8000};
    Millis resetAfter{10000}; ///< time since the last ejection after which the doubling starts again
    double maxEjectedShare = 1.0 / 3; ///< maximum share of a service's endpoints that may be ejected at once
};

/// The decision to eject an endpoint.
struct Ejection {
    Clock::time_point until;
    double rate = 0; ///< failure rate of the endpoint
    double othersRate = 0;
};

/// Counts the outcomes of the requests to one service's endpoints. Not thread-safe.
class OutlierDetector
{
public:
    explicit OutlierDetector(OutlierOptions options = {})
        : m_options(options)
    {
    }

    /// Records an outcome; endpoints is the number of endpoints of the service. Returns an ejection
    /// if the endpoint must get no requests from now on, otherwise nothing.
    std::optional<Ejection> record(const std::string &endpoint, bool failed, std::size_t endpoints, Clock::time_point now);

    /// Forgets the outcomes and ejections of an endpoint.
    void forget(const std::string &endpoint)
    {
        m_counts.erase(endpoint);
    }

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
    void removeIdle(Clock::time_point now);

    OutlierOptions m_options;
    std::map<std::string, Counts> m_counts; ///< by endpoint key
};

} // namespace yucca::entry
