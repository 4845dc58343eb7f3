// Limits the number of log lines that requests cause.
#pragma once

#include "admission.h"
#include "log.h"

namespace yucca::entry
{

/// Limits log lines with separate budgets for successes and failures, so that many successes never
/// displace a failure. Suppressed lines are counted; the count is logged at most once a second.
class LogRateLimiter
{
public:
    explicit LogRateLimiter(double linesPerS = 150)
        : m_successes(linesPerS, linesPerS, Clock::now())
        , m_failures(linesPerS, linesPerS, Clock::now())
    {
    }

    /// Returns true if a line may be written; otherwise counts it as suppressed.
    bool tryTake(bool failure, Clock::time_point now)
    {
        if ((failure ? m_failures : m_successes).tryTake(now)) {
            return true;
        }
        ++m_suppressed;
        if (now - m_reportedAt >= std::chrono::seconds(1)) {
            log::Line{log::Event::LinesLeftOut}.add("lines", m_suppressed).add("why", "budget");
            m_reportedAt = now;
            m_suppressed = 0;
        }
        return false;
    }

private:
    limits::TokenBucket m_successes;
    limits::TokenBucket m_failures;
    int64_t m_suppressed = 0;
    Clock::time_point m_reportedAt{};
};

} // namespace yucca::entry
