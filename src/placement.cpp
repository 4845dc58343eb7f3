#include "yucca/placement.h"

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

// Mixes a member's hash with a key: the member's rank in the key's
// rendezvous order (the finalizer of SplitMix64).
uint64_t rank(uint64_t member, uint64_t key)
{
    uint64_t x = member ^ (key * 0x9e3779b97f4a7c15ULL);
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

// Moves per-member state to the new order of the members: what stays keeps
// its state, what is new starts empty.
template <typename State>
std::vector<State> carryOver(const std::vector<std::string> &oldIds, const std::vector<State> &old, const std::vector<std::string> &newIds)
{
    std::vector<State> out(newIds.size());
    for (std::size_t i = 0; i < newIds.size(); ++i) {
        const auto at = std::lower_bound(oldIds.begin(), oldIds.end(), newIds[i]);
        if (at != oldIds.end() && *at == newIds[i]) {
            out[i] = old[static_cast<std::size_t>(at - oldIds.begin())];
        }
    }
    return out;
}

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
    m_members = carryOver(m_ids, m_members, ids);
    m_ids = std::move(ids);
    m_ownTotal = 0;
    for (std::size_t i = 0; i < m_ids.size(); ++i) {
        m_members[i].hash = ring::hash(m_ids[i]);
        m_ownTotal += m_members[i].own;
    }
    m_meanStale = true;
}

void PrefixAffinity::placed(std::size_t member, TimePoint)
{
    ++m_members[member].own;
    ++m_ownTotal;
}

void PrefixAffinity::finished(std::size_t member, TimePoint)
{
    auto &own = m_members[member].own;
    if (own > 0) {
        --own;
        --m_ownTotal;
    }
}

void PrefixAffinity::reported(std::size_t member, int64_t load, TimePoint now)
{
    auto &m = m_members[member];
    m.report = load;
    m.ownAtReport = m.own;
    m.reportedAt = now;
}

// A fresh report counts as it is, corrected by what this router has sent
// and finished since; with age it gives way to the pool's mean.
double PrefixAffinity::estimate(const Member &m, TimePoint now) const
{
    const double floor = static_cast<double>(m.own);
    if (m.report < 0) {
        return std::max(floor, m_mean);
    }
    const double age = std::chrono::duration<double>(now - m.reportedAt).count();
    const double weight = std::exp(-std::max(0.0, age) / m_options.reportLifetime.count());
    const double corrected = static_cast<double>(m.report + m.own - m.ownAtReport);
    return std::max(floor, weight * corrected + (1 - weight) * m_mean);
}

// The pool's mean load: of the reports, weighted by their age, over the
// members that may be used; never below the mean of what this router sent.
void PrefixAffinity::refreshMean(const Usable &usable, TimePoint now)
{
    if (!m_meanStale && now - m_meanAt < meanLifetime) {
        return;
    }
    m_meanStale = false;
    m_meanAt = now;
    // Reports age slower here than in a member's own estimate: the mean of a
    // pool moves slowly, and many reports average out.
    const double lifetime = 5 * m_options.reportLifetime.count();
    double sum = 0;
    double weights = 0;
    int64_t own = 0;
    std::size_t n = 0;
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        if (!usable[i]) {
            continue;
        }
        const auto &m = m_members[i];
        ++n;
        own += m.own;
        if (m.report >= 0) {
            const double age = std::chrono::duration<double>(now - m.reportedAt).count();
            const double w = std::exp(-std::max(0.0, age) / lifetime);
            sum += w * static_cast<double>(m.report);
            weights += w;
        }
    }
    const double ownMean = n ? static_cast<double>(own) / static_cast<double>(n) : 0;
    m_mean = weights > 0 ? std::max(ownMean, sum / weights) : ownMean;
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
    order.reserve(m_members.size());
    for (uint32_t i = 0; i < m_members.size(); ++i) {
        if (usable[i]) {
            order.emplace_back(rank(m_members[i].hash, affinity.shared), i);
        }
    }
    if (order.empty()) {
        return std::nullopt;
    }
    const std::size_t k = replicas(affinity.shared, order.size());
    const std::size_t walk = std::min(order.size(), k + spillWalk);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(walk), order.end(), std::greater<>());
    std::sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(k), [&](const auto &a, const auto &b) {
        return rank(m_members[a.second].hash, affinity.conversation) > rank(m_members[b.second].hash, affinity.conversation);
    });
    refreshMean(usable, now);
    const double limit = m_options.loadFactor * m_mean + m_options.slack;
    const auto ownLimit = ring::BoundedRing::bound(m_ownTotal, order.size(), m_options.loadFactor);
    for (std::size_t step = 0; step < walk; ++step) {
        const auto &m = m_members[order[step].second];
        if (m.own + 1 <= ownLimit && estimate(m, now) + 1 <= limit) {
            return order[step].second;
        }
    }
    // All of them are at the bound: the least loaded of the pool.
    auto least = std::min_element(order.begin(), order.end(), [&](const auto &a, const auto &b) {
        return estimate(m_members[a.second], now) < estimate(m_members[b.second], now);
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

void LeastLoaded::setMembers(std::vector<std::string> ids)
{
    std::sort(ids.begin(), ids.end());
    m_members = carryOver(m_ids, m_members, ids);
    m_ids = std::move(ids);
    for (std::size_t i = 0; i < m_ids.size(); ++i) {
        m_members[i].hash = ring::hash(m_ids[i]);
    }
}

// What others had in flight at the last report fades with its age: plain
// calls are short, and an old report says nothing of now.
double LeastLoaded::estimate(const Member &m, TimePoint now) const
{
    const double age = std::chrono::duration<double>(now - m.reportedAt).count();
    const double others = static_cast<double>(std::max<int64_t>(0, m.report - m.ownAtReport));
    return static_cast<double>(m.own) + others * std::exp(-std::max(0.0, age) / m_reportLifetime.count());
}

std::optional<std::size_t> LeastLoaded::pick(const Affinity &affinity, const Usable &usable, TimePoint now)
{
    std::optional<std::size_t> best;
    double bestLoad = 0;
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        if (!usable[i]) {
            continue;
        }
        const auto &m = m_members[i];
        const double load = estimate(m, now);
        const bool tie = best && load == bestLoad;
        if (!best || load < bestLoad || (tie && rank(m.hash, affinity.conversation) > rank(m_members[*best].hash, affinity.conversation))) {
            best = i;
            bestLoad = load;
        }
    }
    return best;
}

void LeastLoaded::placed(std::size_t member, TimePoint)
{
    ++m_members[member].own;
}

void LeastLoaded::finished(std::size_t member, TimePoint)
{
    m_members[member].own = std::max<int64_t>(0, m_members[member].own - 1);
}

void LeastLoaded::reported(std::size_t member, int64_t load, TimePoint now)
{
    auto &m = m_members[member];
    m.report = load;
    m.ownAtReport = m.own;
    m.reportedAt = now;
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
