// Placement policies, which choose the engine of a pool that receives a request: prefix affinity with load-aware
// replica sets (the default), consistent hashing with bounded loads, least loaded, one home engine per prompt, and
// plain round robin.
#pragma once

#include "yucca/observed_load.h"
#include "yucca/ring.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace yucca::placement
{

/// The two affinity keys of a request. Requests with equal shared keys begin with the same prompt parts (a workspace's
/// system prompt). All turns of a conversation have the same shared key and the same conversation key.
struct Affinity {
    uint64_t shared = 0;
    uint64_t conversation = 0;
    std::vector<std::string> holders = {}; ///< ids of the members that likely hold the prompt
};

/// A placement policy: tracks the members of one pool and their estimated loads, and picks a member for each request.
/// pick() returns the member's index, or nothing if no member is usable.
template <typename P> concept Policy = requires(P p, std::vector<std::string> ids, Affinity a, const Usable &usable, TimePoint now, std::size_t m, int64_t load)
{
    p.setMembers(ids);
    {
        p.pick(a, usable, now)
        } -> std::same_as<std::optional<std::size_t>>;
    p.requestStarted(m, now);
    p.requestFinished(m, now);
    p.recordLoadReport(m, load, now);
};

/// Estimates the frequency of the most frequent keys: a space-saving sketch (Metwally, Agrawal and El Abbadi, 2005)
/// with exponential decay.
class FrequencySketch
{
public:
    FrequencySketch(std::size_t capacity, std::chrono::duration<double> halfLife);

    /// Counts one occurrence of a key.
    void count(uint64_t key, TimePoint now);
    /// A conservative estimate of the key's share of all occurrences, in [0, 1]. It is the count less its standard
    /// error, so that a key seen once or twice does not look popular.
    double share(uint64_t key) const;
    /// True if the sketch holds a count for the key.
    bool isTracked(uint64_t key) const
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
    double loadFactor = 1.5; ///< upper bound of an engine's load, as a multiple of the mean load, plus the slack
    double slack = 3.0; ///< requests added to the bound: at a few requests in flight, the error of a delayed report must not look like overload
    double fillFactor = 0.1; ///< target share of a mean engine's load that one shared key occupies
    double burstFillFactor = 1.0; ///< target share of a mean engine's load taken by one simultaneous request from each router
    std::chrono::duration<double> reportLifetime{2.0}; ///< time in which the weight of a load report falls by a factor of e
    std::chrono::duration<double> longTermHalfLife{30.0}; ///< of the long-term counts that size the replica sets
    std::chrono::duration<double> shortTermHalfLife{3.0}; ///< of the short-term counts that detect a sudden rise of a key
    std::size_t trackedKeys = 512; ///< shared keys counted per sketch
};

/// Prefix affinity with load-aware replica sets. A shared key maps to the first k members of its rendezvous order,
/// where k grows with the key's share of the traffic. A conversation goes to the member of that set that is first in
/// the conversation's own rendezvous order, skipping members whose estimated load is at the bound. All routers compute
/// the same orders, so a conversation returns to its engine through any router.
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
    void requestStarted(std::size_t member, TimePoint now);
    void requestFinished(std::size_t member, TimePoint now);
    /// Records a member's own report of its requests in flight from all routers.
    void recordLoadReport(std::size_t member, int64_t load, TimePoint now);

    /// The size of a shared key's replica set in a pool of n members.
    std::size_t replicas(uint64_t sharedKey, std::size_t n);
    /// The number of shared keys with a stored replica set size.
    std::size_t replicaSetCount() const
    {
        return m_replicaSetSizes.size();
    }

private:
    double estimate(std::size_t member, TimePoint now) const
    {
        return m_loads[member].estimate(m_mean, now, m_options.reportLifetime);
    }
    double replicasForBurst(std::size_t n) const;
    void dropUntrackedReplicaSets();
    void refreshMean(const Usable &usable, TimePoint now);

    AffinityOptions m_options;
    std::vector<std::string> m_ids;
    std::vector<uint64_t> m_hashes; ///< hash of each id
    std::vector<ObservedLoad> m_loads;
    FrequencySketch m_longTermFrequency;
    FrequencySketch m_shortTermFrequency;
    std::unordered_map<uint64_t, std::size_t> m_replicaSetSizes; ///< replica set sizes above one, by shared key
    double m_mean = 0; ///< mean load of the pool, recomputed periodically
    int64_t m_ownInflightTotal = 0;
    TimePoint m_meanAt{};
    bool m_meanStale = true;
};

/// Consistent hashing with bounded loads on the conversation key. The bound covers this router's own requests only.
/// Serves as a baseline in comparisons.
class BoundedLoadHashing
{
public:
    BoundedLoadHashing(int virtualNodes = 64, double loadFactor = 1.25);

