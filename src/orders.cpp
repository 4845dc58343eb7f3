#include "orders.h"

#include "yucca/ring.h"

namespace yucca::orders
{

namespace
{
constexpr const char *claimWorkspace = "orders"; ///< takes the place of the workspace in the claims of orders
constexpr unsigned appliedStatus = 200;
constexpr unsigned refusedStatus = 409;
} // namespace

uint64_t contentKey(const Order &order)
{
    return ring::hash(order.kind + "\n" + order.argument, ring::hash(order.id));
}

Dispatcher::Dispatcher(platform::ObjectApi &api, lease::Lease &lease, std::string holder, Sender sender, quarantine::RequestQuarantine &quarantine)
    : m_lease(lease)
    , m_guard(api, std::move(holder), recordKind)
    , m_sender(std::move(sender))
    , m_quarantine(quarantine)
{
}

Task<OrderResult> Dispatcher::dispatch(Order order)
{
    if (!m_lease.held()) {
        co_return OrderResult::NotHolder;
    }
    if (m_quarantine.quarantinedUntil(contentKey(order), Clock::now())) {
        co_return OrderResult::Quarantined;
    }
    const std::string key = order.engine + "/" + order.id;
    auto claim = co_await m_guard.claim(claimWorkspace, key, ring::hash(order.kind + "\n" + order.argument));
    switch (claim.decision) {
    case idempotency::Decision::Run:
        break;
    case idempotency::Decision::Replay:
        co_return claim.storedStatus == appliedStatus ? OrderResult::Applied : OrderResult::Refused;
    case idempotency::Decision::InProgress:
    case idempotency::Decision::Mismatch:
        co_return OrderResult::Pending;
    case idempotency::Decision::NotRun:
        co_return OrderResult::NotSent;
    }
    // This process may have lost the lease while it waited for the store or was paused.
    if (!m_lease.held()) {
        co_await m_guard.settle(claim, idempotency::Guard::released(claim));
        co_return OrderResult::NotHolder;
    }
    const SendResult sendResult = co_await m_sender(order, m_lease.fence());
    switch (sendResult) {
    case SendResult::Applied:
        m_quarantine.recordCompleteResponse(contentKey(order), Clock::now());
        co_await m_guard.settleEventually(claim, idempotency::Guard::completed(claim, appliedStatus, ""));
        co_return OrderResult::Applied;
    case SendResult::StaleFence:
        // Not applied; the holder with the newer token may send the order itself.
        co_await m_guard.settle(claim, idempotency::Guard::released(claim));
        co_return OrderResult::Refused;
    case SendResult::NotSent:
        co_await m_guard.settle(claim, idempotency::Guard::released(claim));
        co_return OrderResult::NotSent;
    case SendResult::EngineCrashed:
        m_quarantine.recordCrash(contentKey(order), ring::hash(order.engine), Clock::now());
        co_return OrderResult::EngineCrashed; // the record stays "started", as for Unknown
    case SendResult::Unknown:
        break; // the engine may have applied it: the record stays "started", so the order is not sent again
    }
    co_return OrderResult::Pending;
}

} // namespace yucca::orders
