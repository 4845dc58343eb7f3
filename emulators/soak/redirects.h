// The environment variable that names the redirects of a router under test.
#pragma once

namespace yucca::soak
{

/// Names the file with the redirects of a router's connections.
inline constexpr const char *redirectsVariable = "YUCCA_REDIRECTS";

} // namespace yucca::soak
