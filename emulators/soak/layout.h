// Where the programs of a soak listen, and what its callers say.
#pragma once

#include "soak/plan.h"
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
inline constexpr int endpointPorts = 2; ///< for each: itself, its proxy

/// A request under which endpoints end: its path, its body, and the pause between its repeats.
inline constexpr const char *endingPath = "/chat/ends";
inline constexpr const char *endingBody = "{\"ends\":true}";
inline constexpr Millis endingPause{150};

/// The failure domain of an endpoint, and its name.
inline std::size_t domainNumber(std::size_t endpoint)
{
    return endpoint / 2 % endpointDomains;
}
inline std::string domainName(std::size_t domain)
{
    return "zone-" + std::to_string(domain);
}
inline std::string domainOf(std::size_t endpoint)
{
    return domainName(domainNumber(endpoint));
}

/// The API key of a version of the configuration; each version takes away the one before.
inline std::string keyOf(int version)
{
    return "key-" + std::to_string(version);
}

/// The headers of a caller's request.
http::Headers callerHeaders(const std::string &id, const std::string &key);

} // namespace yucca::soak
