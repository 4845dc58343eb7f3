// Restores the store of a soak test from a backup.
#include "soak/fleet.h"
#include "soak/layout.h"

namespace yucca::soak
{

namespace
{

constexpr Millis restoreOutage{300}; ///< before the restore

} // namespace

// Operators change nothing while the store is down, and then rewrite their last changes. Endpoints rewrite theirs with
// their heartbeats.
Task<void> SoakFleet::restoreStore(Step step)
{
    if (step.fault != Fault::StoreRestored && step.fault != Fault::PowerLost) {
        co_return;
    }
    co_await adminCall(port(storePortOffset), "/admin/copy", "{}");
    co_await sleepFor(step.duration);
    while (m_changeInProgress) {
        co_await sleepFor(pollInterval);
    }
    m_changeInProgress = true;
    const auto unpowered = step.fault == Fault::PowerLost ? killAllRouters() : std::vector<std::size_t>();
    co_await adminCall(port(storePortOffset), "/admin/faults", R"({"outage": true})");
    co_await sleepFor(restoreOutage);
    co_await adminCall(port(storePortOffset), "/admin/restore", "{}");
    co_await adminCall(port(storePortOffset), "/admin/faults", "{}");
    for (const auto n : unpowered) {
        startRouter(n);
    }
    for (bool written = false; !written;) {
        written = co_await putConfiguration(m_acceptedVersion);
        if (!written) {
            co_await sleepFor(pollInterval);
        }
    }
    m_changeInProgress = false;
    co_await rewriteEvacuations();
}

// Returns the routers to start again. One that another step has stopped is killed too; that step starts it.
std::vector<std::size_t> SoakFleet::killAllRouters()
{
    checkRouterExits();
    std::vector<std::size_t> running;
    for (std::size_t n = 0; n < m_routers.size(); ++n) {
        if (!m_routers[n].stopped) {
            m_routers[n].stopped = true;
            running.push_back(n);
        }
        m_routers[n].process->kill();
    }
    return running;
}

Task<void> SoakFleet::rewriteEvacuations()
{
    for (std::size_t domain = 0; domain < endpointDomains; ++domain) {
        for (bool written = false; !written;) {
            written = co_await setEvacuated(domain, m_activeEvacuations[domain] > 0);
            if (!written) {
                co_await sleepFor(pollInterval);
            }
        }
    }
}

} // namespace yucca::soak
