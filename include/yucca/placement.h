// Placement: which engine of a pool takes a request. Three policies behind
// one concept: prefix affinity with load-aware replica sets (the default),
// consistent hashing with bounded loads, and the naive round robin.
#pragma once

#include "yucca/observed_load.h"
#include "yucca/ring.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace yucca::placement
{

/// The two affinity keys of a request. Requests with an equal shared key
/// start with the same prompt parts (a workspace's system prompt); turns of
/// one conversation have equal keys of both kinds.
struct Affinity {
    uint64_t shared = 0;
    uint64_t conversation = 0;
    std::vector<std::string> holders = {}; ///< members that likely hold the prompt
};

/// A placement policy: keeps the members of one pool and what this router
/// knows of their load, and picks a member for each request.
template <typename P> concept Policy = requires(P p, std::vector<std::string> ids, Affinity a, const Usable &usable, TimePoint now, std::size_t m, int64_t load)
{
    p.setMembers(ids);
    {
        p.pick(a, usable, now)
        } -> std::same_as<std::optional<std::size_t>>;
    p.placed(m, now);
    p.finished(m, now);
    p.reported(m, load, now);
};

/// How often keys occur, for the few that occur most: a space-saving sketch
/// (Metwally, Agrawal and El Abbadi, 2005) with exponential decay.
class HeatSketch
{
public:
    HeatSketch(std::size_t capacity, std::chrono::duration<double> halfLife);

    /// Counts one occurrence of a key.
    void count(uint64_t key, TimePoint now);
    /// A cautious estimate of the key's share of all occurrences, in [0, 1]:
    /// the count less its standard error, so that a key seen once or twice
    /// is not taken for a hot one.
    double share(uint64_t key) const;
    /// True while a key is among those counted.
    bool counts(uint64_t key) const
    {
        return m_counts.count(key) > 0;
    }
    /// The decayed count of all occurrences.
    double total() const
    {
        return m_total;
    }

private:
    void decay(TimePoint now);

    std::size_t m_capacity;
    double m_halfLifeS;
    std::unordered_map<uint64_t, double> m_counts;
    double m_total = 0;
    TimePoint m_lastDecay{};
};

/// Settings of PrefixAffinity.
struct AffinityOptions {
    double loadFactor = 1.5; ///< c: no engine above c times the mean load, plus the slack
    double slack = 3.0; ///< requests: below a few in flight, a late report's noise is no overload
    double fillFactor = 0.1; ///< the share of a mean engine's load that one shared key may fill
    double onsetFactor = 1.0; ///< the share of a mean engine's load that one request from every router may fill
    std::chrono::duration<double> reportLifetime{2.0}; ///< a load report's weight decays by e in this time
    std::chrono::duration<double> heatHalfLife{30.0}; ///< of the counts behind the replica sets
    std::chrono::duration<double> surgeHalfLife{3.0}; ///< of the counts that notice a surge as it begins
    std::size_t heatKeys = 512; ///< shared keys counted
};

/// Prefix affinity with load-aware replica sets. A shared key owns the
/// first k members in its rendezvous order, k growing with the key's share
/// of the traffic; a conversation goes to the member of that set that is
/// first in its own rendezvous order, and past members whose estimated load
/// is at the bound. Every router computes the same orders, so a
/// conversation returns to its engine through any of them.
class PrefixAffinity
{
public:
    explicit PrefixAffinity(AffinityOptions options = {});

    void setMembers(std::vector<std::string> ids);
    const std::vector<std::string> &members() const
    {
        return m_ids;
    }
    std::optional<std::size_t> pick(const Affinity &affinity, const Usable &usable, TimePoint now);
    void placed(std::size_t member, TimePoint now);
    void finished(std::size_t member, TimePoint now);
    /// A member's own report: the requests in flight on it, from all routers.
    void reported(std::size_t member, int64_t load, TimePoint now);

    /// The size of a shared key's replica set in a pool of n members.
    std::size_t replicas(uint64_t sharedKey, std::size_t n);
    /// The number of shared keys whose width is remembered.
    std::size_t heldSets() const
    {
        return m_replicas.size();
    }

private:
    double estimate(std::size_t member, TimePoint now) const
    {
        return m_loads[member].estimate(m_mean, now, m_options.reportLifetime);
    }
    double sliverReplicas(std::size_t n) const;
    void forgetColdSets();
    void refreshMean(const Usable &usable, TimePoint now);

    AffinityOptions m_options;
    std::vector<std::string> m_ids;
    std::vector<uint64_t> m_hashes; ///< of the ids
    std::vector<ObservedLoad> m_loads;
    HeatSketch m_heat;
    HeatSketch m_surge;
    std::unordered_map<uint64_t, std::size_t> m_replicas; ///< the sets wider than one, by shared key
    double m_mean = 0; ///< the pool's mean load, refreshed now and then
    int64_t m_ownTotal = 0;
    TimePoint m_meanAt{};
    bool m_meanStale = true;
};

/// Consistent hashing with bounded loads on the conversation key, bounding
/// only this router's own requests: the fleet's first policy, kept to
/// measure against.
class OwnBound
{
public:
    OwnBound(int virtualNodes = 64, double loadFactor = 1.25);

    void setMembers(std::vector<std::string> ids);
    const std::vector<std::string> &members() const
    {
        return m_ring.members();
    }
    std::optional<std::size_t> pick(const Affinity &affinity, const Usable &usable, TimePoint now);
    void placed(std::size_t member, TimePoint now);
    void finished(std::size_t member, TimePoint now);
    void reported(std::size_t, int64_t, TimePoint)
    {
    }

private:
    ring::BoundedRing m_ring;
    std::vector<int64_t> m_own;
};

/// The member with the least load for its place: for plain services, which
/// hold nothing of a caller that a later request would find again.
class LeastLoaded : public ObservedMembers
{
public:
    explicit LeastLoaded(std::chrono::duration<double> reportLifetime = std::chrono::duration<double>(1.0))
        : m_reportLifetime(reportLifetime)
    {
    }

    /// Among equally loaded members the key decides, so that routers that
    /// know as little of a pool do not all pick the same member.
    std::optional<std::size_t> pick(const Affinity &affinity, const Usable &usable, TimePoint now);

private:
    std::chrono::duration<double> m_reportLifetime;
};

/// Settings of PromptHome.
struct HomeOptions {
    /// No member above this multiple of the service's mean load, plus the slack.
    /// Below the bound that must hold, as reports come late.
    double loadFactor = 1.5;
    double slack = 2.0; ///< requests: below a few in flight a late report's noise is no overload
    std::chrono::duration<double> reportLifetime{3.0};
    /// The bound is never below this multiple of the mean of the members in use,
    /// plus one: where the others idle by order, all routers would send to the
    /// one that looks least loaded.
    double leastFactor = 1.1;
};

/// One home for each prompt: of the members that likely hold it the least
/// loaded; where none is known, the one that ranks first in the prompt's
/// rendezvous order, which every router computes alike; the next while the ones
/// before are at the bound. A prompt that is read at two members is read twice,
/// and from then on evens out their loads.
class PromptHome : public ObservedMembers
{
public:
    explicit PromptHome(HomeOptions options = {})
        : m_options(options)
    {
    }

    std::optional<std::size_t> pick(const Affinity &affinity, const Usable &usable, TimePoint now);

private:
    HomeOptions m_options;
};

/// The naive baseline: members in turn, no affinity, no bound.
class RoundRobin
{
public:
    void setMembers(std::vector<std::string> ids);
    const std::vector<std::string> &members() const
    {
        return m_ids;
    }
    std::optional<std::size_t> pick(const Affinity &affinity, const Usable &usable, TimePoint now);
    void placed(std::size_t, TimePoint)
    {
    }
    void finished(std::size_t, TimePoint)
    {
    }
    void reported(std::size_t, int64_t, TimePoint)
    {
    }

private:
    std::vector<std::string> m_ids;
    uint64_t m_next = 0;
};

static_assert(Policy<PrefixAffinity>);
static_assert(Policy<OwnBound>);
static_assert(Policy<LeastLoaded>);
static_assert(Policy<PromptHome>);
static_assert(Policy<RoundRobin>);

} // namespace yucca::placement
