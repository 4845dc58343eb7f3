// Duties beside the traffic. One router at a time, under a lease, orders
// engines to load the model that the catalogue names for their pool. Every
// router removes a few old idempotency records now and then: deletions are
// conditional and may be repeated, so they need no lease, and their rate
// grows with the fleet.
#pragma once

#include "http_client.h"
#include "lease.h"
#include "object_api.h"
#include "orders.h"
#include "router_control.h"
#include "settings.h"

#include <set>
#include <string>

namespace yucca::duties
{

inline constexpr const char *leaseName = "duties";

/// True when an idempotency record is older than the retention. Records
/// that never ended are kept: an operator settles them.
bool expired(const nlohmann::json &record, int64_t nowS, int64_t retentionS);

/// The orders that bring every engine of a pool to its class's model.
std::vector<orders::Order> wantedOrders(const catalogue::Snapshot &snapshot);

/// Performs the duties of one router.
class Duties
{
public:
    Duties(const settings::RouterSettings &settings, platform::ObjectApi &api, const router::Control &control, orders::Sender sender,
           quarantine::RequestQuarantine &quarantine);

    /// Renews or takes the lease and performs the duties, until stopped.
    Task<void> run();
    /// Asks run() to give up the lease and return; from its thread.
    void stop()
    {
        m_stopping = true;
    }
    /// One round.
    Task<void> step();

private:
    Task<void> sweepPage();
    Task<void> sendOrders();

    settings::RouterSettings m_settings;
    platform::ObjectApi &m_api;
    const router::Control &m_control;
    lease::Lease m_lease;
    orders::Desk m_desk;
    std::set<std::string> m_settledOrders; ///< applied or refused: not asked about again
    Clock::time_point m_nextSweep;
    bool m_wasHolder = false;
    bool m_stopping = false;
};

/// A sender that posts orders to the engines' own order calls. What engines say
/// of themselves in their answers binds orders as it binds requests.
orders::Sender httpSender(http::Client &client, const router::Control &control, router::RoutingTable &table, std::string holder);

} // namespace yucca::duties
