// Fixtures of the tests on relayed requests. The router lists an endpoint at a port where nothing listens; the peer lists it
// where it is.
#pragma once

#include "entry_fixture.h"
#include "relay_server.h"

#include <map>
#include <string>
#include <vector>

namespace yucca::fixture
{

inline uint16_t closedPort(Loop &loop)
{
    tcp::acceptor acceptor(loop.io, {asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}

/// A peer router that relays connections.
struct PeerRouter {
    PeerRouter(Loop &loop, std::map<std::string, std::pair<std::string, uint16_t>> endpoints, relay::RelayOptions options = {})
        : relay(
            loop.io, table, senders,
            [this](const Endpoint &) {
                return reachesDirectly;
            },
            options)
        , server({&loop.io}, "127.0.0.1", 0,
                 [this](http::Exchange &ex) -> Task<void> {
                     if (relay::RelayServer::isTunnelRequest(ex)) {
                         relay.handle(ex);
                         co_return;
                     }
                     co_await ex.reply(404, "no such kind\n");
                 })
        , address{"127.0.0.1", std::get<uint16_t>(server.start())}
    {
        std::vector<Endpoint> listed;
        for (const auto &[id, place] : endpoints) {
            listed.push_back(endpointAt(id, place.second, place.first, EndpointKind::Service));
        }
        table.setEndpoints(listed);
        senders.setPeers({}, {"127.0.0.1"});
    }

    router::RoutingTable table;
    relay::RelayPeers senders;
    bool reachesDirectly = true;
    relay::RelayServer relay;
    http::Server server;
    http::Address address;
};

inline void usePeers(EntryFixture &fixture, const std::vector<http::Address> &peers)
{
    std::vector<relay::RelayPeer> active;
    for (const auto &peer : peers) {
        active.push_back({peer, "zone-near"});
    }
    fixture.relayPeers.setPeers(std::move(active), {"127.0.0.1"});
}

} // namespace yucca::fixture
