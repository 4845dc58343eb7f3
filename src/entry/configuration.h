// The operators' configuration in the form that the entry router uses: routes, services, workspaces
// with their API keys, and limits on callers.
#pragma once

#include "admission.h"
#include "http_server.h"
#include "task.h"
#include "yucca/types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace yucca::entry
{

/// How often a request may run.
enum class RequestKind {
    Idempotent, ///< any number of times
    NonIdempotent, ///< at most once
    Stream, ///< an event stream: at most once, unless its route is resumable
};

inline constexpr NameTable<RequestKind, 3> requestKindNames{
    {{RequestKind::Idempotent, "idempotent"}, {RequestKind::NonIdempotent, "non_idempotent"}, {RequestKind::Stream, "streaming"}}};

/// A service that receives a share of a route's requests.
struct Destination {
    std::string service;
    double weight = 1;
};

/// The requests that belong to a route, their destinations and their limits.
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    RequestKind kind = RequestKind::NonIdempotent;
    Millis timeout{30000}; ///< maximum time until the response is complete
    Millis targetLatency{1000}; ///< time until the response, or until the first event of a stream
    Millis eventGapTarget{1000}; ///< longest pause between the events of a stream that callers accept
    int priority = 5; ///< 0 is the most urgent
    std::vector<Destination> destinations;
    int maxAttempts = 1; ///< maximum number of endpoints that may run one request
    bool isPublic = false; ///< requests need no API key
    bool hasPrompt = false; ///< requests list the parts of their prompt
    bool resumable = false; ///< another engine may continue a broken stream
    std::vector<std::string> regions = {}; ///< regions of the endpoints that requests may use; empty: any
};

/// Capacity of the model engines of a service.
struct EngineTraits {
    int64_t slots = 1; ///< maximum number of requests in a batch
    int64_t cacheTokens = 0; ///< size, in tokens, of the memory that running requests and cached prompt parts share
};

/// A pool of endpoints that serves routes.
struct Service {
    std::string name;
    std::string healthPath;
    int64_t maxConnections = 100; ///< maximum number of connections to one endpoint from all its clients
    std::optional<EngineTraits> engine; ///< absent: a service without model engines
    Millis coldDuration{0}; ///< how long an endpoint is cold after its start; 0: cold endpoints are not limited
    double coldPerSecond = 0; ///< requests per second that a cold endpoint can handle
};

/// A workspace with its priority, limits and regions.
struct Workspace {
    std::string name;
    std::optional<int> priority; ///< takes precedence over the priority of the route
    std::optional<limits::Limits> limits; ///< absent: this router sets no limits on the workspace
    std::vector<std::string> regions = {}; ///< regions of the endpoints that its requests may use; empty: any
    std::string workClass; ///< class of its requests, used to select the route if the URL doesn't; otherwise empty
};

/// One version of the configuration. Instances are immutable once published.
struct Configuration {
    int64_t version = 0;
    std::vector<Route> routes;
    std::unordered_map<std::string, Service> services;
    std::vector<Workspace> workspaces;
    std::unordered_map<std::string, std::size_t> workspaceOfKey; ///< by API key: index into workspaces
    http::ServerLimits callerLimits;

    /// Returns the route of a request: the one of its host with the longest matching path prefix,
    /// or null if none matches.
    const Route *match(std::string_view host, std::string_view path) const;
    /// Returns the workspace that owns an API key, or null.
    const Workspace *workspaceFor(const std::string &key) const;
    const Service *service(const std::string &name) const;

    /// Builds the index that match() uses. Must be called after the routes have been filled in.
    void index();

private:
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost; ///< route indexes by host, longest path prefix first
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Returns the services to which routes with resumable streams lead; none without a configuration.
std::set<std::string> resumableServices(const ConfigurationPtr &configuration);

} // namespace yucca::entry
