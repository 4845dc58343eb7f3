#include "router_core.h"

#include <algorithm>

namespace yucca::router
{

RoutingTable::RoutingTable(Policy policy, int virtualNodes, double loadFactor)
    : m_policy(policy)
    , m_virtualNodes(virtualNodes)
    , m_loadFactor(loadFactor)
{
}

bool RoutingTable::setEndpoints(const std::vector<Endpoint> &endpoints)
{
    std::vector<Endpoint> live;
    for (const auto &e : endpoints) {
        if (e.state == EndpointState::Live) {
            live.push_back(e);
        }
    }
    std::sort(live.begin(), live.end(), [](const Endpoint &a, const Endpoint &b) {
        return a.id < b.id;
    });
    std::lock_guard lock(m_mutex);
    auto same = [](const Endpoint &a, const Endpoint &b) {
        return a.id == b.id && a.host == b.host && a.port == b.port && a.pool == b.pool;
    };
    bool changed = live.size() != m_endpoints.size() || !std::equal(live.begin(), live.end(), m_endpoints.begin(), same);
    // An endpoint that left the VM list and came back starts afresh.
    for (auto it = m_draining.begin(); it != m_draining.end();) {
        bool listed = std::any_of(live.begin(), live.end(), [&](const Endpoint &e) {
            return e.id == *it;
        });
        bool wasListed = std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const Endpoint &e) {
            return e.id == *it;
        });
        it = (listed && !wasListed) ? m_draining.erase(it) : std::next(it);
    }
    if (changed) {
        m_endpoints = std::move(live);
        rebuild();
    }
    return changed;
}

void RoutingTable::markDraining(const std::string &id)
{
    std::lock_guard lock(m_mutex);
    if (m_draining.insert(id).second) {
        rebuild();
    }
}

void RoutingTable::suspect(const std::string &id, Clock::time_point until)
{
    std::lock_guard lock(m_mutex);
    m_suspects[id] = until;
}

// A picker of the router's policy, empty.
RoutingTable::Picker RoutingTable::makePicker() const
{
    if (m_policy == Policy::Bounded) {
        return ring::BoundedRing(m_virtualNodes, m_loadFactor);
    }
    return ring::RoundRobin();
}

// Rebuilds each pool's picker from the endpoints that may take new work.
void RoutingTable::rebuild()
{
    m_pools.clear();
    for (const auto &e : m_endpoints) {
        if (m_draining.count(e.id)) {
            continue;
        }
        auto it = m_pools.find(e.pool);
        if (it == m_pools.end()) {
            Pool p{makePicker(), {}};
            it = m_pools.emplace(e.pool, std::move(p)).first;
        }
        it->second.members.push_back(e);
    }
    for (auto &[name, pool] : m_pools) {
        std::vector<std::string> ids;
        for (const auto &m : pool.members) {
            ids.push_back(m.id);
        }
        std::visit(
            [&](auto &picker) {
                picker.setMembers(ids);
            },
            pool.picker);
    }
}

std::optional<Endpoint> RoutingTable::acquire(const std::string &pool, uint64_t key, const std::set<std::string> &exclude, Clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    auto it = m_pools.find(pool);
    if (it == m_pools.end()) {
        return std::nullopt;
    }
    auto &p = it->second;
    std::vector<int64_t> loads;
    loads.reserve(p.members.size());
    for (const auto &m : p.members) {
        auto s = m_suspects.find(m.id);
        bool out = exclude.count(m.id) || (s != m_suspects.end() && s->second > now);
        loads.push_back(out ? ring::unavailable : m_inflight[m.id]);
    }
    auto index = std::visit(
        [&](auto &picker) {
            return picker.pick(key, loads);
        },
        p.picker);
    if (!index) {
        return std::nullopt;
    }
    const Endpoint &chosen = p.members[*index];
    ++m_inflight[chosen.id];
    ++m_placed[chosen.id];
    return chosen;
}

void RoutingTable::release(const std::string &id)
{
    std::lock_guard lock(m_mutex);
    auto &n = m_inflight[id];
    n = std::max<int64_t>(0, n - 1);
}

std::vector<Endpoint> RoutingTable::endpoints() const
{
    std::lock_guard lock(m_mutex);
    return m_endpoints;
}

int64_t RoutingTable::inflight(const std::string &id) const
{
    std::lock_guard lock(m_mutex);
    auto it = m_inflight.find(id);
    return it == m_inflight.end() ? 0 : it->second;
}

nlohmann::json RoutingTable::status() const
{
    std::lock_guard lock(m_mutex);
    nlohmann::json out = nlohmann::json::array();
    for (const auto &e : m_endpoints) {
        auto f = m_inflight.find(e.id);
        auto p = m_placed.find(e.id);
        out.push_back({{"id", e.id},
                       {"pool", e.pool},
                       {"draining", m_draining.count(e.id) > 0},
                       {"inflight", f == m_inflight.end() ? 0 : f->second},
                       {"placed", p == m_placed.end() ? 0 : p->second}});
    }
    return out;
}

} // namespace yucca::router
