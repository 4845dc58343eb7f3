#include "soak/invariants.h"

#include <algorithm>

namespace yucca::soak
{

namespace
{

bool runsAtMostOnce(Kind kind)
{
    return kind == Kind::Booking || kind == Kind::Single;
}

bool streams(Kind kind)
{
    return kind == Kind::Chat || kind == Kind::Single;
}

// Returns true for a status that tells the caller that the request was not run and will not be.
bool reportsNotRun(unsigned status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

// Returns what follows the number in the first event of a stream: the version of the engine that wrote it, or nothing.
std::string versionSuffix(const std::string &body)
{
    constexpr std::string_view firstEvent = "id: 1\ndata: token1";
    const bool begun = body.compare(0, firstEvent.size(), firstEvent) == 0;
    return begun ? body.substr(firstEvent.size(), body.find('\n', firstEvent.size()) - firstEvent.size()) : std::string();
}

} // namespace

void InvariantChecker::recordResponse(const std::string &id, RequestRecord record)
{
    m_records[id] = std::move(record);
}

std::size_t InvariantChecker::served() const
{
    return static_cast<std::size_t>(std::count_if(m_records.begin(), m_records.end(), [](const auto &entry) {
        return entry.second.status == 200 && entry.second.complete;
    }));
}

// Checks that a stream consists of its first events, whole, in order and of one version, and of all events if it ended as complete.
std::string InvariantChecker::streamViolation(const RequestRecord &record) const
{
    std::string expected;
    const std::string suffix = versionSuffix(record.body);
    std::size_t completeEventBytes = 0;
    for (int i = 1; i <= m_eventsPerStream; ++i) {
        expected += "id: " + std::to_string(i) + "\ndata: token" + std::to_string(i) + suffix + "\n\n";
        completeEventBytes = expected.size() <= record.body.size() ? expected.size() : completeEventBytes;
    }
    if (expected.compare(0, record.body.size(), record.body) != 0 || record.body.size() != completeEventBytes) {
        return "events are missing, repeated, truncated or of another version";
    }
    return record.complete && record.body != expected ? "an incomplete stream ended as complete" : "";
}

std::string InvariantChecker::violationOf(const std::string &id, const RequestRecord &record) const
{
    const auto it = m_runs.find(id);
    const int runs = it == m_runs.end() ? 0 : it->second;
    if (runsAtMostOnce(record.kind) && runs > 1) {
        return "ran " + std::to_string(runs) + " times";
    }
    if (runsAtMostOnce(record.kind) && reportsNotRun(record.status) && runs > 0) {
        return "was answered with status " + std::to_string(record.status) + " (not run) but ran";
    }
    if (record.status != 200) {
        return "";
    }
    if (!record.hasSignature) {
        return "a success response has no signature";
    }
    if (streams(record.kind)) {
        return streamViolation(record);
    }
    const std::string suffix = " to " + id;
    const bool isOwnResponse = record.body.size() > suffix.size() && record.body.compare(record.body.size() - suffix.size(), suffix.size(), suffix) == 0;
    return record.complete && !isOwnResponse ? "received another request's response" : "";
}

std::vector<std::string> InvariantChecker::violations() const
{
    std::vector<std::string> out;
    for (const auto &[id, record] : m_records) {
        const std::string what = violationOf(id, record);
        if (!what.empty()) {
            out.push_back(id + " (" + std::string(nameOf(kindNames, record.kind)) + "): " + what);
        }
    }
    return out;
}

} // namespace yucca::soak
