#include "router_core.h"

#include <algorithm>

namespace yucca::router
{

namespace
{

bool byId(const Endpoint &a, const Endpoint &b)
{
    return a.id < b.id;
}

// The index of an endpoint in a list sorted by id.
std::optional<std::size_t> findById(const std::vector<Endpoint> &sorted, const std::string &id)
{
    auto it = std::lower_bound(sorted.begin(), sorted.end(), id, [](const Endpoint &e, const std::string &want) {
        return e.id < want;
    });
    if (it == sorted.end() || it->id != id) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(it - sorted.begin());
}

bool contains(const std::vector<Endpoint> &sorted, const std::string &id)
{
    return findById(sorted, id).has_value();
}

// The endpoints in the given state, sorted by id.
std::vector<Endpoint> endpointsInState(const std::vector<Endpoint> &endpoints, EndpointState state)
{
    std::vector<Endpoint> out;
    std::copy_if(endpoints.begin(), endpoints.end(), std::back_inserter(out), [state](const Endpoint &e) {
        return e.state == state;
    });
    std::sort(out.begin(), out.end(), byId);
    return out;
}

} // namespace

RoutingTable::RoutingTable(TableOptions options)
    : m_options(options)
{
}

bool RoutingTable::setEndpoints(const std::vector<Endpoint> &endpoints, Clock::time_point now)
{
    auto live = endpointsInState(endpoints, EndpointState::Live);
    auto leaving = endpointsInState(endpoints, EndpointState::Leaving);
    std::lock_guard lock(m_mutex);
    keepLaterStarts(live);
    m_leaving = std::move(leaving);
    m_refusals.dropExpired(live, now);
    if (live == m_endpoints) {
        recordVersions(now);
        return false;
    }
    // An endpoint that left the VM list and returned starts without failures. An endpoint that is gone is dropped once
    // this router has nothing in flight on it.
    for (auto it = m_health.begin(); it != m_health.end();) {
        const bool listed = contains(live, it->first);
        if (listed && !contains(m_endpoints, it->first)) {
            it->second.failures = 0;
            it->second.suspectUntil = {};
        }
        it = !listed && it->second.inflight == 0 ? m_health.erase(it) : std::next(it);
    }
    for (const auto &e : m_endpoints) {
        if (!contains(live, e.id)) {
            m_unlistedAt[incarnationKey(e)] = now;
        }
    }
    pruneUnlisted(now);
    std::set<std::string> restarted;
    for (const auto &e : live) {
        const auto before = findById(m_endpoints, e.id);
        if (before && !sameIncarnation(m_endpoints[*before], e)) {
            m_health[e.id] = {};
            restarted.insert(e.id);
            ++m_restarts;
        }
        if (!before && e.startedAtMs == 0) {
            m_refusals.recordLeaving(e, false, now); // an endpoint without a start time: only its return to the list indicates a new incarnation
        }
        if (!m_endpoints.empty() && (!before || restarted.count(e.id))) {
            m_health[e.id].joinedAt = now;
            assumeCold(e, now);
        }
    }
    m_endpoints = std::move(live);
    recordVersions(now);
    rebuildPools(restarted);
    return true;
}

// The record of a live or leaving endpoint, or null.
const Endpoint *RoutingTable::findListed(const std::string &id) const
{
    for (const auto *list : {&m_endpoints, &m_leaving}) {
        if (const auto place = findById(*list, id)) {
            return &(*list)[*place];
        }
    }
    return nullptr;
}

// Restores the start times of incarnations that are known to be later than the listed ones: a store that was restored from a
// backup lists an incarnation that has ended.
void RoutingTable::keepLaterStarts(std::vector<Endpoint> &live) const
{
    for (auto &e : live) {
        const auto known = findById(m_endpoints, e.id);
        if (known) {
            e.startedAtMs = std::max(e.startedAtMs, m_endpoints[*known].startedAtMs);
        }
    }
}

uint64_t RoutingTable::restartCount() const
{
    std::lock_guard lock(m_mutex);
    return m_restarts;
}

bool RoutingTable::isCurrentIncarnation(const Endpoint &endpoint) const
{
    std::lock_guard lock(m_mutex);
    return !isSuperseded(endpoint);
}

// True if a later incarnation of the endpoint is listed.
bool RoutingTable::isSuperseded(const Endpoint &endpoint) const
{
    const auto *current = findListed(endpoint.id);
    return current && !sameIncarnation(*current, endpoint);
}

ListingState RoutingTable::listingState(const Endpoint &endpoint) const
{
    std::lock_guard lock(m_mutex);
    if (isSuperseded(endpoint)) {
        return ListingState::Restarted;
    }
    if (!findListed(endpoint.id)) {
        return ListingState::Unlisted;
    }
    return m_refusals.isLeaving(endpoint) || !contains(m_endpoints, endpoint.id) ? ListingState::Leaving : ListingState::Live;
}

bool RoutingTable::recordLeaving(const Endpoint &endpoint, bool leaving, Clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    const bool changed = m_refusals.recordLeaving(endpoint, leaving, now);
    if (changed) {
        rebuildPools();
    }
    return changed;
}

bool RoutingTable::backsOff(const Endpoint &endpoint, Clock::time_point now) const
{
    std::lock_guard lock(m_mutex);
    return m_refusals.backOffEnd(endpoint.id, now).has_value();
}

bool RoutingTable::backOff(const Endpoint &endpoint, Clock::time_point until)
{
    std::lock_guard lock(m_mutex);
    return m_refusals.backOff(endpoint.id, until);
}

void RoutingTable::suspect(const std::string &id, Clock::time_point now)
{
    constexpr int maxDoublings = 10;
    std::lock_guard lock(m_mutex);
    auto &health = m_health[id];
    if (health.failures == 0) {
        health.coldUntilBefore = health.coldUntil;
    }
    const Millis pause = m_options.suspectDuration * (1 << std::min(health.failures, maxDoublings));
    ++health.failures;
    health.suspectUntil = now + std::min(pause, m_options.maxSuspectDuration);
    if (const auto *endpoint = findListed(id)) {
        assumeCold(*endpoint, now); // it may be restarting under the same id
    }
}

void RoutingTable::withdrawSuspicion(const std::string &id)
{
    std::lock_guard lock(m_mutex);
    const auto health = m_health.find(id);
    if (health != m_health.end() && health->second.failures > 0) {
        health->second.failures = 0;
        health->second.suspectUntil = {};
        health->second.coldUntil = health->second.coldUntilBefore;
    }
}

void RoutingTable::eject(const std::string &id, Clock::time_point until)
{
    std::lock_guard lock(m_mutex);
    m_health[id].ejectedUntil = until;
}

std::size_t RoutingTable::poolSize(const std::string &pool) const
{
    std::lock_guard lock(m_mutex);
    const auto it = m_pools.find(pool);
    return it == m_pools.end() ? 0 : it->second.members.size();
}

void RoutingTable::clearFailures(const std::string &id)
{
    std::lock_guard lock(m_mutex);
    auto &health = m_health[id];
    health.failures = 0;
    health.suspectUntil = {};
}

// An empty picker of the router's policy for the given kind of endpoints.
RoutingTable::Picker RoutingTable::makePicker(EndpointKind kind) const
{
    switch (kind == EndpointKind::Service ? m_options.servicePolicy : m_options.policy) {
    case Policy::Affinity:
        return placement::PrefixAffinity(m_options.affinity);
    case Policy::Bounded:
        return placement::BoundedLoadHashing(m_options.virtualNodes, m_options.affinity.loadFactor);
    case Policy::Home:
        return placement::PromptHome(m_options.home);
    case Policy::LeastLoaded:
        return placement::LeastLoaded();
    case Policy::RoundRobin:
        break;
    }
    return placement::RoundRobin();
}

// Updates the members of all pools to the endpoints that accept new requests. The pickers keep the state of members
// that stay, except for restarted ones.
void RoutingTable::rebuildPools(const std::set<std::string> &restarted)
{
    for (auto &[name, pool] : m_pools) {
        pool.members.clear();
    }
    m_poolNames.clear();
    for (const auto &e : m_endpoints) {
        m_poolNames[e.id] = e.pool;
        if (m_refusals.isLeaving(e) || isEvacuated(e)) {
            continue;
        }
        auto it = m_pools.find(e.pool);
        if (it == m_pools.end()) {
            it = m_pools.emplace(e.pool, Pool{e.kind, makePicker(e.kind), {}}).first;
        } else if (it->second.kind != e.kind) {
            it->second.kind = e.kind; // the endpoints may have been listed before the configuration set their kind
            it->second.picker = makePicker(e.kind);
        }
        it->second.members.push_back(e);
    }
    std::map<std::string, std::size_t> idleByPool;
    for (const auto &e : m_endpoints) {
        idleByPool[e.pool] += isEvacuated(e) ? 1 : 0;
    }
    for (auto it = m_pools.begin(); it != m_pools.end();) {
        std::vector<std::string> ids;
        for (const auto &m : it->second.members) {
            ids.push_back(m.id);
        }
        if (ids.empty()) {
            it = m_pools.erase(it);
            continue;
        }
        std::vector<std::string> kept;
        std::copy_if(ids.begin(), ids.end(), std::back_inserter(kept), [&](const std::string &id) {
            return !restarted.count(id);
        });
        std::visit(
            [&](auto &picker) {
                if (kept.size() != ids.size()) {
                    picker.setMembers(kept); // drops the state of restarted members
                }
                picker.setMembers(ids);
                if constexpr (requires { picker.setIdleCount(std::size_t{}); }) {
                    picker.setIdleCount(idleByPool[it->first]);
                }
            },
            it->second.picker);
        ++it;
    }
}

bool RoutingTable::isSuspected(const std::string &id, Clock::time_point now) const
{
    const auto health = m_health.find(id);
    return health != m_health.end() && health->second.suspectUntil > now;
}

std::optional<Endpoint> RoutingTable::find(const std::string &id, Clock::time_point now) const
{
    std::lock_guard lock(m_mutex);
    const auto *endpoint = isSuspected(id, now) ? nullptr : findListed(id);
    return endpoint ? std::optional(*endpoint) : std::nullopt;
}

std::optional<Endpoint> RoutingTable::findLive(const std::string &key) const
{
    std::lock_guard lock(m_mutex);
    const auto found = std::find_if(m_endpoints.begin(), m_endpoints.end(), [&key](const Endpoint &e) {
        return incarnationKey(e) == key;
    });
    const bool usable = found != m_endpoints.end() && !m_refusals.isLeaving(*found) && !isEvacuated(*found) && !isSuspected(found->id, Clock::now());
    return usable ? std::optional(*found) : std::nullopt;
}

Clock::time_point RoutingTable::joinedAt(const std::string &id) const
{
    std::lock_guard lock(m_mutex);
    const auto it = m_health.find(id);
    return it == m_health.end() ? Clock::time_point{} : it->second.joinedAt;
}

// The pool in which an endpoint accepts new requests, and its index there in member; or null.
RoutingTable::Pool *RoutingTable::findPool(const std::string &id, std::size_t &member)
{
    auto name = m_poolNames.find(id);
    if (name == m_poolNames.end()) {
        return nullptr;
    }
    auto pool = m_pools.find(name->second);
    if (pool == m_pools.end()) {
        return nullptr;
    }
    const auto found = findById(pool->second.members, id);
    member = found.value_or(0);
    return found ? &pool->second : nullptr;
}

void RoutingTable::release(const Endpoint &endpoint, Clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    if (isSuperseded(endpoint)) {
        return; // the request ended with its incarnation
    }
    auto &inflight = m_health[endpoint.id].inflight;
    inflight = std::max<int64_t>(0, inflight - 1);
    std::size_t member = 0;
    if (auto *pool = findPool(endpoint.id, member)) {
        std::visit(
            [&](auto &picker) {
                picker.requestFinished(member, now);
            },
            pool->picker);
    }
}

std::vector<Endpoint> RoutingTable::endpoints() const
{
    std::lock_guard lock(m_mutex);
    return m_endpoints;
}

nlohmann::json RoutingTable::status() const
{
    std::lock_guard lock(m_mutex);
    nlohmann::json out = nlohmann::json::array();
    const auto now = Clock::now();
    for (const auto &e : m_endpoints) {
        auto it = m_health.find(e.id);
        const Health h = it == m_health.end() ? Health{} : it->second;
        out.push_back({{"id", e.id},
                       {"pool", e.pool},
                       {"draining", m_refusals.isLeaving(e)},
                       {"suspect", h.suspectUntil > now},
                       {"inflight", h.inflight},
                       {"placed", h.placed}});
    }
    return out;
}

} // namespace yucca::router
