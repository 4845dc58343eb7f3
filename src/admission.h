// Limits on traffic, free of I/O and with the time passed in: token
// buckets, admission by workspace, and the budget of retries.
#pragma once

#include "task.h"
#include "yucca/types.h"

#include <array>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace yucca::limits
{

/// The limits a workspace runs under.
struct Limits {
    int64_t maxInflight = 64; ///< requests in flight per router
    int64_t requestsPerS = 100; ///< admitted per router a second
};

/// A token bucket: refills at ratePerS up to burst tokens.
class TokenBucket
{
public:
    TokenBucket(double ratePerS, double burst, Clock::time_point now);
    /// Takes one token; false when none is left.
    bool take(Clock::time_point now);
    /// How long until a token will be there.
    Clock::duration wait(Clock::time_point now) const;
    /// Changes the rate and burst; the tokens held stay, up to the new burst.
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

/// What a RetryBudget allows.
struct RetryLimits {
    double ratio = 0.2; ///< retries per first attempt
    double reserve = 2; ///< and on top, so that a service with few requests can retry at all
    Millis window{10000}; ///< over which both are counted
};

/// Bounds retries to a share of the requests, so that a failing pool is not
/// flooded by them. Counted over a sliding window: what a calm router did not
/// use is there when an endpoint fails. A bucket that held no more than the
/// reserve refused about 500 of 1,100 repeats that were allowed, after a crash
/// of a quarter of 90 engines before 60 routers.
class RetryBudget
{
public:
    explicit RetryBudget(RetryLimits limits)
        : m_limits(limits)
    {
    }
    /// Counts a first attempt.
    void earn(Clock::time_point now);
    /// Takes one retry; false when the budget is spent.
    bool spend(Clock::time_point now);
    /// Puts other limits in force; what was counted stays.
    void setLimits(RetryLimits limits);

private:
    /// Counts of a part of the window.
    struct Slice {
        int64_t number = -1; ///< since the clock's epoch
        int64_t requests = 0;
        int64_t retries = 0;
    };
    static constexpr int64_t slicesPerWindow = 20;
    /// One more than a window has: retries count until they are surely out of it.
    using Slices = std::array<Slice, slicesPerWindow + 1>;

    Slice &sliceAt(Clock::time_point now);

    std::mutex m_mutex;
    RetryLimits m_limits;
    Slices m_slices;
};

/// What admission says of a request.
enum class Verdict {
    Admitted,
    RateLimited, ///< above the workspace's requests a second
    AtCapacity, ///< at the workspace's requests in flight
};

inline constexpr NameTable<Verdict, 3> verdictNames{
    {{Verdict::Admitted, "admitted"}, {Verdict::RateLimited, "rate_limited"}, {Verdict::AtCapacity, "at_capacity"}}};

/// Admits requests under the limits of their workspace. Thread-safe.
class Admission
{
public:
    /// Admits one request, or says why not and when to come back.
    Verdict admit(const std::string &workspace, const Limits &limits, Clock::time_point now, Clock::duration &retryAfter);
    /// Ends an admitted request.
    void finished(const std::string &workspace);

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

/// Ends an admitted request when it goes out of scope.
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
