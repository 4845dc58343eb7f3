#include "yucca/placement.h"

#include "member_state.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace yucca::placement
{

namespace
{

constexpr std::size_t spillCandidates = 8; ///< members beyond the replica set that a request may spill to
constexpr double decayIntervalS = 0.25; ///< minimum time between two decay steps
constexpr std::chrono::milliseconds meanRefreshInterval{200}; ///< time after which the pool's mean load is recomputed
constexpr double minTrustedTotal = 40.0; ///< below this decayed total, no key's share is trusted
constexpr std::size_t replicaSetsPerTrackedKey = 3; ///< stored replica set sizes per key that a sketch counts
constexpr double shrinkThreshold = 8.0; ///< a replica set that is this many times too large is halved
constexpr double minDecayedCount = 0.01; ///< a decayed count below this is dropped
constexpr double marginSigmas = 1.0; ///< standard errors subtracted from a count

/// The member with the highest score so far; of equal ones the first.
template <typename Score> struct Best {
    std::optional<std::size_t> member;
    Score score{};

    /// Returns true if the candidate is the best so far.
    bool consider(std::size_t candidate, Score candidateScore)
    {
        const bool better = !member || candidateScore > score;
        if (better) {
            member = candidate;
            score = candidateScore;
        }
        return better;
    }
};

} // namespace

FrequencySketch::FrequencySketch(std::size_t capacity, std::chrono::duration<double> halfLife)
    : m_capacity(capacity)
    , m_halfLifeS(halfLife.count())
{
}

// Decays all counts to the given time and drops those that became too small.
void FrequencySketch::decay(TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - m_lastDecay).count();
    if (m_total > 0 && elapsed < decayIntervalS) {
        return;
    }
    m_lastDecay = now;
    const double decayFactor = std::exp2(-elapsed / m_halfLifeS);
    m_total *= decayFactor;
    for (auto it = m_counts.begin(); it != m_counts.end();) {
        it->second *= decayFactor;
        it = it->second < minDecayedCount ? m_counts.erase(it) : std::next(it);
    }
}

void FrequencySketch::count(uint64_t key, TimePoint now)
{
    decay(now);
    m_total += 1;
    auto it = m_counts.find(key);
    if (it != m_counts.end()) {
        it->second += 1;
        return;
    }
    double inherited = 0;
    if (m_counts.size() >= m_capacity) {
        // Space saving: the least frequent key is evicted, and the new key inherits its count.
        auto leastFrequent = std::min_element(m_counts.begin(), m_counts.end(), [](const auto &a, const auto &b) {
            return a.second != b.second ? a.second < b.second : a.first < b.first;
        });
        inherited = leastFrequent->second;
        m_counts.erase(leastFrequent);
    }
    m_counts.emplace(key, inherited + 1);
}

double FrequencySketch::share(uint64_t key) const
{
    auto it = m_counts.find(key);
    if (it == m_counts.end() || m_total <= 0) {
        return 0;
    }
    const double lowerBound = it->second - marginSigmas * std::sqrt(it->second);
    return std::max(0.0, lowerBound / m_total);
}

PrefixAffinity::PrefixAffinity(AffinityOptions options)
    : m_options(options)
    , m_longTermFrequency(options.trackedKeys, options.longTermHalfLife)
    , m_shortTermFrequency(options.trackedKeys, options.shortTermHalfLife)
{
}

void PrefixAffinity::setMembers(std::vector<std::string> ids)
{
    std::sort(ids.begin(), ids.end());
    m_loads = remapMemberState(m_ids, m_loads, ids);
    m_ids = std::move(ids);
    m_hashes = memberHashes(m_ids);
    m_ownInflightTotal = 0;
    for (const auto &load : m_loads) {
        m_ownInflightTotal += load.ownInflight();
    }
    m_meanStale = true;
}

void PrefixAffinity::requestStarted(std::size_t member, TimePoint)
{
    m_loads[member].requestStarted();
    ++m_ownInflightTotal;
}

void PrefixAffinity::requestFinished(std::size_t member, TimePoint)
{
    m_ownInflightTotal -= m_loads[member].ownInflight() > 0 ? 1 : 0;
    m_loads[member].requestFinished();
}

void PrefixAffinity::recordLoadReport(std::size_t member, int64_t load, TimePoint now)
{
    m_loads[member].recordLoadReport(load, now);
}

void PrefixAffinity::refreshMean(const Usable &usable, TimePoint now)
{
    if (!m_meanStale && now - m_meanAt < meanRefreshInterval) {
        return;
    }
    m_meanStale = false;
    m_meanAt = now;
    m_mean = meanLoad(m_loads, usable, now, m_options.reportLifetime, MissingReport::Exclude);
}

// A key that becomes popular reaches all routers at once, and each router sends its first request before it can detect
// this. The set must be large enough that one request from every router fills only a part of a mean engine's load. This
// router's share of an engine's mean load indicates the number of routers.
double PrefixAffinity::replicasForBurst(std::size_t n) const
{
    const double ownMean = static_cast<double>(m_ownInflightTotal) / static_cast<double>(n);
    return ownMean > 0 ? 1.0 / (m_options.burstFillFactor * ownMean) : 1.0;
}

