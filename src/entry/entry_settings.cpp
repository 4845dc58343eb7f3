#include "entry/entry_settings.h"

#include "settings.h"
#include "text.h"

#include <algorithm>

namespace yucca::entry
{

namespace
{

constexpr double maxGraceS = 600;
constexpr int64_t maxTunnelLimit = 100000;
constexpr double maxBoundMs = 600000;
constexpr double maxColdOvershoot = 100;
constexpr double maxColdSlack = 1000000; ///< requests a second
constexpr double maxRetryWindowS = 3600;

// Reads an address in the form HOST:PORT.
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

// Reads a time that may be a fraction of its unit, and stores it in whole milliseconds.
void readMillis(settings::Reader &reader, const char *key, int64_t &out, double unitMs, double maxUnits)
{
    double units = static_cast<double>(out) / unitMs;
    reader.read(key, units, 0.0, maxUnits);
    out = static_cast<int64_t>(units * unitMs);
}

} // namespace

Settings parseSettings(const nlohmann::json &document, Findings &findings)
{
    Settings s;
    std::string interface;
    settings::Reader reader(document, "", findings);
    reader.read("interface", interface); // read here so that it isn't reported as unknown; the main program uses it
    reader.read("id", s.id);
    reader.read("failureDomain", s.failureDomain);
    readAddress(reader, "traffic", s.traffic, findings);
    readAddress(reader, "readiness", s.readiness, findings);
    readAddress(reader, "metrics", s.metrics, findings);
    readAddress(reader, "store", s.store, findings);
    readAddress(reader, "peers", s.peers, findings);
    reader.read("maxTunnels", s.maxTunnels, int64_t{0}, maxTunnelLimit);
    reader.read("logLevel", s.logLevel);
    reader.read("retryRatio", s.retryRatio, 0.0, 1.0);
    reader.read("retrySlack", s.retrySlack, 0.0, 1000000.0);
    reader.read("retryWindowS", s.retryWindowS, 0.1, maxRetryWindowS);
    reader.read("loadFactor", s.loadFactor, 1.0, 100.0);
    readMillis(reader, "configurationBoundMs", s.configurationBoundMs, 1, maxBoundMs);
    readMillis(reader, "drainBoundMs", s.drainBoundMs, 1, maxBoundMs);
    readMillis(reader, "evacuationBoundMs", s.evacuationBoundMs, 1, maxBoundMs);
    reader.read("coldOvershoot", s.coldOvershoot, 1.0, maxColdOvershoot);
    reader.read("coldSlack", s.coldSlack, 0.0, maxColdSlack);
    reader.read("regions", s.regions);
    readMillis(reader, "stopGraceS", s.stopGraceMs, 1000, maxGraceS);
    reader.finish();
    return s;
}

limits::RetryLimits retryLimits(const Settings &settings)
{
    limits::RetryLimits limits;
    limits.ratio = settings.retryRatio;
    limits.slack = settings.retrySlack;
    limits.window = Millis(static_cast<int64_t>(settings.retryWindowS * 1000));
    return limits;
}

} // namespace yucca::entry
