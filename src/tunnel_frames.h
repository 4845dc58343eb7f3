// The frames in which a peer router sends an endpoint's bytes through a tunnel: a sequence of CBOR items (RFC 8742). A byte string
// holds bytes of the endpoint; an unsigned integer states how the endpoint's connection ended, and is the last item. Does no I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>

namespace yucca::http
{

/// How the connection between a peer and an endpoint ended. The values are those on the wire.
enum class TunnelEnd : uint8_t {
    Orderly = 0, ///< the endpoint closed it after its last byte
    Reset = 1, ///< it broke
    TimedOut = 2, ///< the endpoint no longer acknowledges or reads
};

inline constexpr std::size_t maxFrameBytes = 0xffff; ///< of the endpoint in one frame

/// The head of a frame with bytes of the endpoint, which follow it. bytes must be within 1 and maxFrameBytes.
std::array<uint8_t, 3> dataFrameHead(std::size_t bytes);
/// The frame that ends a tunnel.
std::array<uint8_t, 1> endFrame(TunnelEnd end);

/// Results of TunnelFrameReader::next() beside bytes of the endpoint and the end.
struct MoreFramesNeeded {
};
struct MalformedFrame {
};

/// Separates the endpoint's bytes from the frames, in whatever parts these arrive.
class TunnelFrameReader
{
public:
    using Item = std::variant<std::string_view, TunnelEnd, MoreFramesNeeded, MalformedFrame>;

    /// Takes the next item from the front of the received bytes: at most maxBytes bytes of the endpoint, or the end. What is left
    /// must be passed again, with the bytes that arrive after it. Nothing may be read after the end or a malformed frame.
    Item next(std::string_view &received, std::size_t maxBytes);

private:
    std::size_t m_bytesLeft = 0; ///< of the frame that has begun
};

} // namespace yucca::http
