// The store of a soak returns from an older copy of itself.
#include "soak/fleet.h"
#include "soak/layout.h"

namespace yucca::soak
{

namespace
{

constexpr Millis away{300}; ///< before it returns

} // namespace

// Operators make no change while the store is away, and write again what they
// had written; endpoints do so with their heartbeats.
Task<void> SoakFleet::restoreStore(Step step)
{
    if (step.fault != Fault::StoreRestored) {
        co_return;
    }
    co_await adminCall(port(storePort), "/admin/copy", "{}");
    co_await sleepFor(step.lasts);
    while (m_changing) {
        co_await sleepFor(pollInterval);
    }
    m_changing = true;
    co_await adminCall(port(storePort), "/admin/faults", R"({"outage": true})");
    co_await sleepFor(away);
    co_await adminCall(port(storePort), "/admin/restore", "{}");
    co_await adminCall(port(storePort), "/admin/faults", "{}");
    for (bool written = false; !written;) {
        written = co_await putConfiguration(m_acceptedVersion);
        if (!written) {
            co_await sleepFor(pollInterval);
        }
    }
    m_changing = false;
    co_await rewriteOrders();
}

Task<void> SoakFleet::rewriteOrders()
{
    for (std::size_t domain = 0; domain < endpointDomains; ++domain) {
        for (bool written = false; !written;) {
            written = co_await evacuate(domain, m_evacuations[domain] > 0);
            if (!written) {
                co_await sleepFor(pollInterval);
            }
        }
    }
}

} // namespace yucca::soak
