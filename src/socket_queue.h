// What the system knows of the bytes that a socket has sent.
#pragma once

#include <cstddef>
#include <optional>

namespace yucca::net
{

/// Returns the number of sent bytes of a TCP socket that its peer's host has not acknowledged; nothing if the system can't tell.
std::optional<std::size_t> unacknowledgedBytes(int descriptor);

} // namespace yucca::net
