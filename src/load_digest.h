// What routers tell each other of endpoints' loads: the reports they heard
// themselves since they last told, as CBOR.
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

/// A datagram holds no more reports than this: about 25 B each, so that it
/// fits one packet of 1,400 B.
inline constexpr std::size_t mostReports = 50;

/// Encodes reports, the newest where there are too many, each with its age.
std::vector<uint8_t> encode(std::vector<LoadReport> reports, Clock::time_point now);

/// Decodes a datagram; an Error (400) says what is wrong with it. Ages are
/// counted back from now.
Result<std::vector<LoadReport>> decode(std::span<const uint8_t> datagram, Clock::time_point now);

} // namespace yucca::peers
