// The datagrams that routers exchange, encoded as CBOR: reported endpoint loads, new prompts and the endpoints that process
// them, the store's confirmations, and requests that crash endpoints.
#pragma once

#include "peers/fleet_inflight.h"
#include "quarantine.h"
#include "shared_replica.h"
#include "stream_origins.h"
#include "task.h"
#include "yucca/types.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace yucca::peers
{

/// A load report of one endpoint, as received by a router.
struct LoadReport {
    std::string endpoint;
    int64_t load = 0; ///< requests in flight on the endpoint, from all routers
    Clock::time_point receivedAt{};
    bool operator==(const LoadReport &) const = default;
};

/// An endpoint that received a prompt, and so holds the prompt's prefix in its cache.
struct PromptAnnouncement {
    uint64_t prompt = 0;
    std::string endpoint;
    bool operator==(const PromptAnnouncement &) const = default;
};

/// The items of one or more datagrams. In a received message, ids of endpoints and names of services may be digests, see name_digest.h.
struct PeerMessage {
    std::vector<LoadReport> loads;
    std::vector<PromptAnnouncement> prompts;
    std::vector<replica::Confirmation> confirmations;
    std::vector<quarantine::CrashRecord> crashes = {};
    std::vector<quarantine::Suspicion> suspicions = {};
    std::vector<quarantine::CompleteResponse> completeResponses = {}; ///< complete responses to requests under which endpoints had crashed
    std::vector<InflightCount> inflight = {}; ///< the sender's own requests in flight
    std::vector<streams::OriginRecord> origins = {}; ///< of streams that the sender knows
    std::vector<uint64_t> originQueries = {}; ///< streams whose origins the sender asks for
    std::vector<uint64_t> unknownOrigins = {}; ///< streams for which the sender was asked and that it does not know
    std::size_t unreadable = 0; ///< number of skipped items of a received datagram
    bool operator==(const PeerMessage &) const = default;
};

/// Size of a datagram: one packet. A single item, or the counts of requests in flight together, may need more.
inline constexpr std::size_t maxPacketBytes = 1400;
/// A reader accepts what UDP can carry; a reader of an earlier release has room for fewer bytes.
inline constexpr std::size_t maxReceivedBytes = 65536;
inline constexpr std::size_t earlierReleaseBytes = 2048;

/// Limits per datagram.
inline constexpr std::size_t maxLoadReports = 32;
inline constexpr std::size_t maxPrompts = 24;
inline constexpr std::size_t maxCrashRecords = 16; ///< and as many suspicions and complete responses
inline constexpr std::size_t maxOrigins = 16; ///< and as many queries and replies
inline constexpr std::size_t maxConfirmations = 4; ///< one per kind of objects
inline constexpr std::size_t maxInflightCounts = 8; ///< one per service; they count toward maxLoadReports

/// Encodes a message as datagrams, at least one: the newest reports and the first items of each other type if there are too many for one
/// reader. Times are encoded as ages in ms, because routers' clocks differ. Every item can be read by an earlier release, which
/// skips a whole datagram for one unknown item.
std::vector<std::vector<uint8_t>> encode(PeerMessage message, Clock::time_point now);

/// Decodes a datagram. Ages are subtracted from now. An item that cannot be read, or exceeds the limit of its type, is skipped and
/// counted. Fails with an Error (400) if the datagram is no list of items.
Result<PeerMessage> decode(std::span<const uint8_t> datagram, Clock::time_point now);

} // namespace yucca::peers
