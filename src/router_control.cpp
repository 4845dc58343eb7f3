#include "router_control.h"

#include "log.h"
#include "router_configuration.h"

namespace yucca::router
{

namespace
{

/// Limits the time from the platform's recovery to the next call: a change must be
/// in effect within seconds. Calls are free here, so that each follower retries by itself.
constexpr Millis maxRetryDelay{2000};

/// After a restore of the store, operators and endpoints rewrite what it lost within about 2 s.
constexpr Millis relistDelayAfterRestore{5000};

void logRejected(const std::string &entry, const Findings &findings)
{
    log::event(log::Event::CatalogueEntryRejected,
               "entry=" + entry + " problems=" + std::to_string(findings.items().size()) + " first=\"" + findings.items().front().path + ": "
                   + findings.items().front().message + "\"");
}

} // namespace

Control::Control(const settings::RouterSettings &settings, platform::ObjectApi &api, RoutingTable &table)
    : m_settings(settings)
    , m_view(logRejected)
    , m_published(table)
    , m_snapshot(std::make_shared<catalogue::Snapshot>())
{
    FollowerOptions options;
    options.watchTimeout = Millis(settings.watchTimeoutMs);
    options.maxRetryDelay = maxRetryDelay;
    // No pause between a change and the next watch, as calls to this store are
    // free. With a pause, a router that has just started missed the endpoints that
    // joined right after the first one when an outage of the store followed.
    options.changeCoalescingDelay = Millis(0);
    options.relistDelayAfterRestore = relistDelayAfterRestore;
    for (const auto &kind : kinds()) {
        m_followed.push_back(std::make_unique<Followed>(*this, api, kind, options));
    }
}

Control::Followed::Followed(Control &control, platform::ObjectApi &api, const std::string &kind, FollowerOptions options)
    : sink{control, kind}
    , follower(api, kind, sink, options)
{
}

const std::vector<std::string> &Control::kinds()
{
    static const std::vector<std::string> followed{catalogue::workspaceKind, catalogue::classKind, catalogue::evacuationKind, platform::vmKind};
    return followed;
}

Task<void> Control::run(std::size_t n)
{
    return m_followed[n]->follower.run();
}

void Control::stop()
{
    for (const auto &followed : m_followed) {
        followed->follower.stop();
    }
}

Task<bool> Control::step()
{
    bool reached = true;
    for (const auto &followed : m_followed) {
        const bool kindReached = co_await followed->follower.step();
        reached = reached && kindReached;
    }
    co_return reached;
}

void Control::Sink::onListing(const platform::Listing &listing, platform::Freshness)
{
    control.m_view.applyListing(kind, listing);
    control.recordLoaded(kind);
    control.publish();
}

void Control::Sink::onIncompleteListing(const platform::Listing &listing)
{
    for (const auto &object : listing.items) {
        control.m_view.apply(object, false);
    }
    control.recordLoaded(kind);
    control.publish();
}

void Control::recordLoaded(const std::string &kind)
{
    for (const auto &followed : m_followed) {
        if (followed->sink.kind == kind && !followed->loaded) {
            followed->loaded = true;
            ++m_loaded;
        }
    }
}

void Control::Sink::onStoreRestored()
{
    control.m_view.resetVersions(kind);
}

void Control::Sink::onChange(const platform::Object &object, bool deleted)
{
    dirty = control.m_view.apply(object, deleted) || dirty;
}

void Control::Sink::onBatchEnd()
{
    if (dirty) {
        dirty = false;
        control.publish();
    }
}

// Puts the view into effect: the endpoints in the routing table, the rest in the
// state that traffic threads read.
void Control::publish()
{
    auto snapshot = m_view.publish();
    m_published.applyUnchecked(buildConfiguration(*snapshot, m_settings));
    m_published.replaceEvacuated(snapshot->evacuated());
    m_published.replaceEndpoints(snapshot->endpoints);
    {
        std::lock_guard lock(m_mutex);
        m_snapshot = snapshot;
    }
    m_ready = m_loaded == m_followed.size() && !snapshot->endpoints.empty();
    log::event(log::Event::CatalogueApplied,
               "revision=" + std::to_string(snapshot->revision) + " workspaces=" + std::to_string(snapshot->workspaces.size())
                   + " classes=" + std::to_string(snapshot->classes.size()));
}

std::shared_ptr<const catalogue::Snapshot> Control::snapshot() const
{
    std::lock_guard lock(m_mutex);
    return m_snapshot;
}

} // namespace yucca::router
