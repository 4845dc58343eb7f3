#include "orders.h"

#include "yucca/ring.h"

namespace yucca::orders
{

namespace
{
constexpr const char *orderWorkspace = "orders"; ///< stands where a caller's record has its workspace
constexpr unsigned appliedStatus = 200;
constexpr unsigned refusedStatus = 409;
} // namespace

uint64_t contentKey(const Order &order)
{
    return ring::hash(order.kind + "\n" + order.argument, ring::hash(order.id));
}

Desk::Desk(platform::ObjectApi &api, lease::Lease &lease, std::string holder, Sender sender, quarantine::RequestQuarantine &quarantine)
    : m_lease(lease)
    , m_guard(api, std::move(holder), recordKind)
    , m_sender(std::move(sender))
    , m_quarantine(quarantine)
{
}

Task<OrderResult> Desk::carryOut(Order order)
{
    if (!m_lease.held()) {
        co_return OrderResult::NotHolder;
    }
    if (m_quarantine.heldUntil(contentKey(order), Clock::now())) {
        co_return OrderResult::Quarantined;
    }
    const std::string key = order.engine + "/" + order.id;
    auto claim = co_await m_guard.claim(orderWorkspace, key, ring::hash(order.kind + "\n" + order.argument));
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
    // The claim took its time: a holder that was paused or waited for the
    // store may have lost the lease since.
    if (!m_lease.held()) {
        co_await m_guard.settle(claim, idempotency::Guard::released(claim));
        co_return OrderResult::NotHolder;
    }
    const Ack ack = co_await m_sender(order, m_lease.fence());
    switch (ack) {
    case Ack::Applied:
        m_quarantine.answered(contentKey(order), Clock::now());
        co_await m_guard.settleEventually(claim, idempotency::Guard::completed(claim, appliedStatus, ""));
        co_return OrderResult::Applied;
    case Ack::StaleFence:
        // Not applied: the holder of the newer number may send it itself.
        co_await m_guard.settle(claim, idempotency::Guard::released(claim));
        co_return OrderResult::Refused;
    case Ack::NotSent:
        co_await m_guard.settle(claim, idempotency::Guard::released(claim));
        co_return OrderResult::NotSent;
    case Ack::EngineEnded:
        m_quarantine.ended(contentKey(order), ring::hash(order.engine), Clock::now());
        co_return OrderResult::EngineEnded; // as below: it may have acted
    case Ack::Unknown:
        break; // the record stays "started": the order is not sent again
    }
    co_return OrderResult::Pending;
}

} // namespace yucca::orders
