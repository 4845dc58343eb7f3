// The report of an experiment.
#include "experiment.h"
#include "experiment_calls.h"

#include <algorithm>

namespace yucca::experiment
{

using json = nlohmann::json;

namespace
{

constexpr Millis drainAllowance{3000}; ///< "a few seconds": later arrivals at a draining engine are counted

// The quantile q of a histogram, by the upper edge of the bin that reaches it.
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
        const json j = co_await fetch(addressOf(e), e.kind == EndpointKind::Engine ? "/stats" : "/v1/executions");
        duplicates += j.value("duplicates", json::array()).size();
        if (e.kind != EndpointKind::Engine) {
            continue;
        }
        for (auto ms : j.value("arrivalsAfterDrainMs", std::vector<int64_t>{})) {
            lateArrivals += ms > drainAllowance.count() ? 1 : 0;
        }
        // Skew is over the engines that stayed and took part: one that left
        // mid-run, or whose pool had no work, served less by design.
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
    for (const auto &r : m_o.routers) {
        const json j = co_await fetch(r, "/status");
        control += j.value("controlBytesPerS", 0.0) / static_cast<double>(m_o.routers.size());
        records += j.value("recordBytesPerS", 0.0) / static_cast<double>(m_o.routers.size());
    }
    co_return reportOf(mean > 0 ? peak / mean : 0.0, duplicates, lateArrivals, control, records);
}

json Experiment::reportOf(double skew, std::size_t duplicates, int64_t lateArrivals, double control, double records) const
{
    const double samples = static_cast<double>(std::max<uint64_t>(1, m_tally.skewSamples));
    return {{"label", m_o.label},
            {"served", m_tally.served},
            {"failed", m_tally.failed + m_tally.wrong},
            {"wrong", m_tally.wrong},
            {"not_run", m_tally.notRun},
            {"unknown", m_tally.unknown},
            {"caller_retries", m_tally.retries},
            {"booked", m_tally.booked},
            {"replayed", m_tally.replayed},
            {"duplicates", duplicates},
            {"arrivals_3s_after_drain", lateArrivals},
            {"cache_reuse", ratio(m_tally.returningCached, m_tally.returningPrompt)},
            {"cache_reuse_after_move", ratio(m_tally.movedCached, m_tally.movedPrompt)},
            {"moved", m_moved},
            {"skew", skew},
            {"load_skew_mean", m_tally.skewSum / samples},
            {"load_skew_worst", m_tally.worstSkew},
            {"control_bytes_per_s_per_router", control},
            {"record_bytes_per_s_per_router", records},
            {"ttft_ms", quantiles(m_tally.timeToFirst)},
            {"between_ms", quantiles(m_tally.timeBetween)},
            {"elapsed_s", millisSince(m_started) / 1000},
            {"first_problems", m_tally.problems}};
}

} // namespace yucca::experiment
