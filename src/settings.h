// Settings: JSON-with-comments files parsed into aggregates, every problem collected.
#pragma once

#include "findings.h"
#include "yucca/types.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace yucca::settings
{

/// Reads typed, range-checked fields from one JSON object and records
/// a Finding for each wrong type, out-of-range value or unknown key.
class Reader
{
public:
    Reader(const nlohmann::json &object, std::string path, Findings &findings);

    void read(const char *key, std::string &out);
    void read(const char *key, bool &out);
    void read(const char *key, int64_t &out, int64_t min, int64_t max);
    void read(const char *key, double &out, double min, double max);
    void read(const char *key, uint16_t &out);
    /// A nested object; absent keys give an empty object.
    Reader child(const char *key);
    /// Records every key that no read() asked for.
    void finish();

private:
    const nlohmann::json *field(const char *key);

    const nlohmann::json &m_object;
    std::string m_path;
    Findings &m_findings;
    std::set<std::string> m_known;
};

/// Where a program listens and which failure domain it is in.
struct Listen {
    std::string host = "127.0.0.1";
    uint16_t port = 0;
    std::string zone = "zone-a";
};

/// Where the platform's object API is.
struct PlatformAddress {
    std::string host = "127.0.0.1";
    uint16_t port = 7400;
};

/// yucca-router settings.
struct RouterSettings {
    std::string id = "router-1";
    Listen listen{"127.0.0.1", 7000, "zone-a"};
    PlatformAddress platform;
    Policy policy = Policy::Bounded;
    double loadFactor = 1.25; ///< c: no engine above c times the mean in-flight load
    int64_t virtualNodes = 64; ///< points per engine on the hash ring
    int64_t prefixTokens = 64; ///< tokens of the prompt that make the affinity key
    int64_t watchTimeoutMs = 2000; ///< long-poll length of a watch
    int64_t vmPollMs = 1000; ///< VM list poll period (conditional GET: 304 while unchanged)
    int64_t loadPollMs = 10000; ///< period of the probe of each endpoint's load report
    int64_t requestTimeoutMs = 30000;
    int64_t retryAfterS = 1; ///< told to callers whose request was not run
    int64_t stopGraceMs = 10000; ///< longest wait for in-flight requests at a planned stop
    int64_t threads = 4; ///< traffic threads
    std::string logLevel = "info";
};

/// yucca-engine settings.
struct EngineSettings {
    std::string id = "engine-1";
    Listen listen{"127.0.0.1", 7100, "zone-a"};
    EndpointKind kind = EndpointKind::Engine;
    int64_t slots = 8; ///< requests decoded at once (continuous batching)
    int64_t cacheBlocks = 512; ///< prefix cache size in blocks
    int64_t blockTokens = 16; ///< tokens per cache block
    int64_t tokensPerS = 400; ///< decode rate per stream
    int64_t loadLagMs = 300; ///< age of the load it reports
    int64_t cacheEventLossPct = 10; ///< share of cache events dropped
    bool checkFencing = true; ///< refuse orders carrying an old fencing number
    std::string logLevel = "info";
};

/// yucca-platform settings.
struct PlatformSettings {
    Listen listen{"127.0.0.1", 7400, "zone-a"};
    int64_t writesPerS = 400;
    int64_t readsPerS = 2000;
    int64_t vmListLagMs = 1000;
    int64_t watchHistory = 10000; ///< events kept for watches from an old version
    std::string logLevel = "info";
};

/// Parses JSON text with comments; a syntax error becomes one Finding.
nlohmann::json parseText(const std::string &text, Findings &findings);
/// Reads a file of JSON with comments; a missing file is a Finding.
nlohmann::json loadFile(const std::string &path, Findings &findings);

RouterSettings parseRouter(const nlohmann::json &doc, Findings &findings);
EngineSettings parseEngine(const nlohmann::json &doc, Findings &findings);
PlatformSettings parsePlatform(const nlohmann::json &doc, Findings &findings);

} // namespace yucca::settings
