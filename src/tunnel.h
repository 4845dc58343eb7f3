// A connection to an endpoint through a peer router. The peer connects to the endpoint before it accepts the tunnel and
// then passes bytes on unchanged: until the tunnel is open, no byte of a request has been sent.
#pragma once

#include "http.h"
#include "task.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace yucca::http
{

inline constexpr std::string_view tunnelProtocol = "yucca-relay"; ///< of the Upgrade header
inline constexpr std::string_view tunnelPath = "/relay";
inline constexpr std::string_view tunnelEndpointHeader = "Relay-Endpoint"; ///< incarnation key
inline constexpr std::string_view tunnelLifetimeHeader = "Relay-Lifetime-Ms";
inline constexpr std::string_view tunnelEndMarkerHeader = "Relay-End-Marker";
inline constexpr std::size_t maxTunnelEndMarkerBytes = 64;

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
    /// Sent by the peer after the endpoint's last byte, if the endpoint ends the connection in order. Without it, the end of a
    /// response that has no length could be the end of the peer.
    std::string endMarker;
};

/// Returns a request with a random end marker.
TunnelRequest makeTunnelRequest(const Address &peer, const std::string &endpoint, Millis lifetime);

/// Asks the peer on the other end of a connected stream for the tunnel. Returns nothing once the tunnel is open, otherwise the
/// peer's status, 0 if it did not answer.
Task<std::optional<unsigned>> openTunnel(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, const TunnelRequest &request);

} // namespace yucca::http
