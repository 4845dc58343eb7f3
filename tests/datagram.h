// Datagrams of routers, as tests write and read them.
#pragma once

#include "peers/peer_message.h"

#include <cstdint>
#include <stdexcept>
#include <vector>

namespace yucca::fixture
{

/// Encodes a message that fits one datagram.
inline std::vector<uint8_t> datagramOf(peers::PeerMessage message, Clock::time_point now)
{
    auto datagrams = peers::encode(std::move(message), now);
    if (datagrams.size() != 1) {
        throw std::logic_error("the message takes " + std::to_string(datagrams.size()) + " datagrams");
    }
    return std::move(datagrams.front());
}

/// Returns true if a datagram's items are all skipped and counted, and a sound item beside them is read.
inline bool passesOver(nlohmann::json items, Clock::time_point now)
{
    const auto count = items.size();
    const replica::Confirmation sound{"sound", 1, 2, now, 3};
    items.push_back({sound.kind, sound.revision, sound.digest, 0, sound.epoch});
    const auto decoded = peers::decode(nlohmann::json::to_cbor(items), now);
    peers::PeerMessage expected;
    expected.confirmations = {sound};
    expected.unreadable = count;
    return ok(decoded) && std::get<peers::PeerMessage>(decoded) == expected;
}

/// Returns true if of limit + 1 equal items the last one is skipped.
inline bool readsAtMost(std::size_t limit, const char *item, Clock::time_point now)
{
    const std::vector<nlohmann::json> items(limit + 1, nlohmann::json::parse(item));
    const auto decoded = peers::decode(nlohmann::json::to_cbor(items), now);
    return ok(decoded) && std::get<peers::PeerMessage>(decoded).unreadable == 1;
}

} // namespace yucca::fixture
