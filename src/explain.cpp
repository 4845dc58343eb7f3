#include "explain.h"

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

/// What each reason for a router's own answer means.
const std::map<std::string, std::string> rejectionCauses{
    {"not_loaded", "the router had just started and knew no configuration yet; the caller was told to come back"},
    {"out_of_date", "its route or key is unknown to a router that could not reach the store and may not know the newest configuration"},
    {"no_route", "no route of the configuration in force matches its host and path"},
    {"unknown_key", "its API key is in no workspace of the configuration in force"},
    {"malformed", "it lacks a request id of its own"},
    {"stopping", "the router was being stopped; the caller was told to use another"},
    {"no_endpoint", "no endpoint of its service was usable"},
    {"not_executed", "every endpoint that was asked refused it before running it"},
    {"answer_lost", "it was sent and its answer was lost: it may have run, so it was not sent again"},
    {"timed_out", "it was sent and no answer came within its time: it may have run"},
    {"over_limits", "its workspace sent more than its limits allow"},
    {"not_recorded", "its idempotency key could not be claimed in the store, so it was not sent"},
    {"key_in_use", "an earlier request with its idempotency key is in progress, or nobody knows whether it ran"},
    {"key_reused", "its idempotency key was used for another request"},
    {"evacuated", "operators evacuated the failure domains of the endpoints that could have served it (DomainEvacuated names them)"},
    {"cold", "the endpoints left had just started or come back, and what they bear was used up"},
    {"quarantined", "endpoints ended while they ran requests for the same (RequestQuarantined has its content), so it was not sent"},
};

/// What each end of an attempt means.
const std::map<std::string, std::string> attemptCauses{
    {"unreached", "did not take the connection"}, {"not_executed", "refused it without running it"},
    {"engine_failed", "ran it and failed"},       {"broken", "broke off its answer"},
    {"silent", "did not answer in time"},         {"caller_gone", "was working on it when the caller left"},
};

std::string meaning(const std::map<std::string, std::string> &table, const std::string &name)
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
        return "nothing went wrong in the router: the endpoint's answer was delivered whole";
    }
    if (end == "caller_gone") {
        return "the caller left before the answer was complete";
    }
    if (end == "engine_failed") {
        return "endpoint " + field(line, "endpoint") + " answered with a failure of its own (status " + field(line, "status") + ")";
    }
    if (end == "cut") {
        return "the stream broke after event " + field(line, "events") + " at endpoint " + field(line, "endpoint")
            + ", and no other endpoint was allowed or able to go on with it";
    }
    return "";
}

} // namespace

// Takes a cause unless one from a more telling line is held.
void Reader::note(int weight, const std::string &cause)
{
    if (!cause.empty() && weight >= m_weight) {
        m_weight = weight;
        m_causeCandidate = cause;
    }
}

void Reader::read(std::istream &log, const std::string &source)
{
    std::string text;
    while (std::getline(log, text)) {
        const auto line = json::parse(text, nullptr, false);
        if (!line.is_object() || !line.contains("name") || !line.contains("at_ms") || !line["at_ms"].is_number()) {
            ++m_story.skipped;
            continue;
        }
        Entry entry{line["at_ms"].get<int64_t>(), source, field(line, "name"), ""};
        if (entry.event == "EndpointEjected" || entry.event == "EndpointLeft") {
            entry.text = "endpoint " + field(line, "endpoint")
                + (entry.event == "EndpointLeft"
                       ? " left the service"
                       : " was passed by: it failed " + field(line, "failing_pct") + " % of its requests, the others " + field(line, "others_pct") + " %");
            m_endpointNames.push_back(field(line, "endpoint"));
            m_endpointNews.push_back(std::move(entry));
            continue;
        }
        if (field(line, "id") != m_id) {
            continue;
        }
        if (entry.event == "AttemptEnded") {
            m_endpoints.push_back(field(line, "endpoint"));
            entry.text = "endpoint " + field(line, "endpoint") + " " + meaning(attemptCauses, field(line, "end")) + " after " + field(line, "ms") + " ms"
                + (field(line, "again") == "true" ? "; another is tried" : "; no other may be tried");
            note(0, entry.text);
        } else if (entry.event == "RequestFinished") {
            m_endpoints.push_back(field(line, "endpoint"));
            entry.text = finishedText(line);
            note(2, finishedCause(line));
        } else if (entry.event == "RequestRejected") {
            entry.text = "the caller got " + field(line, "status") + ": " + meaning(rejectionCauses, field(line, "why")) + " (configuration "
                + field(line, "config") + ")";
            note(1, meaning(rejectionCauses, field(line, "why")));
        } else {
            entry.text = field(line, "name");
        }
        m_story.entries.push_back(std::move(entry));
    }
}

Story Reader::finish()
{
    constexpr int64_t aroundMs = 10000; // what an endpoint did so long before the request may have to do with it
    auto byTime = [](const Entry &a, const Entry &b) {
        return a.ms < b.ms;
    };
    if (!m_story.entries.empty()) {
        const auto last = std::max_element(m_story.entries.begin(), m_story.entries.end(), byTime)->ms;
        for (std::size_t i = 0; i < m_endpointNews.size(); ++i) {
            const bool met = std::find(m_endpoints.begin(), m_endpoints.end(), m_endpointNames[i]) != m_endpoints.end();
            if (met && m_endpointNews[i].ms <= last && last - m_endpointNews[i].ms < aroundMs) {
                m_story.entries.push_back(m_endpointNews[i]);
            }
        }
    }
    std::stable_sort(m_story.entries.begin(), m_story.entries.end(), byTime);
    m_story.cause =
        m_story.entries.empty() ? "no line of these logs has this id: it reached none of these routers, or its line was left out under load" : m_causeCandidate;
    return std::move(m_story);
}

std::string format(const Story &story)
{
    std::string out;
    for (const auto &entry : story.entries) {
        out += std::to_string(entry.ms) + "  " + entry.source + "  " + entry.event + ": " + entry.text + "\n";
    }
    out += "cause: " + story.cause + "\n";
    if (story.skipped > 0) {
        out += "(" + std::to_string(story.skipped) + " lines are no events of ours and were skipped)\n";
    }
    return out;
}

} // namespace yucca::explain
