// What goes wrong when: a seeded plan of faults that come in series and overlap.
#pragma once

#include "soak/proxy.h"

#include <cstdint>
#include <vector>

namespace yucca::soak
{

/// A fault, and what it strikes.
enum class Fault {
    RouterKilled,
    RouterPaused,
    RouterStopped, ///< a planned stop, then a start
    RouterReloads,
    RouterSettingsWrong, ///< its file is spoilt, reloaded, and put right
    CallersDisturbed, ///< the connections between callers and a router
    StoreDisturbed, ///< those between a router and the store
    EndpointKilled,
    EndpointPaused,
    EndpointLeaves, ///< a planned stop; another one takes its place
    EndpointDisturbed, ///< the connections of all routers to it
    EndpointSheds,
    EndpointLosesAnswers,
    EndpointFails,
    EndpointCutsStreams,
    StoreDown,
    StoreSlow,
    StoreLosesAnswers,
    StoreForgets, ///< its history
    ConfigurationChanges, ///< and a workspace's key with it
    RequestEndsEndpoints, ///< one request comes again and again, and ends each endpoint that runs it
    DomainEvacuated, ///< operators order that a failure domain's endpoints get nothing, and take that back
    EndpointAsksForRest, ///< turns all away, and wants nothing for a while
    StoreRestored, ///< returns from a copy of some moments ago; operators and endpoints write again what it lost
};

inline constexpr NameTable<Fault, 24> faultNames{{{Fault::RouterKilled, "router_killed"},
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
                                                  {Fault::StoreRestored, "store_restored"}}};

/// One fault of a plan.
struct Step {
    Millis at{};
    Fault fault = Fault::RouterKilled;
    std::size_t target = 0; ///< which router or endpoint
    Disturbance how = Disturbance::None;
    Millis lasts{};
    bool operator==(const Step &) const = default;
};

/// What a plan is made for.
struct PlanOptions {
    uint64_t seed = 1;
    Millis length{8000};
    std::size_t routers = 3;
    std::size_t endpoints = 4;
};

/// Failure domains of the endpoints, each with endpoints of both services.
inline constexpr std::size_t endpointDomains = 2;

/// The same options make the same plan. Faults come in series of their kind,
/// which overlap; steps in the order of time.
std::vector<Step> makePlan(const PlanOptions &options);

} // namespace yucca::soak
