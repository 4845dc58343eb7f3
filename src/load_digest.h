// What routers tell each other, as CBOR: the loads of endpoints that they heard,
// the prompts they sent where nobody knew them since they last told, what the
// store confirmed, and under which requests endpoints ended.
#pragma once

#include "quarantine.h"
#include "shared_replica.h"
#include "task.h"
#include "yucca/types.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace yucca::peers
{

/// One endpoint's report of its load, as a router heard it.
struct LoadReport {
    std::string endpoint;
    int64_t load = 0; ///< requests in flight on it, from all routers
    Clock::time_point heardAt{};
    bool operator==(const LoadReport &) const = default;
};

/// An endpoint that took a prompt, and so holds what it read of it.
struct PromptNews {
    uint64_t prompt = 0;
    std::string endpoint;
    bool operator==(const PromptNews &) const = default;
};

/// What one datagram tells.
struct Digest {
    std::vector<LoadReport> loads;
    std::vector<PromptNews> prompts;
    std::vector<replica::Confirmation> confirmations;
    std::vector<quarantine::Record> endings = {};
    std::vector<quarantine::Suspicion> suspicions = {};
    std::vector<quarantine::Answer> answers = {}; ///< to requests under which endpoints had ended
    bool operator==(const Digest &) const = default;
};

/// A datagram holds no more than these: about 25 B a report and 9 to 25 B a
/// prompt, so that it fits one packet of 1,400 B.
inline constexpr std::size_t mostReports = 32;
inline constexpr std::size_t mostPrompts = 24;
/// Endings, of about 12 B and 9 B an endpoint, and answers go into datagrams of their own.
inline constexpr std::size_t mostEndings = 16;
inline constexpr std::size_t mostConfirmations = 4; ///< one a kind of objects, of about 35 B

/// Encodes a datagram: the newest of the reports where there are too many, and
/// the first of the prompts. Moments are told as ages.
std::vector<uint8_t> encode(Digest digest, Clock::time_point now);

/// Decodes a datagram; an Error (400) says what is wrong with it. Ages are
/// counted back from now.
Result<Digest> decode(std::span<const uint8_t> datagram, Clock::time_point now);

} // namespace yucca::peers
