// Running a single-threaded HTTP program from its start to its planned stop.
#pragma once

#include "http_server.h"
#include "settings.h"

#include <string>

namespace yucca::serve
{

/// Serves until SIGTERM or SIGINT, then stops accepting and waits up to
/// grace for the requests in flight. Returns the program's exit code.
int untilSignal(const std::string &what, const settings::Listen &listen, Millis grace, http::Handler handler);

} // namespace yucca::serve
