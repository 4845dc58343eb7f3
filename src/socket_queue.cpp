#include "socket_queue.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace yucca::net
{

std::optional<std::size_t> unacknowledgedBytes(int descriptor)
{
    int bytes = 0;
    if (::ioctl(descriptor, SIOCOUTQ, &bytes) != 0 || bytes < 0) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(bytes);
}

} // namespace yucca::net
