// The counters and histograms of an entry router, as Prometheus text. Debian
// has no Prometheus client library for C++; the histograms are Boost's.
#pragma once

#include "entry/request_profile.h"
#include "entry/retry_policy.h"
#include "metrics.h"

#include <boost/histogram.hpp>

#include <array>
#include <string>
#include <vector>

namespace yucca::entry
{

/// How a request ended, as it is counted.
enum class RequestEnd {
    Delivered,
    CallerGone,
    EngineFailed, ///< the caller got an endpoint's own failure
    Cut, ///< a stream broke off midway
    GivenUp, ///< answered by the router after trying
};

inline constexpr NameTable<RequestEnd, 5> requestEndNames{{{RequestEnd::Delivered, "delivered"},
                                                           {RequestEnd::CallerGone, "caller_gone"},
                                                           {RequestEnd::EngineFailed, "engine_failed"},
                                                           {RequestEnd::Cut, "cut"},
                                                           {RequestEnd::GivenUp, "given_up"}}};

/// Durations in seconds, counted in buckets.
class LatencyHistogram
{
public:
    LatencyHistogram();
    void observe(double seconds);
    /// Appends the series of a metric with one label.
    void write(std::string &out, std::string_view name, std::string_view label, std::string_view value) const;

private:
    using Axis = boost::histogram::axis::variable<double>;
    boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<uint64_t>> m_counts;
    double m_sum = 0;
};

/// What is true at one moment.
struct Gauges {
    int64_t configurationVersion = 0;
    double storeSilenceSeconds = 0; ///< since the store last answered: the most that the configuration can be late
    std::size_t endpoints = 0;
    std::size_t peers = 0; ///< routers of the failure domain that were heard lately
    int64_t inflight = 0;
    std::size_t evacuatedDomains = 0; ///< failure domains that get nothing, by operators' order
    std::size_t coldEndpoints = 0; ///< endpoints that are taken for cold
    std::size_t quarantined = 0; ///< requests that are kept from endpoints
    uint64_t connectionsOpened = 0; ///< to endpoints, since the start
};

/// Every label is one of a table's names: nothing that a caller or an
/// operator writes becomes a label, so that the number of series is fixed.
/// Used from the traffic thread.
class Metrics
{
public:
    /// A request's end; firstByteSeconds is negative when no answer began.
    void requestEnded(RequestKind kind, RequestEnd end, double seconds, double firstByteSeconds);
    void rejected(Rejection why)
    {
        ++m_rejections[static_cast<std::size_t>(why)];
    }
    void attemptEnded(AttemptEnd end)
    {
        ++m_attempts[static_cast<std::size_t>(end)];
    }

    uint64_t retries = 0; ///< further arrivals at endpoints
    uint64_t retriesDenied = 0; ///< for want of retry budget
    uint64_t resumptions = 0; ///< streams that went on at another endpoint
    uint64_t replays = 0; ///< requests answered with the stored answer of an earlier one with their key
    uint64_t ejections = 0; ///< endpoints passed by for failing more than the others
    uint64_t backOffs = 0; ///< times that an endpoint asked for no requests for a while
    uint64_t endings = 0; ///< endpoints that ended while they ran requests of this router

    /// Requests that ended so, of all kinds.
    uint64_t ended(RequestEnd end) const;
    /// Requests that the router answered itself with this outcome.
    uint64_t rejectedAs(Outcome outcome) const;
    const metrics::LatencyStats &latency() const
    {
        return m_latency;
    }

    /// All of it in the text format.
    std::string text(const Gauges &gauges) const;

private:
    std::array<std::array<uint64_t, requestEndNames.size()>, requestKindNames.size()> m_requests{};
    std::array<LatencyHistogram, requestKindNames.size()> m_durations;
    std::array<LatencyHistogram, requestKindNames.size()> m_firstBytes;
    metrics::LatencyStats m_latency; ///< of requests whose answer was delivered, in milliseconds
    std::array<uint64_t, rejectionNames.size()> m_rejections{};
    std::array<uint64_t, attemptEndNames.size()> m_attempts{};
};

} // namespace yucca::entry
