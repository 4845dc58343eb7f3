// Limits on traffic, free of I/O and with the time passed in: token
// buckets, admission by workspace, and the budget of retries.
#pragma once

#include "task.h"
#include "yucca/types.h"

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

/// Bounds retries to a share of the requests, so that a failing pool is not
/// flooded by them: each first attempt earns a part of a retry, up to a
/// reserve that covers a burst of failures.
class RetryBudget
{
public:
    RetryBudget(double ratio, double reserve);
    /// Counts a first attempt.
    void earn();
    /// Takes one retry; false when the budget is spent.
    bool spend();

private:
    std::mutex m_mutex;
    double m_ratio;
    double m_reserve;
    double m_available;
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
