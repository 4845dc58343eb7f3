#include "peers/peer_message.h"

#include "decode.h"

#include <algorithm>
#include <map>

namespace yucca::peers
{

using json = nlohmann::json;

namespace
{

constexpr int64_t maxAgeMs = 60000; ///< older reports are useless
constexpr int64_t maxCrashAgeMs = 24 * 3600 * 1000; ///< a crash is remembered for a day
constexpr std::size_t maxEndpointsPerCrashRecord = 16;
constexpr int64_t maxLoad = 1000000;
constexpr std::size_t maxIdBytes = 200;
/// Precedes the service's name in a count of requests in flight, which has the form of a load report. An endpoint's id contains no
/// space, so an earlier release takes the count for the report of an endpoint that is not listed, and ignores it.
constexpr std::string_view inflightPrefix = " ";
constexpr std::size_t maxVersionBytes = 64;
/// What an item of a stream without an origin means.
constexpr std::string_view originQueryMark = "?";
constexpr std::string_view unknownOriginMark = "-";

// Reads a load report: [endpoint, load, age in ms].
bool readReport(const json &item, Clock::time_point now, LoadReport &out)
{
    const bool wellFormed = item.is_array() && item.size() == 3 && item[0].is_string() && item[1].is_number_integer() && item[2].is_number_integer();
    if (!wellFormed) {
        return false;
    }
    const auto load = item[1].get<int64_t>();
    const auto age = item[2].get<int64_t>();
    out.endpoint = item[0].get<std::string>();
    if (out.endpoint.size() > maxIdBytes || load < 0 || load > maxLoad || age < 0 || age > maxAgeMs) {
        return false;
    }
    out.load = load;
    out.receivedAt = now - Millis(age);
    return true;
}

// Reads an endpoint's prompts: [endpoint, [key, ...]].
bool readPrompts(const json &item, std::vector<PromptAnnouncement> &out)
{
    const bool wellFormed = item.is_array() && item.size() == 2 && item[0].is_string() && item[1].is_array();
    if (!wellFormed || item[0].get_ref<const std::string &>().size() > maxIdBytes) {
        return false;
    }
    for (const auto &key : item[1]) {
        if (!key.is_number_unsigned() || out.size() == maxPrompts) {
            return false;
        }
        out.push_back({key.get<uint64_t>(), item[0].get<std::string>()});
    }
    return true;
}

// Reads a confirmation: [kind, revision, digest, age in ms, epoch].
bool readConfirmation(const json &item, Clock::time_point now, replica::Confirmation &out)
{
    const bool wellFormed = item.is_array() && item.size() == 5 && item[0].is_string() && item[1].is_number_unsigned() && item[2].is_number_unsigned()
        && item[3].is_number_unsigned() && item[4].is_number_unsigned();
    if (!wellFormed || item[0].get_ref<const std::string &>().size() > maxIdBytes || item[3].get<uint64_t>() > maxAgeMs) {
        return false;
    }
    out = {item[0].get<std::string>(), item[1].get<uint64_t>(), item[2].get<uint64_t>(), now - Millis(item[3].get<int64_t>()), item[4].get<store::Epoch>()};
    return true;
}

// Reads the endpoints that crashed while running requests with one content: [content, [endpoint, ...], age in ms].
bool readCrashRecord(const json &item, Clock::time_point now, quarantine::CrashRecord &out)
{
    const bool wellFormed = item.is_array() && item.size() == 3 && item[0].is_number_unsigned() && item[1].is_array() && item[2].is_number_unsigned();
    if (!wellFormed || item[1].empty() || item[1].size() > maxEndpointsPerCrashRecord || item[2].get<uint64_t>() > maxCrashAgeMs) {
        return false;
    }
    out = {item[0].get<uint64_t>(), {}, now - Millis(item[2].get<int64_t>())};
    for (const auto &endpoint : item[1]) {
        if (!endpoint.is_number_unsigned()) {
            return false;
        }
        out.endpoints.push_back(endpoint.get<uint64_t>());
    }
    return std::is_sorted(out.endpoints.begin(), out.endpoints.end());
}

// Reads a suspicion of a crash: [content, endpoint, age in ms].
bool readSuspicion(const json &item, Clock::time_point now, quarantine::Suspicion &out)
{
    const bool wellFormed = item.is_array() && item.size() == 3 && item[0].is_number_unsigned() && item[1].is_number_unsigned() && item[2].is_number_unsigned();
    if (!wellFormed || item[2].get<uint64_t>() > maxAgeMs) {
        return false;
    }
    out = {item[0].get<uint64_t>(), item[1].get<uint64_t>(), now - Millis(item[2].get<int64_t>())};
    return true;
}

// Reads an answer to a request: [content, age in ms].
bool readAnswer(const json &item, Clock::time_point now, quarantine::CompleteResponse &out)
{
    const bool wellFormed = item.is_array() && item.size() == 2 && item[0].is_number_unsigned() && item[1].is_number_unsigned();
    if (!wellFormed || item[1].get<uint64_t>() > maxCrashAgeMs) {
        return false;
    }
    out = {item[0].get<uint64_t>(), now - Millis(item[1].get<int64_t>())};
    return true;
}

// Reads the origin of a stream: [stream, service, version].
bool readOrigin(const json &item, streams::OriginRecord &out)
{
    const bool wellFormed = item.is_array() && item.size() == 3 && item[0].is_number_unsigned() && item[1].is_string() && item[2].is_string();
    if (!wellFormed || item[1].get_ref<const std::string &>().size() > maxIdBytes || item[2].get_ref<const std::string &>().size() > maxVersionBytes) {
        return false;
    }
    out = {item[0].get<uint64_t>(), {item[1].get<std::string>(), item[2].get<std::string>()}};
    return true;
}

// Reads a stream without an origin: [stream, mark].
bool readStream(const json &item, std::string_view mark, std::vector<uint64_t> &out)
{
    const bool wellFormed = item.is_array() && item.size() == 2 && item[0].is_number_unsigned() && item[1].is_string();
    if (!wellFormed || item[1].get_ref<const std::string &>() != mark || out.size() == maxOrigins) {
        return false;
    }
    out.push_back(item[0].get<uint64_t>());
    return true;
}

uint64_t ageOf(Clock::time_point at, Clock::time_point now, int64_t maxMs = maxAgeMs)
{
    const auto age = std::chrono::duration_cast<Millis>(now - at).count();
    return static_cast<uint64_t>(std::clamp<int64_t>(age, 0, maxMs));
}

// Moves the counts of requests in flight from the load reports, whose form they share, to a list of their own.
void separateInflightCounts(PeerMessage &message)
{
    std::erase_if(message.loads, [&message](const LoadReport &item) {
        const bool isCount = item.endpoint.starts_with(inflightPrefix);
        if (isCount) {
            message.inflight.push_back({item.endpoint.substr(inflightPrefix.size()), item.load});
        }
        return isCount;
    });
}

json reportsToJson(std::vector<LoadReport> reports, std::size_t limit, Clock::time_point now)
{
    std::sort(reports.begin(), reports.end(), [](const LoadReport &a, const LoadReport &b) {
        return a.receivedAt > b.receivedAt;
    });
    reports.resize(std::min(reports.size(), limit));
    json out = json::array();
    for (const auto &r : reports) {
        out.push_back({r.endpoint, r.load, ageOf(r.receivedAt, now)});
    }
    return out;
}

} // namespace

std::vector<uint8_t> encode(PeerMessage message, Clock::time_point now)
{
    message.inflight.resize(std::min(message.inflight.size(), maxInflightCounts));
    json out = reportsToJson(std::move(message.loads), maxLoadReports - message.inflight.size(), now);
    for (const auto &count : message.inflight) {
        out.push_back({std::string(inflightPrefix) + count.service, std::clamp<int64_t>(count.inflight, 0, maxLoad), 0});
    }
    const auto &prompts = message.prompts;
    std::map<std::string, std::vector<uint64_t>> byEndpoint;
    for (std::size_t i = 0; i < std::min(prompts.size(), maxPrompts); ++i) {
        byEndpoint[prompts[i].endpoint].push_back(prompts[i].prompt);
    }
    for (const auto &[endpoint, keys] : byEndpoint) {
        json item = json::array();
        item.push_back(endpoint);
        item.push_back(keys);
        out.push_back(std::move(item));
    }
    for (const auto &c : message.confirmations) {
        out.push_back({c.kind, c.revision, c.digest, ageOf(c.at, now), c.epoch});
    }
    for (const auto &e : message.crashes) {
        out.push_back({e.content, e.endpoints, ageOf(e.lastAt, now, maxCrashAgeMs)});
    }
    for (const auto &s : message.suspicions) {
        out.push_back({s.content, s.endpoint, ageOf(s.at, now)});
    }
    for (const auto &a : message.completeResponses) {
        out.push_back({a.content, ageOf(a.at, now, maxCrashAgeMs)});
    }
    for (const auto &record : message.origins) {
        out.push_back({record.stream, record.origin.service, record.origin.version});
    }
    for (const auto stream : message.originQueries) {
        out.push_back({stream, originQueryMark});
    }
    for (const auto stream : message.unknownOrigins) {
        out.push_back({stream, unknownOriginMark});
    }
    return json::to_cbor(out);
}

Result<PeerMessage> decode(std::span<const uint8_t> datagram, Clock::time_point now)
{
    const auto decoded = decode::cbor(datagram);
    if (!ok(decoded)) {
        return std::get<Error>(decoded);
    }
    const auto &items = std::get<json>(decoded);
    if (!items.is_array()) {
        return Error{400, "the datagram is not a CBOR array"};
    }
    PeerMessage out;
    for (const auto &item : items) {
        LoadReport report;
        replica::Confirmation confirmation;
        quarantine::CrashRecord crash;
        quarantine::Suspicion suspicion;
        quarantine::CompleteResponse completeResponse;
        streams::OriginRecord origin;
        if (out.crashes.size() < maxCrashRecords && readCrashRecord(item, now, crash)) {
            out.crashes.push_back(std::move(crash));
        } else if (out.suspicions.size() < maxCrashRecords && readSuspicion(item, now, suspicion)) {
            out.suspicions.push_back(suspicion);
        } else if (out.completeResponses.size() < maxCrashRecords && readAnswer(item, now, completeResponse)) {
            out.completeResponses.push_back(completeResponse);
        } else if (out.confirmations.size() < maxConfirmations && readConfirmation(item, now, confirmation)) {
            out.confirmations.push_back(std::move(confirmation));
        } else if (out.loads.size() < maxLoadReports && readReport(item, now, report)) {
            out.loads.push_back(std::move(report));
        } else if (out.origins.size() < maxOrigins && readOrigin(item, origin)) {
            out.origins.push_back(std::move(origin));
        } else if (!readStream(item, originQueryMark, out.originQueries) && !readStream(item, unknownOriginMark, out.unknownOrigins)
                   && !readPrompts(item, out.prompts)) {
            return Error{400, "item " + std::to_string(out.loads.size() + out.prompts.size()) + " is malformed or exceeds the limit of its type"};
        }
    }
    separateInflightCounts(out);
    return out;
}

} // namespace yucca::peers
