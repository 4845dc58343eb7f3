// Settings of the entry router, as its settings file holds them.
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

/// What an entry router is told at its start.
struct Settings {
    std::string id = "router-1";
    std::string failureDomain = "zone-a";
    http::Address traffic{"127.0.0.1", 7000}; ///< callers connect here
    http::Address readiness{"127.0.0.1", 7001}; ///< the balancer's probes and the status page
    http::Address metrics{"127.0.0.1", 7002}; ///< counters and histograms, as Prometheus text
    http::Address store{"127.0.0.1", 7400}; ///< the platform's object store
    http::Address peers{"127.0.0.1", 0}; ///< datagrams of the other routers; port 0: no exchange with them
    std::string logLevel = "info";
    double retryRatio = 0.2; ///< further arrivals per request that a service may get, over all routers
    double retrySlack = 50; ///< further arrivals on top, in a window, over all routers
    double retryWindowS = 10; ///< the window of both
    double loadFactor = 2.0; ///< no engine above this multiple of its service's mean load
    int64_t configurationBoundMs = 2000; ///< a configuration must be in force this long after the store took it
    int64_t drainBoundMs = 2000; ///< an endpoint that leaves must get no work this long after the store took that
    int64_t evacuationBoundMs = 0; ///< an evacuated failure domain must get nothing this long after the store took the order; 0: there are no such orders
    double coldOvershoot = 1.5; ///< a cold endpoint must never get more than this multiple of what it bears in a second, plus coldSlack
    double coldSlack = 5; ///< requests, over all routers
    Regions regions; ///< by failure domain; empty: all are in one
    int64_t stopGraceMs = 8000; ///< from the stop signal to the kill
};

/// Reads the settings; problems are recorded with their place. Unknown keys
/// are problems, absent ones keep their defaults.
Settings parseSettings(const nlohmann::json &document, Findings &findings);

/// This router's part of the retries that a service may get. How many routers
/// share the slack is what the store lists; 0 where that is not known yet.
limits::RetryLimits retryLimits(const Settings &settings, std::size_t routers);

} // namespace yucca::entry
