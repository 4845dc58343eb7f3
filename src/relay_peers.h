// The peers through which a router may relay connections to endpoints. Does no I/O. Thread-safe: the control thread
// updates it, the traffic thread uses it.
#pragma once

#include "http.h"
#include "task.h"
#include "yucca/regions.h"

#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace yucca::relay
{

/// A peer that may relay connections.
struct RelayPeer {
    http::Address address;
    std::string failureDomain;
};

/// The peers that answered recently, and how long each of them should not be asked.
class RelayPeers
{
public:
    /// regions maps the failure domains of the peers.
    explicit RelayPeers(Regions regions = {})
        : m_regions(std::move(regions))
    {
    }

    /// Replaces the peers that were heard recently, and the host addresses of all listed ones.
    void setPeers(std::vector<RelayPeer> active, std::set<std::string> listedHosts);
    /// Returns one of the peers in the allowed regions that may be asked now and has not been asked yet, at random so that routers
    /// which lose their paths together use different ones; nothing if there is none.
    std::optional<http::Address> pick(Clock::time_point now, const RegionConstraint &allowed = {}, const std::set<http::Address> &asked = {});
    /// Excludes a peer until the given time.
    void exclude(const http::Address &peer, Clock::time_point until);
    /// Returns true if a listed peer has this host address.
    bool isPeer(const std::string &host) const;
    bool empty() const;

private:
    std::string regionOf(const RelayPeer &peer) const;

    const Regions m_regions;
    mutable std::mutex m_mutex;
    std::vector<RelayPeer> m_peers;
    std::set<std::string> m_hosts;
    std::map<http::Address, Clock::time_point> m_excludedUntil;
    std::minstd_rand m_random{std::random_device{}()};
};

} // namespace yucca::relay
