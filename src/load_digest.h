// What routers tell each other of endpoints, as CBOR: the loads they heard and
// the prompts they sent where nobody knew them since they last told.
#pragma once

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
    bool operator==(const Digest &) const = default;
};

/// A datagram holds no more than these: about 25 B a report and 9 to 25 B a
/// prompt, so that it fits one packet of 1,400 B.
inline constexpr std::size_t mostReports = 32;
inline constexpr std::size_t mostPrompts = 24;

/// Encodes reports, the newest where there are too many, each with its age,
/// and the first of the prompts.
std::vector<uint8_t> encode(std::vector<LoadReport> reports, Clock::time_point now, const std::vector<PromptNews> &prompts = {});

/// Decodes a datagram; an Error (400) says what is wrong with it. Ages are
/// counted back from now.
Result<Digest> decode(std::span<const uint8_t> datagram, Clock::time_point now);

} // namespace yucca::peers
