#include "entry/control.h"

#include <algorithm>

namespace yucca::entry
{

namespace
{

void logChange(log::Event event, const Endpoint &e)
{
    log::Line{event}.add("endpoint", e.id).add("service", e.pool).add("address", e.host + ":" + std::to_string(e.port));
}

} // namespace

void Published::apply(Configuration configuration)
{
    const auto held = m_configuration.load();
    if (held && configuration.version <= held->version) {
        return;
    }
    log::Line{log::Event::ConfigurationApplied}
        .add("version", configuration.version)
        .add("before", held ? held->version : 0)
        .add("routes", static_cast<int64_t>(configuration.routes.size()))
        .add("services", static_cast<int64_t>(configuration.services.size()))
        .add("keys", static_cast<int64_t>(configuration.workspaceOfKey.size()));
    put(std::move(configuration));
}

void Published::put(Configuration configuration)
{
    configuration.index();
    putColdAllowances(configuration);
    m_configuration = std::make_shared<const Configuration>(std::move(configuration));
    publishEndpoints(); // which services are plain ones may have changed
}

void Published::putColdAllowances(const Configuration &configuration)
{
    std::map<std::string, limits::ColdAllowance> allowances;
    for (const auto &[name, service] : configuration.services) {
        if (service.coldFor > Millis(0)) {
            const double most = service.coldPerSecond * m_options.coldOvershoot + m_options.coldSlack;
            allowances[name] = {service.coldFor, service.coldPerSecond, most};
        }
    }
    m_table.setColdAllowances(std::move(allowances));
}

void Published::replaceEvacuated(std::set<std::string> domains)
{
    m_evacuationsKnown = true;
    putEvacuated(std::move(domains));
}

void Published::setEvacuated(const std::string &domain, bool evacuated)
{
    auto domains = m_evacuated;
    if (evacuated) {
        domains.insert(domain);
    } else {
        domains.erase(domain);
    }
    putEvacuated(std::move(domains));
}

void Published::putEvacuated(std::set<std::string> domains)
{
    const auto count = [this](const std::string &domain) {
        return std::count_if(m_endpoints.begin(), m_endpoints.end(), [&domain](const auto &entry) {
            return entry.second.zone == domain;
        });
    };
    for (const auto &domain : domains) {
        if (!m_evacuated.count(domain)) {
            log::Line{log::Event::DomainEvacuated}.add("domain", domain).add("endpoints", static_cast<int64_t>(count(domain)));
        }
    }
    for (const auto &domain : m_evacuated) {
        if (!domains.count(domain)) {
            log::Line{log::Event::DomainReturned}.add("domain", domain).add("endpoints", static_cast<int64_t>(count(domain)));
        }
    }
    m_evacuated = std::move(domains);
    m_table.setEvacuated(m_evacuated, Clock::now());
}

void Published::replaceEndpoints(std::map<std::string, Endpoint> endpoints)
{
    std::vector<std::string> missing;
    for (const auto &[id, endpoint] : m_endpoints) {
        if (!endpoints.count(id)) {
            missing.push_back(id);
        }
    }
    for (const auto &id : missing) {
        removeEndpoint(id);
    }
    for (const auto &[id, endpoint] : endpoints) {
        setEndpoint(endpoint);
    }
    if (!m_endpointsKnown) {
        log::Line{log::Event::EndpointsListed}.add("endpoints", static_cast<int64_t>(m_endpoints.size()));
    }
    m_endpointsKnown = true;
    m_endpointsUsable = true;
    publishEndpoints();
}

void Published::useForNow(const std::map<std::string, Endpoint> &endpoints)
{
    for (const auto &[id, endpoint] : endpoints) {
        setEndpoint(endpoint);
    }
    m_endpointsUsable = true;
    publishEndpoints();
}

void Published::setEndpoint(const Endpoint &endpoint)
{
    noteChange(endpoint);
    m_lapsed.erase(endpoint.id);
    auto &held = m_endpoints[endpoint.id];
    held = endpoint;
    const auto region = m_options.regions.find(endpoint.zone);
    held.region = region == m_options.regions.end() ? "" : region->second;
    if (endpoint.coldMs > 0) {
        m_cold.emplace_back(endpoint.id, Clock::now() + Millis(endpoint.coldMs));
    }
    held.coldMs = 0; // it runs on from here
}

// Those of the first listing are one line together: a line each took a VM of
// 0.12 core 0.18 s at its start before 2,956 endpoints.
void Published::noteChange(const Endpoint &endpoint) const
{
    if (!m_endpointsKnown) {
        return;
    }
    const auto it = m_endpoints.find(endpoint.id);
    const bool known = it != m_endpoints.end();
    const bool leaves = endpoint.state == EndpointState::Leaving && (!known || it->second.state == EndpointState::Live);
    if (leaves) {
        logChange(log::Event::EndpointLeft, endpoint);
    } else if (!known) {
        logChange(log::Event::EndpointJoined, endpoint);
    } else if (!sameIncarnation(it->second, endpoint)) {
        logChange(log::Event::EndpointRestarted, endpoint);
    }
}

void Published::removeEndpoint(const std::string &id)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end()) {
        return;
    }
    if (it->second.state == EndpointState::Live && Clock::now() < m_keepLapsedUntil) {
        m_lapsed.insert(id);
        return;
    }
    discardEndpoint(id);
}

void Published::discardEndpoint(const std::string &id)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end()) {
        return;
    }
    if (it->second.state == EndpointState::Live) {
        logChange(log::Event::EndpointLeft, it->second);
    }
    m_lapsed.erase(id);
    m_endpoints.erase(it);
}

void Published::storeRegained(Clock::duration away, Clock::time_point now)
{
    if (away >= shortestLapse) {
        m_keepLapsedUntil = now + lapsedKeptFor;
    }
}

void Published::dropLapsed(Clock::time_point now)
{
    if (m_lapsed.empty() || now < m_keepLapsedUntil) {
        return;
    }
    const auto lapsed = std::move(m_lapsed);
    m_lapsed.clear();
    for (const auto &id : lapsed) {
        removeEndpoint(id);
    }
    publishEndpoints();
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
    m_endpointCount = static_cast<std::size_t>(std::count_if(endpoints.begin(), endpoints.end(), [](const Endpoint &e) {
        return e.state == EndpointState::Live;
    }));
    m_table.setEndpoints(endpoints);
    for (const auto &[id, until] : std::exchange(m_cold, {})) {
        m_table.noteCold(id, until);
    }
}

} // namespace yucca::entry
