// The operators' configuration as the entry router uses it: routes, the
// services they lead to, the workspaces' keys and the limits on callers.
#pragma once

#include "admission.h"
#include "http_server.h"
#include "task.h"
#include "yucca/types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace yucca::entry
{

/// What may be done with a request more than once.
enum class RequestKind {
    Idempotent, ///< may run any number of times
    NonIdempotent, ///< may run once at most
    Stream, ///< an event stream: as non-idempotent, unless its route is resumable
};

inline constexpr NameTable<RequestKind, 3> requestKindNames{
    {{RequestKind::Idempotent, "idempotent"}, {RequestKind::NonIdempotent, "non_idempotent"}, {RequestKind::Stream, "streaming"}}};

/// One way that a route's requests may go, and its part of them.
struct Destination {
    std::string service;
    double weight = 1;
};

/// Which requests go to which service, and under which limits.
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    RequestKind kind = RequestKind::NonIdempotent;
    Millis timeout{30000}; ///< the longest time until the final answer
    Millis targetLatency{1000}; ///< until the answer, or a stream's first event
    Millis eventGapTarget{1000}; ///< the longest pause between the events of a stream that callers do not mind
    int priority = 5; ///< 0 is the most urgent
    std::vector<Destination> destinations;
    int maxAttempts = 1; ///< endpoints that may run one request
    bool isPublic = false; ///< needs no key
    bool hasPrompt = false; ///< requests tell their prompt's parts
    bool resumable = false; ///< a stream may go on at another engine
    std::vector<std::string> regions = {}; ///< whose endpoints its requests may reach; empty: any
};

/// What is known of a service's model engines.
struct EngineTraits {
    int64_t slots = 1; ///< requests in a batch
    int64_t cacheTokens = 0; ///< memory shared by running requests and cached prompt parts
};

/// A pool of endpoints behind routes.
struct Service {
    std::string name;
    std::string healthPath;
    int64_t maxConnections = 100; ///< that one endpoint takes from all its callers
    std::optional<EngineTraits> engine; ///< absent: a plain service
    Millis coldFor{0}; ///< an endpoint is cold for so long after it starts; 0: that does not matter
    double coldPerSecond = 0; ///< requests that an endpoint bears while it is cold
};

/// A workspace, how urgent its requests are and how many it may send.
struct Workspace {
    std::string name;
    std::optional<int> priority; ///< goes before its routes' priorities
    std::optional<limits::Limits> limits; ///< absent: this router does not bound it
    std::vector<std::string> regions = {}; ///< whose endpoints its requests may reach; empty: any
    std::string workClass; ///< what its requests are, where the caller's address does not tell; else empty
};

/// One version of the configuration. Immutable once published.
struct Configuration {
    int64_t version = 0;
    std::vector<Route> routes;
    std::unordered_map<std::string, Service> services;
    std::vector<Workspace> workspaces;
    std::unordered_map<std::string, std::size_t> workspaceOfKey; ///< by API key: a place in workspaces
    http::ServerLimits callerLimits;

    /// The route of a request: of those of its host, the one with the longest prefix of its path. Null: none.
    const Route *match(std::string_view host, std::string_view path) const;
    /// The workspace that holds an API key, or null.
    const Workspace *workspaceFor(const std::string &key) const;
    const Service *service(const std::string &name) const;

    /// Builds the index that match() reads; to be called once the routes are filled in.
    void index();

private:
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesOfHost; ///< longest prefix first
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace yucca::entry
