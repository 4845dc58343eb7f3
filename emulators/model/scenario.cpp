#include "model/scenario.h"

#include "settings.h"

#include <algorithm>
#include <limits>

namespace yucca::model
{

using json = nlohmann::json;

namespace
{

constexpr int64_t maxMembers = 10000;
constexpr int64_t maxTokenCount = 100000000;
constexpr double maxDurationMs = 600000;
constexpr double maxRequestsPerS = 100000;
constexpr double maxSeconds = 3600;

PoolModel readPool(settings::Reader &r)
{
    PoolModel p;
    r.read("name", p.name);
    r.read("engines", p.engines);
    r.read("members", p.members, 1, maxMembers);
    r.read("slots", p.slots, 1, maxMembers);
    r.read("queue", p.queue, 0, maxMembers);
    r.read("stepMs", p.stepMs, 0.01, maxDurationMs);
    r.read("stepMsPerRunning", p.stepMsPerRunning, 0, maxDurationMs);
    r.read("contextMsPerK", p.contextMsPerK, 0, maxDurationMs);
    r.read("prefillTokensPerMs", p.prefillTokensPerMs, 0.01, maxDurationMs);
    r.read("firstMs", p.firstMs, 0, maxDurationMs);
    r.read("chunkTokens", p.chunkTokens, 1, maxTokenCount);
    r.read("cacheTokens", p.cacheTokens, 1, maxTokenCount);
    r.read("tokensPerEvent", p.tokensPerEvent, 1, maxTokenCount);
    r.read("reportLagMs", p.reportLagMs, 0, maxDurationMs);
    r.read("slowest", p.slowest, 1, 100);
    return p;
}

KindModel readKind(settings::Reader &r, Findings &findings)
{
    KindModel k;
    std::string kind(nameOf(entry::requestKindNames, k.kind));
    r.read("name", k.name);
    r.read("pool", k.pool);
    r.read("kind", kind);
    const auto parsed = parseName(entry::requestKindNames, kind);
    if (!parsed) {
        findings.add("/kinds", "unknown kind '" + kind + "' of '" + k.name + "'");
    }
    k.kind = parsed.value_or(k.kind);
    r.read("perS", k.perS, 0, maxRequestsPerS);
    r.read("priority", k.priority, 0, 9);
    r.read("resumable", k.resumable);
    r.read("maxAttempts", k.maxAttempts, 1, 10);
    r.read("timeoutMs", k.timeoutMs, 1, 600000);
    r.read("targetMs", k.targetMs, 1, 600000);
    r.read("worth", k.worth, 0, 1000);
    r.read("lateWorth", k.lateWorth, 0, 1000);
    r.read("sessions", k.sessions, 1, 10000000);
    r.read("sessionSkew", k.sessionSkew, 0, 3);
    r.read("sharedParts", k.sharedParts, 1, 10000000);
    r.read("sharedTokens", k.sharedTokens, 1, maxTokenCount);
    r.read("sessionTokens", k.sessionTokens, 1, maxTokenCount);
    r.read("sessionSpread", k.sessionSpread, 0, 5);
    r.read("ownTokens", k.ownTokens, 1, maxTokenCount);
    r.read("ownSpread", k.ownSpread, 0, 5);
    r.read("events", k.events, 1, 100000);
    r.read("eventsSpread", k.eventsSpread, 0, 5);
    r.read("workMs", k.workMs, 0.1, maxDurationMs);
    r.read("workSpread", k.workSpread, 0, 5);
    r.read("failing", k.failing, 0, 1);
    return k;
}

Surge readSurge(settings::Reader &r)
{
    Surge s;
    r.read("atS", s.atS, 0, maxSeconds);
    r.read("forS", s.forS, 0, maxSeconds);
    r.read("kind", s.kind);
    r.read("factor", s.factor, 0, 1000);
    r.read("hotShare", s.hotShare, 0, 1);
    return s;
}

Crash readCrash(settings::Reader &r)
{
    Crash c;
    r.read("atS", c.atS, 0, maxSeconds);
    r.read("forS", c.forS, 0, maxSeconds);
    r.read("pool", c.pool);
    r.read("share", c.share, 0, 1);
    return c;
}

Evacuation readEvacuation(settings::Reader &r)
{
    Evacuation e;
    r.read("atS", e.atS, 0, maxSeconds);
    r.read("forS", e.forS, 0, maxSeconds);
    r.read("domain", e.domain, 0, maxMembers);
    return e;
}

// Records references to pools and kinds that do not exist.
void checkReferences(const Scenario &s, Findings &findings)
{
    for (const auto &kind : s.kinds) {
        if (!s.pool(kind.pool)) {
            findings.add("/kinds", "no pool '" + kind.pool + "' for '" + kind.name + "'");
        }
    }
    for (const auto &crash : s.crashes) {
        if (!s.pool(crash.pool)) {
            findings.add("/crashes", "no pool '" + crash.pool + "'");
        }
    }
    for (const auto &surge : s.surges) {
        const bool known = surge.kind.empty() || std::any_of(s.kinds.begin(), s.kinds.end(), [&](const KindModel &k) {
                               return k.name == surge.kind;
                           });
        if (!known) {
            findings.add("/surges", "no kind '" + surge.kind + "'");
        }
    }
}

} // namespace

const PoolModel *Scenario::pool(const std::string &poolName) const
{
    const auto it = std::find_if(pools.begin(), pools.end(), [&](const PoolModel &p) {
        return p.name == poolName;
    });
    return it == pools.end() ? nullptr : &*it;
}

Scenario parseScenario(const json &document, Findings &findings)
{
    Scenario s;
    settings::Reader r(document, "", findings);
    r.read("name", s.name);
    r.read("seed", s.seed, 0, std::numeric_limits<int64_t>::max());
    r.read("seconds", s.seconds, 1, maxSeconds);
    r.read("rate", s.rate, 0, 1000);
    r.read("routers", s.routers, 1, maxMembers);
    r.read("failureDomains", s.failureDomains, 1, 100);
    r.read("crossDomainMs", s.crossDomainMs, 0, maxDurationMs);
    r.read("callerMs", s.callerMs, 0, maxDurationMs);
    r.read("retryRatio", s.retryRatio, 0, 1);
    r.read("retrySlack", s.retrySlack, 0, 1000000);
    r.read("shareEveryMs", s.shareEveryMs, 0, 600000);
    r.read("sharePeers", s.sharePeers, 1, maxMembers);
    r.read("loadFactor", s.loadFactor, 1, 100);
    r.each("pools", [&](settings::Reader &entry) {
        s.pools.push_back(readPool(entry));
    });
    r.each("kinds", [&](settings::Reader &entry) {
        s.kinds.push_back(readKind(entry, findings));
    });
    r.each("surges", [&](settings::Reader &entry) {
        s.surges.push_back(readSurge(entry));
    });
    r.each("crashes", [&](settings::Reader &entry) {
        s.crashes.push_back(readCrash(entry));
    });
    r.each("evacuations", [&](settings::Reader &entry) {
        s.evacuations.push_back(readEvacuation(entry));
    });
    r.finish();
    checkReferences(s, findings);
    return s;
}

} // namespace yucca::model