    void setMembers(std::vector<std::string> ids);
    const std::vector<std::string> &members() const
    {
        return m_ring.members();
    }
    std::optional<std::size_t> pick(const Affinity &affinity, const Usable &usable, TimePoint now);
    void requestStarted(std::size_t member, TimePoint now);
    void requestFinished(std::size_t member, TimePoint now);
    void recordLoadReport(std::size_t, int64_t, TimePoint)
    {
    }

private:
    ring::BoundedRing m_ring;
    std::vector<int64_t> m_ownInflight;
};

/// Picks the least loaded member. Meant for plain services, which keep no state that a caller's later request would
/// need.
class LeastLoaded : public ObservedMembers
{
public:
    explicit LeastLoaded(std::chrono::duration<double> reportLifetime = std::chrono::duration<double>(1.0))
        : m_reportLifetime(reportLifetime)
    {
    }

    /// The key breaks ties between equally loaded members, so that routers with the same sparse information do not all
    /// pick the same member.
    std::optional<std::size_t> pick(const Affinity &affinity, const Usable &usable, TimePoint now);

private:
    std::chrono::duration<double> m_reportLifetime;
};

/// Settings of PromptHome.
struct HomeOptions {
    /// The upper bound of a member's load, as a multiple of the service's mean load, plus the slack. The value is below
    /// the bound that the fleet must keep, because reports are delayed.
    double loadFactor = 1.5;
    double slack = 3.0; ///< requests added to the bound: at a few requests in flight, the error of a delayed report must not look like overload
    std::chrono::duration<double> reportLifetime{3.0};
    /// The bound is at least this multiple of the mean load of the usable members, plus one. Without this minimum, when
    /// the other members are kept idle, all routers would send to the member that looks least loaded.
    double usableMeanFactor = 1.1;
    /// Share of a member's requests that a router diverts, per excess of the member's load over the bound as a multiple of the bound.
    /// One would compensate the excess if reports were never late; the value also allows for their fading.
    double diversionGain = 2.5;
    /// The gain is multiplied by one plus this weight times the router's own share of the member's load: a router that sends most of
    /// the load knows it, and diverts all of the excess.
    double ownRequestWeight = 10;
    /// Seed of this router's spill orders and random choices. Routers need different seeds, which they keep across restarts.
    uint64_t spillSeed = 0;
};

/// Gives each prompt one home. Of the members that likely hold the prompt, the least loaded one is picked. If none is
/// known, the home is picked: the first member in the prompt's rendezvous order, which every router computes alike. Of the
/// requests for a member over the load bound, a part spills to a member that this router alone determines. With an order
/// common to all routers, the requests of all routers for a hot prompt would move from one member to the next before any
/// report of the overload reaches them. A prompt that spills is processed again at the other member, and both members then
/// share its load.
class PromptHome : public ObservedMembers
{
public:
    explicit PromptHome(HomeOptions options = {})
        : m_options(options)
        , m_random(static_cast<std::minstd_rand::result_type>(options.spillSeed))
    {
    }

    std::optional<std::size_t> pick(const Affinity &affinity, const Usable &usable, TimePoint now);
    /// What this router knows of a member's load.
    LoadView loadView(std::size_t member, TimePoint now) const;
    /// True if the mean load of the given members is at the load bound, so that they can't take the service's requests alone.
    bool areAtBound(const Usable &members, TimePoint now) const;
    /// The upper bound of a member's load if all members are usable.
    double loadLimit(TimePoint now) const
    {
        return loadLimit(Usable(m_loads.size(), true), now);
    }

private:
    /// The assumed load of a member without a fresh report: the mean of the usable members.
    double priorLoad(const Usable &usable, TimePoint now) const;
    double loadLimit(const Usable &usable, TimePoint now) const;
    double serviceLimit(TimePoint now) const;
    double diversionShare(std::size_t member, double load, double limit) const;
    std::optional<std::size_t> pickByRoom(uint64_t key, const Usable &usable, const std::vector<double> &loads, double limit) const;

    HomeOptions m_options;
    std::minstd_rand m_random;
};

/// Baseline policy: picks the members in turn, without affinity or load bound.
class RoundRobin
{
public:
    void setMembers(std::vector<std::string> ids);
    const std::vector<std::string> &members() const
    {
        return m_ids;
    }
    std::optional<std::size_t> pick(const Affinity &affinity, const Usable &usable, TimePoint now);
    void requestStarted(std::size_t, TimePoint)
    {
    }
    void requestFinished(std::size_t, TimePoint)
    {
    }
    void recordLoadReport(std::size_t, int64_t, TimePoint)
    {
    }

private:
    std::vector<std::string> m_ids;
    uint64_t m_next = 0;
};

static_assert(Policy<PrefixAffinity>);
static_assert(Policy<BoundedLoadHashing>);
static_assert(Policy<LeastLoaded>);
static_assert(Policy<PromptHome>);
static_assert(Policy<RoundRobin>);

} // namespace yucca::placement
