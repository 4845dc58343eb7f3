// Bounds how many log lines a second requests may cause.
#pragma once

#include "admission.h"
#include "log.h"

namespace yucca::entry
{

/// Two budgets, so that a flood of successes never crowds out a failure.
/// What is left out is counted, and the count logged once a second at most.
class LineBudget
{
public:
    explicit LineBudget(double linesPerS = 150)
        : m_successes(linesPerS, linesPerS, Clock::now())
        , m_failures(linesPerS, linesPerS, Clock::now())
    {
    }

    /// True when a line may be written.
    bool take(bool failure, Clock::time_point now)
    {
        if ((failure ? m_failures : m_successes).take(now)) {
            return true;
        }
        ++m_leftOut;
        if (now - m_toldAt >= std::chrono::seconds(1)) {
            log::Line{log::Event::LinesLeftOut}.add("lines", m_leftOut).add("why", "budget");
            m_toldAt = now;
            m_leftOut = 0;
        }
        return false;
    }

private:
    limits::TokenBucket m_successes;
    limits::TokenBucket m_failures;
    int64_t m_leftOut = 0;
    Clock::time_point m_toldAt{};
};

} // namespace yucca::entry
