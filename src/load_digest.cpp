#include "load_digest.h"

#include <algorithm>
#include <map>

namespace yucca::peers
{

using json = nlohmann::json;

namespace
{

constexpr int64_t oldestMs = 60000; ///< an older report says nothing
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

// What is confirmed of a kind: [kind, revision, digest, age in ms].
bool readConfirmation(const json &item, Clock::time_point now, replica::Confirmation &out)
{
    const bool shaped = item.is_array() && item.size() == 4 && item[0].is_string() && item[1].is_number_unsigned() && item[2].is_number_unsigned()
        && item[3].is_number_unsigned();
    if (!shaped || item[0].get_ref<const std::string &>().size() > longestId || item[3].get<uint64_t>() > oldestMs) {
        return false;
    }
    out = {item[0].get<std::string>(), item[1].get<uint64_t>(), item[2].get<uint64_t>(), now - Millis(item[3].get<int64_t>())};
    return true;
}

uint64_t ageOf(Clock::time_point at, Clock::time_point now)
{
    const auto age = std::chrono::duration_cast<Millis>(now - at).count();
    return static_cast<uint64_t>(std::clamp<int64_t>(age, 0, oldestMs));
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
        out.push_back({c.kind, c.revision, c.digest, ageOf(c.at, now)});
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
        if (out.confirmations.size() < mostConfirmations && readConfirmation(item, now, confirmation)) {
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
