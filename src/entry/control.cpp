#include "entry/control.h"

#include <algorithm>

namespace yucca::entry
{

namespace
{

void logChange(log::Event event, const Endpoint &e)
{
    log::Line{event}.add("endpoint", e.id).add("service", e.pool).add("version", e.version).add("address", e.host + ":" + std::to_string(e.port));
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
    applyUnchecked(std::move(configuration));
}

void Published::applyUnchecked(Configuration configuration)
{
    configuration.index();
    applyColdAllowances(configuration);
    const auto before = m_configuration.load();
    m_configuration = std::make_shared<const Configuration>(std::move(configuration));
    m_configurationAppliedAt = Clock::now();
    markChangedKinds(before.get());
    publishEndpoints();
}

// The kind of a service's endpoints follows from the configuration.
EndpointKind Published::kindOf(const std::string &service) const
{
    const auto configuration = m_configuration.load();
    const auto *known = configuration ? configuration->service(service) : nullptr;
    return known && known->engine ? EndpointKind::Engine : EndpointKind::Service;
}

// Marks the endpoints of services that have engines now and had none before, or the other way round.
void Published::markChangedKinds(const Configuration *before)
{
    const auto hadEngines = [before](const std::string &service) {
        const auto *known = before ? before->service(service) : nullptr;
        return known && known->engine;
    };
    std::map<std::string, bool> changed; // by service
    for (const auto &[id, endpoint] : m_endpoints) {
        const auto [service, first] = changed.try_emplace(endpoint.pool, false);
        if (first) {
            service->second = hadEngines(endpoint.pool) != (kindOf(endpoint.pool) == EndpointKind::Engine);
        }
        if (service->second) {
            m_changed.insert(id);
        }
    }
}

void Published::applyColdAllowances(const Configuration &configuration)
{
    std::map<std::string, limits::ColdAllowance> allowances;
    for (const auto &[name, service] : configuration.services) {
        if (service.coldDuration > Millis(0)) {
            const double maxPerSecond = service.coldPerSecond * m_options.coldOvershoot + m_options.coldSlack;
            allowances[name] = {service.coldDuration, service.coldPerSecond, maxPerSecond};
        }
    }
    m_table.setColdAllowances(std::move(allowances));
}

void Published::replaceEvacuated(std::set<std::string> domains)
{
    m_evacuationsKnown = true;
    m_evacuations.replaceListed(std::move(domains));
    applyEvacuated(Clock::now());
}

void Published::setEvacuated(const std::string &domain, bool evacuated)
{
    m_evacuations.setListed(domain, evacuated);
    applyEvacuated(Clock::now());
}

void Published::onEvacuationsRestored(Clock::time_point now)
{
    m_evacuations.recordRestore(now);
}

void Published::recordEvacuationsConfirmed(Clock::time_point at)
{
    // The lost orders had been revoked around the restore: endpoints that became cold then have said so in their entries.
    if (m_evacuations.recordConfirmation(at)) {
        applyEvacuated(m_evacuations.restoredAt());
    }
}

// Endpoints of domains that are no longer evacuated are treated as cold from revokedAt on.
void Published::applyEvacuated(Clock::time_point revokedAt)
{
    auto domains = m_evacuations.inEffect();
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
    m_table.setEvacuated(m_evacuated, revokedAt);
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
        applyEntry(endpoint, EntrySource::Listing);
    }
    if (!m_endpointsKnown) {
        log::Line{log::Event::EndpointsListed}.add("endpoints", static_cast<int64_t>(m_endpoints.size()));
    }
    m_endpointsKnown = true;
    m_endpointsUsable = true;
    publishEndpoints();
}

void Published::applyPartialListing(const std::map<std::string, Endpoint> &endpoints)
{
    for (const auto &[id, endpoint] : endpoints) {
        applyEntry(endpoint, EntrySource::Listing);
    }
    m_endpointsUsable = true;
    publishEndpoints();
}

void Published::applyIncompleteListing(const std::map<std::string, Endpoint> &endpoints)
{
    applyPartialListing(endpoints);
    m_endpointsKnown = true;
}

void Published::setEndpoint(const Endpoint &endpoint)
{
    applyEntry(endpoint, EntrySource::Change);
}

void Published::applyEntry(const Endpoint &endpoint, EntrySource source)
{
    logEndpointChange(endpoint);
    m_expired.erase(endpoint.id);
    const bool excluded = mustStayExcluded(endpoint, source, Clock::now());
    m_changed.insert(endpoint.id);
    auto &held = m_endpoints[endpoint.id];
    held = endpoint;
    held.state = excluded ? EndpointState::Leaving : endpoint.state;
    const auto region = m_options.regions.find(endpoint.zone);
    held.region = region == m_options.regions.end() ? "" : region->second;
    if (endpoint.coldRemainingMs > 0) {
        m_coldUntil.emplace_back(endpoint.id, Clock::now() + Millis(endpoint.coldRemainingMs));
    }
    held.coldRemainingMs = 0; // the time is counted in m_coldUntil from here on
}

// The endpoints of the first listing get a single log line: a line for each costs a small VM a
// noticeable part of its start time in a large fleet.
void Published::logEndpointChange(const Endpoint &endpoint) const
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
    if (it->second.state == EndpointState::Live && Clock::now() < m_retainExpiredUntil) {
        m_expired.insert(id);
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
    recordRemoval(it->second);
    m_expired.erase(id);
    m_reappeared.erase(id);
    m_changed.insert(id);
    m_endpoints.erase(it);
}

// Returns true for an incarnation that is listed as live but must get no requests: it was known to
// be leaving, or it had been removed and may be listed only because the store was restored from a
// backup.
bool Published::mustStayExcluded(const Endpoint &endpoint, EntrySource source, Clock::time_point now)
{
    const bool restoring = now < m_restoringUntil;
    const bool reappeared = m_reappeared.count(endpoint.id) > 0;
    // A leaving incarnation never becomes live again; without a start time, the endpoint may have restarted.
    const bool hasStartTime = endpoint.startedAtMs != 0;
    const auto held = m_endpoints.find(endpoint.id);
    if (endpoint.state != EndpointState::Live || (reappeared && source == EntrySource::Change)) {
        m_reappeared.erase(endpoint.id);
        return false;
    }
    if (held != m_endpoints.end()) {
        const bool left = held->second.state == EndpointState::Leaving && sameIncarnation(held->second, endpoint);
        return left && (hasStartTime || restoring);
    }
    const auto removed = m_removed.find(incarnationKey(endpoint));
    if (removed == m_removed.end()) {
        return false;
    }
    if (removed->second.leaving) {
        return hasStartTime || restoring;
    }
    const bool mayHaveEnded = restoring && source == EntrySource::Listing;
    if (mayHaveEnded) {
        m_reappeared.insert(endpoint.id);
    }
    return mayHaveEnded;
}

void Published::recordRemoval(const Endpoint &endpoint)
{
    const auto now = Clock::now();
    std::erase_if(m_removed, [now](const auto &entry) {
        return now - entry.second.at > removedRetention;
    });
    const bool leaving = endpoint.state == EndpointState::Leaving && !m_reappeared.count(endpoint.id);
    m_removed[incarnationKey(endpoint)] = {leaving, now};
}

void Published::onEndpointsRestored(Clock::time_point now)
{
    m_retainExpiredUntil = std::max(m_retainExpiredUntil, now + expiredEntryRetention);
    m_restoringUntil = now + restoreSettleTime;
}

void Published::onStoreRecovered(Clock::duration outageDuration, Clock::time_point now)
{
    if (outageDuration >= minOutageForExpiry) {
        m_retainExpiredUntil = now + expiredEntryRetention;
    }
}

void Published::endExpiredRetention(Clock::time_point now)
{
    if (now >= m_restoringUntil) {
        admitReappeared();
    }
    if (m_expired.empty() || now < m_retainExpiredUntil) {
        return;
    }
    const auto expired = std::move(m_expired);
    m_expired.clear();
    for (const auto &id : expired) {
        discardEndpoint(id);
    }
    publishEndpoints();
}

// An entry that outlasts the heartbeats of a dead endpoint belongs to a live one.
void Published::admitReappeared()
{
    if (m_reappeared.empty()) {
        return;
    }
    for (const auto &id : std::exchange(m_reappeared, {})) {
        auto &endpoint = m_endpoints[id];
        endpoint.state = EndpointState::Live;
        m_changed.insert(id);
        logChange(log::Event::EndpointJoined, endpoint);
    }
    publishEndpoints();
}

void Published::publishEndpoints()
{
    router::EndpointChanges changes;
    for (const auto &id : std::exchange(m_changed, {})) {
        const auto endpoint = m_endpoints.find(id);
        if (endpoint == m_endpoints.end()) {
            changes.removed.push_back(id);
            continue;
        }
        changes.listed.push_back(endpoint->second);
        changes.listed.back().kind = kindOf(endpoint->second.pool);
    }
    m_publishedRecords += changes.listed.size() + changes.removed.size();
    m_table.applyChanges(changes);
    m_endpointCount = m_table.liveCount();
    for (const auto &[id, until] : std::exchange(m_coldUntil, {})) {
        m_table.recordCold(id, until);
    }
}

} // namespace yucca::entry
