// The placement benchmark. Every policy places the same traffic of returning conversations, in virtual time, from
// several routers that each see a fraction of it and receive load reports late. The run is deterministic: the signature
// is a hash over all decisions, so any change of behaviour changes it.
#include "bench.h"

#include "engine_core.h"
#include "yucca/placement.h"

#include <popt.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace yucca::bench
{

namespace
{

using placement::Affinity;
using placement::TimePoint;
using std::chrono::milliseconds;

constexpr int surgeWorkspaces = 3; ///< surging at the same time
constexpr int largeWorkspaces = 3; ///< the workspaces are of unequal size: a few are large
constexpr double largeShare = 0.5; ///< share of the traffic that large workspaces get outside a surge
constexpr double surgeShare = 0.8; ///< share of the traffic that surging workspaces get, in the middle third of the run
constexpr milliseconds firstTokenDelay{300}; ///< from placement to the first load report
constexpr milliseconds reportLag{300}; ///< age of the load in a report
constexpr milliseconds maxMembershipLag{2000}; ///< routers learn of a membership change within this time
constexpr milliseconds sampleInterval{100}; ///< between two samples of the skew
constexpr int virtualNodes = 64; ///< of the bounded policy, which uses the default load factor of the affinity policy
constexpr double capFactor = 2.0; ///< an engine above capFactor * mean + capSlack counts as overloaded
constexpr double capSlack = 3.0;

/// The simulated fleet and its workload.
struct Scenario {
    int routers = 7;
    int engines = 18;
    int workspaces = 10;
    int conversations = 4000;
    int ratePerS = 100;
    int seconds = 300;
    int inflightMs = 4000; ///< mean duration of a request on its engine, beyond the time to the first token
    int cacheBlocks = 2000; ///< capacity of the prefix cache of one engine
    int sharedBlocks = 16; ///< of a workspace's system prompt
    int turnBlocks = 4; ///< blocks that each turn adds to the prompt
    int churnEveryS = 20; ///< an engine leaves and an empty one joins at this interval; 0: never
};

/// The results of one policy.
struct Outcome {
    double reuse = 0; ///< cached blocks divided by prompt blocks
    double meanSkew = 0; ///< mean over the samples of: highest load divided by mean load
    double worstSkew = 0;
    double overCap = 0; ///< share of samples in which an engine is overloaded
    double nsPerDecision = 0;
    uint64_t signature = 0;
};

/// One simulated engine.
struct Engine {
    std::string id;
    engine::PrefixCache cache;
    engine::LoadHistory reports;
    int64_t load = 0;
};

/// Kinds of simulation events.
enum class EventKind { Arrival, Report, Finish, Churn, Membership, Sample };

struct Event {
    TimePoint at;
    uint64_t order; ///< events at the same time are handled in the order in which they were scheduled
    EventKind kind;
    int router = 0;
    std::string engine;
    bool operator>(const Event &o) const
    {
        return at != o.at ? at > o.at : order > o.order;
    }
};

/// One run of a scenario with a policy.
template <placement::Policy P> class Run
{
public:
    Run(const Scenario &scenario, const P &policy)
        : m_scenario(scenario)
        , m_rng(42)
        , m_policies(scenario.routers, policy)
    {
        for (; m_nextEngine < m_scenario.engines; ++m_nextEngine) {
            addEngine();
        }
        for (auto &p : m_policies) {
            p.setMembers(ids());
        }
    }

    Outcome run()
    {
        schedule(EventKind::Arrival, milliseconds(0));
        schedule(EventKind::Sample, sampleInterval);
        if (m_scenario.churnEveryS > 0) {
            schedule(EventKind::Churn, std::chrono::seconds(m_scenario.churnEveryS));
        }
        const TimePoint end = m_now + std::chrono::seconds(m_scenario.seconds);
        while (!m_events.empty() && m_events.top().at < end) {
            const Event e = m_events.top();
            m_events.pop();
            m_now = e.at;
            handle(e);
        }
        Outcome o;
        o.reuse = m_promptBlocks ? static_cast<double>(m_cachedBlocks) / static_cast<double>(m_promptBlocks) : 0;
        o.meanSkew = m_samples ? m_skewSum / static_cast<double>(m_samples) : 0;
        o.worstSkew = m_worstSkew;
        o.overCap = m_samples ? static_cast<double>(m_overCap) / static_cast<double>(m_samples) : 0;
        o.nsPerDecision = m_decisions ? static_cast<double>(m_decisionTime.count()) / static_cast<double>(m_decisions) : 0;
        o.signature = m_signature;
        return o;
    }

private:
    void addEngine()
    {
        char id[32];
        snprintf(id, sizeof id, "engine-%06d", m_nextEngine);
        m_engines.push_back({id, engine::PrefixCache(static_cast<std::size_t>(m_scenario.cacheBlocks)), engine::LoadHistory(reportLag)});
    }

    std::vector<std::string> ids() const
    {
        std::vector<std::string> out;
        for (const auto &e : m_engines) {
            out.push_back(e.id);
        }
        return out;
    }

    Engine *findEngine(const std::string &id)
    {
        auto it = std::lower_bound(m_engines.begin(), m_engines.end(), id, [](const Engine &e, const std::string &want) {
            return e.id < want;
        });
        return it != m_engines.end() && it->id == id ? &*it : nullptr;
    }

    void schedule(EventKind kind, std::chrono::nanoseconds delay, int router = 0, std::string engine = {})
    {
        m_events.push({m_now + std::chrono::duration_cast<TimePoint::duration>(delay), m_nextOrder++, kind, router, std::move(engine)});
    }

    std::chrono::nanoseconds exponential(double meanMs)
    {
        return std::chrono::nanoseconds(static_cast<int64_t>(std::exponential_distribution<double>(1.0)(m_rng) * meanMs * 1e6));
    }

    void handle(const Event &e)
    {
        switch (e.kind) {
        case EventKind::Arrival:
            placeNextTurn();
            schedule(EventKind::Arrival, exponential(1000.0 / m_scenario.ratePerS));
            break;
        case EventKind::Report:
            deliverReport(e);
            break;
        case EventKind::Finish:
            finishRequest(e);
            break;
        case EventKind::Churn:
            replaceEngine();
            schedule(EventKind::Churn, std::chrono::seconds(m_scenario.churnEveryS));
            break;
        case EventKind::Membership:
            m_policies[e.router].setMembers(ids());
            break;
        case EventKind::Sample:
            sampleSkew();
            schedule(EventKind::Sample, sampleInterval);
            break;
        }
    }

    // Returns true in the middle third of the run, when a few workspaces surge.
    bool surging() const
    {
        const double third = m_scenario.seconds / 3.0;
        const double t = std::chrono::duration<double>(m_now.time_since_epoch()).count();
        return t > third && t < 2 * third;
    }

    // Draws workspace and caller of the next request. A few workspaces are large. In a surge, a few others get most of
    // the traffic. The number of callers of a workspace is in proportion to its share of the traffic.
    std::pair<int, int> drawConversation()
    {
        const bool surge = surging();
        const int count = std::min(surge ? surgeWorkspaces : largeWorkspaces, m_scenario.workspaces);
        const double share = surge ? surgeShare : largeShare;
        int workspace = static_cast<int>(m_rng() % m_scenario.workspaces);
        double callerShare = (1 - share) / m_scenario.workspaces;
        if (std::uniform_real_distribution<double>(0, 1)(m_rng) < share) {
            const int offset = surge ? m_scenario.workspaces / 2 : 0;
            workspace = (offset + static_cast<int>(m_rng() % count)) % m_scenario.workspaces;
            callerShare = share / count;
        }
        const int population = std::max(1, static_cast<int>(callerShare * m_scenario.conversations));
        return {workspace, static_cast<int>(m_rng() % population)};
    }

    // Places the next turn of a random conversation.
    void placeNextTurn()
    {
        const auto [workspace, caller] = drawConversation();
        const uint64_t c = (static_cast<uint64_t>(workspace) << 32) | static_cast<uint64_t>(caller);
        auto &blocks = m_history[c];
        if (blocks.empty()) {
            for (int b = 0; b < m_scenario.sharedBlocks; ++b) {
                blocks.push_back(ring::hash("shared", static_cast<uint64_t>(workspace) * 1000 + b));
            }
        }
        for (int b = 0; b < m_scenario.turnBlocks; ++b) {
            blocks.push_back(ring::hash("turn", ring::hash("c", c) + blocks.size()));
        }
        const int router = static_cast<int>(m_rng() % m_scenario.routers);
        auto &policy = m_policies[router];
        const Affinity affinity{ring::hash("w", workspace), ring::hash("c", c)};
        const placement::Usable usable(policy.members().size(), true);
        const auto start = std::chrono::steady_clock::now();
        const auto pick = policy.pick(affinity, usable, m_now);
        m_decisionTime += std::chrono::steady_clock::now() - start;
        ++m_decisions;
        const std::string id = policy.members()[*pick];
        m_signature = ring::hash(id, m_signature);
        policy.requestStarted(*pick, m_now);
        auto *e = findEngine(id);
        if (!e) {
            scheduleFinish(router, id, milliseconds(1)); // the engine has left: its connection is refused
            return;
        }
        m_cachedBlocks += e->cache.match(blocks);
        m_promptBlocks += blocks.size();
        e->cache.insert(blocks);
        e->reports.record(m_now, ++e->load);
        schedule(EventKind::Report, firstTokenDelay, router, id);
        scheduleFinish(router, id, firstTokenDelay + exponential(m_scenario.inflightMs));
    }

    void scheduleFinish(int router, const std::string &id, std::chrono::nanoseconds delay)
    {
        schedule(EventKind::Finish, delay, router, id);
    }

    std::optional<std::size_t> memberIndex(const P &policy, const std::string &id) const
    {
        const auto &members = policy.members();
        auto it = std::lower_bound(members.begin(), members.end(), id);
        if (it == members.end() || *it != id) {
            return std::nullopt;
        }
        return static_cast<std::size_t>(it - members.begin());
    }

    // The response of an engine carries the load that the engine had reportLag ago.
    void deliverReport(const Event &e)
    {
        auto &policy = m_policies[e.router];
        auto *engine = findEngine(e.engine);
        auto member = memberIndex(policy, e.engine);
        if (engine && member) {
            policy.recordLoadReport(*member, engine->reports.reported(m_now), m_now);
        }
    }

    void finishRequest(const Event &e)
    {
        if (auto *engine = findEngine(e.engine)) {
            engine->reports.record(m_now, --engine->load);
        }
        if (auto member = memberIndex(m_policies[e.router], e.engine)) {
            m_policies[e.router].requestFinished(*member, m_now);
        }
    }

    // Replaces a random engine by an empty one. Routers learn of it one by one.
    void replaceEngine()
    {
        m_engines.erase(m_engines.begin() + static_cast<std::ptrdiff_t>(m_rng() % m_engines.size()));
        addEngine();
        ++m_nextEngine;
        for (int r = 0; r < m_scenario.routers; ++r) {
            schedule(EventKind::Membership, milliseconds(m_rng() % maxMembershipLag.count()), r);
        }
    }

    void sampleSkew()
    {
        if (m_now.time_since_epoch() < std::chrono::seconds(m_scenario.seconds / 10)) {
            return; // warm-up
        }
        int64_t total = 0;
        int64_t peak = 0;
        for (const auto &e : m_engines) {
            total += e.load;
            peak = std::max(peak, e.load);
        }
        if (total == 0) {
            return;
        }
        const double mean = static_cast<double>(total) / static_cast<double>(m_engines.size());
        const double skew = static_cast<double>(peak) / mean;
        ++m_samples;
        m_skewSum += skew;
        m_worstSkew = std::max(m_worstSkew, skew);
        m_overCap += static_cast<double>(peak) > capFactor * mean + capSlack ? 1 : 0;
    }

    Scenario m_scenario;
    std::mt19937_64 m_rng;
    std::vector<P> m_policies; ///< one per router
    std::vector<Engine> m_engines; ///< sorted by id
    std::unordered_map<uint64_t, std::vector<uint64_t>> m_history; ///< prompt blocks by conversation
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    uint64_t m_nextOrder = 0;
    int m_nextEngine = 0;
    TimePoint m_now{};
    uint64_t m_cachedBlocks = 0;
    uint64_t m_promptBlocks = 0;
    uint64_t m_samples = 0;
    uint64_t m_overCap = 0;
    double m_skewSum = 0;
    double m_worstSkew = 0;
    uint64_t m_decisions = 0;
    std::chrono::nanoseconds m_decisionTime{0};
    uint64_t m_signature = 0;
};

// Runs one policy, prints its row of the table and returns its signature.
template <placement::Policy P> uint64_t measure(const char *name, const P &policy, const Scenario &scenario)
{
    const Outcome o = Run<P>(scenario, policy).run();
    printf("%-11s %8.4f %10.3f %11.3f %9.4f %12.0f\n", name, o.reuse, o.meanSkew, o.worstSkew, o.overCap, o.nsPerDecision);
    return o.signature;
}

} // namespace

int run(int argc, const char **argv)
{
    Scenario s;
    const poptOption table[] = {
        {"routers", 'r', POPT_ARG_INT, &s.routers, 0, "routers, each of which receives a fraction of the traffic", "N"},
        {"engines", 'e', POPT_ARG_INT, &s.engines, 0, "engines in the pool", "N"},
        {"workspaces", 'w', POPT_ARG_INT, &s.workspaces, 0, "workspaces", "N"},
        {"conversations", 'c', POPT_ARG_INT, &s.conversations, 0, "returning conversations", "N"},
        {"rate", 0, POPT_ARG_INT, &s.ratePerS, 0, "requests per second over all routers", "N"},
        {"seconds", 's', POPT_ARG_INT, &s.seconds, 0, "duration in seconds of virtual time", "S"},
        {"inflight-ms", 0, POPT_ARG_INT, &s.inflightMs, 0, "mean duration of a request on its engine after the first token", "MS"},
        {"cache-blocks", 0, POPT_ARG_INT, &s.cacheBlocks, 0, "capacity of an engine's prefix cache in blocks", "N"},
        {"churn-every", 0, POPT_ARG_INT, &s.churnEveryS, 0, "seconds between engine replacements (0: none)", "S"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext ctx = poptGetContext("yucca-sim bench", argc, argv, table, 0);
    int rc;
    while ((rc = poptGetNextOpt(ctx)) > 0) { }
    poptFreeContext(ctx);
    if (rc < -1 || s.routers < 1 || s.engines < 1 || s.workspaces < 1 || s.conversations < s.workspaces || s.ratePerS < 1 || s.seconds < 3
        || s.inflightMs < 1) {
        fprintf(stderr, "yucca-sim bench: invalid arguments\n");
        return 2;
    }
    printf("%d routers, %d engines, %d workspaces, %d conversations, %d requests/s, %d s\n", s.routers, s.engines, s.workspaces, s.conversations, s.ratePerS,
           s.seconds);
    printf("%-11s %8s %10s %11s %9s %12s\n", "policy", "reuse", "mean skew", "worst skew", "over cap", "ns/decision");
    uint64_t signature = measure("affinity", placement::PrefixAffinity(), s);
    signature =
        ring::hash(std::to_string(measure("bounded", placement::BoundedLoadHashing(virtualNodes, placement::AffinityOptions().loadFactor), s)), signature);
    signature = ring::hash(std::to_string(measure("roundrobin", placement::RoundRobin(), s)), signature);
    printf("signature %016llx\n", static_cast<unsigned long long>(signature));
    return 0;
}

} // namespace yucca::bench
