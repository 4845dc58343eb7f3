// Virtual time for simulations that run the product's coroutines: timers fire in order without waiting.
#pragma once

#include "task.h"

namespace yucca::model
{

/// Replaces Clock on this thread for as long as the object lives. At most one may exist per thread.
class VirtualTime
{
public:
    VirtualTime()
    {
        Clock::virtualNow = &m_now;
    }
    ~VirtualTime()
    {
        Clock::virtualNow = nullptr;
    }
    VirtualTime(const VirtualTime &) = delete;
    VirtualTime &operator=(const VirtualTime &) = delete;

    /// Runs an event loop for a virtual duration.
    void run(asio::io_context &loop, Millis duration)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += step) {
            loop.restart();
            while (loop.poll() > 0) { }
        }
    }
    /// The resolution of the simulation.
    static constexpr Millis step{1};

private:
    Clock::time_point m_now{std::chrono::hours(1)};
};

} // namespace yucca::model
