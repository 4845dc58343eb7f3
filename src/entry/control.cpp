#include "entry/control.h"

namespace yucca::entry
{

namespace
{

void logChange(log::Event event, const Endpoint &e)
{
    log::Line(event).add("endpoint", e.id).add("service", e.pool).add("address", e.host + ":" + std::to_string(e.port));
}

} // namespace

void Published::apply(Configuration configuration)
{
    const auto held = m_configuration.load();
    if (held && configuration.version <= held->version) {
        return;
    }
    configuration.index();
    log::Line(log::Event::ConfigurationApplied)
        .add("version", configuration.version)
        .add("before", held ? held->version : 0)
        .add("routes", static_cast<int64_t>(configuration.routes.size()))
        .add("services", static_cast<int64_t>(configuration.services.size()))
        .add("keys", static_cast<int64_t>(configuration.workspaceOfKey.size()));
    m_configuration = std::make_shared<const Configuration>(std::move(configuration));
    publishEndpoints(); // which services are plain ones may have changed
}

void Published::replaceEndpoints(std::map<std::string, Endpoint> endpoints)
{
    for (const auto &[id, endpoint] : m_endpoints) {
        if (!endpoints.count(id)) {
            logChange(log::Event::EndpointLeft, endpoint);
        }
    }
    for (const auto &[id, endpoint] : endpoints) {
        if (!m_endpoints.count(id)) {
            logChange(log::Event::EndpointJoined, endpoint);
        }
    }
    m_endpoints = std::move(endpoints);
    m_endpointsKnown = true;
    publishEndpoints();
}

void Published::setEndpoint(const Endpoint &endpoint)
{
    const auto it = m_endpoints.find(endpoint.id);
    const bool leaving = endpoint.state == EndpointState::Leaving && (it == m_endpoints.end() || it->second.state == EndpointState::Live);
    if (it == m_endpoints.end() || leaving) {
        logChange(leaving ? log::Event::EndpointLeft : log::Event::EndpointJoined, endpoint);
    }
    m_endpoints[endpoint.id] = endpoint;
}

void Published::removeEndpoint(const std::string &id)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end()) {
        return;
    }
    if (it->second.state == EndpointState::Live) {
        logChange(log::Event::EndpointLeft, it->second);
    }
    m_endpoints.erase(it);
}

void Published::publishEndpoints()
{
    const auto configuration = m_configuration.load();
    std::vector<Endpoint> endpoints;
    endpoints.reserve(m_endpoints.size());
    for (const auto &[id, endpoint] : m_endpoints) {
        endpoints.push_back(endpoint);
        const auto *service = configuration ? configuration->service(endpoint.pool) : nullptr;
        endpoints.back().kind = service && service->engine ? EndpointKind::Engine : EndpointKind::Service;
    }
    m_table.setEndpoints(endpoints);
}

} // namespace yucca::entry
