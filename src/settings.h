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
    /// An object of strings.
    void read(const char *key, std::map<std::string, std::string> &out);
    /// A nested object; absent keys give an empty object.
    Reader child(const char *key);
    /// Hands each object of a list to a function, then records its unknown keys.
    template <typename F> void each(const char *key, F take)
    {
        const auto *list = field(key);
        if (!list) {
            return;
        }
        if (!list->is_array()) {
            m_findings.add(m_path + "/" + key, "must be a list");
            return;
        }
        for (std::size_t i = 0; i < list->size(); ++i) {
            Reader entry((*list)[i], m_path + "/" + key + "/" + std::to_string(i), m_findings);
            take(entry);
            entry.finish();
        }
    }
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
    Policy policy = Policy::Affinity;
    double loadFactor = 1.5; ///< c: no engine above c times the mean of its pool, plus three
    double fillFactor = 0.1; ///< share of a mean engine's load that one shared prompt may fill
    int64_t virtualNodes = 64; ///< points per engine on the hash ring of policy "bounded"
    int64_t watchTimeoutMs = 25000; ///< long-poll length of the catalogue and VM list watch
    int64_t suspectMs = 500; ///< an engine is passed by after a failed connection; doubled by each next, up to 16 times
    int64_t requestTimeoutMs = 60000; ///< longest time of a request; a caller's x-deadline-ms may shorten it
    int64_t streamPauseMs = 10000; ///< a stream silent for this long is resumed at another engine
    int64_t maxAttempts = 3; ///< endpoints tried for one request
    double retryRatio = 0.2; ///< retries allowed per request, over time
    int64_t retryReserve = 20; ///< retries allowed at once
    int64_t retryAfterS = 1; ///< told to callers whose request was not run
    int64_t stopGraceMs = 10000; ///< longest wait for in-flight requests at a planned stop
    int64_t threads = 1; ///< traffic threads; the control thread is one more
    int64_t leaseMs = 10000; ///< term of the duty lease
    int64_t recordRetentionS = 86400; ///< idempotency records are removed after this; 0: never
    std::string logLevel = "info";
};

/// yucca-engine settings.
struct EngineSettings {
    std::string id = "engine-1";
    Listen listen{"127.0.0.1", 7100, "zone-a"};
    EndpointKind kind = EndpointKind::Engine;
    int64_t slots = 8; ///< requests decoded at once (continuous batching)
    int64_t queue = 64; ///< requests waiting for a slot; more are refused as not executed
    int64_t cacheBlocks = 512; ///< prefix cache size in blocks
    int64_t blockTokens = 16; ///< tokens per cache block
    int64_t tokensPerS = 400; ///< decode rate of a stream that runs alone
    int64_t prefillTokensPerS = 20000; ///< rate at which prompt tokens that are not cached are read
    int64_t loadLagMs = 300; ///< age of the load it reports
    int64_t cacheEventLagMs = 500; ///< age of the cache events it publishes
    int64_t cacheEventLossPct = 10; ///< share of cache events that are never published
    bool checkFencing = true; ///< refuse orders carrying an old fencing number
    int64_t stopGraceMs = 30000; ///< longest wait for in-flight requests at a planned stop
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
