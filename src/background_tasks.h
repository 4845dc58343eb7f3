// Background tasks of a router. The router that holds the "duties" lease orders
// the engines to load the model that the catalogue names for their pool. Every
// router periodically removes a few expired idempotency records: deletions are
// conditional and may be repeated, so they need no lease, and their total rate
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

namespace yucca::background
{

inline constexpr const char *leaseName = "duties";

/// True if an idempotency record is older than retentionS seconds at the Unix
/// time nowS. Records without an outcome are kept, because an operator settles them.
bool isExpired(const nlohmann::json &record, int64_t nowS, int64_t retentionS);

/// Returns the orders that make every live engine load the model of its pool's
/// class of work. Engines in evacuated failure domains get none.
std::vector<orders::Order> desiredOrders(const catalogue::Snapshot &snapshot);

/// Runs the background tasks of one router.
class BackgroundTasks
{
public:
    BackgroundTasks(const settings::RouterSettings &settings, platform::ObjectApi &api, const router::Control &control, orders::Sender sender,
                    quarantine::RequestQuarantine &quarantine);

    /// Calls step() several times per lease duration until stop() is called, then releases the lease.
    Task<void> run();
    /// Asks run() to return. Must be called on the thread of run().
    void stop()
    {
        m_stopping = true;
    }
    /// Takes or renews the lease, sends the desired orders while it is held, and sweeps expired records when due.
    Task<void> step();

private:
    Task<void> sweepPage();
    Task<void> sendOrders();

    settings::RouterSettings m_settings;
    platform::ObjectApi &m_api;
    const router::Control &m_control;
    lease::Lease m_lease;
    orders::Dispatcher m_dispatcher;
    std::set<std::string> m_settledOrders; ///< "engine/order id" of applied and refused orders, which are not sent again
    Clock::time_point m_nextSweep;
    bool m_wasHolder = false;
    bool m_stopping = false;
};

/// Returns a sender that posts orders to the engines over HTTP as the given
/// holder. Engines that asked to back off or that are leaving get no orders,
/// except "undrain" when leaving, just as they get no requests.
orders::Sender makeHttpOrderSender(http::Client &client, const router::Control &control, router::RoutingTable &table, std::string holder);

} // namespace yucca::background
