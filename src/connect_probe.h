// Whether a process listens at an address.
#pragma once

#include "http.h"
#include "task.h"

namespace yucca::http
{

/// What became of a new connection.
enum class Probe {
    Open, ///< it was taken, and stays open
    Closed, ///< it was taken and closed at once: by a process without a free place, or a proxy without its server
    Refused, ///< the host answers, and nothing listens
    Silent, ///< no answer within the time
};

/// Opens a connection and waits whether it stays open; nothing is sent on it.
Task<Probe> probeConnection(Address to, Millis connectTimeout, Millis staysOpenFor);

} // namespace yucca::http
