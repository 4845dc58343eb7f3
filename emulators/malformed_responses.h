// Answers that no sound endpoint sends, byte by byte: heads that must not be accepted or break off, and a body whose end is a reset.
#pragma once

#include "http_exchange.h"

namespace yucca::emulators
{

/// Sends one of the answers, selected by number, in place of a response, and ends the connection. The fields are those of a sound
/// response, so that nothing but the head or the end tells it from one.
Task<void> sendMalformedResponse(http::Exchange &ex, const http::Headers &fields, std::size_t number);

} // namespace yucca::emulators
