// A seeded plan of the faults of a soak test and their times.
#pragma once

#include "soak/path_cuts.h"

#include <cstdint>
#include <vector>

namespace yucca::soak
{

/// A kind of fault, and what it applies to.
enum class Fault {
    RouterKilled,
    RouterPaused,
    RouterStopped, ///< a graceful stop, then a start
    RouterReloads,
    RouterSettingsWrong, ///< its file is made invalid, reloaded, and corrected
    CallersDisturbed, ///< connections between callers and a router
    StoreDisturbed, ///< connections between a router and the store
    EndpointKilled,
    EndpointPaused,
    EndpointLeaves, ///< a graceful stop; another instance replaces it
    EndpointDisturbed, ///< connections from all routers to the endpoint
    EndpointSheds,
    EndpointLosesAnswers,
    EndpointFails,
    EndpointCutsStreams,
    StoreDown,
    StoreSlow,
    StoreLosesAnswers,
    StoreForgets, ///< compacts its history
    ConfigurationChanges, ///< also replaces a workspace's API key
    RequestEndsEndpoints, ///< a repeated request crashes each endpoint that runs it
    DomainEvacuated, ///< operators evacuate a failure domain, and end the evacuation later
    EndpointAsksForRest, ///< rejects all requests with a back-off time
    StoreRestored, ///< is restored from a recent backup; operators and endpoints rewrite the lost changes
    PowerLost, ///< all routers lose power when the store does, which is then restored from a recent backup
    RouterCutOff, ///< a router loses its paths to endpoints, and is reached by callers, the store and the other routers
    DomainCutOff, ///< as RouterCutOff, for all routers of a failure domain
    ServiceFails, ///< all endpoints of one service fail most requests
    AllRoutersKilled, ///< at the same moment; then all start
    RouterEntriesLost, ///< the store loses the entries of all routers
    PartEndsEndpoints, ///< requests that share only a part of their prompts crash each endpoint that runs them
    EndpointRequestsPaused, ///< those that are running, and no others
    ForeignEntry, ///< another writer stores a deeply nested value, or one that no endpoint can mean; the target selects its kind and shape
    UnsafelyNamedEntry, ///< another writer stores entries of several kinds under two names that a request cannot carry as they are; the target selects them
    EndpointResponsesMalformed, ///< heads or ends of its answers are malformed
};

inline constexpr NameTable<Fault, 35> faultNames{{{Fault::RouterKilled, "router_killed"},
                                                  {Fault::RouterPaused, "router_paused"},
                                                  {Fault::RouterStopped, "router_stopped"},
                                                  {Fault::RouterReloads, "router_reloads"},
                                                  {Fault::RouterSettingsWrong, "router_settings_wrong"},
                                                  {Fault::CallersDisturbed, "callers_disturbed"},
                                                  {Fault::StoreDisturbed, "store_disturbed"},
                                                  {Fault::EndpointKilled, "endpoint_killed"},
                                                  {Fault::EndpointPaused, "endpoint_paused"},
                                                  {Fault::EndpointLeaves, "endpoint_leaves"},
                                                  {Fault::EndpointDisturbed, "endpoint_disturbed"},
                                                  {Fault::EndpointSheds, "endpoint_sheds"},
                                                  {Fault::EndpointLosesAnswers, "endpoint_loses_answers"},
                                                  {Fault::EndpointFails, "endpoint_fails"},
                                                  {Fault::EndpointCutsStreams, "endpoint_cuts_streams"},
                                                  {Fault::StoreDown, "store_down"},
                                                  {Fault::StoreSlow, "store_slow"},
                                                  {Fault::StoreLosesAnswers, "store_loses_answers"},
                                                  {Fault::StoreForgets, "store_forgets"},
                                                  {Fault::ConfigurationChanges, "configuration_changes"},
                                                  {Fault::RequestEndsEndpoints, "request_ends_endpoints"},
                                                  {Fault::DomainEvacuated, "domain_evacuated"},
                                                  {Fault::EndpointAsksForRest, "endpoint_asks_for_rest"},
                                                  {Fault::StoreRestored, "store_restored"},
                                                  {Fault::PowerLost, "power_lost"},
                                                  {Fault::RouterCutOff, "router_cut_off"},
                                                  {Fault::DomainCutOff, "domain_cut_off"},
                                                  {Fault::ServiceFails, "service_fails"},
                                                  {Fault::AllRoutersKilled, "all_routers_killed"},
                                                  {Fault::RouterEntriesLost, "router_entries_lost"},
                                                  {Fault::PartEndsEndpoints, "part_ends_endpoints"},
                                                  {Fault::EndpointRequestsPaused, "endpoint_requests_paused"},
                                                  {Fault::ForeignEntry, "foreign_entry"},
                                                  {Fault::UnsafelyNamedEntry, "unsafely_named_entry"},
                                                  {Fault::EndpointResponsesMalformed, "endpoint_responses_malformed"}}};

/// One fault of a plan.
struct Step {
    Millis at{}; ///< start time, relative to the start of the plan
    Fault fault = Fault::RouterKilled;
    std::size_t target = 0; ///< index of the router, endpoint or failure domain
    Disturbance disturbance = Disturbance::None; ///< for the faults whose names end in Disturbed
    Millis duration{};
    PathCut cut = {}; ///< for the faults whose names end in CutOff
    bool operator==(const Step &) const = default;
};

/// The parameters of a plan.
struct PlanOptions {
    uint64_t seed = 1;
    Millis duration{8000}; ///< in which faults start
    std::size_t routers = 3;
    std::size_t endpoints = 4;
    bool powerLoss = false; ///< ends the plan with PowerLost
    bool longCutsOnly = false; ///< the plan has only a few long cuts between routers and all endpoints
    bool retries = false; ///< the plan has a service that fails most requests, and faults of routers, their paths and their list
    bool pauses = false; ///< the plan has only short pauses of endpoints, releases, changes of the configuration, and reloads and graceful stops of routers
};

/// The number of foreign entries to choose from.
inline constexpr std::size_t foreignEntries = 10;
/// The number of pairs of unsafe names to choose from.
inline constexpr std::size_t unsafeNamePairs = 4;
/// The number of failure domains of endpoints. With four endpoints or more, each domain has endpoints of both services.
inline constexpr std::size_t endpointDomains = 2;
/// The number of failure domains of routers.
inline constexpr std::size_t routerDomains = 3;
/// The routers from this number on are never cut off: each path of a router that can be takes a port.
inline constexpr std::size_t maxCuttableRouters = 8;

/// The pauses of endpoints in a plan with `pauses`.
inline constexpr Millis minEndpointPause{600};
inline constexpr Millis maxEndpointPause{1500};
inline constexpr Millis minTimeBetweenPauses{1000}; ///< from the end of a pause to the next one of the same endpoint

/// Returns the steps of a plan, ordered by time. Most faults come in series of one kind, and series overlap. The same
/// options always give the same plan.
std::vector<Step> makePlan(const PlanOptions &options);

} // namespace yucca::soak
