// A connection to an endpoint through a peer router. The peer connects to the endpoint before it accepts the tunnel: until the
// tunnel is open, no byte of a request has been sent. Then it passes the request's bytes on unchanged, and the endpoint's in frames.
#pragma once

#include "http.h"
#include "task.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <string>
#include <string_view>
#include <variant>

namespace yucca::http
{

inline constexpr std::string_view tunnelProtocol = "yucca-relay"; ///< of the Upgrade header
inline constexpr std::string_view tunnelPath = "/relay";
inline constexpr std::string_view tunnelEndpointHeader = "Relay-Endpoint"; ///< incarnation key
inline constexpr std::string_view tunnelLifetimeHeader = "Relay-Lifetime-Ms";
/// How the endpoint's bytes are sent: offered in the request for a tunnel, confirmed in the peer's answer.
inline constexpr std::string_view tunnelFramingHeader = "Relay-Framing";
inline constexpr std::string_view tunnelFrames = "cbor-seq"; ///< see tunnel_frames.h

/// A peer's answer to a request for a tunnel.
enum class TunnelStatus : unsigned {
    Open = 101,
    Forbidden = 403, ///< the sender is not a listed router
    Unsupported = 404, ///< the answer of a release without tunnels
    Unknown = 421, ///< the peer lists no such endpoint as live, or has failed to reach it recently
    Unreachable = 502, ///< the peer could not connect to the endpoint
    Unavailable = 503, ///< the peer is stopping, is cut off from the endpoint itself, or has no tunnel left
};

/// A request for a tunnel.
struct TunnelRequest {
    Address peer;
    std::string endpoint; ///< incarnation key
    Millis lifetime{}; ///< the peer closes the tunnel after this time
};

/// How a peer sends the endpoint's bytes.
enum class TunnelFraming {
    None, ///< as they are, by a peer of a release without frames: how the endpoint's connection ends stays unknown
    Frames,
};

/// The status with which a peer refused a tunnel; 0 if it did not answer.
struct TunnelRefusal {
    unsigned status = 0;
};

/// Asks the peer on the other end of a connected stream for the tunnel. Once it is open, the buffer holds what arrived after the
/// peer's answer.
Task<std::variant<TunnelFraming, TunnelRefusal>> openTunnel(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, const TunnelRequest &request);

} // namespace yucca::http
