// Whether anything listens at an address.
#pragma once

#include "http.h"
#include "task.h"

namespace yucca::http
{

/// True when a connection is refused: the peer's host answers, and no process
/// listens there. False also when nothing answers within the timeout.
Task<bool> refusesConnections(Address to, Millis timeout);

} // namespace yucca::http
