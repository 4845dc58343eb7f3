#include "entry/entry_settings.h"

#include "settings.h"
#include "text.h"

#include <algorithm>

namespace yucca::entry
{

namespace
{

constexpr double longestGraceS = 600;
constexpr double routersPerRetrySlack = 100; ///< until the routers are listed: the users' deployments have up to 84
constexpr double longestBoundMs = 600000;
constexpr double mostColdOvershoot = 100;
constexpr double mostColdSlack = 1000000; ///< requests a second
constexpr double longestRetryWindowS = 3600;
constexpr double leastRetryReserve = 2; ///< retries: below one a router could never retry at all

// An address written as HOST:PORT.
void readAddress(settings::Reader &reader, const char *key, http::Address &out, Findings &findings)
{
    std::string written = out.host + ":" + std::to_string(out.port);
    reader.read(key, written);
    const auto parsed = http::parseAddress(written);
    if (parsed) {
        out = *parsed;
    } else {
        findings.add(std::string("/") + key, "must be HOST:PORT, is '" + written + "'");
    }
}

// A time that may be a fraction of its unit, kept in whole milliseconds.
void readMillis(settings::Reader &reader, const char *key, int64_t &out, double unitMs, double longest)
{
    double units = static_cast<double>(out) / unitMs;
    reader.read(key, units, 0.0, longest);
    out = static_cast<int64_t>(units * unitMs);
}

} // namespace

Settings parseSettings(const nlohmann::json &document, Findings &findings)
{
    Settings s;
    std::string interface;
    settings::Reader reader(document, "", findings);
    reader.read("interface", interface); // chosen by the program before
    reader.read("id", s.id);
    reader.read("failureDomain", s.failureDomain);
    readAddress(reader, "traffic", s.traffic, findings);
    readAddress(reader, "readiness", s.readiness, findings);
    readAddress(reader, "metrics", s.metrics, findings);
    readAddress(reader, "store", s.store, findings);
    readAddress(reader, "peers", s.peers, findings);
    reader.read("logLevel", s.logLevel);
    reader.read("retryRatio", s.retryRatio, 0.0, 1.0);
    reader.read("retrySlack", s.retrySlack, 0.0, 1000000.0);
    reader.read("retryWindowS", s.retryWindowS, 0.1, longestRetryWindowS);
    reader.read("loadFactor", s.loadFactor, 1.0, 100.0);
    readMillis(reader, "configurationBoundMs", s.configurationBoundMs, 1, longestBoundMs);
    readMillis(reader, "drainBoundMs", s.drainBoundMs, 1, longestBoundMs);
    readMillis(reader, "evacuationBoundMs", s.evacuationBoundMs, 1, longestBoundMs);
    reader.read("coldOvershoot", s.coldOvershoot, 1.0, mostColdOvershoot);
    reader.read("coldSlack", s.coldSlack, 0.0, mostColdSlack);
    reader.read("regions", s.regions);
    readMillis(reader, "stopGraceS", s.stopGraceMs, 1000, longestGraceS);
    reader.finish();
    return s;
}

limits::RetryLimits retryLimits(const Settings &settings, std::size_t routers)
{
    limits::RetryLimits limits;
    limits.ratio = settings.retryRatio;
    const double sharers = routers > 0 ? static_cast<double>(routers) : routersPerRetrySlack;
    limits.reserve = std::max(leastRetryReserve, settings.retrySlack / sharers);
    limits.window = Millis(static_cast<int64_t>(settings.retryWindowS * 1000));
    return limits;
}

} // namespace yucca::entry
