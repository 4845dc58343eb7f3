// The counters and histograms of an entry router in the Prometheus text format. Debian has no
// Prometheus client library for C++; the histograms use Boost.Histogram.
#pragma once

#include "admission.h"
#include "entry/request_profile.h"
#include "entry/retry_policy.h"
#include "metrics.h"
#include "store_usage.h"

#include <boost/histogram.hpp>

#include <array>
#include <string>
#include <vector>

namespace yucca::entry
{

/// How a request ended, as the metrics count it.
enum class RequestEnd {
    Delivered,
    CallerGone,
    EngineFailed, ///< the caller received a failure response of an endpoint
    Cut, ///< a stream broke before its end
    GivenUp, ///< the router answered the request itself, because no attempt could serve it
};

inline constexpr NameTable<RequestEnd, 5> requestEndNames{{{RequestEnd::Delivered, "delivered"},
                                                           {RequestEnd::CallerGone, "caller_gone"},
                                                           {RequestEnd::EngineFailed, "engine_failed"},
                                                           {RequestEnd::Cut, "cut"},
                                                           {RequestEnd::GivenUp, "given_up"}}};

/// A histogram of durations in seconds.
class LatencyHistogram
{
public:
    LatencyHistogram();
    void observe(double seconds);
    /// Appends the series of a metric, with one label, to out.
    void write(std::string &out, std::string_view name, std::string_view label, std::string_view value) const;

private:
    using Axis = boost::histogram::axis::variable<double>;
    boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<uint64_t>> m_counts;
    double m_sum = 0;
};

/// The retry budget of a service at this router.
struct RetryGauge {
    std::string service;
    limits::RetryUsage usage;
};

/// The live endpoints of one service that run one version of its software.
struct VersionGauge {
    std::string service;
    std::string version;
    std::size_t endpoints = 0;
};

/// The age of the state of one kind of the store's objects.
struct StateAgeGauge {
    std::string kind;
    double seconds = 0; ///< since the store last confirmed the state, to this router or to a peer
};

/// The number of pairs of a service and a version that are exported.
inline constexpr std::size_t maxGaugedVersions = 200;

/// Counts endpoints by service and version, at most maxGaugedVersions of them.
std::vector<VersionGauge> versionGauges(const std::vector<Endpoint> &endpoints);

/// Values sampled when the metrics are read.
struct Gauges {
    int64_t configurationVersion = 0;
    double storeSilenceSeconds = 0; ///< time since the store last answered: upper bound on the age of missing configuration changes
    std::vector<StateAgeGauge> stateAges; ///< of the kinds that have been confirmed
    store::UsageCounts storeUsage;
    std::size_t endpoints = 0;
    std::vector<VersionGauge> versions;
    std::size_t peers = 0; ///< number of routers in the failure domain that were heard from recently
    int64_t inflight = 0;
    std::size_t evacuatedDomains = 0; ///< number of failure domains that operators have evacuated
    std::size_t coldEndpoints = 0; ///< number of endpoints that are treated as cold
    std::size_t quarantined = 0; ///< number of requests that the quarantine keeps from endpoints
    uint64_t connectionsOpened = 0; ///< to endpoints, since the start
    std::size_t cutPaths = 0; ///< number of endpoints that only peers reach
    int64_t tunnels = 0; ///< number of open tunnels of peers to endpoints
    uint64_t tunnelsAccepted = 0; ///< since the start
    uint64_t tunnelsRefused = 0; ///< since the start
    uint64_t unanswered = 0; ///< requests read whole that got no response although the caller was there, since the start
    uint64_t truncated = 0; ///< responses that a failure or a write timeout ended, since the start
    uint64_t handlerFailures = 0; ///< since the start
    std::size_t streamOrigins = 0; ///< number of streams whose software version this router knows
    uint64_t unreadablePeerItems = 0; ///< items of other routers' datagrams that were skipped, since the start
    std::vector<RetryGauge> retryBudgets; ///< at most maxGaugedServices
};

/// The number of services whose retry budgets are exported.
inline constexpr std::size_t maxGaugedServices = 100;

/// The counters of one traffic thread. They must be used on that thread only. The number of series
/// is bounded: labels come from fixed tables, except the names of at most maxGaugedServices services.
class Metrics
{
public:
    /// Counts a finished request. firstByteSeconds is negative if no response began.
    void requestEnded(RequestKind kind, RequestEnd end, double seconds, double firstByteSeconds);
    void rejected(Rejection why)
    {
        ++m_rejections[static_cast<std::size_t>(why)];
    }
    /// Counts a request that ended with a response that is not whole.
    void responseCut(GiveUpReason why)
    {
        ++m_cut[static_cast<std::size_t>(why)];
    }
    void attemptEnded(AttemptEnd end)
    {
        ++m_attempts[static_cast<std::size_t>(end)];
    }

    uint64_t requestsRead = 0; ///< requests that callers sent whole
    uint64_t retries = 0; ///< extra arrivals at endpoints
    uint64_t retriesDenied = 0; ///< retries that the retry budget did not allow
    uint64_t resumptions = 0; ///< streams that continued at another endpoint
    uint64_t replays = 0; ///< requests answered with the stored response of an earlier request with the same idempotency key
    uint64_t ejections = 0; ///< endpoints ejected because they failed more often than the others
    uint64_t backOffs = 0; ///< times that an endpoint asked this router to back off
    uint64_t relayed = 0; ///< attempts that a peer relayed
    uint64_t relaysRefused = 0; ///< attempts that no peer relayed although the direct path was cut or failed
    uint64_t endpointCrashes = 0; ///< endpoints that crashed while they ran requests of this router

    /// Returns the number of requests of all kinds that ended this way.
    uint64_t ended(RequestEnd end) const;
    /// Returns the number of requests that the router rejected with this outcome.
    uint64_t rejectedAs(Outcome outcome) const;
    const metrics::LatencyStats &latency() const
    {
        return m_latency;
    }

    /// Returns all metrics in the Prometheus text format.
    std::string text(const Gauges &gauges) const;

private:
    std::array<std::array<uint64_t, requestEndNames.size()>, requestKindNames.size()> m_requests{};
    std::array<LatencyHistogram, requestKindNames.size()> m_durations;
    std::array<LatencyHistogram, requestKindNames.size()> m_firstBytes;
    metrics::LatencyStats m_latency; ///< of delivered requests, in milliseconds
    std::array<uint64_t, rejectionNames.size()> m_rejections{};
    std::array<uint64_t, attemptEndNames.size()> m_attempts{};
    std::array<uint64_t, giveUpReasonNames.size()> m_cut{};
};

} // namespace yucca::entry
