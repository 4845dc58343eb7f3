#include "router_control.h"

#include "http.h"
#include "log.h"

#include <algorithm>

namespace yucca::router
{

Control::Control(const settings::RouterSettings &s, platform::ObjectApi &api, RoutingTable &table)
    : m_settings(s)
    , m_api(api)
    , m_table(table)
{
}

Control::~Control()
{
    stop();
}

void Control::start()
{
    m_thread = std::thread([this] {
        while (!m_stopping.load()) {
            step();
        }
    });
}

void Control::stop()
{
    m_stopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void Control::step()
{
    if (!m_loaded) {
        loadCatalogue();
    } else {
        // The long poll ends in time for the next VM poll or probe, so
        // that neither waits behind a quiet catalogue.
        auto due = std::min(m_nextVmPoll, m_nextProbe) - Clock::now();
        auto wait = std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(due), std::chrono::milliseconds(50),
                               std::chrono::milliseconds(m_settings.watchTimeoutMs));
        watchOnce(wait);
    }
    auto now = Clock::now();
    if (now >= m_nextVmPoll) {
        pollVms();
        m_nextVmPoll = now + std::chrono::milliseconds(m_settings.vmPollMs);
    }
    if (now >= m_nextProbe) {
        probeEndpoints();
        m_nextProbe = now + std::chrono::milliseconds(m_settings.loadPollMs);
    }
    if (!m_loaded) {
        std::this_thread::sleep_for(std::chrono::milliseconds(200)); // store down: back off
    }
}

// Lists both catalogue kinds and starts watching from the older listing.
void Control::loadCatalogue()
{
    auto workspaces = m_api.list(catalogue::workspaceKind);
    auto classes = m_api.list(catalogue::classKind);
    if (!ok(workspaces) || !ok(classes)) {
        log::event(log::Event::PlatformUnreachable, "op=list");
        return;
    }
    const auto &w = std::get<platform::Listing>(workspaces);
    const auto &c = std::get<platform::Listing>(classes);
    {
        std::lock_guard lock(m_mutex);
        m_view.applyListing(catalogue::workspaceKind, w);
        m_view.applyListing(catalogue::classKind, c);
    }
    m_watchFrom = std::min(w.revision, c.revision);
    m_loaded = true;
    log::event(log::Event::CatalogueApplied, "revision=" + std::to_string(revision()) + " entries=" + std::to_string(m_view.size()));
}

// One long poll of the watch; a gap (410) makes the router list again.
void Control::watchOnce(std::chrono::milliseconds wait)
{
    auto r = m_api.watch(m_watchFrom, wait, {catalogue::workspaceKind, catalogue::classKind});
    if (!ok(r)) {
        const auto &e = std::get<Error>(r);
        if (e.code == store::Gone) {
            log::event(log::Event::WatchRestarted, "from=" + std::to_string(m_watchFrom));
            m_loaded = false; // list again; the view never moves back
        } else {
            log::event(log::Event::PlatformUnreachable, "op=watch code=" + std::to_string(e.code));
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
        }
        return;
    }
    const auto &b = std::get<platform::WatchBatch>(r);
    int applied = 0;
    {
        std::lock_guard lock(m_mutex);
        for (const auto &ev : b.events) {
            if (ev.object.kind == catalogue::workspaceKind || ev.object.kind == catalogue::classKind) {
                applied += m_view.apply(ev.object, ev.deleted) ? 1 : 0;
            }
        }
    }
    m_watchFrom = std::max(m_watchFrom, b.revision);
    if (applied > 0) {
        log::event(log::Event::CatalogueApplied, "revision=" + std::to_string(revision()) + " changes=" + std::to_string(applied));
    }
}

void Control::pollVms()
{
    auto r = m_api.vms();
    if (!ok(r)) {
        log::event(log::Event::PlatformUnreachable, "op=vms");
        return; // keep the last endpoint set while the platform is down
    }
    m_endpointsSeen = !std::get<std::vector<Endpoint>>(r).empty();
    if (m_table.setEndpoints(std::get<std::vector<Endpoint>>(r))) {
        log::event(log::Event::EndpointSetChanged, "endpoints=" + std::to_string(m_table.endpoints().size()));
    }
}

// Asks each endpoint for its (lagged) load report, to learn of drains
// before the VM list shows them.
void Control::probeEndpoints()
{
    for (const auto &e : m_table.endpoints()) {
        auto r = http::call(e.host, e.port, "GET", "/load", "", std::chrono::milliseconds(500));
        m_probeBytes += 150;
        if (auto *reply = std::get_if<http::Reply>(&r)) {
            m_probeBytes += reply->body.size() + 100;
            auto j = nlohmann::json::parse(reply->body, nullptr, false);
            if (j.is_object() && j.value("draining", false)) {
                m_table.markDraining(e.id);
            }
        } else {
            m_table.suspect(e.id, Clock::now() + std::chrono::milliseconds(m_settings.loadPollMs));
            log::event(log::Event::EndpointUnreachable, "id=" + e.id);
        }
    }
}

std::optional<catalogue::Workspace> Control::workspace(const std::string &name) const
{
    std::lock_guard lock(m_mutex);
    return m_view.workspace(name);
}

std::optional<catalogue::WorkClass> Control::workClass(const std::string &name) const
{
    std::lock_guard lock(m_mutex);
    return m_view.workClass(name);
}

uint64_t Control::revision() const
{
    std::lock_guard lock(m_mutex);
    return m_view.revision();
}

} // namespace yucca::router
