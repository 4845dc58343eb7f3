// Probes whether a process listens at an address.
#pragma once

#include "http.h"
#include "task.h"

namespace yucca::http
{

/// The result of probing an address with a new connection.
enum class Probe {
    Open, ///< accepted, and stayed open
    Closed, ///< accepted and closed at once, by a process at its connection limit or a proxy whose server is gone
    Refused, ///< refused: the host is up and nothing listens on the port
    Silent, ///< no answer within connectTimeout, another connection error, or an invalid address
};

/// Opens a connection and waits up to minOpenTime to see whether the peer closes it.
/// Nothing is sent on the connection.
Task<Probe> probeConnection(Address to, Millis connectTimeout, Millis minOpenTime);

} // namespace yucca::http
