// The router's routing table: pools of endpoints, the policy that picks
// one for a request, and the in-flight count of each endpoint.
#pragma once

#include "yucca/ring.h"
#include "yucca/types.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace yucca::router
{

using Clock = std::chrono::steady_clock;

/// The endpoints a router may send to, grouped by pool, with the load
/// this router has placed on each. Written by the control thread, read
/// by the traffic threads.
class RoutingTable
{
public:
    RoutingTable(Policy policy, int virtualNodes, double loadFactor);

    /// Replaces the endpoint set with the VM list: live endpoints join,
    /// leaving and absent ones go. Returns true when the set changed.
    bool setEndpoints(const std::vector<Endpoint> &endpoints);
    /// Marks an endpoint as draining (its own report says so) until the VM
    /// list drops it; it gets no new work from now on.
    void markDraining(const std::string &id);
    /// Keeps an endpoint out for a while after a failed connection.
    void suspect(const std::string &id, Clock::time_point until);

    /// Picks an endpoint of pool for affinity key, skipping those in
    /// exclude, and counts one request in flight on it.
    std::optional<Endpoint> acquire(const std::string &pool, uint64_t key, const std::set<std::string> &exclude, Clock::time_point now);
    /// Counts one request out of flight.
    void release(const std::string &id);

    std::vector<Endpoint> endpoints() const;
    int64_t inflight(const std::string &id) const;
    nlohmann::json status() const;

private:
    using Picker = std::variant<ring::BoundedRing, ring::RoundRobin>;
    struct Pool {
        Picker picker;
        std::vector<Endpoint> members; ///< in the picker's member order
    };
    void rebuild();
    Picker makePicker() const;

    mutable std::mutex m_mutex;
    Policy m_policy;
    int m_virtualNodes;
    double m_loadFactor;
    std::vector<Endpoint> m_endpoints;
    std::set<std::string> m_draining;
    std::map<std::string, Clock::time_point> m_suspects;
    std::map<std::string, Pool> m_pools;
    std::map<std::string, int64_t> m_inflight;
    std::map<std::string, int64_t> m_placed;
};

} // namespace yucca::router
