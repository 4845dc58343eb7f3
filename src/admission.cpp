#include "admission.h"

#include <algorithm>

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

bool TokenBucket::take(Clock::time_point now)
{
    refill(now);
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

Clock::duration TokenBucket::wait(Clock::time_point now) const
{
    const double elapsed = std::chrono::duration<double>(now - m_last).count();
    const double missing = std::max(0.0, 1.0 - m_tokens) - m_rate * std::max(0.0, elapsed);
    return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(std::max(0.0, missing) / m_rate));
}

void TokenBucket::setRate(double ratePerS, double burst)
{
    m_rate = ratePerS;
    m_burst = burst;
    m_tokens = std::min(m_tokens, burst);
}

RetryBudget::RetryBudget(double ratio, double reserve)
    : m_ratio(ratio)
    , m_reserve(reserve)
    , m_available(reserve)
{
}

void RetryBudget::earn()
{
    std::lock_guard lock(m_mutex);
    m_available = std::min(m_reserve, m_available + m_ratio);
}

bool RetryBudget::spend()
{
    std::lock_guard lock(m_mutex);
    if (m_available < 1.0) {
        return false;
    }
    m_available -= 1.0;
    return true;
}

Verdict Admission::admit(const std::string &workspace, const Limits &limits, Clock::time_point now, Clock::duration &retryAfter)
{
    // A burst of one second's worth.
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
        return Verdict::AtCapacity;
    }
    if (!state.bucket.take(now)) {
        retryAfter = state.bucket.wait(now);
        return Verdict::RateLimited;
    }
    ++state.inflight;
    return Verdict::Admitted;
}

void Admission::finished(const std::string &workspace)
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
    m_admission.finished(m_workspace);
}

} // namespace yucca::limits
