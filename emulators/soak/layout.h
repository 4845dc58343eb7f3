// Where the programs of a soak listen, and what its callers say.
#pragma once

#include "soak/promises.h"

#include <string>

namespace yucca::soak
{

/// How long a call is waited for.
inline constexpr Millis callerPatience{4000};
inline constexpr Millis pollInterval{100};

// Ports from the base on.
inline constexpr int storePort = 0;
inline constexpr int routerPorts = 10; ///< ten for each: traffic, readiness, metrics, peers, callers' proxy, store's proxy
inline constexpr int endpointPorts = 100; ///< two for each: itself, its proxy

/// The API key of a version of the configuration; each version takes away the one before.
inline std::string keyOf(int version)
{
    return "key-" + std::to_string(version);
}

} // namespace yucca::soak
