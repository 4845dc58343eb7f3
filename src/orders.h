// Orders to engines (load a model, drain). Each is sent by the holder of a lease
// with its fencing token, and takes effect at most once, also at engines that
// do not check the token.
#pragma once

#include "idempotency.h"
#include "lease.h"
#include "quarantine.h"
#include "task.h"

#include <functional>
#include <string>

namespace yucca::orders
{

/// The object kind of the records of orders. Unlike the records of callers'
/// requests they are never swept, because an order without its record would be
/// sent again.
inline constexpr const char *recordKind = "order";

/// One order to one engine.
struct Order {
    std::string engine; ///< endpoint id
    std::string kind; ///< load_model, set_role, drain, undrain
    std::string argument;
    std::string id; ///< names the intent; an engine is sent an order once per id
};

/// Returns the content hash of an order for the quarantine. It does not depend
/// on the engine, so that crashes under one order are counted over all engines.
uint64_t contentKey(const Order &order);

/// The outcome of an order.
enum class OrderResult {
    Applied, ///< the engine applied it, now or earlier
    Refused, ///< the engine refused the fencing token
    NotHolder, ///< the lease is not held, so nothing was sent
    Pending, ///< another process has claimed it, or its outcome is unknown
    NotSent, ///< the store or the engine could not be reached, or the engine takes no orders now; may be retried
    EngineCrashed, ///< the engine crashed while it ran the order
    Quarantined, ///< several engines crashed under the same order, so it is not sent to others for now
};

inline constexpr NameTable<OrderResult, 7> orderResultNames{{{OrderResult::Applied, "applied"},
                                                             {OrderResult::Refused, "refused"},
                                                             {OrderResult::NotHolder, "not_holder"},
                                                             {OrderResult::Pending, "pending"},
                                                             {OrderResult::NotSent, "not_sent"},
                                                             {OrderResult::EngineCrashed, "engine_ended"},
                                                             {OrderResult::Quarantined, "quarantined"}}};

/// The result of sending an order to its engine.
enum class SendResult {
    Applied,
    StaleFence, ///< refused: the engine has seen a higher fencing token
    NotSent, ///< the engine certainly did not apply it
    Unknown, ///< sent, and the engine may have applied it
    EngineCrashed, ///< sent, and the engine has crashed since
};

/// Sends an order with a fencing token to its engine.
using Sender = std::function<Task<SendResult>(Order, uint64_t fence)>;

/// Sends orders under a lease. An order is claimed in the store before it is
/// sent, so that only one of two processes that both believe they hold the lease
/// sends it. The lease is checked again after the claim, so that a holder that
/// was paused meanwhile does not send. An order that crashes engines is
/// quarantined, so that it does not reach the whole pool.
class Dispatcher
{
public:
    Dispatcher(platform::ObjectApi &api, lease::Lease &lease, std::string holder, Sender sender, quarantine::RequestQuarantine &quarantine);

    /// Claims the order, sends it to its engine and records the outcome.
    Task<OrderResult> dispatch(Order order);
    /// Rewrites the records of orders that the store lost when it was restored from a backup.
    Task<void> rewriteLostRecords()
    {
        return m_guard.rewriteLostRecords();
    }

private:
    lease::Lease &m_lease;
    idempotency::Guard m_guard;
    Sender m_sender;
    quarantine::RequestQuarantine &m_quarantine;
};

} // namespace yucca::orders
