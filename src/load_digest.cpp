#include "load_digest.h"

#include <algorithm>
#include <map>

namespace yucca::peers
{

using json = nlohmann::json;

namespace
{

constexpr int64_t oldestMs = 60000; ///< an older report says nothing
constexpr int64_t oldestEndingMs = 24 * 3600 * 1000; ///< an ending is remembered for a day
constexpr std::size_t mostEndpointsOfEndings = 16;
constexpr int64_t mostLoad = 1000000;
constexpr std::size_t longestId = 200;

// One report: [endpoint, load, age in ms].
bool readReport(const json &item, Clock::time_point now, LoadReport &out)
{
    const bool shaped = item.is_array() && item.size() == 3 && item[0].is_string() && item[1].is_number_integer() && item[2].is_number_integer();
    if (!shaped) {
        return false;
    }
    const auto load = item[1].get<int64_t>();
    const auto age = item[2].get<int64_t>();
    out.endpoint = item[0].get<std::string>();
    if (out.endpoint.size() > longestId || load < 0 || load > mostLoad || age < 0 || age > oldestMs) {
        return false;
    }
    out.load = load;
    out.heardAt = now - Millis(age);
    return true;
}

// An endpoint with its prompts: [endpoint, [key, ...]].
bool readPrompts(const json &item, std::vector<PromptNews> &out)
{
    const bool shaped = item.is_array() && item.size() == 2 && item[0].is_string() && item[1].is_array();
    if (!shaped || item[0].get_ref<const std::string &>().size() > longestId) {
        return false;
    }
    for (const auto &key : item[1]) {
        if (!key.is_number_unsigned() || out.size() == mostPrompts) {
            return false;
        }
        out.push_back({key.get<uint64_t>(), item[0].get<std::string>()});
    }
    return true;
}

// What is confirmed of a kind: [kind, revision, digest, age in ms, epoch].
bool readConfirmation(const json &item, Clock::time_point now, replica::Confirmation &out)
{
    const bool shaped = item.is_array() && item.size() == 5 && item[0].is_string() && item[1].is_number_unsigned() && item[2].is_number_unsigned()
        && item[3].is_number_unsigned() && item[4].is_number_unsigned();
    if (!shaped || item[0].get_ref<const std::string &>().size() > longestId || item[3].get<uint64_t>() > oldestMs) {
        return false;
    }
    out = {item[0].get<std::string>(), item[1].get<uint64_t>(), item[2].get<uint64_t>(), now - Millis(item[3].get<int64_t>()), item[4].get<store::Epoch>()};
    return true;
}

// Endpoints that ended under requests for one thing: [content, [endpoint, ...], age in ms].
bool readEndings(const json &item, Clock::time_point now, quarantine::Record &out)
{
    const bool shaped = item.is_array() && item.size() == 3 && item[0].is_number_unsigned() && item[1].is_array() && item[2].is_number_unsigned();
    if (!shaped || item[1].empty() || item[1].size() > mostEndpointsOfEndings || item[2].get<uint64_t>() > oldestEndingMs) {
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

// An endpoint that may have ended: [content, endpoint, age in ms].
bool readSuspicion(const json &item, Clock::time_point now, quarantine::Suspicion &out)
{
    const bool shaped = item.is_array() && item.size() == 3 && item[0].is_number_unsigned() && item[1].is_number_unsigned() && item[2].is_number_unsigned();
    if (!shaped || item[2].get<uint64_t>() > oldestMs) {
        return false;
    }
    out = {item[0].get<uint64_t>(), item[1].get<uint64_t>(), now - Millis(item[2].get<int64_t>())};
    return true;
}

// A request that was answered: [content, age in ms].
bool readAnswer(const json &item, Clock::time_point now, quarantine::Answer &out)
{
    const bool shaped = item.is_array() && item.size() == 2 && item[0].is_number_unsigned() && item[1].is_number_unsigned();
    if (!shaped || item[1].get<uint64_t>() > oldestEndingMs) {
        return false;
    }
    out = {item[0].get<uint64_t>(), now - Millis(item[1].get<int64_t>())};
    return true;
}

uint64_t ageOf(Clock::time_point at, Clock::time_point now, int64_t oldest = oldestMs)
{
    const auto age = std::chrono::duration_cast<Millis>(now - at).count();
    return static_cast<uint64_t>(std::clamp<int64_t>(age, 0, oldest));
}

json writtenReports(std::vector<LoadReport> reports, Clock::time_point now)
{
    std::sort(reports.begin(), reports.end(), [](const LoadReport &a, const LoadReport &b) {
        return a.heardAt > b.heardAt;
    });
    reports.resize(std::min(reports.size(), mostReports));
    json out = json::array();
    for (const auto &r : reports) {
        out.push_back({r.endpoint, r.load, ageOf(r.heardAt, now)});
    }
    return out;
}

} // namespace

std::vector<uint8_t> encode(Digest digest, Clock::time_point now)
{
    json out = writtenReports(std::move(digest.loads), now);
    const auto &prompts = digest.prompts;
    std::map<std::string, std::vector<uint64_t>> byEndpoint;
    for (std::size_t i = 0; i < std::min(prompts.size(), mostPrompts); ++i) {
        byEndpoint[prompts[i].endpoint].push_back(prompts[i].prompt);
    }
    for (const auto &[endpoint, keys] : byEndpoint) {
        json item = json::array();
        item.push_back(endpoint);
        item.push_back(keys);
        out.push_back(std::move(item));
    }
    for (const auto &c : digest.confirmations) {
        out.push_back({c.kind, c.revision, c.digest, ageOf(c.at, now), c.epoch});
    }
    for (const auto &e : digest.endings) {
        out.push_back({e.content, e.endpoints, ageOf(e.lastAt, now, oldestEndingMs)});
    }
    for (const auto &s : digest.suspicions) {
        out.push_back({s.content, s.endpoint, ageOf(s.at, now)});
    }
    for (const auto &a : digest.answers) {
        out.push_back({a.content, ageOf(a.at, now, oldestEndingMs)});
    }
    return json::to_cbor(out);
}

Result<Digest> decode(std::span<const uint8_t> datagram, Clock::time_point now)
{
    json items;
    try {
        items = json::from_cbor(datagram.begin(), datagram.end(), true, false);
    } catch (const json::exception &e) {
        return Error{400, e.what()}; // a stated size beyond all bounds throws even where errors are not to
    }
    if (!items.is_array()) {
        return Error{400, "no list"};
    }
    Digest out;
    for (const auto &item : items) {
        LoadReport report;
        replica::Confirmation confirmation;
        quarantine::Record endings;
        quarantine::Suspicion suspicion;
        quarantine::Answer answer;
        if (out.endings.size() < mostEndings && readEndings(item, now, endings)) {
            out.endings.push_back(std::move(endings));
        } else if (out.suspicions.size() < mostEndings && readSuspicion(item, now, suspicion)) {
            out.suspicions.push_back(suspicion);
        } else if (out.answers.size() < mostEndings && readAnswer(item, now, answer)) {
            out.answers.push_back(answer);
        } else if (out.confirmations.size() < mostConfirmations && readConfirmation(item, now, confirmation)) {
            out.confirmations.push_back(std::move(confirmation));
        } else if (out.loads.size() < mostReports && readReport(item, now, report)) {
            out.loads.push_back(std::move(report));
        } else if (!readPrompts(item, out.prompts)) {
            return Error{400, "item " + std::to_string(out.loads.size() + out.prompts.size()) + " is malformed or one too many"};
        }
    }
    return out;
}

} // namespace yucca::peers
