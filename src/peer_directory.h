// Which other routers there are: each announces its address in the store, and
// reads the others' now and then.
#pragma once

#include "http.h"
#include "object_api.h"
#include "task.h"

#include <map>
#include <string>
#include <vector>

namespace yucca::peers
{

/// The kind of the routers' own entries.
inline constexpr const char *routerKind = "router";

/// A router as its entry tells.
struct Peer {
    std::string id;
    std::string failureDomain;
    http::Address address; ///< for datagrams
    uint64_t version = 0; ///< of the entry
    bool operator==(const Peer &) const = default;
};

/// Keeps one router's own entry, and what it knows of the others'. Listings may
/// be answered by a lagging replica, at a tenth of a call's price: a peer that
/// is known late is only told late. Where an entry of its own that a replica did
/// not show stands in the way of the announcement, the next one is current.
class Directory
{
public:
    Directory(platform::ObjectApi &api, Peer self)
        : m_api(api)
        , m_self(std::move(self))
    {
    }

    /// Lists the routers, and announces this one where its entry is missing or
    /// differs. False when the store could not be reached.
    Task<bool> refresh();
    /// The others of this router's failure domain.
    const std::vector<Peer> &peers() const
    {
        return m_peers;
    }
    /// Those of the other failure domains.
    const std::vector<Peer> &farPeers() const
    {
        return m_farPeers;
    }
    /// Removes the entry of a router that has been silent for long. One that
    /// lives announces itself anew.
    Task<void> forget(Peer peer);

private:
    Task<bool> announce(uint64_t heldVersion);

    platform::ObjectApi &m_api;
    Peer m_self;
    std::vector<Peer> m_peers;
    std::vector<Peer> m_farPeers;
    bool m_announceFailed = false;
};

} // namespace yucca::peers
