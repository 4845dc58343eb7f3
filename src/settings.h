// Settings of the programs: files of JSON with comments, parsed into structs. All
// problems of a file are collected and reported together.
#pragma once

#include "findings.h"
#include "yucca/types.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace yucca::settings
{

/// Reads typed, range-checked fields of one JSON object. Adds a finding for each
/// wrong type, out-of-range value and unknown key. An absent field leaves the
/// output unchanged.
class Reader
{
public:
    Reader(const nlohmann::json &object, std::string path, Findings &findings);

    void read(const char *key, std::string &out);
    void read(const char *key, bool &out);
    void read(const char *key, int64_t &out, int64_t min, int64_t max);
    void read(const char *key, double &out, double min, double max);
    void read(const char *key, uint16_t &out);
    /// Reads an object whose values are strings.
    void read(const char *key, std::map<std::string, std::string> &out);
    /// Returns a reader of a nested object; an absent key gives an empty object.
    Reader child(const char *key);
    /// Calls a function with a reader of each object of a list, then checks the object for unknown keys.
    template <typename F> void each(const char *key, F readEntry)
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
            readEntry(entry);
            entry.finish();
        }
    }
    /// Adds a finding for each key that was not read.
    void finish();

private:
    const nlohmann::json *field(const char *key);

    const nlohmann::json &m_object;
    std::string m_path;
    Findings &m_findings;
    std::set<std::string> m_readKeys;
};

/// Listen address of a program and its failure domain.
struct Listen {
    std::string host = "127.0.0.1";
    uint16_t port = 0;
    std::string zone = "zone-a";
};

/// Address of the platform's object API.
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
    double loadFactor = 1.5; ///< c: an engine's load is at most c times the mean of its pool plus 3 requests
    double fillFactor = 0.1; ///< share of the mean engine load that one shared prompt may fill
    int64_t virtualNodes = 64; ///< points per engine on the hash ring of policy "bounded"
    int64_t watchTimeoutMs = 25000; ///< long-poll timeout of the catalogue and VM list watches
    int64_t suspectMs = 500; ///< how long an engine is skipped after a failed connection; doubles with each further failure, up to 16 times this value
    int64_t requestTimeoutMs = 60000; ///< maximum duration of a request; x-deadline-ms may shorten it
    int64_t streamPauseMs = 10000; ///< a stream without data for this long is resumed at another engine
    int64_t maxAttempts = 3; ///< maximum number of endpoints tried for one request
    double retryRatio = 0.2; ///< long-term limit of retries per request
    int64_t retryReserve = 20; ///< retries allowed in a burst
    int64_t retryAfterS = 1; ///< minimum Retry-After for callers whose request was rejected
    int64_t stopGraceMs = 10000; ///< maximum wait for requests in flight at a graceful stop
    int64_t threads = 1; ///< number of traffic threads, in addition to the control thread
    int64_t leaseMs = 10000; ///< duration of the lease that elects the router for fleet-wide tasks
    int64_t recordRetentionS = 86400; ///< age at which idempotency records are removed; 0: never
    std::string logLevel = "info";
};

/// yucca-engine settings.
struct EngineSettings {
    std::string id = "engine-1";
    Listen listen{"127.0.0.1", 7100, "zone-a"};
    EndpointKind kind = EndpointKind::Engine;
    int64_t slots = 8; ///< requests decoded concurrently (continuous batching)
    int64_t queue = 64; ///< maximum number of requests waiting for a slot; further ones are refused as not executed
    int64_t cacheBlocks = 512; ///< prefix cache size in blocks
    int64_t blockTokens = 16; ///< tokens per cache block
    int64_t tokensPerS = 400; ///< decode rate of a single stream
    int64_t prefillTokensPerS = 20000; ///< prefill rate of prompt tokens that are not cached
    int64_t loadLagMs = 300; ///< delay of the reported load
    int64_t cacheEventLagMs = 500; ///< delay of the published cache events
    int64_t cacheEventLossPct = 10; ///< share of cache events that are lost
    bool checkFencing = true; ///< refuse orders with an outdated fencing token
    int64_t stopGraceMs = 30000; ///< maximum wait for requests in flight at a graceful stop
    std::string logLevel = "info";
};

/// yucca-platform settings.
struct PlatformSettings {
    Listen listen{"127.0.0.1", 7400, "zone-a"};
    int64_t writesPerS = 400; ///< rate limit of writes
    int64_t readsPerS = 2000; ///< rate limit of reads
    int64_t vmListLagMs = 1000; ///< delay of the VM list
    int64_t watchHistory = 10000; ///< number of events kept for watches that start at an older revision
    int64_t pageEntries = 500; ///< of a list
    int64_t replicaLagMs = 0; ///< age of the state in answers to calls that allow stale ones
    std::string logLevel = "info";
};

/// Parses JSON with comments. On a syntax error, and beyond the bounds of decode.h, adds one finding and returns an empty object.
nlohmann::json parseText(const std::string &text, Findings &findings);
/// Reads a file of JSON with comments. On an unreadable file or a syntax error, adds one finding and returns an empty object.
nlohmann::json loadFile(const std::string &path, Findings &findings);

/// Parses the settings of yucca-router. Absent keys keep their defaults; every problem is added to the findings.
RouterSettings parseRouter(const nlohmann::json &doc, Findings &findings);
/// Parses the settings of yucca-engine in the same way.
EngineSettings parseEngine(const nlohmann::json &doc, Findings &findings);
/// Parses the settings of yucca-platform in the same way.
PlatformSettings parsePlatform(const nlohmann::json &doc, Findings &findings);

} // namespace yucca::settings
