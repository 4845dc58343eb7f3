#include "peers/peer_directory.h"

#include "log.h"

namespace yucca::peers
{

using json = nlohmann::json;

namespace
{

json entryJson(const Peer &peer)
{
    return {{"address", peer.address.host + ":" + std::to_string(peer.address.port)}, {"failureDomain", peer.failureDomain}};
}

// Parses an entry; returns nothing and logs the entry if it is malformed.
std::optional<Peer> parsePeer(const platform::Object &object)
{
    const auto &v = object.value;
    const bool wellFormed = v.is_object() && v.contains("address") && v["address"].is_string() && v.contains("failureDomain") && v["failureDomain"].is_string();
    const auto address = wellFormed ? http::parseAddress(v["address"].get<std::string>()) : std::nullopt;
    if (!address) {
        log::Line{log::Event::CatalogueEntryRejected}
            .add("entry", std::string(routerKind) + "/" + object.name)
            .add("problems", "address or failureDomain is missing or malformed");
        return std::nullopt;
    }
    return Peer{object.name, v["failureDomain"].get<std::string>(), *address, object.version};
}

} // namespace

Task<bool> PeerDirectory::refresh()
{
    const auto freshness = m_announceFailed ? platform::Freshness::Current : platform::Freshness::MayLag;
    auto result = co_await platform::listAll(m_api, routerKind, freshness);
    if (!ok(result)) {
        co_return false;
    }
    auto &listing = std::get<platform::Listing>(result);
    if (listing.more) {
        co_await addOwnEntry(listing);
    }
    std::map<std::string, Peer> peers;
    if (listing.more) {
        peers = knownPeers(); // they may be in the part that could not be had
    }
    std::optional<Peer> own;
    for (const auto &object : listing.items) {
        auto peer = parsePeer(object);
        if (object.name == m_self.id) {
            own = peer ? peer : Peer{m_self.id, {}, {}, object.version};
        } else if (peer) {
            peers.insert_or_assign(object.name, std::move(*peer));
        }
    }
    setPeers(std::move(peers));
    m_listsSelf = own && own->address == m_self.address && own->failureDomain == m_self.failureDomain;
    m_announceFailed = false;
    if (!m_listsSelf) {
        const bool announced = co_await announce(own ? own->version : 0);
        m_announceFailed = !announced;
    }
    co_return true;
}

// Adds this router's entry to a listing that may lack it.
Task<void> PeerDirectory::addOwnEntry(platform::Listing &listing)
{
    auto own = co_await m_api.get(routerKind, m_self.id, platform::Freshness::Current);
    if (ok(own)) {
        listing.items.push_back(std::move(std::get<platform::Object>(own)));
    }
}

std::map<std::string, Peer> PeerDirectory::knownPeers() const
{
    std::map<std::string, Peer> known;
    for (const auto *peers : {&m_domainPeers, &m_otherDomainPeers}) {
        for (const auto &peer : *peers) {
            known.emplace(peer.id, peer);
        }
    }
    return known;
}

void PeerDirectory::setPeers(std::map<std::string, Peer> peers)
{
    m_domainPeers.clear();
    m_otherDomainPeers.clear();
    for (auto &[id, peer] : peers) {
        (peer.failureDomain == m_self.failureDomain ? m_domainPeers : m_otherDomainPeers).push_back(std::move(peer));
    }
}

// Writes this router's entry over the expected version, 0 to create it. Returns false and logs the error if the write fails.
Task<bool> PeerDirectory::announce(uint64_t expectedVersion)
{
    auto value = entryJson(m_self);
    auto result = co_await m_api.put(routerKind, m_self.id, std::move(value), expectedVersion);
    if (!ok(result)) {
        const auto &error = std::get<Error>(result);
        log::Line{log::Event::PlatformUnreachable}.add("op", "announce").add("code", int64_t{error.code});
    }
    co_return ok(result);
}

Task<void> PeerDirectory::removeEntry(Peer peer)
{
    auto result = co_await m_api.remove(routerKind, peer.id, peer.version);
    if (ok(result)) {
        log::Line{log::Event::PeerForgotten}.add("peer", peer.id);
    }
}

} // namespace yucca::peers
