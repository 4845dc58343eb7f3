// The directory of routers: each router announces its address in the store and reads the other routers' addresses at intervals.
#pragma once

#include "http.h"
#include "object_api.h"
#include "task.h"

#include <map>
#include <string>
#include <vector>

namespace yucca::peers
{

/// The kind of the routers' entries in the store.
inline constexpr const char *routerKind = "router";

/// A router as described by its entry.
struct Peer {
    std::string id;
    std::string failureDomain;
    http::Address address; ///< of its datagram socket
    uint64_t version = 0; ///< of the entry
    bool operator==(const Peer &) const = default;
};

/// Maintains this router's entry and reads those of the others. Listings may come from a lagging replica, at a tenth of the cost
/// of a current read: a peer that is listed late is only informed late. If the announcement fails, because the replica did not
/// show an existing entry of this router, the next listing is a current one.
class PeerDirectory
{
public:
    PeerDirectory(platform::ObjectApi &api, Peer self)
        : m_api(api)
        , m_self(std::move(self))
    {
    }

    /// Lists the routers, and announces this one if its entry is missing or differs. Returns false if the store could not be reached.
    Task<bool> refresh();
    /// True if the last listing showed this router's current entry.
    bool listsSelf() const
    {
        return m_listsSelf;
    }
    /// Returns the other routers of this router's failure domain.
    const std::vector<Peer> &domainPeers() const
    {
        return m_domainPeers;
    }
    /// Returns the routers of other failure domains.
    const std::vector<Peer> &otherDomainPeers() const
    {
        return m_otherDomainPeers;
    }
    /// Removes the entry of a router that has not been heard for a long time. A router that is still running announces itself again.
    Task<void> removeEntry(Peer peer);

private:
    Task<bool> announce(uint64_t expectedVersion);
    Task<void> addOwnEntry(platform::Listing &listing);
    std::map<std::string, Peer> knownPeers() const;
    void setPeers(std::map<std::string, Peer> peers);

    platform::ObjectApi &m_api;
    Peer m_self;
    std::vector<Peer> m_domainPeers;
    std::vector<Peer> m_otherDomainPeers;
    bool m_listsSelf = false;
    bool m_announceFailed = false;
};

} // namespace yucca::peers
