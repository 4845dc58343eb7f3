// The ports, names and request headers of a soak test.
#pragma once

#include "object_form.h"
#include "soak/invariants.h"
#include "soak/plan.h"
#include "uri.h"

#include <string>

namespace yucca::soak
{

/// The services of the endpoints: one without streams, and one of model engines.
inline constexpr const char *plainService = "s";
inline constexpr const char *streamService = "m";

inline constexpr int eventsPerStream = 12; ///< 20 ms each

/// The deadline of a caller's request.
inline constexpr Millis callerTimeout{4000};
inline constexpr Millis routeTimeout{3000};
/// The same in a pause plan: a stream that meets two pauses fits into seven tenths of the time limit.
inline constexpr Millis pausePlanCallerTimeout{9000};
inline constexpr Millis pausePlanRouteTimeout{8000};
inline constexpr Millis pausePlanEventGap{120}; ///< of streams in a pause plan
inline constexpr Millis routerStopGrace{4000};
inline constexpr Millis pollInterval{100};

// Offsets from the base port.
inline constexpr int storePortOffset = 0;
inline constexpr int portsPerRouter = 10; ///< used: traffic, readiness, metrics, peers, callers' proxy, store proxy
inline constexpr int portsPerEndpoint = 2; ///< the endpoint and its proxy; the ports of the paths to endpoints follow
/// The time within which a router must have adapted to the loss of its paths to endpoints.
inline constexpr Millis pathContactTime{3000};

/// The request that crashes every endpoint that runs it: its path, its body, and the delay between repeats.
inline constexpr const char *crashingPath = "/chat/ends";
inline constexpr const char *crashingBody = "{\"ends\":true}";
inline constexpr Millis crashingRequestDelay{150};
/// The part of a prompt that crashes every endpoint that begins to write on it, and the parts before it that sound requests share.
inline constexpr const char *crashingPart = "bad";
inline constexpr const char *firstPart = "f1";
/// The software versions that endpoints run; a release replaces one by the next.
inline constexpr int softwareVersions = 3;
/// Returns the name of a software version: in every second plan the digest of an image, which differs in its last character only.
inline std::string softwareVersion(int number, uint64_t seed)
{
    return seed % 2 == 0 ? "v" + std::to_string(number) : "sha256:" + std::string(63, '0') + std::to_string(number);
}

/// Returns the index of an endpoint's failure domain.
inline std::size_t domainIndexOf(std::size_t endpoint)
{
    return endpoint / 2 % endpointDomains;
}
/// Returns the name of a failure domain.
inline std::string domainName(std::size_t domain)
{
    return "zone-" + std::to_string(domain);
}
/// Returns the name of an endpoint's failure domain.
inline std::string domainNameOf(std::size_t endpoint)
{
    return domainName(domainIndexOf(endpoint));
}

/// Returns the service of an endpoint.
inline std::string serviceOfEndpoint(std::size_t endpoint)
{
    return endpoint % 2 == 1 ? streamService : plainService;
}

/// Returns the service of a kind of request.
inline std::string serviceOf(Kind kind)
{
    return kind == Kind::Booking || kind == Kind::Reminder ? plainService : streamService;
}

/// Returns the time for records of requests and arrivals: Unix time, which endpoints record too.
inline Millis unixTime()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch());
}

/// Returns the API key of a version of the configuration. Each version revokes the key of the one before.
inline std::string apiKeyFor(int version)
{
    return "key-" + std::to_string(version);
}

/// Returns the parts of a prompt whose last one is the request's own.
inline std::string promptParts(const std::string &middle, int request)
{
    return std::string(firstPart) + ":100," + middle + ":100," + std::to_string(request) + ":50";
}

/// Returns the headers of a caller's request with this attempt id, API key and time limit.
http::Headers callerHeaders(const std::string &id, const std::string &key, Millis timeout = callerTimeout);

/// The target of calls on a kind of the store's objects.
inline std::string kindTarget(const std::string &kind)
{
    return uri::Target(platform::objectsPath).segment(kind).text();
}

/// The target of calls on one of the store's objects.
inline std::string objectTarget(const std::string &kind, const std::string &name)
{
    return uri::Target(platform::objectsPath).segment(kind).segment(name).text();
}

} // namespace yucca::soak
