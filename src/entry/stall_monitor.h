// Detects pauses of an event loop, to bound how long requests may have waited before they were read. No I/O.
#pragma once

#include "boot_clock.h"
#include "task.h"

#include <algorithm>
#include <optional>

namespace yucca::entry
{

/// Ticks come at regular intervals; a gap between two of them is a pause of the process or of its VM.
class StallMonitor
{
public:
    static constexpr Millis tickInterval{500};
    /// Callers abandon a request that is not read within this time, unless it may run only once.
    static constexpr Millis maxUnreadTime{1000};

    void tick(BootClock::time_point now)
    {
        if (m_lastTick && now - *m_lastTick > maxUnreadTime) {
            m_stallBegin = *m_lastTick;
            m_stallEnd = now;
        }
        m_lastTick = now;
    }

    /// Returns the earliest time at which a request that is read now may have been sent. After a pause, hosts send again what was lost
    /// meanwhile, after delays of up to the length of the pause.
    BootClock::time_point earliestSend(BootClock::time_point now) const
    {
        const auto usual = now - maxUnreadTime;
        if (m_lastTick && now - *m_lastTick > maxUnreadTime) {
            return *m_lastTick - maxUnreadTime; // the pause that ends now
        }
        const bool recent = m_stallEnd && now - *m_stallEnd <= std::max<BootClock::duration>(maxUnreadTime, *m_stallEnd - m_stallBegin);
        return recent ? std::min(usual, m_stallBegin - maxUnreadTime) : usual;
    }

private:
    std::optional<BootClock::time_point> m_lastTick;
    BootClock::time_point m_stallBegin;
    std::optional<BootClock::time_point> m_stallEnd;
};

} // namespace yucca::entry
