#include "relay_peers.h"

#include <algorithm>

namespace yucca::relay
{

void RelayPeers::setPeers(std::vector<RelayPeer> active, std::set<std::string> listedHosts)
{
    std::lock_guard lock(m_mutex);
    m_peers = std::move(active);
    m_hosts = std::move(listedHosts);
    std::erase_if(m_excludedUntil, [this](const auto &entry) {
        return std::none_of(m_peers.begin(), m_peers.end(), [&entry](const RelayPeer &peer) {
            return peer.address == entry.first;
        });
    });
}

std::string RelayPeers::regionOf(const RelayPeer &peer) const
{
    const auto region = m_regions.find(peer.failureDomain);
    return region == m_regions.end() ? std::string() : region->second;
}

std::optional<http::Address> RelayPeers::pick(Clock::time_point now, const RegionConstraint &allowed, const std::set<http::Address> &asked)
{
    std::lock_guard lock(m_mutex);
    std::vector<const http::Address *> usable;
    for (const auto &peer : m_peers) {
        const auto excluded = m_excludedUntil.find(peer.address);
        const bool mayBeAsked = excluded == m_excludedUntil.end() || excluded->second <= now;
        if (mayBeAsked && !asked.count(peer.address) && allowed.allows(regionOf(peer))) {
            usable.push_back(&peer.address);
        }
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    return *usable[std::uniform_int_distribution<std::size_t>(0, usable.size() - 1)(m_random)];
}

void RelayPeers::exclude(const http::Address &peer, Clock::time_point until)
{
    std::lock_guard lock(m_mutex);
    m_excludedUntil[peer] = until;
}

bool RelayPeers::isPeer(const std::string &host) const
{
    std::lock_guard lock(m_mutex);
    return m_hosts.count(host) > 0;
}

bool RelayPeers::empty() const
{
    std::lock_guard lock(m_mutex);
    return m_peers.empty();
}

} // namespace yucca::relay
