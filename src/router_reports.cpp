// Load reports in the routing table: this router's own and those of peers, and which of them to share.
#include "name_digest.h"
#include "router_core.h"

#include <algorithm>

namespace yucca::router
{

// Passes a load report to the picker of the endpoint's pool.
void RoutingTable::applyReport(const std::string &id, int64_t load, Clock::time_point receivedAt)
{
    std::size_t member = 0;
    if (auto *pool = findPool(id, member)) {
        std::visit(
            [&](auto &picker) {
                picker.recordLoadReport(member, load, receivedAt);
            },
            pool->picker);
    }
}

void RoutingTable::recordLoadReport(const std::string &id, int64_t load, Clock::time_point now, int64_t slots)
{
    std::lock_guard lock(m_mutex);
    auto &health = m_health[id];
    health.slots = slots > 0 ? slots : health.slots;
    health.reportedLoad = load;
    health.receivedAt = now;
    applyReport(id, load, now);
}

// Maintains the ids that peers send as digests.
void RoutingTable::recordListed(const Endpoint &endpoint, bool listed)
{
    auto digest = names::abbreviate(endpoint.id, names::maxEndpointIdBytes);
    if (digest == endpoint.id) {
        return;
    }
    if (listed) {
        m_idsOfDigests.insert_or_assign(std::move(digest), endpoint.id);
    } else {
        m_idsOfDigests.erase(digest);
    }
}

// Returns the id of an endpoint as received from a peer.
const std::string &RoutingTable::idOf(const std::string &received) const
{
    const auto digest = m_idsOfDigests.find(received);
    return digest == m_idsOfDigests.end() ? received : digest->second;
}

std::map<std::string, RoutingTable::Pool>::iterator RoutingTable::findPoolByReceivedName(const std::string &received)
{
    if (!names::isDigest(received)) {
        return m_pools.find(received);
    }
    return std::find_if(m_pools.begin(), m_pools.end(), [&received](const auto &entry) {
        return names::abbreviate(entry.first, names::maxServiceBytes) == received;
    });
}

void RoutingTable::mergePeerReport(const peers::LoadReport &report, Clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    const auto &id = idOf(report.endpoint);
    if (!m_endpoints.count(id)) {
        return; // not listed here
    }
    auto &health = m_health[id];
    if (report.receivedAt < health.joinedAt) {
        return; // from an earlier incarnation
    }
    if (report.receivedAt > std::max(health.peerReceivedAt, health.receivedAt)) {
        health.peerLoad = report.load;
        health.peerReceivedAt = report.receivedAt;
        health.peerMergedAt = now;
    }
    applyReport(id, report.load, report.receivedAt);
}

std::vector<peers::LoadReport> RoutingTable::reportsToForward(Clock::time_point then, std::size_t limit, Millis maxAge, Clock::time_point now) const
{
    std::lock_guard lock(m_mutex);
    std::map<std::string, double> limits; // by pool, of the pools with a load bound
    for (const auto &[name, pool] : m_pools) {
        std::visit(
            [&](const auto &picker) {
                if constexpr (requires { picker.loadLimit(now); }) {
                    limits.emplace(name, picker.loadLimit(now));
                }
            },
            pool.picker);
    }
    std::vector<peers::LoadReport> out;
    for (const auto &[id, health] : m_health) {
        if (health.peerMergedAt <= then || now - health.peerReceivedAt > maxAge) {
            continue;
        }
        const auto endpoint = m_endpoints.find(id);
        const auto bound = endpoint == m_endpoints.end() ? limits.end() : limits.find(endpoint->second.pool);
        if (bound != limits.end() && static_cast<double>(health.peerLoad + 1) > bound->second) {
            out.push_back({id, health.peerLoad, health.peerReceivedAt});
        }
    }
    std::sort(out.begin(), out.end(), [](const peers::LoadReport &a, const peers::LoadReport &b) {
        return a.load > b.load;
    });
    out.resize(std::min(out.size(), limit));
    return out;
}

// This router's requests in flight on the listed endpoints of each pool, including those of evacuated failure domains.
std::map<std::string, int64_t> RoutingTable::inflightByPool() const
{
    std::map<std::string, int64_t> out;
    for (const auto &id : m_busy) {
        const auto endpoint = m_endpoints.find(id);
        if (endpoint != m_endpoints.end()) {
            out[endpoint->second.pool] += m_health.at(id).inflight;
        }
    }
    return out;
}

std::vector<peers::InflightCount> RoutingTable::inflightCounts() const
{
    std::lock_guard lock(m_mutex);
    const auto inflight = inflightByPool();
    std::vector<peers::InflightCount> out;
    for (const auto &[name, pool] : m_pools) {
        const bool bounded = std::visit(
            [](const auto &picker) {
                return requires
                {
                    picker.loadLimit(Clock::time_point{});
                };
            },
            pool.picker);
        if (bounded) {
            const auto count = inflight.find(name);
            out.push_back({name, count == inflight.end() ? 0 : count->second});
        }
    }
    return out;
}

void RoutingTable::recordPeerInflight(const std::map<std::string, double> &requests, Clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    auto own = inflightByPool();
    for (const auto &[name, others] : requests) {
        const auto pool = findPoolByReceivedName(name);
        if (pool == m_pools.end()) {
            continue;
        }
        auto elsewhere = own[pool->first]; // on endpoints that are not members
        for (const auto &id : m_busy) {
            std::size_t member = 0;
            elsewhere -= findPool(id, member) == &pool->second ? m_health.at(id).inflight : 0;
        }
        std::visit(
            [&](auto &picker) {
                if constexpr (requires { picker.recordOtherInflight(others, now); }) {
                    picker.recordOtherInflight(others + static_cast<double>(elsewhere), now);
                }
            },
            pool->second.picker);
    }
}

std::vector<peers::LoadReport> RoutingTable::reportsReceivedSince(Clock::time_point then) const
{
    std::lock_guard lock(m_mutex);
    std::vector<peers::LoadReport> out;
    for (const auto &[id, health] : m_health) {
        if (health.receivedAt > then) {
            out.push_back({id, health.reportedLoad, health.receivedAt});
        }
    }
    return out;
}

} // namespace yucca::router
