// Constraints of the routing table besides load: evacuated failure domains, allowed regions, and the limit on cold
// endpoints.
#include "name_digest.h"
#include "router_core.h"

#include <algorithm>

namespace yucca::router
{

namespace
{

/// An incarnation that returns to the list within this time has not restarted: the store lost its entry, or was
/// unavailable.
constexpr Millis relistWindow{30000};

/// The share of the requests to cold endpoints that a router withholds from less urgent requests, per priority level
/// below the highest, so that they do not displace urgent ones.
constexpr double reservedPerPriority = 0.15;
constexpr int maxReservedPriorities = 4;

/// How long a version that is no longer listed may have streams that callers take up.
constexpr Millis versionMemory{60000};

constexpr Millis roomReportLifetime{1000}; ///< how long a report shows that a brittle endpoint has room

} // namespace

void RoutingTable::setEvacuated(std::set<std::string> domains, Clock::time_point revokedAt)
{
    std::lock_guard lock(m_mutex);
    if (m_evacuated == domains) {
        return;
    }
    for (const auto &[id, e] : m_endpoints) {
        if (isEvacuated(e) && !domains.count(e.zone)) {
            extendCold(e.id, revokedAt + m_coldLimiter.coldDuration(e.pool));
        }
    }
    m_evacuated = std::move(domains);
    rebuildPools();
}

std::set<std::string> RoutingTable::evacuated() const
{
    std::lock_guard lock(m_mutex);
    return m_evacuated;
}

void RoutingTable::setColdAllowances(std::map<std::string, limits::ColdAllowance> allowances)
{
    std::lock_guard lock(m_mutex);
    m_coldLimiter.setAllowances(std::move(allowances));
}

void RoutingTable::setRouters(const std::string &self, const std::vector<std::string> &others)
{
    std::lock_guard lock(m_mutex);
    m_coldLimiter.setRouters(self, others);
    m_rejections.setRouters(self, others);
}

void RoutingTable::recordCold(const std::string &id, Clock::time_point until)
{
    std::lock_guard lock(m_mutex);
    if (findListed(id)) {
        extendCold(id, until);
        auto &before = m_health[id].coldUntilBefore;
        before = std::max(before, until);
    }
}

void RoutingTable::extendCold(const std::string &id, Clock::time_point until)
{
    auto &coldUntil = m_health[id].coldUntil;
    coldUntil = std::max(coldUntil, until);
}

// Assumes that an endpoint which joined or does not answer has just started: its own report of this arrives a heartbeat
// late, or never.
void RoutingTable::assumeCold(const Endpoint &endpoint, Clock::time_point now)
{
    const auto coldDuration = m_coldLimiter.coldDuration(endpoint.pool);
    if (coldDuration > Millis(0) && !m_unlistedAt.count(incarnationKey(endpoint))) {
        extendCold(endpoint.id, now + coldDuration);
    }
}

void RoutingTable::pruneUnlisted(Clock::time_point now)
{
    std::erase_if(m_unlistedAt, [now](const auto &entry) {
        return now - entry.second > relistWindow;
    });
}

// Whether the service limits its cold endpoints is checked here, not when the cold period is recorded: an endpoint may
// be listed before the configuration.
bool RoutingTable::isCold(const Endpoint &endpoint, Clock::time_point now) const
{
    const auto health = m_health.find(endpoint.id);
    return health != m_health.end() && health->second.coldUntil > now && m_coldLimiter.isLimited(endpoint.pool);
}

std::size_t RoutingTable::coldCount(Clock::time_point now) const
{
    std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(std::count_if(m_endpoints.begin(), m_endpoints.end(), [&](const auto &entry) {
        return isCold(entry.second, now);
    }));
}

// Marks the cold members usable that this router may send to now. If no other member is usable, a part of the allowance
// is withheld for more urgent requests.
std::size_t RoutingTable::allowCold(const std::string &name, const Pool &pool, const std::vector<std::size_t> &cold, int priority, std::size_t warm,
                                    Clock::time_point now, placement::Usable &usable)
{
    std::size_t free = 0;
    std::size_t totalShare = 0;
    std::vector<std::size_t> allowed;
    for (const auto member : cold) {
        const auto &id = pool.members[member]->id;
        const auto left = m_coldLimiter.available(name, id, now);
        free += left;
        totalShare += m_coldLimiter.share(name, id);
        if (left > 0) {
            allowed.push_back(member);
        }
    }
    const auto reserved = reservedPerPriority * std::clamp(priority, 0, maxReservedPriorities) * static_cast<double>(totalShare);
    if (warm == 0 && static_cast<double>(free) <= reserved) {
        return 0;
    }
    for (const auto member : allowed) {
        usable[member] = true;
    }
    return allowed.size();
}

void RoutingTable::countVersion(const Endpoint &endpoint, int difference, Batch &batch)
{
    auto &counts = m_versions[endpoint.pool].counts;
    auto &count = counts[endpoint.version];
    count += static_cast<std::size_t>(difference);
    if (count == 0) {
        counts.erase(endpoint.version);
    }
    batch.versionsOf.insert(endpoint.pool);
}

// A pool without endpoints keeps the versions of its last ones.
void RoutingTable::recordVersions(const Batch &batch)
{
    for (const auto &pool : batch.versionsOf) {
        auto &held = m_versions[pool];
        std::set<std::string> versions;
        for (const auto &[version, count] : held.counts) {
            versions.insert(version);
        }
        if (versions.empty()) {
            continue;
        }
        const bool replaced = !held.versions.empty() && held.versions != versions;
        held.mixedAt = replaced || versions.size() > 1 ? batch.now : held.mixedAt;
        held.versions = std::move(versions);
    }
}

std::map<std::string, std::set<std::string>> RoutingTable::listedVersions() const
{
    std::lock_guard lock(m_mutex);
    std::map<std::string, std::set<std::string>> versions;
    for (const auto &[pool, held] : m_versions) {
        if (!held.versions.empty()) {
            versions.emplace(pool, held.versions);
        }
    }
    return versions;
}

std::optional<std::string> RoutingTable::findVersion(const std::string &pool, const std::string &abbreviated) const
{
    if (!names::isDigest(abbreviated)) {
        return abbreviated;
    }
    std::lock_guard lock(m_mutex);
    const auto held = m_versions.find(pool);
    if (held == m_versions.end()) {
        return std::nullopt;
    }
    for (const auto &version : held->second.versions) {
        if (names::abbreviate(version, names::maxVersionBytes) == abbreviated) {
            return version;
        }
    }
    return std::nullopt;
}

std::optional<std::string> RoutingTable::soleVersion(const std::string &pool, Clock::time_point now) const
{
    std::lock_guard lock(m_mutex);
    const auto it = m_versions.find(pool);
    if (it == m_versions.end() || it->second.versions.size() != 1) {
        return std::nullopt;
    }
    const bool mixedRecently = it->second.mixedAt != Clock::time_point::min() && now - it->second.mixedAt < versionMemory;
    return mixedRecently ? std::nullopt : std::optional(*it->second.versions.begin());
}

void RoutingTable::recordRejectionLimit(const Endpoint &endpoint, std::optional<int64_t> maxPerSecond, Clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    m_rejections.recordStatement(endpoint.pool, maxPerSecond, now);
}

void RoutingTable::recordAccepted(const Endpoint &endpoint, Clock::time_point sentAt)
{
    std::lock_guard lock(m_mutex);
    m_rejections.recordAccepted(endpoint.id, sentAt);
}

// True if the newest report, own or a peer's, shows an endpoint that is at most half full.
bool RoutingTable::hasRoom(const Health &health, Clock::time_point now)
{
    const bool peerIsNewer = health.peerReceivedAt > health.receivedAt;
    const auto load = peerIsNewer ? health.peerLoad : health.reportedLoad;
    const auto at = peerIsNewer ? health.peerReceivedAt : health.receivedAt;
    return now - at <= roomReportLifetime && 2 * std::max(load, health.inflight) < health.slots;
}

bool RoutingTable::mayRiskRejection(const Endpoint &endpoint, Clock::time_point now)
{
    return !m_rejections.isBrittle(endpoint.pool, now) || hasRoom(m_health[endpoint.id], now) || m_rejections.available(endpoint.pool, endpoint.id, now) > 0;
}

// True if the pool's policy has a load bound and the given members are at it.
bool RoutingTable::areAtBound(const Pool &pool, const placement::Usable &members, Clock::time_point now)
{
    return std::visit(
        [&](const auto &picker) {
            if constexpr (requires { picker.areAtBound(members, now); }) {
                return picker.areAtBound(members, now);
            }
            return false;
        },
        pool.picker);
}

// The index of the member that the pool's policy picks. Cold members take what they may where the others are at the load bound.
std::optional<std::size_t> RoutingTable::pickMember(const std::string &name, Pool &pool, const placement::Affinity &requestAffinity,
                                                    const std::set<std::string> &exclude, Clock::time_point now, const PlacementConstraints &constraints)
{
    placement::Affinity affinity = requestAffinity;
    for (const auto &holder : likelyHolders(requestAffinity.conversation, now, constraints)) {
        affinity.holders.push_back(holder.id);
    }
    placement::Usable usable(pool.members.size());
    std::vector<std::size_t> cold;
    std::size_t warm = 0;
    const bool limited = m_coldLimiter.isLimited(name);
    for (std::size_t i = 0; i < pool.members.size(); ++i) {
        const auto &m = *pool.members[i];
        const auto &health = *pool.health[i];
        const bool candidate = !exclude.count(m.id) && !m_refusals.backOffEnd(m.id, now) && health.suspectUntil <= now && health.ejectedUntil <= now
            && constraints.allows(m) && mayRiskRejection(m, now);
        if (candidate && limited && health.coldUntil > now) {
            cold.push_back(i);
        } else if (candidate) {
            usable[i] = true;
            ++warm;
        }
    }
    if (!cold.empty()) {
        const placement::Usable warmMembers = usable;
        const auto allowed = allowCold(name, pool, cold, constraints.priority, warm, now, usable);
        if (allowed > 0 && warm > 0 && areAtBound(pool, warmMembers, now)) {
            for (std::size_t i = 0; i < usable.size(); ++i) {
                usable[i] = usable[i] && !warmMembers[i];
            }
        }
    }
    return std::visit(
        [&](auto &picker) {
            return picker.pick(affinity, usable, now);
        },
        pool.picker);
}

std::optional<Endpoint> RoutingTable::acquire(const std::string &pool, const placement::Affinity &affinity, const std::set<std::string> &exclude,
                                              Clock::time_point now, const PlacementConstraints &constraints)
{
    std::lock_guard lock(m_mutex);
    auto it = m_pools.find(pool);
    const auto index = it == m_pools.end() ? std::nullopt : pickMember(pool, it->second, affinity, exclude, now, constraints);
    if (!index) {
        return std::nullopt;
    }
    std::visit(
        [&](auto &picker) {
            picker.requestStarted(*index, now);
        },
        it->second.picker);
    const Endpoint &chosen = *it->second.members[*index];
    ++it->second.health[*index]->inflight;
    ++it->second.health[*index]->placed;
    m_busy.insert(chosen.id);
    m_coldLimiter.recordSend(pool, chosen.id, now);
    if (m_rejections.isBrittle(pool, now)) {
        m_rejections.recordSend(pool, chosen.id, now);
    }
    return chosen;
}

bool RoutingTable::acquireForResend(const Endpoint &endpoint, Clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    if (m_refusals.refuses(endpoint, now) || isEvacuated(endpoint) || !mayRiskRejection(endpoint, now)
        || (isCold(endpoint, now) && m_coldLimiter.available(endpoint.pool, endpoint.id, now) == 0)) {
        return false;
    }
    m_coldLimiter.recordSend(endpoint.pool, endpoint.id, now);
    if (m_rejections.isBrittle(endpoint.pool, now)) {
        m_rejections.recordSend(endpoint.pool, endpoint.id, now);
    }
    return true;
}

// True if the endpoint has failed recently or is leaving.
bool RoutingTable::isFailedOrLeaving(const Endpoint &endpoint, Clock::time_point now) const
{
    const auto health = m_health.find(endpoint.id);
    const bool failed = health != m_health.end() && (health->second.suspectUntil > now || health->second.ejectedUntil > now);
    return failed || m_refusals.isLeaving(endpoint);
}

std::optional<Clock::time_point> RoutingTable::earliestBackOffEnd(const std::string &pool, Clock::time_point now, const PlacementConstraints &constraints) const
{
    std::lock_guard lock(m_mutex);
    std::optional<Clock::time_point> first;
    for (const auto &[id, e] : m_endpoints) {
        if (e.pool != pool || isEvacuated(e) || isFailedOrLeaving(e, now) || !constraints.allows(e)) {
            continue;
        }
        const auto until = m_refusals.backOffEnd(e.id, now);
        if (!until) {
            return std::nullopt;
        }
        first = first ? std::min(*first, *until) : *until;
    }
    return first;
}

NoEndpointReason RoutingTable::noEndpointReason(const std::string &pool, const std::set<std::string> &exclude, Clock::time_point now,
                                                const PlacementConstraints &constraints)
{
    std::lock_guard lock(m_mutex);
    bool evacuated = false;
    bool brittle = false;
    bool cold = false;
    bool otherRegion = false;
    bool otherVersion = false;
    for (const auto &[id, e] : m_endpoints) {
        if (e.pool != pool || exclude.count(e.id) || isFailedOrLeaving(e, now)) {
            continue;
        }
        const bool inRegion = constraints.regions.allows(e.region);
        const bool allowed = constraints.allows(e);
        otherRegion = otherRegion || !inRegion;
        otherVersion = otherVersion || (inRegion && !allowed);
        evacuated = evacuated || (allowed && isEvacuated(e));
        brittle = brittle || (allowed && !isEvacuated(e) && !mayRiskRejection(e, now));
        cold = cold || (allowed && !isEvacuated(e) && isCold(e, now));
    }
    if (brittle) {
        return NoEndpointReason::Brittle;
    }
    if (cold) {
        return NoEndpointReason::Cold;
    }
    if (evacuated) {
        return NoEndpointReason::Evacuated;
    }
    if (constraints.version && otherVersion) {
        return NoEndpointReason::Version;
    }
    return otherRegion ? NoEndpointReason::Region : NoEndpointReason::Unusable;
}

} // namespace yucca::router
