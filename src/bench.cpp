#include "bench.h"

#include "engine_core.h"
#include "yucca/ring.h"

#include <popt.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <random>
#include <string>
#include <vector>

namespace yucca::bench
{

namespace
{

/// The simulated fleet and workload.
struct Scenario {
    int engines = 20;
    int conversations = 4000;
    int requests = 100000;
    int blocksPerTurn = 4; ///< new prompt blocks each turn adds
    int cacheBlocks = 2000; ///< per engine
    int serviceSteps = 400; ///< requests in flight at once (20 per engine)
    int churnEvery = 10000; ///< an engine leaves and another joins
    int surgeShare = 30; ///< percent of requests from the few large workspaces
};

/// What one policy achieved.
struct Outcome {
    double reuse = 0; ///< cached blocks over prompt blocks
    double skew = 0; ///< highest peak in-flight over the mean in-flight, at its worst
    double nsPerDecision = 0;
    uint64_t signature = 0;
};

// Runs one policy through the scenario. Every random draw comes from a
// fixed seed, so the same code gives the same signature.
template <typename P> Outcome simulate(P picker, const Scenario &sc)
{
    std::mt19937_64 rng(42);
    std::vector<std::string> ids;
    int nextId = 0;
    for (; nextId < sc.engines; ++nextId) {
        ids.push_back("engine-" + std::to_string(nextId));
    }
    picker.setMembers(ids);
    std::vector<engine::PrefixCache> caches;
    for (int e = 0; e < sc.engines; ++e) {
        caches.emplace_back(sc.cacheBlocks);
    }
    std::vector<int64_t> loads(sc.engines, 0);
    std::deque<std::size_t> inflight; // member index of each request in flight
    std::vector<std::vector<uint64_t>> history(sc.conversations);
    std::uniform_int_distribution<int> convo(0, sc.conversations - 1);
    std::uniform_int_distribution<int> large(0, sc.conversations / 100);
    std::uniform_int_distribution<int> pct(0, 99);
    uint64_t cached = 0;
    uint64_t total = 0;
    double worstSkew = 0;
    uint64_t signature = 0;
    std::chrono::nanoseconds spent{0};
    for (int r = 0; r < sc.requests; ++r) {
        if (sc.churnEvery > 0 && r > 0 && r % sc.churnEvery == 0) {
            // One engine leaves, a new one joins with an empty cache.
            std::size_t gone = rng() % ids.size();
            ids[gone] = "engine-" + std::to_string(nextId++);
            caches[gone].clear();
            std::vector<std::string> sorted = ids;
            picker.setMembers(sorted);
            // Keep loads and caches aligned with the picker's (sorted) order.
            std::vector<engine::PrefixCache> reordered;
            std::vector<int64_t> reloads;
            std::vector<std::size_t> map(ids.size());
            const auto &members = picker.members();
            for (std::size_t m = 0; m < members.size(); ++m) {
                auto at = std::find(ids.begin(), ids.end(), members[m]) - ids.begin();
                reordered.push_back(std::move(caches[at]));
                reloads.push_back(loads[at]);
                map[at] = m;
            }
            for (auto &i : inflight) {
                i = map[i];
            }
            caches = std::move(reordered);
            loads = std::move(reloads);
            ids = members;
        }
        int c = pct(rng) < sc.surgeShare ? large(rng) : convo(rng);
        auto &h = history[c];
        for (int b = 0; b < sc.blocksPerTurn; ++b) {
            h.push_back(ring::hash(std::to_string(c) + "/" + std::to_string(h.size())));
        }
        auto began = std::chrono::steady_clock::now();
        auto pick = picker.pick(h.front(), loads);
        spent += std::chrono::steady_clock::now() - began;
        std::size_t m = *pick;
        signature = ring::hash(picker.members()[m], signature);
        cached += caches[m].match(h);
        total += h.size();
        caches[m].insert(h);
        ++loads[m];
        inflight.push_back(m);
        if (static_cast<int>(inflight.size()) > sc.serviceSteps) {
            --loads[inflight.front()];
            inflight.pop_front();
        }
        if (static_cast<int>(inflight.size()) == sc.serviceSteps) {
            int64_t peak = *std::max_element(loads.begin(), loads.end());
            double mean = static_cast<double>(sc.serviceSteps) / static_cast<double>(loads.size());
            worstSkew = std::max(worstSkew, static_cast<double>(peak) / mean);
        }
    }
    Outcome o;
    o.reuse = total ? static_cast<double>(cached) / static_cast<double>(total) : 0;
    o.skew = worstSkew;
    o.nsPerDecision = static_cast<double>(spent.count()) / sc.requests;
    o.signature = signature;
    return o;
}

} // namespace

int run(int argc, const char **argv)
{
    Scenario sc;
    const poptOption table[] = {
        {"requests", 'n', POPT_ARG_INT, &sc.requests, 0, "requests to place", "N"},
        {"engines", 'e', POPT_ARG_INT, &sc.engines, 0, "engines in the pool", "N"},
        {"conversations", 'c', POPT_ARG_INT, &sc.conversations, 0, "returning conversations", "N"},
        {"churn-every", 0, POPT_ARG_INT, &sc.churnEvery, 0, "requests between engine replacements (0: none)", "N"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext ctx = poptGetContext("yucca-router bench", argc, argv, table, 0);
    int rc;
    while ((rc = poptGetNextOpt(ctx)) > 0) { }
    poptFreeContext(ctx);
    if (rc < -1 || sc.engines < 1 || sc.conversations < 100 || sc.requests < 1) {
        fprintf(stderr, "yucca-router bench: bad arguments\n");
        return 2;
    }
    auto bounded = simulate(ring::BoundedRing(64, 1.25), sc);
    auto naive = simulate(ring::RoundRobin(), sc);
    printf("%-11s %10s %8s %8s %12s\n", "policy", "requests", "reuse", "skew", "ns/decision");
    printf("%-11s %10d %8.4f %8.3f %12.0f\n", "bounded", sc.requests, bounded.reuse, bounded.skew, bounded.nsPerDecision);
    printf("%-11s %10d %8.4f %8.3f %12.0f\n", "roundrobin", sc.requests, naive.reuse, naive.skew, naive.nsPerDecision);
    printf("signature %016llx\n", static_cast<unsigned long long>(ring::hash(std::to_string(bounded.signature) + "/" + std::to_string(naive.signature))));
    return 0;
}

} // namespace yucca::bench
