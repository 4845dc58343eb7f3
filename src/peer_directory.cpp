#include "peer_directory.h"

#include "log.h"

namespace yucca::peers
{

using json = nlohmann::json;

namespace
{

json entryOf(const Peer &peer)
{
    return {{"address", peer.address.host + ":" + std::to_string(peer.address.port)}, {"failureDomain", peer.failureDomain}};
}

// Reads an entry; nothing when it does not parse.
std::optional<Peer> peerOf(const platform::Object &object)
{
    const auto &v = object.value;
    const bool shaped = v.is_object() && v.contains("address") && v["address"].is_string() && v.contains("failureDomain") && v["failureDomain"].is_string();
    const auto address = shaped ? http::parseAddress(v["address"].get<std::string>()) : std::nullopt;
    if (!address) {
        log::Line{log::Event::CatalogueEntryRejected}
            .add("entry", std::string(routerKind) + "/" + object.name)
            .add("problems", "no address and failure domain");
        return std::nullopt;
    }
    return Peer{object.name, v["failureDomain"].get<std::string>(), *address, object.version};
}

} // namespace

Task<bool> Directory::refresh()
{
    const auto freshness = m_announceFailed ? platform::Freshness::Current : platform::Freshness::MayLag;
    auto result = co_await platform::listAll(m_api, routerKind, freshness);
    if (!ok(result)) {
        co_return false;
    }
    std::vector<Peer> peers;
    std::vector<Peer> farPeers;
    std::optional<Peer> own;
    for (const auto &object : std::get<platform::Listing>(result).items) {
        auto peer = peerOf(object);
        if (object.name == m_self.id) {
            own = peer ? peer : Peer{m_self.id, {}, {}, object.version};
        } else if (peer) {
            (peer->failureDomain == m_self.failureDomain ? peers : farPeers).push_back(std::move(*peer));
        }
    }
    m_peers = std::move(peers);
    m_farPeers = std::move(farPeers);
    const bool current = own && own->address == m_self.address && own->failureDomain == m_self.failureDomain;
    m_announceFailed = false;
    if (!current) {
        const bool announced = co_await announce(own ? own->version : 0);
        m_announceFailed = !announced;
    }
    co_return true;
}

// Writes this router's entry over the version held, 0 where there is none.
Task<bool> Directory::announce(uint64_t heldVersion)
{
    auto value = entryOf(m_self);
    auto result = co_await m_api.put(routerKind, m_self.id, std::move(value), heldVersion);
    if (!ok(result)) {
        const auto &error = std::get<Error>(result);
        log::Line{log::Event::PlatformUnreachable}.add("op", "announce").add("code", int64_t{error.code});
    }
    co_return ok(result);
}

Task<void> Directory::forget(Peer peer)
{
    auto result = co_await m_api.remove(routerKind, peer.id, peer.version);
    if (ok(result)) {
        log::Line{log::Event::PeerForgotten}.add("peer", peer.id);
    }
}

} // namespace yucca::peers