std::size_t PrefixAffinity::replicas(uint64_t sharedKey, std::size_t n)
{
    if (m_longTermFrequency.total() < minTrustedTotal) {
        return n; // too few requests counted: any key may be popular
    }
    const double share = std::max(m_longTermFrequency.share(sharedKey), m_shortTermFrequency.share(sharedKey));
    const double needed = std::max(share * static_cast<double>(n) / m_options.fillFactor, replicasForBurst(n));
    // Sizes are powers of two, so that routers whose counts differ slightly agree on the set, and a growing set keeps
    // its first half. A set shrinks only when it is far too large, because each change of its size moves conversations
    // away from their caches.
    auto stored = m_replicaSetSizes.find(sharedKey);
    std::size_t k = stored == m_replicaSetSizes.end() ? 1 : stored->second;
    while (k > 1 && needed < static_cast<double>(k) / shrinkThreshold) {
        k /= 2;
    }
    while (static_cast<double>(k) < needed && k < n) {
        k *= 2;
    }
    if (k > 1) {
        m_replicaSetSizes[sharedKey] = k;
        dropUntrackedReplicaSets();
    } else if (stored != m_replicaSetSizes.end()) {
        m_replicaSetSizes.erase(stored);
    }
    return std::min(k, n);
}

// Bounds the number of stored sizes, as the variety of prompts is unbounded: above the limit, the sizes of keys that
// neither sketch counts are dropped.
void PrefixAffinity::dropUntrackedReplicaSets()
{
    if (m_replicaSetSizes.size() <= replicaSetsPerTrackedKey * m_options.trackedKeys) {
        return;
    }
    std::erase_if(m_replicaSetSizes, [this](const auto &entry) {
        return !m_longTermFrequency.isTracked(entry.first) && !m_shortTermFrequency.isTracked(entry.first);
    });
}

std::optional<std::size_t> PrefixAffinity::pick(const Affinity &affinity, const Usable &usable, TimePoint now)
{
    m_longTermFrequency.count(affinity.shared, now);
    m_shortTermFrequency.count(affinity.shared, now);
    std::vector<std::pair<uint64_t, uint32_t>> order;
    order.reserve(m_hashes.size());
    for (uint32_t i = 0; i < m_hashes.size(); ++i) {
        if (usable[i]) {
            order.emplace_back(rendezvousScore(m_hashes[i], affinity.shared), i);
        }
    }
    if (order.empty()) {
        return std::nullopt;
    }
    const std::size_t k = replicas(affinity.shared, order.size());
    const std::size_t candidates = std::min(order.size(), k + spillCandidates);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(candidates), order.end(), std::greater<>());
    std::sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(k), [&](const auto &a, const auto &b) {
        return rendezvousScore(m_hashes[a.second], affinity.conversation) > rendezvousScore(m_hashes[b.second], affinity.conversation);
    });
    refreshMean(usable, now);
    const double limit = m_options.loadFactor * m_mean + m_options.slack;
    const auto ownLimit = ring::BoundedRing::bound(m_ownInflightTotal, order.size(), m_options.loadFactor);
    for (std::size_t step = 0; step < candidates; ++step) {
        const std::size_t member = order[step].second;
        if (m_loads[member].ownInflight() + 1 <= ownLimit && estimate(member, now) + 1 <= limit) {
            return member;
        }
    }
    // All candidates are at the bound: fall back to the least loaded usable member.
    auto least = std::min_element(order.begin(), order.end(), [&](const auto &a, const auto &b) {
        return estimate(a.second, now) < estimate(b.second, now);
    });
    return least->second;
}

BoundedLoadHashing::BoundedLoadHashing(int virtualNodes, double loadFactor)
    : m_ring(virtualNodes, loadFactor)
{
}

void BoundedLoadHashing::setMembers(std::vector<std::string> ids)
{
    std::sort(ids.begin(), ids.end());
    m_ownInflight = remapMemberState(m_ring.members(), m_ownInflight, ids);
    m_ring.setMembers(std::move(ids));
}

std::optional<std::size_t> BoundedLoadHashing::pick(const Affinity &affinity, const Usable &usable, TimePoint)
{
    std::vector<int64_t> loads = m_ownInflight;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        loads[i] = usable[i] ? loads[i] : ring::unavailable;
    }
    return m_ring.pick(affinity.conversation, loads);
}

void BoundedLoadHashing::requestStarted(std::size_t member, TimePoint)
{
    ++m_ownInflight[member];
}

void BoundedLoadHashing::requestFinished(std::size_t member, TimePoint)
{
    m_ownInflight[member] = std::max<int64_t>(0, m_ownInflight[member] - 1);
}

