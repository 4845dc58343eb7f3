#include "explain.h"

#include "decode.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace yucca::explain
{

using json = nlohmann::json;

namespace
{

std::string field(const json &line, const char *key)
{
    const auto it = line.find(key);
    if (it == line.end()) {
        return "";
    }
    return it->is_string() ? it->get<std::string>() : it->dump();
}

/// Description of each rejection by a router.
const std::map<std::string, std::string> rejectionDescriptions{
    {"not_loaded", "the router had just started and had no configuration yet; the caller was told to retry"},
    {"out_of_date", "the router does not know the route or key of the request; it could not reach the store and may lack the newest configuration"},
    {"no_route", "no route of the active configuration matches the host and path of the request"},
    {"unknown_key", "the API key of the request belongs to no workspace of the active configuration"},
    {"malformed", "the request has no valid request id, or its body cannot be decoded"},
    {"stopping", "the router was stopping; the caller was told to use another one"},
    {"no_endpoint", "no endpoint of the service was usable"},
    {"not_executed", "every endpoint that was asked refused it without running it"},
    {"answer_lost", "the request was sent and its answer was lost; it may have run, so it was not sent again"},
    {"timed_out", "the request was sent and no answer arrived before its deadline; it may have run"},
    {"over_limits", "the workspace exceeded its limits"},
    {"not_recorded", "the idempotency key could not be claimed in the store, so the request was not sent"},
    {"key_in_use", "an earlier request with the same idempotency key is in progress, or it is unknown whether that request ran"},
    {"key_reused", "the idempotency key was used for a different request"},
    {"evacuated", "the failure domains of the endpoints that could have served the request are evacuated (see DomainEvacuated)"},
    {"brittle", "the remaining endpoints could have been full, and bear few rejections"},
    {"cold", "the remaining endpoints had just started or returned, and their limit for cold endpoints was reached"},
    {"quarantined", "endpoints crashed while they ran requests with the same content (see RequestQuarantined), so the request was not sent"},
};

/// Description of each outcome of an attempt; the subject is the endpoint.
const std::map<std::string, std::string> attemptDescriptions{
    {"unreached", "did not accept the connection"},
    {"not_executed", "refused the request without running it"},
    {"engine_failed", "ran the request and failed"},
    {"broken", "broke off the answer"},
    {"silent", "did not answer in time"},
    {"caller_gone", "was running the request when the caller disconnected"},
};

std::string describe(const std::map<std::string, std::string> &table, const std::string &name)
{
    const auto it = table.find(name);
    return it == table.end() ? name : it->second;
}

std::string finishedText(const json &line)
{
    std::string text = "ended as " + field(line, "end") + " after " + field(line, "ms") + " ms; route " + field(line, "route") + ", service "
        + field(line, "service") + ", workspace " + field(line, "workspace") + ", configuration " + field(line, "config") + "; " + field(line, "sends")
        + " attempts, last at " + field(line, "endpoint") + " (load " + field(line, "load") + ")";
    if (field(line, "status") != "0") {
        text += "; status " + field(line, "status");
    }
    return text;
}

std::string finishedCause(const json &line)
{
    const std::string end = field(line, "end");
    if (end == "delivered") {
        return "no fault in the router: the endpoint's answer was delivered completely";
    }
    if (end == "caller_gone") {
        return "the caller disconnected before the answer was complete";
    }
    if (end == "engine_failed") {
        return "endpoint " + field(line, "endpoint") + " answered with an error (status " + field(line, "status") + ")";
    }
    if (end == "cut") {
        return "the stream broke after event " + field(line, "events") + " at endpoint " + field(line, "endpoint")
            + ", and no other endpoint was allowed or able to resume it";
    }
    return "";
}

} // namespace

// Sets the cause unless the current one comes from an event of higher rank.
void TimelineBuilder::proposeCause(int rank, const std::string &cause)
{
    if (!cause.empty() && rank >= m_causeRank) {
        m_causeRank = rank;
        m_causeCandidate = cause;
    }
}

void TimelineBuilder::read(std::istream &log, const std::string &source)
{
    std::string text;
    while (std::getline(log, text)) {
        const auto line = decode::textOrNull(text);
        if (!line.is_object() || !line.contains("name") || !line.contains("at_ms") || !line["at_ms"].is_number()) {
            ++m_timeline.skippedLines;
            continue;
        }
        Entry entry{line["at_ms"].get<int64_t>(), source, field(line, "name"), ""};
        if (entry.event == "EndpointEjected" || entry.event == "EndpointLeft") {
            entry.text = "endpoint " + field(line, "endpoint")
                + (entry.event == "EndpointLeft" ? " left the service"
                                                 : " was ejected: it failed " + field(line, "failing_pct") + " % of its requests, the other endpoints "
                           + field(line, "others_pct") + " %");
            m_eventEndpoints.push_back(field(line, "endpoint"));
            m_endpointEvents.push_back(std::move(entry));
            continue;
        }
        if (field(line, "id") != m_requestId) {
            continue;
        }
        if (entry.event == "AttemptEnded") {
            m_attemptedEndpoints.push_back(field(line, "endpoint"));
            entry.text = "endpoint " + field(line, "endpoint") + " " + describe(attemptDescriptions, field(line, "end")) + " after " + field(line, "ms") + " ms"
                + (field(line, "again") == "true" ? "; another endpoint is tried" : "; no other endpoint may be tried");
            proposeCause(0, entry.text);
        } else if (entry.event == "RequestFinished") {
            m_attemptedEndpoints.push_back(field(line, "endpoint"));
            entry.text = finishedText(line);
            proposeCause(2, finishedCause(line));
        } else if (entry.event == "RequestRejected") {
            entry.text = "the caller got " + field(line, "status") + ": " + describe(rejectionDescriptions, field(line, "why")) + " (configuration "
                + field(line, "config") + ")";
            proposeCause(1, describe(rejectionDescriptions, field(line, "why")));
        } else {
            entry.text = field(line, "name");
        }
        m_timeline.entries.push_back(std::move(entry));
    }
}

Timeline TimelineBuilder::finish()
{
    constexpr int64_t contextMs = 10000; // endpoint events this long before the last event of the request may be related
    auto byTime = [](const Entry &a, const Entry &b) {
        return a.timeMs < b.timeMs;
    };
    if (!m_timeline.entries.empty()) {
        const auto last = std::max_element(m_timeline.entries.begin(), m_timeline.entries.end(), byTime)->timeMs;
        for (std::size_t i = 0; i < m_endpointEvents.size(); ++i) {
            const bool attempted = std::find(m_attemptedEndpoints.begin(), m_attemptedEndpoints.end(), m_eventEndpoints[i]) != m_attemptedEndpoints.end();
            if (attempted && m_endpointEvents[i].timeMs <= last && last - m_endpointEvents[i].timeMs < contextMs) {
                m_timeline.entries.push_back(m_endpointEvents[i]);
            }
        }
    }
    std::stable_sort(m_timeline.entries.begin(), m_timeline.entries.end(), byTime);
    m_timeline.cause = m_timeline.entries.empty()
        ? "no line of these logs has this id: the request reached none of these routers, or its lines were dropped under load"
        : m_causeCandidate;
    return std::move(m_timeline);
}

std::string format(const Timeline &timeline)
{
    std::string out;
    for (const auto &entry : timeline.entries) {
        out += std::to_string(entry.timeMs) + "  " + entry.source + "  " + entry.event + ": " + entry.text + "\n";
    }
    out += "cause: " + timeline.cause + "\n";
    if (timeline.skippedLines > 0) {
        out += "(" + std::to_string(timeline.skippedLines) + " lines are not log events and were skipped)\n";
    }
    return out;
}

} // namespace yucca::explain
