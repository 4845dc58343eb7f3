#include "yucca/placement.h"

#include "member_state.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace yucca::placement
{

namespace
{

constexpr std::size_t spillWalk = 8; ///< members past the replica set that a spill tries in order
constexpr double decayStepS = 0.25; ///< counts decay at most once in this time
constexpr std::chrono::milliseconds meanLifetime{200}; ///< the pool's mean load is refreshed this often
constexpr double coldCount = 40.0; ///< below this many counted requests no key's share is trusted
constexpr std::size_t heldSetsPerCountedKey = 3; ///< widths remembered, for each key a sketch counts
constexpr double shrinkBelow = 8.0; ///< a replica set this many times too wide is halved
constexpr double negligible = 0.01; ///< a decayed count below this is forgotten
constexpr double cautionSigmas = 1.0; ///< standard errors taken off a count before it is trusted

} // namespace

HeatSketch::HeatSketch(std::size_t capacity, std::chrono::duration<double> halfLife)
    : m_capacity(capacity)
    , m_halfLifeS(halfLife.count())
{
}

// Lets all counts decay to the present, and forgets the negligible ones.
void HeatSketch::decay(TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - m_lastDecay).count();
    if (m_total > 0 && elapsed < decayStepS) {
        return;
    }
    m_lastDecay = now;
    const double keep = std::exp2(-elapsed / m_halfLifeS);
    m_total *= keep;
    for (auto it = m_counts.begin(); it != m_counts.end();) {
        it->second *= keep;
        it = it->second < negligible ? m_counts.erase(it) : std::next(it);
    }
}

void HeatSketch::count(uint64_t key, TimePoint now)
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
        // Space saving: the rarest key gives its place and its count.
        auto rarest = std::min_element(m_counts.begin(), m_counts.end(), [](const auto &a, const auto &b) {
            return a.second != b.second ? a.second < b.second : a.first < b.first;
        });
        inherited = rarest->second;
        m_counts.erase(rarest);
    }
    m_counts.emplace(key, inherited + 1);
}

double HeatSketch::share(uint64_t key) const
{
    auto it = m_counts.find(key);
    if (it == m_counts.end() || m_total <= 0) {
        return 0;
    }
    const double cautious = it->second - cautionSigmas * std::sqrt(it->second);
    return std::max(0.0, cautious / m_total);
}

PrefixAffinity::PrefixAffinity(AffinityOptions options)
    : m_options(options)
    , m_heat(options.heatKeys, options.heatHalfLife)
    , m_surge(options.heatKeys, options.surgeHalfLife)
{
}

void PrefixAffinity::setMembers(std::vector<std::string> ids)
{
    std::sort(ids.begin(), ids.end());
    m_loads = carryOver(m_ids, m_loads, ids);
    m_ids = std::move(ids);
    m_hashes = hashesOf(m_ids);
    m_ownTotal = 0;
    for (const auto &load : m_loads) {
        m_ownTotal += load.own();
    }
    m_meanStale = true;
}

void PrefixAffinity::placed(std::size_t member, TimePoint)
{
    m_loads[member].placed();
    ++m_ownTotal;
}

void PrefixAffinity::finished(std::size_t member, TimePoint)
{
    m_ownTotal -= m_loads[member].own() > 0 ? 1 : 0;
    m_loads[member].finished();
}

void PrefixAffinity::reported(std::size_t member, int64_t load, TimePoint now)
{
    m_loads[member].reported(load, now);
}

void PrefixAffinity::refreshMean(const Usable &usable, TimePoint now)
{
    if (!m_meanStale && now - m_meanAt < meanLifetime) {
        return;
    }
    m_meanStale = false;
    m_meanAt = now;
    m_mean = meanLoad(m_loads, usable, now, m_options.reportLifetime, Unreported::LeaveOut);
}

// A key that surges reaches every router at once, and each sends its first
// request before it can know. The set must be wide enough that one request
// from each router still fills only a part of a mean engine's load; what a
// router sends of an engine's mean load tells how many routers there are.
double PrefixAffinity::sliverReplicas(std::size_t n) const
{
    const double ownMean = static_cast<double>(m_ownTotal) / static_cast<double>(n);
    return ownMean > 0 ? 1.0 / (m_options.onsetFactor * ownMean) : 1.0;
}

std::size_t PrefixAffinity::replicas(uint64_t sharedKey, std::size_t n)
{
    if (m_heat.total() < coldCount) {
        return n; // nothing known yet: any key may be a hot one
    }
    const double share = std::max(m_heat.share(sharedKey), m_surge.share(sharedKey));
    const double needed = std::max(share * static_cast<double>(n) / m_options.fillFactor, sliverReplicas(n));
    // Powers of two: routers whose counts differ a little agree on the set,
    // and a set that grows keeps its first half. A set shrinks only when far
    // too wide: each change of its width moves conversations off their caches.
    auto held = m_replicas.find(sharedKey);
    std::size_t k = held == m_replicas.end() ? 1 : held->second;
    while (k > 1 && needed < static_cast<double>(k) / shrinkBelow) {
        k /= 2;
    }
    while (static_cast<double>(k) < needed && k < n) {
        k *= 2;
    }
    if (k > 1) {
        m_replicas[sharedKey] = k;
        forgetColdSets();
    } else if (held != m_replicas.end()) {
        m_replicas.erase(held);
    }
    return std::min(k, n);
}

