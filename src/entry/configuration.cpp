#include "entry/configuration.h"

#include <algorithm>

namespace yucca::entry
{

void Configuration::index()
{
    m_routesByHost.clear();
    for (std::size_t i = 0; i < routes.size(); ++i) {
        m_routesByHost[routes[i].host].push_back(i);
    }
    for (auto &[host, routeIndexes] : m_routesByHost) {
        std::stable_sort(routeIndexes.begin(), routeIndexes.end(), [this](std::size_t a, std::size_t b) {
            return routes[a].pathPrefix.size() > routes[b].pathPrefix.size();
        });
    }
}

const Route *Configuration::match(std::string_view host, std::string_view path) const
{
    const auto it = m_routesByHost.find(std::string(host));
    if (it == m_routesByHost.end()) {
        return nullptr;
    }
    for (const std::size_t routeIndex : it->second) {
        const Route &route = routes[routeIndex];
        if (path.substr(0, route.pathPrefix.size()) == route.pathPrefix) {
            return &route;
        }
    }
    return nullptr;
}

const Workspace *Configuration::workspaceFor(const std::string &key) const
{
    const auto it = workspaceOfKey.find(key);
    return it == workspaceOfKey.end() ? nullptr : &workspaces[it->second];
}

const Service *Configuration::service(const std::string &name) const
{
    const auto it = services.find(name);
    return it == services.end() ? nullptr : &it->second;
}

std::set<std::string> resumableServices(const ConfigurationPtr &configuration)
{
    std::set<std::string> services;
    if (!configuration) {
        return services;
    }
    for (const auto &route : configuration->routes) {
        if (route.kind != RequestKind::Stream || !route.resumable) {
            continue;
        }
        for (const auto &destination : route.destinations) {
            services.insert(destination.service);
        }
    }
    return services;
}

} // namespace yucca::entry
