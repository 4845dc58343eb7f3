// The scenario of a simulation: routers, pools of endpoints, kinds of requests, surges and crashes. Scenario files
// are JSON with comments; their keys are the names of the fields.
#pragma once

#include "entry/configuration.h"
#include "findings.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace yucca::model
{

/// A pool of model engines with continuous batching, or of plain endpoints.
struct PoolModel {
    std::string name;
    bool engines = true; ///< false: plain endpoints
    int64_t members = 1;
    int64_t slots = 64; ///< requests that run at the same time on one member
    int64_t queue = 192; ///< requests that wait at one member; more are rejected
    double stepMs = 2.6; ///< base duration of a step of the batch, which generates one token per request
    double stepMsPerRunning = 0.12; ///< additional duration of a step per running request
    double contextMsPerK = 0.00384; ///< additional duration of a step per thousand tokens of context in the batch
    double prefillTokensPerMs = 48.2;
    double firstMs = 14.0; ///< additional duration of a request's first step, divided by the size of the batch
    int64_t chunkTokens = 2048; ///< prompt tokens prefilled per step
    int64_t cacheTokens = 400000; ///< memory shared by running requests and cached parts, in tokens
    int64_t tokensPerEvent = 7; ///< response tokens per event of a stream
    double reportLagMs = 200; ///< age of the reported loads
    double slowest = 1.0; ///< every third member takes this many times as long
};

/// One kind of request.
struct KindModel {
    std::string name;
    std::string pool;
    entry::RequestKind kind = entry::RequestKind::Stream;
    double perS = 10; ///< requests per second over the whole deployment
    int64_t priority = 5; ///< the lowest number is served first
    bool resumable = false;
    int64_t maxAttempts = 1;
    int64_t timeoutMs = 10000;
    int64_t targetMs = 1000; ///< until the first event, or the response
    double worth = 1; ///< of a response within targetMs
    double lateWorth = 0.1; ///< of a later response
    int64_t sessions = 100; ///< number of sessions, each with a prompt prefix of its own
    double sessionSkew = 0.3; ///< exponent of the Zipf distribution of requests over sessions
    int64_t sharedParts = 10; ///< number of prompt parts shared by sessions, one at the start of each prompt
    double sharedTokens = 500; ///< mean length of a shared part
    double sessionTokens = 1000; ///< mean length of the part of a session
    double sessionSpread = 0.7; ///< standard deviation of the logarithm, like all spreads
    double ownTokens = 300; ///< mean length of the part of a single request
    double ownSpread = 1.0;
    double events = 40; ///< mean number per response
    double eventsSpread = 0.6;
    double workMs = 60; ///< mean duration of a plain call
    double workSpread = 0.5;
    double failing = 0; ///< share of calls that endpoints fail
};

/// A temporary increase of the requests of a kind, or of the share of one session.
struct Surge {
    double atS = 0;
    double forS = 5;
    std::string kind; ///< empty: all
    double factor = 1; ///< multiple of the usual rate
    double hotShare = 0; ///< share of the requests of the kind that belong to one session
};

/// A simultaneous crash of members of a pool, which restart with an empty cache after forS seconds.
struct Crash {
    double atS = 0;
    double forS = 4;
    std::string pool;
    double share = 0.1; ///< of the members
};

/// An evacuation of one failure domain: its members receive no new requests.
struct Evacuation {
    double atS = 0;
    double forS = 10;
    int64_t domain = 0;
};

/// A deployment and the load and faults that it is simulated under.
struct Scenario {
    std::string name;
    int64_t seed = 1;
    double seconds = 34; ///< duration in virtual time
    double rate = 1; ///< factor on the rates of all kinds
    int64_t routers = 7;
    int64_t failureDomains = 3;
    double crossDomainMs = 0.5; ///< one-way network delay between failure domains
    double callerMs = 3; ///< one-way network delay between callers and routers
    double retryRatio = 0.2; ///< retries allowed per request at a router
    int64_t retrySlack = 50; ///< retries allowed in addition, over all routers
    int64_t shareEveryMs = 0; ///< interval of the rounds in which routers share loads; 0: no sharing
    int64_t sharePeers = 12; ///< routers that a router sends to in a round
    double loadFactor = 2; ///< load bound of a member: this multiple of the pool's mean, plus three requests
    std::vector<PoolModel> pools;
    std::vector<KindModel> kinds;
    std::vector<Surge> surges;
    std::vector<Crash> crashes;
    std::vector<Evacuation> evacuations;

    /// Returns a pool by name, or nullptr. Valid until pools changes.
    const PoolModel *pool(const std::string &poolName) const;
};

/// Parses a scenario. Problems, including unknown keys and names, are recorded as findings with their place in the
/// document. Absent keys keep their defaults.
Scenario parseScenario(const nlohmann::json &document, Findings &findings);

} // namespace yucca::model