// Bounds the memory of widths: prompts come in endless variety. Once there
// are too many, those of keys that are no longer counted go.
void PrefixAffinity::forgetColdSets()
{
    if (m_replicas.size() <= heldSetsPerCountedKey * m_options.heatKeys) {
        return;
    }
    std::erase_if(m_replicas, [this](const auto &held) {
        return !m_heat.counts(held.first) && !m_surge.counts(held.first);
    });
}

std::optional<std::size_t> PrefixAffinity::pick(const Affinity &affinity, const Usable &usable, TimePoint now)
{
    m_heat.count(affinity.shared, now);
    m_surge.count(affinity.shared, now);
    std::vector<std::pair<uint64_t, uint32_t>> order;
    order.reserve(m_hashes.size());
    for (uint32_t i = 0; i < m_hashes.size(); ++i) {
        if (usable[i]) {
            order.emplace_back(rank(m_hashes[i], affinity.shared), i);
        }
    }
    if (order.empty()) {
        return std::nullopt;
    }
    const std::size_t k = replicas(affinity.shared, order.size());
    const std::size_t walk = std::min(order.size(), k + spillWalk);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(walk), order.end(), std::greater<>());
    std::sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(k), [&](const auto &a, const auto &b) {
        return rank(m_hashes[a.second], affinity.conversation) > rank(m_hashes[b.second], affinity.conversation);
    });
    refreshMean(usable, now);
    const double limit = m_options.loadFactor * m_mean + m_options.slack;
    const auto ownLimit = ring::BoundedRing::bound(m_ownTotal, order.size(), m_options.loadFactor);
    for (std::size_t step = 0; step < walk; ++step) {
        const std::size_t member = order[step].second;
        if (m_loads[member].own() + 1 <= ownLimit && estimate(member, now) + 1 <= limit) {
            return member;
        }
    }
    // All of them are at the bound: the least loaded of the pool.
    auto least = std::min_element(order.begin(), order.end(), [&](const auto &a, const auto &b) {
        return estimate(a.second, now) < estimate(b.second, now);
    });
    return least->second;
}

OwnBound::OwnBound(int virtualNodes, double loadFactor)
    : m_ring(virtualNodes, loadFactor)
{
}

void OwnBound::setMembers(std::vector<std::string> ids)
{
    std::sort(ids.begin(), ids.end());
    m_own = carryOver(m_ring.members(), m_own, ids);
    m_ring.setMembers(std::move(ids));
}

std::optional<std::size_t> OwnBound::pick(const Affinity &affinity, const Usable &usable, TimePoint)
{
    std::vector<int64_t> loads = m_own;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        loads[i] = usable[i] ? loads[i] : ring::unavailable;
    }
    return m_ring.pick(affinity.conversation, loads);
}

void OwnBound::placed(std::size_t member, TimePoint)
{
    ++m_own[member];
}

void OwnBound::finished(std::size_t member, TimePoint)
{
    m_own[member] = std::max<int64_t>(0, m_own[member] - 1);
}

std::optional<std::size_t> LeastLoaded::pick(const Affinity &affinity, const Usable &usable, TimePoint now)
{
    std::optional<std::size_t> best;
    double bestLoad = 0;
    for (std::size_t i = 0; i < m_loads.size(); ++i) {
        if (!usable[i]) {
            continue;
        }
        // What others had in flight at the last report fades with its age:
        // plain calls are short, and an old report says nothing of now.
        const double load = m_loads[i].estimate(static_cast<double>(m_loads[i].own()), now, m_reportLifetime);
        const bool tie = best && load == bestLoad;
        if (!best || load < bestLoad || (tie && rank(m_hashes[i], affinity.conversation) > rank(m_hashes[*best], affinity.conversation))) {
            best = i;
            bestLoad = load;
        }
    }
    return best;
}

std::optional<std::size_t> PromptHome::pick(const Affinity &affinity, const Usable &usable, TimePoint now)
{
    const double mean = serviceMean(now, m_options.reportLifetime);
    // What is believed of a member without a fresh report: the mean of those that get work.
    const double prior = meanLoad(m_loads, usable, now, m_options.reportLifetime, Unreported::CountOwn);
    const double limit = std::max(m_options.loadFactor * mean + m_options.slack, m_options.leastFactor * prior + 1);
    std::optional<std::size_t> home;
    bool homeHolds = false;
    double homeLoad = 0;
    uint64_t homeRank = 0;
    std::optional<std::size_t> least;
    double leastLoad = 0;
    for (std::size_t i = 0; i < m_loads.size(); ++i) {
        if (!usable[i]) {
            continue;
        }
        const double load = m_loads[i].estimate(prior, now, m_options.reportLifetime);
        const bool holds = std::find(affinity.holders.begin(), affinity.holders.end(), m_ids[i]) != affinity.holders.end();
        const auto inOrder = rank(m_hashes[i], affinity.conversation);
        const bool better = !home || (holds != homeHolds ? holds : holds ? load < homeLoad : inOrder > homeRank);
        if (load + 1 <= limit && better) {
            home = i;
            homeHolds = holds;
            homeLoad = load;
            homeRank = inOrder;
        }
        if (!least || load < leastLoad) {
            least = i;
            leastLoad = load;
        }
    }
    return home ? home : least;
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
