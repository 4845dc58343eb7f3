// Runs a single-threaded HTTP server program until it is stopped.
#pragma once

#include "http_server.h"
#include "settings.h"

#include <string>

namespace yucca::serve
{

/// Serves until SIGTERM or SIGINT, then stops accepting connections and waits up to grace for the requests in flight.
/// "what" names the program in its log and error messages. Returns the exit code: ExitFailure if the port is not
/// available or requests are still in flight after the grace time.
int untilSignal(const std::string &what, const settings::Listen &listen, Millis grace, http::Handler handler);

} // namespace yucca::serve
