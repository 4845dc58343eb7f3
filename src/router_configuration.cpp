#include "router_configuration.h"

namespace yucca::router
{

namespace
{

// The route of a work class, without its request kind and path prefix.
entry::Route makeRoute(const std::string &name, const catalogue::WorkClass &workClass, const settings::RouterSettings &settings)
{
    entry::Route r;
    r.name = name;
    r.host = name;
    r.priority = static_cast<int>(workClass.priority);
    r.timeout = Millis(settings.requestTimeoutMs);
    r.targetLatency = r.timeout; // every attempt but the last gets half of the remaining time
    r.eventGapTarget = Millis(settings.streamPauseMs);
    r.maxAttempts = static_cast<int>(settings.maxAttempts);
    r.destinations.push_back({workClass.pool, 1.0});
    return r;
}

void addRoutes(const std::string &name, const catalogue::WorkClass &workClass, const settings::RouterSettings &settings, entry::Configuration &out)
{
    entry::Route route = makeRoute(name, workClass, settings);
    if (workClass.kind == EndpointKind::Service) {
        route.kind = entry::RequestKind::NonIdempotent;
        route.pathPrefix = serviceCallPrefix;
        out.routes.push_back(std::move(route));
        return;
    }
    route.kind = entry::RequestKind::Idempotent;
    route.pathPrefix = unstreamedChatPrefix;
    out.routes.push_back(route);
    route.kind = entry::RequestKind::Stream;
    route.resumable = true;
    route.pathPrefix = streamedChatPrefix;
    out.routes.push_back(std::move(route));
}

} // namespace

entry::Configuration buildConfiguration(const catalogue::Snapshot &snapshot, const settings::RouterSettings &settings)
{
    entry::Configuration out;
    out.version = static_cast<int64_t>(snapshot.revision);
    for (const auto &[name, workClass] : snapshot.classes) {
        addRoutes(name, workClass, settings, out);
        entry::Service service;
        service.name = workClass.pool;
        if (workClass.kind == EndpointKind::Engine) {
            service.engine.emplace();
        }
        out.services[service.name] = std::move(service);
    }
    for (const auto &[name, workspace] : snapshot.workspaces) {
        out.workspaceOfKey[name] = out.workspaces.size();
        out.workspaces.push_back({name, std::nullopt, workspace.limits, {}, workspace.workClass});
    }
    return out;
}

} // namespace yucca::router
