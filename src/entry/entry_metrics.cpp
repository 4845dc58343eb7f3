#include "entry/entry_metrics.h"

#include <map>

namespace yucca::entry
{

namespace
{

/// In seconds. The deployments' latency targets are 0.3 to 2 s, their longest timeout is 12 s.
constexpr std::array<double, 13> bucketEdges{0, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 4, 8, 12};

std::string number(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%g", value);
    return text;
}

void writeHead(std::string &out, std::string_view name, std::string_view type, std::string_view help)
{
    out.append("# HELP ").append(name).append(" ").append(help).append("\n# TYPE ").append(name).append(" ").append(type).append("\n");
}

void writeSample(std::string &out, std::string_view name, std::string_view labels, double value)
{
    out.append(name);
    if (!labels.empty()) {
        out.append("{").append(labels).append("}");
    }
    out.append(" ").append(number(value)).append("\n");
}

std::string labelled(std::string_view label, std::string_view value)
{
    std::string out = std::string(label) + "=\"";
    for (const char c : value) {
        if (c == '\n') {
            out += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            out += '\\';
        }
        out += c;
    }
    return out + "\"";
}

// Writes one counter for each name of a table.
template <typename E, std::size_t N>
void writeCounters(std::string &out, std::string_view name, std::string_view help, std::string_view label, const NameTable<E, N> &names,
                   const std::array<uint64_t, N> &counts)
{
    writeHead(out, name, "counter", help);
    for (std::size_t i = 0; i < N; ++i) {
        writeSample(out, name, labelled(label, names[i].second), static_cast<double>(counts[i]));
    }
}

void writeSingle(std::string &out, std::string_view name, std::string_view type, std::string_view help, double value)
{
    writeHead(out, name, type, help);
    writeSample(out, name, "", value);
}

// Writes one gauge of the retry budgets, with one sample for each service.
void writeRetryGauge(std::string &out, std::string_view name, std::string_view help, const std::vector<RetryGauge> &budgets, double limits::RetryUsage::*member)
{
    writeHead(out, name, "gauge", help);
    for (const auto &budget : budgets) {
        writeSample(out, name, labelled("service", budget.service), budget.usage.*member);
    }
}

// Writes one counter of the calls to the store, with one sample for each class of calls.
void writeStoreUsage(std::string &out, std::string_view name, std::string_view help, const store::UsageCounts &usage, uint64_t store::CallCount::*member)
{
    writeHead(out, name, "counter", help);
    for (const auto &[call, count] : usage) {
        const auto labels = labelled("kind", call.kind) + "," + labelled("operation", nameOf(store::operationNames, call.operation)) + ","
            + labelled("freshness", nameOf(store::freshnessNames, call.freshness));
        writeSample(out, name, labels, static_cast<double>(count.*member));
    }
}

} // namespace

std::vector<VersionGauge> versionGauges(const std::vector<Endpoint> &endpoints)
{
    std::map<std::pair<std::string, std::string>, std::size_t> counts;
    for (const auto &endpoint : endpoints) {
        ++counts[{endpoint.pool, endpoint.version}];
    }
    std::vector<VersionGauge> gauges;
    for (const auto &[key, count] : counts) {
        if (gauges.size() < maxGaugedVersions) {
            gauges.push_back({key.first, key.second, count});
        }
    }
    return gauges;
}

LatencyHistogram::LatencyHistogram()
    : m_counts(std::make_tuple(Axis(bucketEdges)))
{
}

void LatencyHistogram::observe(double seconds)
{
    m_counts(seconds);
    m_sum += seconds;
}

void LatencyHistogram::write(std::string &out, std::string_view name, std::string_view label, std::string_view value) const
{
    const std::string bucket = std::string(name) + "_bucket";
    uint64_t cumulative = 0;
    for (int i = 0; i < m_counts.axis().size(); ++i) {
        cumulative += m_counts.at(i);
        writeSample(out, bucket, labelled(label, value) + ",le=\"" + number(m_counts.axis().bin(i).upper()) + "\"", static_cast<double>(cumulative));
    }
    cumulative += m_counts.at(m_counts.axis().size()); // overflow bin, above the last edge
    writeSample(out, bucket, labelled(label, value) + ",le=\"+Inf\"", static_cast<double>(cumulative));
    writeSample(out, std::string(name) + "_sum", labelled(label, value), m_sum);
    writeSample(out, std::string(name) + "_count", labelled(label, value), static_cast<double>(cumulative));
}

void Metrics::requestEnded(RequestKind kind, RequestEnd end, double seconds, double firstByteSeconds)
{
    const auto k = static_cast<std::size_t>(kind);
    ++m_requests[k][static_cast<std::size_t>(end)];
    m_durations[k].observe(seconds);
    if (end == RequestEnd::Delivered) {
        m_latency.add(seconds * 1000);
    }
    if (firstByteSeconds >= 0) {
        m_firstBytes[k].observe(firstByteSeconds);
    }
}

uint64_t Metrics::ended(RequestEnd end) const
{
    uint64_t n = 0;
    for (const auto &kind : m_requests) {
        n += kind[static_cast<std::size_t>(end)];
    }
    return n;
}

uint64_t Metrics::rejectedAs(Outcome outcome) const
{
    uint64_t n = 0;
    for (const auto &[why, name] : rejectionNames) {
        n += outcomeOf(why) == outcome ? m_rejections[static_cast<std::size_t>(why)] : 0;
    }
    return n;
}

std::string Metrics::text(const Gauges &gauges) const
{
    std::string out;
    writeHead(out, "yucca_requests_total", "counter", "Requests by kind and end");
    for (std::size_t k = 0; k < m_requests.size(); ++k) {
        for (std::size_t e = 0; e < m_requests[k].size(); ++e) {
            const std::string labels = labelled("kind", requestKindNames[k].second) + "," + labelled("end", requestEndNames[e].second);
            writeSample(out, "yucca_requests_total", labels, static_cast<double>(m_requests[k][e]));
        }
    }
    writeHead(out, "yucca_request_seconds", "histogram", "Until a request's end");
    for (std::size_t k = 0; k < m_durations.size(); ++k) {
        m_durations[k].write(out, "yucca_request_seconds", "kind", requestKindNames[k].second);
    }
    writeHead(out, "yucca_first_byte_seconds", "histogram", "Until the head of an answer");
    for (std::size_t k = 0; k < m_firstBytes.size(); ++k) {
        m_firstBytes[k].write(out, "yucca_first_byte_seconds", "kind", requestKindNames[k].second);
    }
    writeCounters(out, "yucca_rejections_total", "Answers of the router's own", "why", rejectionNames, m_rejections);
    writeCounters(out, "yucca_attempts_total", "Attempts at endpoints", "end", attemptEndNames, m_attempts);
    writeSingle(out, "yucca_requests_read_total", "counter", "Requests that were read whole", static_cast<double>(requestsRead));
    writeCounters(out, "yucca_responses_cut_total", "Responses that ended before they were whole", "why", giveUpReasonNames, m_cut);
    writeSingle(out, "yucca_retries_total", "counter", "Further arrivals at endpoints", static_cast<double>(retries));
    writeSingle(out, "yucca_retries_denied_total", "counter", "Requests that ended for want of retry budget", static_cast<double>(retriesDenied));
    writeRetryGauge(out, "yucca_retry_budget_spent", "Retries in the window that ends now", gauges.retryBudgets, &limits::RetryUsage::spent);
    writeRetryGauge(out, "yucca_retry_budget_allowed", "Retries that this router may make in that window", gauges.retryBudgets, &limits::RetryUsage::allowed);
    writeRetryGauge(out, "yucca_retry_budget_share", "Part of the allowed retries that is this router's share of the fleet's slack", gauges.retryBudgets,
                    &limits::RetryUsage::share);
    writeSingle(out, "yucca_resumptions_total", "counter", "Streams that went on at another endpoint", static_cast<double>(resumptions));
    writeSingle(out, "yucca_replays_total", "counter", "Requests answered with a stored answer", static_cast<double>(replays));
    writeSingle(out, "yucca_ejections_total", "counter", "Endpoints passed by for failing more than the others", static_cast<double>(ejections));
    writeSingle(out, "yucca_back_offs_total", "counter", "Times that an endpoint asked for no requests for a while", static_cast<double>(backOffs));
    writeSingle(out, "yucca_endpoint_endings_total", "counter", "Endpoints that ended while they ran requests", static_cast<double>(endpointCrashes));
    writeSingle(out, "yucca_endpoint_connections_total", "counter", "Connections opened to endpoints", static_cast<double>(gauges.connectionsOpened));
    writeSingle(out, "yucca_configuration_version", "gauge", "The version in force", static_cast<double>(gauges.configurationVersion));
    writeSingle(out, "yucca_store_silence_seconds", "gauge", "Since the store last answered", gauges.storeSilenceSeconds);
    writeHead(out, "yucca_state_age_seconds", "gauge", "Since the store confirmed the state, to this router or to a peer");
    for (const auto &gauge : gauges.stateAges) {
        writeSample(out, "yucca_state_age_seconds", labelled("kind", gauge.kind), gauge.seconds);
    }
    writeStoreUsage(out, "yucca_store_calls_total", "Calls to the store", gauges.storeUsage, &store::CallCount::calls);
    writeStoreUsage(out, "yucca_store_failed_calls_total", "Calls to the store that failed", gauges.storeUsage, &store::CallCount::failed);
    writeStoreUsage(out, "yucca_store_bytes_total", "Bytes received from the store", gauges.storeUsage, &store::CallCount::bytesReceived);
    writeSingle(out, "yucca_endpoints", "gauge", "Endpoints that are listed and live", static_cast<double>(gauges.endpoints));
    writeHead(out, "yucca_endpoint_versions", "gauge", "Live endpoints by service and version of their software");
    for (const auto &gauge : gauges.versions) {
        writeSample(out, "yucca_endpoint_versions", labelled("service", gauge.service) + "," + labelled("version", gauge.version),
                    static_cast<double>(gauge.endpoints));
    }
    writeSingle(out, "yucca_peers", "gauge", "Routers of the failure domain that were heard lately", static_cast<double>(gauges.peers));
    writeSingle(out, "yucca_quarantined_requests", "gauge", "Requests that are kept from endpoints", static_cast<double>(gauges.quarantined));
    writeSingle(out, "yucca_evacuated_domains", "gauge", "Failure domains that get nothing, by operators' order", static_cast<double>(gauges.evacuatedDomains));
    writeSingle(out, "yucca_relayed_attempts_total", "counter", "Attempts at endpoints that a peer relayed", static_cast<double>(relayed));
    writeSingle(out, "yucca_relays_refused_total", "counter", "Attempts that no peer relayed although the direct path failed",
                static_cast<double>(relaysRefused));
    writeSingle(out, "yucca_cut_paths", "gauge", "Endpoints that only peers reach", static_cast<double>(gauges.cutPaths));
    writeSingle(out, "yucca_tunnels", "gauge", "Open tunnels of peers to endpoints", static_cast<double>(gauges.tunnels));
    writeSingle(out, "yucca_tunnels_accepted_total", "counter", "Tunnels opened for peers", static_cast<double>(gauges.tunnelsAccepted));
    writeSingle(out, "yucca_requests_unanswered_total", "counter", "Requests read whole that got no response", static_cast<double>(gauges.unanswered));
    writeSingle(out, "yucca_responses_truncated_total", "counter", "Responses that a failure or a write timeout ended", static_cast<double>(gauges.truncated));
    writeSingle(out, "yucca_handler_failures_total", "counter", "Handlers of requests that failed", static_cast<double>(gauges.handlerFailures));
    writeSingle(out, "yucca_tunnels_refused_total", "counter", "Tunnels refused to peers", static_cast<double>(gauges.tunnelsRefused));
    writeSingle(out, "yucca_peer_items_unreadable_total", "counter", "Items of other routers' datagrams that could not be read",
                static_cast<double>(gauges.unreadablePeerItems));
    writeSingle(out, "yucca_stream_origins", "gauge", "Streams whose software version this router knows", static_cast<double>(gauges.streamOrigins));
    writeSingle(out, "yucca_cold_endpoints", "gauge", "Endpoints that are taken for cold", static_cast<double>(gauges.coldEndpoints));
    writeSingle(out, "yucca_requests_in_flight", "gauge", "Requests in flight", static_cast<double>(gauges.inflight));
    return out;
}

} // namespace yucca::entry
