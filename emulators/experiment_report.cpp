// The report of an experiment.
#include "experiment.h"
#include "experiment_calls.h"

#include <algorithm>

namespace yucca::experiment
{

using json = nlohmann::json;

namespace
{

constexpr Millis maxArrivalDelay{3000}; ///< arrivals at a draining engine after this time count as late

// Returns the quantile q of a histogram: the upper edge of the bin that reaches it, or 0 if the histogram is empty.
double quantile(const Histogram &h, double q)
{
    const double total = boost::histogram::algorithm::sum(h);
    double seen = 0;
    for (auto &&bin : boost::histogram::indexed(h)) {
        seen += *bin;
        if (total > 0 && seen >= q * total) {
            return bin.bin().upper();
        }
    }
    return 0;
}

json quantiles(const Histogram &h)
{
    return {{"p50", quantile(h, 0.5)}, {"p95", quantile(h, 0.95)}, {"p99", quantile(h, 0.99)}};
}

double ratio(uint64_t part, uint64_t whole)
{
    return whole ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

} // namespace

Task<json> Experiment::report()
{
    std::vector<double> served;
    std::size_t duplicates = 0;
    int64_t lateArrivals = 0;
    const auto known = co_await endpoints();
    for (const auto &e : known) {
        const json j = co_await getJson(addressOf(e), e.kind == EndpointKind::Engine ? "/stats" : "/v1/executions");
        duplicates += j.value("duplicates", json::array()).size();
        if (e.kind != EndpointKind::Engine) {
            continue;
        }
        for (auto ms : j.value("arrivalsAfterDrainMs", std::vector<int64_t>{})) {
            lateArrivals += ms > maxArrivalDelay.count() ? 1 : 0;
        }
        // Engines that left during the experiment, or whose pool had no requests, served less by design: they do not
        // count for the skew.
        if (!j.value("draining", false) && j.value("served", 0.0) > 0) {
            served.push_back(j.value("served", 0.0));
        }
    }
    double mean = 0;
    double peak = 0;
    for (auto s : served) {
        mean += s / static_cast<double>(served.size());
        peak = std::max(peak, s);
    }
    double control = 0;
    double records = 0;
    for (const auto &r : m_options.routers) {
        const json j = co_await getJson(r, "/status");
        control += j.value("controlBytesPerS", 0.0) / static_cast<double>(m_options.routers.size());
        records += j.value("recordBytesPerS", 0.0) / static_cast<double>(m_options.routers.size());
    }
    co_return makeReport(mean > 0 ? peak / mean : 0.0, duplicates, lateArrivals, control, records);
}

json Experiment::makeReport(double skew, std::size_t duplicates, int64_t lateArrivals, double control, double records) const
{
    const double samples = static_cast<double>(std::max<uint64_t>(1, m_counters.skewSamples));
    return {{"label", m_options.label},
            {"served", m_counters.served},
            {"failed", m_counters.failed + m_counters.wrong},
            {"wrong", m_counters.wrong},
            {"not_run", m_counters.notRun},
            {"unknown", m_counters.unknown},
            {"caller_retries", m_counters.retries},
            {"booked", m_counters.booked},
            {"replayed", m_counters.replayed},
            {"duplicates", duplicates},
            {"arrivals_3s_after_drain", lateArrivals},
            {"cache_reuse", ratio(m_counters.returningCached, m_counters.returningPrompt)},
            {"cache_reuse_after_move", ratio(m_counters.movedCached, m_counters.movedPrompt)},
            {"moved", m_migrated},
            {"skew", skew},
            {"load_skew_mean", m_counters.skewSum / samples},
            {"load_skew_worst", m_counters.worstSkew},
            {"control_bytes_per_s_per_router", control},
            {"record_bytes_per_s_per_router", records},
            {"ttft_ms", quantiles(m_counters.timeToFirst)},
            {"between_ms", quantiles(m_counters.timeBetween)},
            {"elapsed_s", millisSince(m_started) / 1000},
            {"first_problems", m_counters.problems}};
}

} // namespace yucca::experiment
