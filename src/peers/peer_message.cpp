#include "peers/peer_message.h"

#include "decode.h"
#include "name_digest.h"

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
constexpr std::size_t maxKindBytes = 200;
/// Precedes the service's name in a count of requests in flight, which has the form of a load report. An endpoint's id contains no
/// space, so an earlier release takes the count for the report of an endpoint that is not listed, and ignores it.
constexpr std::string_view inflightPrefix = " ";
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
    if (load < 0 || load > maxLoad || age < 0 || age > maxAgeMs) {
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
    const bool readable = wellFormed && item[1].size() <= maxPrompts - out.size() && std::all_of(item[1].begin(), item[1].end(), [](const json &key) {
                              return key.is_number_unsigned();
                          });
    if (!readable) {
        return false;
    }
    for (const auto &key : item[1]) {
        out.push_back({key.get<uint64_t>(), item[0].get<std::string>()});
    }
    return true;
}

// Reads a confirmation: [kind, revision, digest, age in ms, epoch].
bool readConfirmation(const json &item, Clock::time_point now, replica::Confirmation &out)
{
    const bool wellFormed = item.is_array() && item.size() == 5 && item[0].is_string() && item[1].is_number_unsigned() && item[2].is_number_unsigned()
        && item[3].is_number_unsigned() && item[4].is_number_unsigned();
    if (!wellFormed || item[0].get_ref<const std::string &>().size() > maxKindBytes || item[3].get<uint64_t>() > maxAgeMs) {
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
    if (!wellFormed) {
        return false;
    }
    out = {item[0].get<uint64_t>(), streams::receivedOrigin(item[1].get_ref<const std::string &>(), item[2].get_ref<const std::string &>())};
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

// Collects items into datagrams.
class DatagramWriter
{
public:
    void add(json item)
    {
        const auto bytes = json::to_cbor(item).size();
        if (!m_items.empty() && m_bytes + bytes > maxPacketBytes) {
            endDatagram();
        }
        append(std::move(item), bytes);
    }
    /// Adds an item to the datagram that has begun, whatever its size.
    void addTogether(json item)
    {
        const auto bytes = json::to_cbor(item).size();
        append(std::move(item), bytes);
    }
    std::vector<std::vector<uint8_t>> finish()
    {
        if (!m_items.empty() || m_datagrams.empty()) {
            endDatagram();
        }
        return std::move(m_datagrams);
    }

private:
    static constexpr std::size_t listHeadBytes = 3;

    void append(json item, std::size_t bytes)
    {
        m_items.push_back(std::move(item));
        m_bytes += bytes;
    }
    void endDatagram()
    {
        m_datagrams.push_back(json::to_cbor(m_items));
        m_items = json::array();
        m_bytes = listHeadBytes;
    }

    json m_items = json::array();
    std::size_t m_bytes = listHeadBytes;
    std::vector<std::vector<uint8_t>> m_datagrams;
};

constexpr std::size_t maxCountBytes = names::maxServiceBytes + 16; ///< of an encoded count of requests in flight
static_assert(maxInflightCounts * maxCountBytes < earlierReleaseBytes);

// A receiver replaces a router's counts by those of its newest datagram, so they are not divided.
void addInflightCounts(const std::vector<InflightCount> &counts, DatagramWriter &out)
{
    for (const auto &count : counts) {
        const auto service = std::string(inflightPrefix) + names::abbreviate(count.service, names::maxServiceBytes);
        out.addTogether({service, std::clamp<int64_t>(count.inflight, 0, maxLoad), 0});
    }
}

void addReports(std::vector<LoadReport> reports, std::size_t limit, Clock::time_point now, DatagramWriter &out)
{
    std::sort(reports.begin(), reports.end(), [](const LoadReport &a, const LoadReport &b) {
        return a.receivedAt > b.receivedAt;
    });
    reports.resize(std::min(reports.size(), limit));
    for (const auto &r : reports) {
        out.add({names::abbreviate(r.endpoint, names::maxEndpointIdBytes), std::clamp<int64_t>(r.load, 0, maxLoad), ageOf(r.receivedAt, now)});
    }
}

void addPrompts(const std::vector<PromptAnnouncement> &prompts, DatagramWriter &out)
{
    std::map<std::string, std::vector<uint64_t>> byEndpoint;
    for (std::size_t i = 0; i < std::min(prompts.size(), maxPrompts); ++i) {
        byEndpoint[prompts[i].endpoint].push_back(prompts[i].prompt);
    }
    for (const auto &[endpoint, keys] : byEndpoint) {
        json item = json::array();
        item.push_back(names::abbreviate(endpoint, names::maxEndpointIdBytes));
        item.push_back(keys);
        out.add(std::move(item));
    }
}

void addCrashes(const PeerMessage &message, Clock::time_point now, DatagramWriter &out)
{
    for (const auto &e : message.crashes) {
        const auto count = static_cast<std::ptrdiff_t>(std::min(e.endpoints.size(), maxEndpointsPerCrashRecord));
        const std::vector<uint64_t> endpoints(e.endpoints.begin(), e.endpoints.begin() + count);
        out.add({e.content, endpoints, ageOf(e.lastAt, now, maxCrashAgeMs)});
    }
    for (const auto &s : message.suspicions) {
        out.add({s.content, s.endpoint, ageOf(s.at, now)});
    }
    for (const auto &a : message.completeResponses) {
        out.add({a.content, ageOf(a.at, now, maxCrashAgeMs)});
    }
}

void addOrigins(const PeerMessage &message, DatagramWriter &out)
{
    for (const auto &record : message.origins) {
        out.add({record.stream, record.origin.service, record.origin.version});
    }
    for (const auto stream : message.originQueries) {
        out.add({stream, originQueryMark});
    }
    for (const auto stream : message.unknownOrigins) {
        out.add({stream, unknownOriginMark});
    }
}

// Drops what exceeds the limits of a reader.
void applyLimits(PeerMessage &message)
{
    message.inflight.resize(std::min(message.inflight.size(), maxInflightCounts));
    message.confirmations.resize(std::min(message.confirmations.size(), maxConfirmations));
    message.crashes.resize(std::min(message.crashes.size(), maxCrashRecords));
    message.suspicions.resize(std::min(message.suspicions.size(), maxCrashRecords));
    message.completeResponses.resize(std::min(message.completeResponses.size(), maxCrashRecords));
    message.origins.resize(std::min(message.origins.size(), maxOrigins));
    message.originQueries.resize(std::min(message.originQueries.size(), maxOrigins));
    message.unknownOrigins.resize(std::min(message.unknownOrigins.size(), maxOrigins));
}

// Reads one item into the list of its type. Returns false if it is malformed or the list is full.
bool readItem(const json &item, Clock::time_point now, PeerMessage &out)
{
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
    } else {
        return readStream(item, originQueryMark, out.originQueries) || readStream(item, unknownOriginMark, out.unknownOrigins)
            || readPrompts(item, out.prompts);
    }
    return true;
}

} // namespace

std::vector<std::vector<uint8_t>> encode(PeerMessage message, Clock::time_point now)
{
    applyLimits(message);
    DatagramWriter out;
    addInflightCounts(message.inflight, out);
    addReports(std::move(message.loads), maxLoadReports - message.inflight.size(), now, out);
    addPrompts(message.prompts, out);
    for (const auto &c : message.confirmations) {
        out.add({c.kind, c.revision, c.digest, ageOf(c.at, now), c.epoch});
    }
    addCrashes(message, now, out);
    addOrigins(message, out);
    return out.finish();
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
        out.unreadable += readItem(item, now, out) ? 0 : 1;
    }
    separateInflightCounts(out);
    return out;
}

} // namespace yucca::peers
