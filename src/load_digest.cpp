#include "load_digest.h"

#include <algorithm>

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

} // namespace

std::vector<uint8_t> encode(std::vector<LoadReport> reports, Clock::time_point now)
{
    std::sort(reports.begin(), reports.end(), [](const LoadReport &a, const LoadReport &b) {
        return a.heardAt > b.heardAt;
    });
    reports.resize(std::min(reports.size(), mostReports));
    json out = json::array();
    for (const auto &r : reports) {
        const auto age = std::chrono::duration_cast<Millis>(now - r.heardAt).count();
        out.push_back({r.endpoint, r.load, std::clamp<int64_t>(age, 0, oldestMs)});
    }
    return json::to_cbor(out);
}

Result<std::vector<LoadReport>> decode(std::span<const uint8_t> datagram, Clock::time_point now)
{
    json items;
    try {
        items = json::from_cbor(datagram.begin(), datagram.end(), true, false);
    } catch (const json::exception &e) {
        return Error{400, e.what()}; // a stated size beyond all bounds throws even where errors are not to
    }
    if (!items.is_array() || items.size() > mostReports) {
        return Error{400, "no list of at most " + std::to_string(mostReports) + " reports"};
    }
    std::vector<LoadReport> out;
    for (const auto &item : items) {
        LoadReport report;
        if (!readReport(item, now, report)) {
            return Error{400, "report " + std::to_string(out.size()) + " is malformed"};
        }
        out.push_back(std::move(report));
    }
    return out;
}

} // namespace yucca::peers
