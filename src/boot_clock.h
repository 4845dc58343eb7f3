// A clock that also counts the time in which the VM is suspended.
#pragma once

#include <chrono>

namespace yucca
{

/// Reads CLOCK_BOOTTIME: time since boot, including suspension. For limits over real time: the steady clock stands still while a VM
/// is suspended.
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;
    static time_point now();
};

} // namespace yucca
