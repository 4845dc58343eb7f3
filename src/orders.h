// Orders to engines (load a model, drain): each is sent by the holder of a
// lease, carries its fencing number, and acts at most once also at engines
// that ignore that number.
#pragma once

#include "idempotency.h"
#include "lease.h"
#include "quarantine.h"
#include "task.h"

#include <functional>
#include <string>

namespace yucca::orders
{

/// The object kind that holds the records of orders: they outlive those of
/// callers' requests, which are swept, since an order without its record would
/// be sent again.
inline constexpr const char *recordKind = "order";

/// One order to one engine.
struct Order {
    std::string engine; ///< endpoint id
    std::string kind; ///< load_model, set_role, drain, undrain
    std::string argument;
    std::string id; ///< equal for equal intents: an order is sent once per id
};

/// The same for one intent at all engines: endings under it are counted together.
uint64_t contentKey(const Order &order);

/// What became of an order.
enum class OrderResult {
    Applied, ///< the engine took it, now or earlier
    Refused, ///< the engine refused the fencing number
    NotHolder, ///< the lease is not held: nothing was sent
    Pending, ///< another holder has it in hand, or its outcome is not known
    NotSent, ///< the store or the engine could not be reached; may be tried again
    EngineEnded, ///< the engine ended while it carried the order out
    Quarantined, ///< several engines ended under the same order: not sent to others for now
};

inline constexpr NameTable<OrderResult, 7> orderResultNames{{{OrderResult::Applied, "applied"},
                                                             {OrderResult::Refused, "refused"},
                                                             {OrderResult::NotHolder, "not_holder"},
                                                             {OrderResult::Pending, "pending"},
                                                             {OrderResult::NotSent, "not_sent"},
                                                             {OrderResult::EngineEnded, "engine_ended"},
                                                             {OrderResult::Quarantined, "quarantined"}}};

/// How an engine answered an order, or that it could not be asked.
enum class Ack {
    Applied,
    StaleFence,
    NotSent, ///< certainly not received
    Unknown, ///< sent; no answer
    EngineEnded, ///< sent; the engine has ended since
};

/// Sends an order with a fencing number to its engine.
using Sender = std::function<Task<Ack>(Order, uint64_t fence)>;

/// Carries out orders under a lease. An order is claimed in the object API
/// before it is sent, so that of two processes that both believe to hold the
/// lease only one sends it; the holder looks at its lease again after the
/// claim, so that one that was paused meanwhile does not send. An order under which engines end does not go round the whole pool.
class Desk
{
public:
    Desk(platform::ObjectApi &api, lease::Lease &lease, std::string holder, Sender sender, quarantine::RequestQuarantine &quarantine);

    Task<OrderResult> carryOut(Order order);
    /// Writes again the records of orders that a store lost which returned from an older copy.
    Task<void> restoreLost()
    {
        return m_guard.restoreLost();
    }

private:
    lease::Lease &m_lease;
    idempotency::Guard m_guard;
    Sender m_sender;
    quarantine::RequestQuarantine &m_quarantine;
};

} // namespace yucca::orders
