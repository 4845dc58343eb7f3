#include "admission.h"

#include <algorithm>
#include <limits>

namespace yucca::limits
{

TokenBucket::TokenBucket(double ratePerS, double burst, Clock::time_point now)
    : m_rate(ratePerS)
    , m_burst(burst)
    , m_tokens(burst)
    , m_last(now)
{
}

void TokenBucket::refill(Clock::time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - m_last).count();
    m_tokens = std::min(m_burst, m_tokens + m_rate * std::max(0.0, elapsed));
    m_last = std::max(m_last, now);
}

bool TokenBucket::tryTake(Clock::time_point now)
{
    refill(now);
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

Clock::duration TokenBucket::timeUntilToken(Clock::time_point now) const
{
    const double elapsed = std::chrono::duration<double>(now - m_last).count();
    const double missingTokens = std::max(0.0, 1.0 - m_tokens) - m_rate * std::max(0.0, elapsed);
    return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(std::max(0.0, missingTokens) / m_rate));
}

void TokenBucket::setRate(double ratePerS, double burst)
{
    m_rate = ratePerS;
    m_burst = burst;
    m_tokens = std::min(m_tokens, burst);
}

int64_t RetryBudget::sliceIndexAt(BootClock::time_point now) const
{
    const auto length = std::max<BootClock::duration>(m_limits.window / slicesPerWindow, Millis(1));
    return now.time_since_epoch() / length;
}

// The slice that contains a time, reset if it still holds counts of earlier windows; null if it already holds counts of later ones.
RetryBudget::Slice *RetryBudget::sliceAt(BootClock::time_point at)
{
    const int64_t index = sliceIndexAt(at);
    auto &slice = m_slices[static_cast<std::size_t>(index) % m_slices.size()];
    if (slice.index < index) {
        slice = {index, 0, 0};
    }
    return slice.index == index ? &slice : nullptr;
}

void RetryBudget::recordRequest(BootClock::time_point sentAt)
{
    std::lock_guard lock(m_mutex);
    if (auto *slice = sliceAt(sentAt)) {
        ++slice->requests;
    }
}

// Returns the counts of a slice, zero if it has left the two windows.
RetryBudget::Slice RetryBudget::countsAt(int64_t index) const
{
    const auto &slice = m_slices[static_cast<std::size_t>(index) % m_slices.size()];
    return slice.index == index ? slice : Slice{index, 0, 0};
}

// Returns the usage in the window that ends with a slice. The retries allowed are the fewest that any window allows which begins in one
// of its slices. Slices that lie in a window only partly count for the retries and not for the requests.
RetryUsage RetryBudget::usageAt(int64_t index, double share) const
{
    const double slack = m_limits.slack * share;
    int64_t requests = 0;
    for (int64_t i = index; i > index - slicesPerWindow + 1; --i) {
        requests += countsAt(i).requests;
    }
    int64_t retries = m_pendingRetries;
    double remaining = std::numeric_limits<double>::max();
    for (int64_t begin = index; begin >= index - slicesPerWindow; --begin) {
        retries += countsAt(begin).retries;
        requests += countsAt(begin - slicesPerWindow + 1).requests;
        remaining = std::min(remaining, m_limits.ratio * static_cast<double>(requests) / 2 + slack - static_cast<double>(retries));
    }
    return {static_cast<double>(retries), static_cast<double>(retries) + std::max(0.0, remaining), slack};
}

RetryUsage RetryBudget::usage(BootClock::time_point now, double share) const
{
    std::lock_guard lock(m_mutex);
    return usageAt(sliceIndexAt(now), share);
}

bool RetryBudget::tryRetry(BootClock::time_point now, double share)
{
    std::lock_guard lock(m_mutex);
    const auto used = usageAt(sliceIndexAt(now), share);
    if (used.spent + 1 > used.allowed) {
        return false;
    }
    ++m_pendingRetries;
    return true;
}

void RetryBudget::recordRetryArrival(BootClock::time_point now)
{
    std::lock_guard lock(m_mutex);
    --m_pendingRetries;
    if (auto *slice = sliceAt(now)) {
        ++slice->retries;
    }
}

void RetryBudget::cancelRetry()
{
    std::lock_guard lock(m_mutex);
    --m_pendingRetries;
}

RetryPermit::~RetryPermit()
{
    if (!m_cancelled) {
        m_budget.recordRetryArrival(BootClock::now());
    }
}

void RetryPermit::cancel()
{
    if (!m_cancelled) {
        m_cancelled = true;
        m_budget.cancelRetry();
    }
}

void RetryBudget::setLimits(RetryLimits limits)
{
    std::lock_guard lock(m_mutex);
    if (limits.window != m_limits.window) {
        m_slices = Slices(); // the old counts belong to slices of another length
    }
    m_limits = limits;
}

AdmissionResult Admission::admit(const std::string &workspace, const Limits &limits, Clock::time_point now, Clock::duration &retryAfter)
{
    // The burst equals one second of requests.
    const double rate = static_cast<double>(limits.requestsPerS);
    std::lock_guard lock(m_mutex);
    auto it = m_workspaces.find(workspace);
    if (it == m_workspaces.end()) {
        it = m_workspaces.emplace(workspace, State(TokenBucket(rate, rate, now))).first;
    }
    auto &state = it->second;
    if (state.bucket.rate() != rate) {
        state.bucket.setRate(rate, rate);
    }
    if (state.inflight >= limits.maxInflight) {
        retryAfter = std::chrono::seconds(1);
        return AdmissionResult::AtCapacity;
    }
    if (!state.bucket.tryTake(now)) {
        retryAfter = state.bucket.timeUntilToken(now);
        return AdmissionResult::RateLimited;
    }
    ++state.inflight;
    return AdmissionResult::Admitted;
}

void Admission::release(const std::string &workspace)
{
    std::lock_guard lock(m_mutex);
    auto it = m_workspaces.find(workspace);
    if (it != m_workspaces.end() && it->second.inflight > 0) {
        --it->second.inflight;
    }
}

AdmissionSlot::AdmissionSlot(Admission &admission, std::string workspace)
    : m_admission(admission)
    , m_workspace(std::move(workspace))
{
}

AdmissionSlot::~AdmissionSlot()
{
    m_admission.release(m_workspace);
}

} // namespace yucca::limits
