// Traffic limits: token buckets, admission per workspace and retry budgets. No I/O; the caller passes the time in.
#pragma once

#include "boot_clock.h"
#include "task.h"
#include "yucca/types.h"

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace yucca::limits
{

/// The limits of a workspace.
struct Limits {
    int64_t maxInflight = 64; ///< requests in flight, per router
    int64_t requestsPerS = 100; ///< admitted requests per second, per router
};

/// A token bucket: refills at ratePerS tokens per second up to burst tokens.
class TokenBucket
{
public:
    TokenBucket(double ratePerS, double burst, Clock::time_point now);
    /// Takes one token. Returns false if less than one token is left.
    bool tryTake(Clock::time_point now);
    /// The time until a token becomes available.
    Clock::duration timeUntilToken(Clock::time_point now) const;
    /// Changes the rate and the burst. The bucket keeps its tokens, up to the new burst.
    void setRate(double ratePerS, double burst);
    double rate() const
    {
        return m_rate;
    }

private:
    void refill(Clock::time_point now);

    double m_rate;
    double m_burst;
    double m_tokens;
    Clock::time_point m_last;
};

/// The limits of a RetryBudget.
struct RetryLimits {
    double ratio = 0.2; ///< retries allowed per first attempt
    double slack = 2; ///< retries allowed in addition, by all routers that share the budget
    Millis window{10000}; ///< sliding window over which attempts and retries are counted
};

/// What a RetryBudget has spent and may spend in the window that ends now.
struct RetryUsage {
    double spent = 0; ///< retries
    double allowed = 0; ///< retries, share included
    double share = 0; ///< retries that this router may spend in addition to its ratio of requests
};

/// Limits retries to a share of the requests, so that retries do not flood a failing pool.
///
/// In any window that begins at t, the retries are at most slack x share plus ratio x half of the requests from one window before t to
/// the end of the window. Half of two windows is at most the larger one. The limit is linear in the requests, so the limits of routers
/// add up to that of the fleet, wherever callers move, and those of a process and its predecessors to that of one router.
class RetryBudget
{
public:
    explicit RetryBudget(RetryLimits limits)
        : m_limits(limits)
    {
    }
    /// Counts a request by the earliest time at which its caller may have sent it.
    void recordRequest(BootClock::time_point sentAt);
    /// Permits one retry and returns true, or returns false if the budget is exhausted. share is this router's share of the slack. The
    /// retry counts in all windows until it has arrived or is cancelled.
    bool tryRetry(BootClock::time_point now, double share);
    /// Records that a permitted retry has arrived at an endpoint, at some time until now.
    void recordRetryArrival(BootClock::time_point now);
    /// Takes back a permitted retry that was not sent.
    void cancelRetry();
    RetryUsage usage(BootClock::time_point now, double share) const;
    /// Replaces the limits. The counts stay unless the window changes.
    void setLimits(RetryLimits limits);

private:
    /// The counts of one slice of the window.
    struct Slice {
        int64_t index = -1; ///< slice index since the clock's epoch
        int64_t requests = 0;
        int64_t retries = 0;
    };
    static constexpr int64_t slicesPerWindow = 20;
    using Slices = std::array<Slice, 2 * slicesPerWindow>;

    int64_t sliceIndexAt(BootClock::time_point now) const;
    Slice *sliceAt(BootClock::time_point at);
    Slice countsAt(int64_t index) const;
    RetryUsage usageAt(int64_t index, double share) const;

    mutable std::mutex m_mutex;
    RetryLimits m_limits;
    Slices m_slices;
    int64_t m_pendingRetries = 0; ///< permitted, and neither arrived nor cancelled
};

/// A permitted retry. One that is destroyed has arrived, unless it was cancelled.
class RetryPermit
{
public:
    explicit RetryPermit(RetryBudget &budget)
        : m_budget(budget)
    {
    }
    ~RetryPermit();
    RetryPermit(const RetryPermit &) = delete;
    RetryPermit &operator=(const RetryPermit &) = delete;
    void cancel();

private:
    RetryBudget &m_budget;
    bool m_cancelled = false;
};

/// A permit that is given back unless it is taken out.
class HeldPermit
{
public:
    HeldPermit() = default;
    explicit HeldPermit(std::unique_ptr<RetryPermit> permit)
        : m_permit(std::move(permit))
    {
    }
    ~HeldPermit()
    {
        giveBack();
    }
    HeldPermit(HeldPermit &&) = default;
    HeldPermit &operator=(HeldPermit &&other) noexcept
    {
        giveBack();
        m_permit = std::move(other.m_permit);
        return *this;
    }
    explicit operator bool() const
    {
        return m_permit != nullptr;
    }
    std::unique_ptr<RetryPermit> take()
    {
        return std::move(m_permit);
    }
    void giveBack()
    {
        if (m_permit) {
            m_permit->cancel();
            m_permit.reset();
        }
    }

private:
    std::unique_ptr<RetryPermit> m_permit;
};

/// The result of an admission check.
enum class AdmissionResult {
    Admitted,
    RateLimited, ///< the workspace exceeds its requests per second
    AtCapacity, ///< the workspace has reached its limit of requests in flight
};

inline constexpr NameTable<AdmissionResult, 3> admissionResultNames{
    {{AdmissionResult::Admitted, "admitted"}, {AdmissionResult::RateLimited, "rate_limited"}, {AdmissionResult::AtCapacity, "at_capacity"}}};

/// Admits requests under the limits of their workspace. Thread-safe.
class Admission
{
public:
    /// Admits one request, or returns the limit that it exceeds and sets retryAfter to the time to wait before
    /// a retry.
    AdmissionResult admit(const std::string &workspace, const Limits &limits, Clock::time_point now, Clock::duration &retryAfter);
    /// Releases the slot of an admitted request.
    void release(const std::string &workspace);

private:
    struct State {
        explicit State(TokenBucket b)
            : bucket(b)
        {
        }
        TokenBucket bucket;
        int64_t inflight = 0;
    };
    std::mutex m_mutex;
    std::map<std::string, State> m_workspaces;
};

/// Releases the slot of an admitted request at the end of its scope.
class AdmissionSlot
{
public:
    AdmissionSlot(Admission &admission, std::string workspace);
    ~AdmissionSlot();
    AdmissionSlot(const AdmissionSlot &) = delete;
    AdmissionSlot &operator=(const AdmissionSlot &) = delete;

private:
    Admission &m_admission;
    std::string m_workspace;
};

} // namespace yucca::limits
