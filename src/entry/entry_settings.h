// Settings of the entry router, parsed from its settings file.
#pragma once

#include "admission.h"
#include "findings.h"
#include "http.h"
#include "task.h"
#include "yucca/regions.h"

#include <nlohmann/json.hpp>

#include <string>

namespace yucca::entry
{

/// The settings that an entry router reads at its start.
struct Settings {
    std::string id = "router-1";
    std::string failureDomain = "zone-a";
    http::Address traffic{"127.0.0.1", 7000}; ///< address for callers
    http::Address readiness{"127.0.0.1", 7001}; ///< address for the load balancer's probes and the status page
    http::Address metrics{"127.0.0.1", 7002}; ///< address for the metrics in the Prometheus text format
    http::Address store{"127.0.0.1", 7400}; ///< address of the platform's object store
    http::Address peers{"127.0.0.1", 0}; ///< address for datagrams of the other routers; port 0: no exchange with other routers
    int64_t maxTunnels = 64; ///< connections to endpoints that this router relays for its peers at the same time; 0: none
    std::string logLevel = "info";
    double retryRatio = 0.2; ///< extra arrivals at a service for each request to it, over all routers
    double retrySlack = 50; ///< additional extra arrivals in a window, over all routers
    double retryWindowS = 10; ///< length of the window for retryRatio and retrySlack
    double loadFactor = 2.0; ///< maximum load of an engine, as a multiple of the mean load of its service
    int64_t configurationBoundMs = 2000; ///< time from the acceptance of a configuration by the store until it must be in effect
    int64_t drainBoundMs = 2000; ///< time from the store's record that an endpoint leaves until it must get no work
    int64_t evacuationBoundMs = 0; ///< time from the store's acceptance of an evacuation order until it must be in effect; 0: there are no such orders
    double coldOvershoot = 1.5; ///< a cold endpoint must never get more than this multiple of the requests that it can handle in a second, plus coldSlack
    double coldSlack = 5; ///< requests a second, over all routers
    Regions regions; ///< region of each failure domain; empty: all are in one region
    int64_t stopGraceMs = 8000; ///< time from the stop signal until the process is killed
};

/// Parses the settings. Problems, among them unknown keys, are recorded in findings with their
/// place in the document; absent keys keep their defaults.
Settings parseSettings(const nlohmann::json &document, Findings &findings);

/// Returns the limits on the retries to a service. All routers share the slack.
limits::RetryLimits retryLimits(const Settings &settings);

} // namespace yucca::entry
