#include "tunnel_frames.h"

#include <algorithm>

namespace yucca::http
{

namespace
{

constexpr uint8_t byteStringHead = 0x59; ///< CBOR: a byte string, whose length follows in two bytes (RFC 8949, 3)
constexpr std::size_t frameHeadBytes = 3;

uint8_t byteAt(std::string_view bytes, std::size_t at)
{
    return static_cast<uint8_t>(bytes[at]);
}

} // namespace

std::array<uint8_t, 3> dataFrameHead(std::size_t bytes)
{
    return {byteStringHead, static_cast<uint8_t>(bytes >> 8), static_cast<uint8_t>(bytes)};
}

std::array<uint8_t, 1> endFrame(TunnelEnd end)
{
    return {static_cast<uint8_t>(end)};
}

TunnelFrameReader::Item TunnelFrameReader::next(std::string_view &received, std::size_t maxBytes)
{
    if (received.empty()) {
        return MoreFramesNeeded{};
    }
    if (m_bytesLeft == 0) {
        const uint8_t first = byteAt(received, 0);
        if (first <= static_cast<uint8_t>(TunnelEnd::TimedOut)) {
            received.remove_prefix(1);
            return static_cast<TunnelEnd>(first);
        }
        if (first != byteStringHead) {
            return MalformedFrame{};
        }
        if (received.size() < frameHeadBytes) {
            return MoreFramesNeeded{};
        }
        m_bytesLeft = static_cast<std::size_t>(byteAt(received, 1)) << 8 | byteAt(received, 2);
        if (m_bytesLeft == 0) {
            return MalformedFrame{};
        }
        received.remove_prefix(frameHeadBytes);
        if (received.empty()) {
            return MoreFramesNeeded{};
        }
    }
    const auto bytes = received.substr(0, std::min(m_bytesLeft, maxBytes));
    received.remove_prefix(bytes.size());
    m_bytesLeft -= bytes.size();
    return bytes;
}

} // namespace yucca::http
