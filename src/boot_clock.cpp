#include "boot_clock.h"

#include <ctime>

namespace yucca
{

BootClock::time_point BootClock::now()
{
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return time_point(std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec));
}

} // namespace yucca
