#include "router_core.h"

#include "member_state.h"

#include <algorithm>

namespace yucca::router
{

namespace
{

/// Unlisted endpoints with a state that are held before they are looked through.
constexpr std::size_t maxUnlistedHealth = 256;

} // namespace

RoutingTable::RoutingTable(TableOptions options)
    : m_options(options)
{
}

bool RoutingTable::setEndpoints(const std::vector<Endpoint> &endpoints, Clock::time_point now)
{
    EndpointChanges changes{endpoints, {}};
    std::set<std::string> listed;
    for (const auto &e : endpoints) {
        listed.insert(e.id);
    }
    {
        std::lock_guard lock(m_mutex);
        for (const auto *list : {&m_endpoints, &m_leaving}) {
            for (const auto &[id, endpoint] : *list) {
                if (!listed.count(id)) {
                    changes.removed.push_back(id);
                }
            }
        }
    }
    return applyChanges(changes, now);
}

bool RoutingTable::applyChanges(const EndpointChanges &changes, Clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    Batch batch;
    batch.now = now;
    batch.firstListing = m_endpoints.empty();
    for (const auto &id : changes.removed) {
        unlist(id, batch);
    }
    for (const auto &endpoint : changes.listed) {
        if (endpoint.state == EndpointState::Live) {
            listLive(endpoint, batch);
        } else {
            listLeaving(endpoint, batch);
        }
    }
    m_refusals.dropExpired(m_endpoints, now);
    recordVersions(batch);
    if (batch.changed) {
        pruneUnlisted(now);
    }
    applyBatch(batch);
    return batch.changed;
}

std::size_t RoutingTable::liveCount() const
{
    std::lock_guard lock(m_mutex);
    return m_endpoints.size();
}

void RoutingTable::listLive(Endpoint endpoint, Batch &batch)
{
    removeLeaving(endpoint.id, batch);
    const auto known = m_endpoints.find(endpoint.id);
    const bool listed = known != m_endpoints.end();
    if (listed) {
        // A store that was restored from a backup lists an incarnation that has ended.
        endpoint.startedAtMs = std::max(endpoint.startedAtMs, known->second.startedAtMs);
        if (known->second == endpoint) {
            return;
        }
    }
    batch.changed = true;
    const bool restarted = listed && !sameIncarnation(known->second, endpoint);
    const bool moved = listed && (known->second.pool != endpoint.pool || known->second.kind != endpoint.kind);
    if (restarted) {
        m_health[endpoint.id] = {};
        m_busy.erase(endpoint.id);
        ++m_restarts;
    }
    if (!listed) {
        // An endpoint that left the VM list and returned starts without failures.
        auto &health = m_health[endpoint.id];
        health.failures = 0;
        health.suspectUntil = {};
        if (endpoint.startedAtMs == 0) {
            m_refusals.recordLeaving(endpoint, false, batch.now); // without a start time, only its return to the list indicates a new incarnation
        }
    }
    if (!batch.firstListing && (!listed || restarted)) {
        m_health[endpoint.id].joinedAt = batch.now;
        assumeCold(endpoint, batch.now);
    }
    if (listed) {
        countVersion(known->second, -1, batch);
        if (restarted || moved || !acceptsRequests(endpoint)) {
            batch.pools[known->second.pool].removed.insert(endpoint.id);
        }
    }
    countVersion(endpoint, 1, batch);
    auto &update = batch.pools[endpoint.pool];
    if (acceptsRequests(endpoint)) {
        update.added.insert(endpoint.id);
    } else {
        update.added.erase(endpoint.id);
    }
    recordListed(endpoint, true);
    m_endpoints[endpoint.id] = std::move(endpoint);
}

void RoutingTable::listLeaving(const Endpoint &endpoint, Batch &batch)
{
    removeLive(endpoint.id, batch);
    removeLeaving(endpoint.id, batch);
    countVersion(endpoint, 1, batch);
    recordListed(endpoint, true);
    m_leaving[endpoint.id] = endpoint;
}

void RoutingTable::unlist(const std::string &id, Batch &batch)
{
    removeLive(id, batch);
    removeLeaving(id, batch);
}

// Removes an endpoint from the live ones. The pool refers to the removed record until the batch is applied.
void RoutingTable::removeLive(const std::string &id, Batch &batch)
{
    const auto known = m_endpoints.find(id);
    if (known == m_endpoints.end()) {
        return;
    }
    batch.changed = true;
    countVersion(known->second, -1, batch);
    recordListed(known->second, false);
    m_unlistedAt[incarnationKey(known->second)] = batch.now;
    auto &update = batch.pools[known->second.pool];
    update.added.erase(id);
    update.removed.insert(id);
    m_endpoints.erase(known);
}

void RoutingTable::removeLeaving(const std::string &id, Batch &batch)
{
    const auto known = m_leaving.find(id);
    if (known != m_leaving.end()) {
        countVersion(known->second, -1, batch);
        recordListed(known->second, false);
        m_leaving.erase(known);
    }
}

// Updates the pools, then drops the state of endpoints that are gone.
void RoutingTable::applyBatch(const Batch &batch)
{
    for (const auto &[name, update] : batch.pools) {
        updatePool(name, update);
    }
    for (const auto &[name, update] : batch.pools) {
        for (const auto &id : update.removed) {
            const auto health = m_health.find(id);
            if (!m_endpoints.count(id) && health != m_health.end() && health->second.inflight == 0) {
                m_health.erase(health);
            }
        }
    }
    if (m_health.size() > m_endpoints.size() + maxUnlistedHealth) {
        std::erase_if(m_health, [this](const auto &entry) {
            return entry.second.inflight == 0 && !m_endpoints.count(entry.first);
        });
    }
}

// Adds and removes members of a pool. The picker keeps the state of members that stay.
void RoutingTable::updatePool(const std::string &name, const PoolUpdate &update)
{
    const std::vector<std::string> added(update.added.begin(), update.added.end());
    const std::vector<std::string> removed(update.removed.begin(), update.removed.end());
    auto it = m_pools.find(name);
    if (it == m_pools.end()) {
        if (added.empty()) {
            return;
        }
        const auto kind = m_endpoints.at(added.front()).kind;
        it = m_pools.emplace(name, Pool{kind, makePicker(kind), {}, {}}).first;
    }
    auto &pool = it->second;
    const bool otherKind = std::any_of(added.begin(), added.end(), [&](const std::string &id) {
        return m_endpoints.at(id).kind != pool.kind;
    });
    if (otherKind) {
        rebuildPools(); // the endpoints may have been listed before the configuration set their kind
        return;
    }
    const auto edit = std::visit(
        [&](const auto &picker) {
            return placement::MemberEdit::of(picker.members(), added, removed);
        },
        pool.picker);
    pool.members = edit.apply(std::move(pool.members), [&](std::size_t i) {
        return &m_endpoints.at(added[i]);
    });
    pool.health = edit.apply(std::move(pool.health), [&](std::size_t i) {
        return &m_health[added[i]];
    });
    if (pool.members.empty()) {
        m_pools.erase(it);
        return;
    }
    std::visit(
        [&](auto &picker) {
            if constexpr (requires { picker.updateMembers(added, removed); }) {
                picker.updateMembers(added, removed);
            } else {
                setPickerMembers(picker, pool, removed);
            }
        },
        pool.picker);
    updateIdleCount(name, pool);
}

// Sets the members of a picker that has no update of its own.
template <typename P> void RoutingTable::setPickerMembers(P &picker, const Pool &pool, const std::vector<std::string> &restarted)
{
    std::vector<std::string> ids;
    std::vector<std::string> kept;
    for (const auto *member : pool.members) {
        ids.push_back(member->id);
        if (!std::binary_search(restarted.begin(), restarted.end(), member->id)) {
            kept.push_back(member->id);
        }
    }
    if (kept.size() != ids.size()) {
        picker.setMembers(std::move(kept)); // drops the state of restarted members
    }
    picker.setMembers(std::move(ids));
}

// Counts the live endpoints of a pool that get no requests because their failure domain is evacuated.
void RoutingTable::updateIdleCount(const std::string &name, Pool &pool)
{
    std::size_t idle = 0;
    if (!m_evacuated.empty()) {
        idle = static_cast<std::size_t>(std::count_if(m_endpoints.begin(), m_endpoints.end(), [&](const auto &entry) {
            return entry.second.pool == name && isEvacuated(entry.second);
        }));
    }
    std::visit(
        [idle](auto &picker) {
            if constexpr (requires { picker.setIdleCount(idle); }) {
                picker.setIdleCount(idle);
            }
        },
        pool.picker);
}

// Updates the members of all pools to the endpoints that accept new requests.
void RoutingTable::rebuildPools()
{
    for (auto &[name, pool] : m_pools) {
        pool.members.clear();
        pool.health.clear();
    }
    for (const auto &[id, endpoint] : m_endpoints) {
        if (!acceptsRequests(endpoint)) {
            continue;
        }
        auto it = m_pools.find(endpoint.pool);
        if (it == m_pools.end()) {
            it = m_pools.emplace(endpoint.pool, Pool{endpoint.kind, makePicker(endpoint.kind), {}, {}}).first;
        } else if (it->second.kind != endpoint.kind) {
            it->second.kind = endpoint.kind;
            it->second.picker = makePicker(endpoint.kind);
        }
        it->second.members.push_back(&endpoint);
        it->second.health.push_back(&m_health[id]);
    }
    std::erase_if(m_pools, [](const auto &entry) {
        return entry.second.members.empty();
    });
    for (auto &[name, pool] : m_pools) {
        std::visit(
            [&, &held = pool](auto &picker) {
                setPickerMembers(picker, held, {});
            },
            pool.picker);
        updateIdleCount(name, pool);
    }
}

// The record of a live or leaving endpoint, or null.
const Endpoint *RoutingTable::findListed(const std::string &id) const
{
    for (const auto *list : {&m_endpoints, &m_leaving}) {
        const auto endpoint = list->find(id);
        if (endpoint != list->end()) {
            return &endpoint->second;
        }
    }
    return nullptr;
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
    return m_refusals.isLeaving(endpoint) || !m_endpoints.count(endpoint.id) ? ListingState::Leaving : ListingState::Live;
}

bool RoutingTable::recordLeaving(const Endpoint &endpoint, bool leaving, Clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    const bool changed = m_refusals.recordLeaving(endpoint, leaving, now);
    const auto listed = m_endpoints.find(endpoint.id);
    if (changed && listed != m_endpoints.end() && sameIncarnation(listed->second, endpoint)) {
        PoolUpdate update;
        (acceptsRequests(listed->second) ? update.added : update.removed).insert(endpoint.id);
        updatePool(listed->second.pool, update);
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
    const auto found = m_endpoints.find(key.substr(0, key.rfind(incarnationSeparator)));
    const bool usable =
        found != m_endpoints.end() && incarnationKey(found->second) == key && acceptsRequests(found->second) && !isSuspected(found->first, Clock::now());
    return usable ? std::optional(found->second) : std::nullopt;
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
    const auto endpoint = m_endpoints.find(id);
    const auto pool = endpoint == m_endpoints.end() ? m_pools.end() : m_pools.find(endpoint->second.pool);
    if (pool == m_pools.end()) {
        return nullptr;
    }
    const auto &members = pool->second.members;
    const auto found = std::lower_bound(members.begin(), members.end(), id, [](const Endpoint *e, const std::string &wanted) {
        return e->id < wanted;
    });
    member = static_cast<std::size_t>(found - members.begin());
    return found != members.end() && (*found)->id == id ? &pool->second : nullptr;
}

void RoutingTable::release(const Endpoint &endpoint, Clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    if (isSuperseded(endpoint)) {
        return; // the request ended with its incarnation
    }
    auto &inflight = m_health[endpoint.id].inflight;
    inflight = std::max<int64_t>(0, inflight - 1);
    if (inflight == 0) {
        m_busy.erase(endpoint.id);
    }
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
    std::vector<Endpoint> out;
    out.reserve(m_endpoints.size());
    for (const auto &[id, endpoint] : m_endpoints) {
        out.push_back(endpoint);
    }
    return out;
}

nlohmann::json RoutingTable::status() const
{
    std::lock_guard lock(m_mutex);
    nlohmann::json out = nlohmann::json::array();
    const auto now = Clock::now();
    for (const auto &[id, e] : m_endpoints) {
        auto it = m_health.find(id);
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
