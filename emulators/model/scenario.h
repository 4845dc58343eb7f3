// What the model of a deployment plays: routers, pools of endpoints, kinds of
// requests and what goes wrong, as a file of JSON with comments holds it.
#pragma once

#include "entry/configuration.h"
#include "findings.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace yucca::model
{

/// A pool of model engines that batch continuously, or of plain endpoints.
struct PoolModel {
    std::string name;
    bool engines = true; ///< else plain endpoints
    int64_t members = 1;
    int64_t slots = 64; ///< requests that run at once on one member
    int64_t queue = 192; ///< requests that wait on one member; more are turned away
    double stepMs = 2.6; ///< of one step of the batch, which makes a token for each request
    double stepMsPerRunning = 0.12;
    double contextMsPerK = 0.00384; ///< of a step, for a thousand tokens that are held
    double prefillTokensPerMs = 48.2;
    double firstMs = 14.0; ///< of a request's first step, on top
    int64_t chunkTokens = 2048; ///< of prompts, read in one step
    int64_t cacheTokens = 400000; ///< memory that running requests and cached parts share
    int64_t tokensPerEvent = 7;
    double reportLagMs = 200; ///< the age of the loads that are reported
    double slowest = 1.0; ///< a third of the members take this many times as long
};

/// One kind of request.
struct KindModel {
    std::string name;
    std::string pool;
    entry::RequestKind kind = entry::RequestKind::Stream;
    double perS = 10; ///< of the whole deployment
    int64_t priority = 5;
    bool resumable = false;
    int64_t maxAttempts = 1;
    int64_t timeoutMs = 10000;
    int64_t targetMs = 1000; ///< until the first event, or the answer
    double worth = 1; ///< of an answer in time
    double lateWorth = 0.1;
    int64_t sessions = 100; ///< that its requests belong to
    double sessionSkew = 0.3; ///< exponent of the sessions' popularity by rank
    int64_t sharedParts = 10; ///< prompts that sessions begin with
    double sharedTokens = 500;
    double sessionTokens = 1000;
    double sessionSpread = 0.7; ///< of the logarithm
    double ownTokens = 300; ///< of one request alone
    double ownSpread = 1.0;
    double events = 40; ///< of an answer
    double eventsSpread = 0.6;
    double workMs = 60; ///< of a plain call
    double workSpread = 0.5;
    double failing = 0; ///< share of plain calls that endpoints fail
};

/// More of a kind's requests, or of one of its sessions, for a while.
struct Surge {
    double atS = 0;
    double forS = 5;
    std::string kind; ///< empty: all
    double factor = 1; ///< times the usual rate
    double hotShare = 0; ///< of the kind's requests that belong to one session
};

/// Members of a pool that end at once, and come back empty.
struct Crash {
    double atS = 0;
    double forS = 4;
    std::string pool;
    double share = 0.1;
};

/// A deployment and its day.
struct Scenario {
    std::string name;
    int64_t seed = 1;
    double seconds = 34;
    double rate = 1; ///< times the kinds' own rates
    int64_t routers = 7;
    int64_t failureDomains = 3;
    double crossDomainMs = 0.5; ///< one way
    double callerMs = 3; ///< one way
    double retryRatio = 0.2;
    int64_t retrySlack = 50;
    int64_t shareEveryMs = 0; ///< rounds in which routers of a failure domain tell each other loads; 0: none
    int64_t sharePeers = 12; ///< told in a round
    double loadFactor = 2; ///< no member above this multiple of its pool's mean, plus three
    std::vector<PoolModel> pools;
    std::vector<KindModel> kinds;
    std::vector<Surge> surges;
    std::vector<Crash> crashes;

    const PoolModel *pool(const std::string &poolName) const;
};

/// Reads a scenario; problems are recorded with their place. Unknown keys are
/// problems, absent ones keep their defaults.
Scenario parseScenario(const nlohmann::json &document, Findings &findings);

} // namespace yucca::model