std::optional<std::size_t> LeastLoaded::pick(const Affinity &affinity, const Usable &usable, TimePoint now)
{
    std::optional<std::size_t> best;
    double bestLoad = 0;
    for (std::size_t i = 0; i < m_loads.size(); ++i) {
        if (!usable[i]) {
            continue;
        }
        // The requests of other routers in the last report fade with its age: calls to plain services are short, so an
        // old report says nothing about the present load.
        const double load = m_loads[i].estimate(static_cast<double>(m_loads[i].ownInflight()), now, m_reportLifetime);
        const bool tie = best && load == bestLoad;
        if (!best || load < bestLoad
            || (tie && rendezvousScore(m_hashes[i], affinity.conversation) > rendezvousScore(m_hashes[*best], affinity.conversation))) {
            best = i;
            bestLoad = load;
        }
    }
    return best;
}

double PromptHome::priorLoad(const Usable &usable, TimePoint now) const
{
    return usableMeanLoad(usable, now, m_options.reportLifetime);
}

LoadView PromptHome::loadView(std::size_t member, TimePoint now) const
{
    const auto &load = m_loads[member];
    const double prior = priorLoad(Usable(m_loads.size(), true), now);
    return {load.estimate(prior, now, m_options.reportLifetime), serviceMeanLoad(now, m_options.reportLifetime), load.reportAge(now)};
}

// The bound that follows from the service's mean load.
double PromptHome::serviceLimit(TimePoint now) const
{
    return m_options.loadFactor * serviceMeanLoad(now, m_options.reportLifetime) + m_options.slack;
}

double PromptHome::loadLimit(const Usable &usable, TimePoint now) const
{
    return std::max(serviceLimit(now), m_options.usableMeanFactor * priorLoad(usable, now) + 1);
}

bool PromptHome::areAtBound(const Usable &members, TimePoint now) const
{
    return priorLoad(members, now) + 1 > serviceLimit(now);
}

// The share of the requests for a member over the load bound that this router sends elsewhere, 1 or more for all. All routers see the
// same reports, and see the effect of a decision only after some time: if each diverted all of its requests, the loads would oscillate.
// A router diverts in proportion to the excess, and more where many of the requests are its own: their number is known at once.
double PromptHome::diversionShare(std::size_t member, double load, double limit) const
{
    const double excess = load + 1 - limit;
    if (excess <= 0) {
        return 0;
    }
    const double ownShare = load > 0 ? static_cast<double>(m_loads[member].ownInflight()) / load : 1;
    return m_options.diversionGain * (1 + m_options.ownRequestWeight * ownShare) * excess / limit;
}

// Picks a usable member by the prompt's rendezvous order of this router, weighted by what is left of each load up to the limit. Routers
// that all picked the member that looks least loaded would overload it before the next report.
std::optional<std::size_t> PromptHome::pickByRoom(uint64_t key, const Usable &usable, const std::vector<double> &loads, double limit) const
{
    constexpr double minRoom = 0.01; // of a member at the bound, which is picked only if all are
    Best<double> best;
    for (std::size_t i = 0; i < m_loads.size(); ++i) {
        if (usable[i]) {
            const double uniform = (static_cast<double>(rendezvousScore(m_hashes[i], key) >> 11) + 0.5) * 0x1.0p-53;
            best.consider(i, std::log(uniform) / std::max(minRoom, limit - loads[i]));
        }
    }
    return best.member;
}

std::optional<std::size_t> PromptHome::pick(const Affinity &affinity, const Usable &usable, TimePoint now)
{
    const double prior = priorLoad(usable, now);
    const double limit = loadLimit(usable, now);
    const double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
    std::vector<double> loads(m_loads.size());
    Best<double> holder; // scores are negative loads
    Best<uint64_t> home;
    bool homeDiverted = false;
    for (std::size_t i = 0; i < m_loads.size(); ++i) {
        if (!usable[i]) {
            continue;
        }
        loads[i] = m_loads[i].estimate(prior, now, m_options.reportLifetime);
        const bool diverted = draw < diversionShare(i, loads[i], limit);
        if (home.consider(i, rendezvousScore(m_hashes[i], affinity.conversation))) {
            homeDiverted = diverted;
        }
        if (!diverted && std::find(affinity.holders.begin(), affinity.holders.end(), m_ids[i]) != affinity.holders.end()) {
            holder.consider(i, -loads[i]);
        }
    }
    if (holder.member) {
        return holder.member;
    }
    if (home.member && !homeDiverted) {
        return home.member;
    }
    return pickByRoom(affinity.conversation ^ m_options.spillSeed, usable, loads, limit);
}

void RoundRobin::setMembers(std::vector<std::string> ids)
{
    std::sort(ids.begin(), ids.end());
    m_ids = std::move(ids);
}

std::optional<std::size_t> RoundRobin::pick(const Affinity &, const Usable &usable, TimePoint)
{
    for (std::size_t step = 0; step < m_ids.size(); ++step) {
        const std::size_t m = m_next++ % m_ids.size();
        if (usable[m]) {
            return m;
        }
    }
    return std::nullopt;
}

} // namespace yucca::placement
