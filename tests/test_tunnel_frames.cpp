// Tests of the frames in which a peer sends an endpoint's bytes through a tunnel.
#include "tunnel_frames.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace yucca::http;

namespace
{

std::string frame(const std::string &bytes)
{
    const auto head = dataFrameHead(bytes.size());
    return std::string(head.begin(), head.end()) + bytes;
}

std::string endOf(TunnelEnd end)
{
    const auto item = endFrame(end);
    return {item.begin(), item.end()};
}

/// All that was read from a sequence of frames.
struct Sequence {
    std::string bytes;
    std::vector<TunnelEnd> ends;
    bool malformed = false;
    bool operator==(const Sequence &) const = default;
};

// Passes the wire's bytes in parts of a size, and reads at most maxBytes at a time.
Sequence read(const std::string &wire, std::size_t partBytes, std::size_t maxBytes)
{
    TunnelFrameReader reader;
    Sequence out;
    std::string pending;
    for (std::size_t at = 0; at < wire.size(); at += partBytes) {
        pending += wire.substr(at, partBytes);
        std::string_view left = pending;
        for (bool more = true; more && out.ends.empty();) {
            const auto item = reader.next(left, maxBytes);
            more = std::holds_alternative<std::string_view>(item);
            out.bytes += more ? std::get<std::string_view>(item) : std::string_view();
            if (const auto *end = std::get_if<TunnelEnd>(&item)) {
                out.ends.push_back(*end);
            }
            out.malformed = out.malformed || std::holds_alternative<MalformedFrame>(item);
        }
        pending = std::string(left);
    }
    return out;
}

} // namespace

TEST_GROUP(TunnelFrames){};

TEST(TunnelFrames, BytesAndEndAreReadBackInWhateverPartsTheyArrive)
{
    const std::string large(maxFrameBytes, 'y');
    const std::string wire = frame("HTTP/1.1 200 OK\r\n") + frame(std::string(1, '\0')) + frame(large) + endOf(TunnelEnd::TimedOut);
    const Sequence sent{"HTTP/1.1 200 OK\r\n" + std::string(1, '\0') + large, {TunnelEnd::TimedOut}, false};
    for (const std::size_t part : {std::size_t(1), std::size_t(2), std::size_t(3), std::size_t(7), std::size_t(8192), wire.size()}) {
        for (const std::size_t maxBytes : {std::size_t(1), std::size_t(100), std::size_t(8192), wire.size()}) {
            CHECK(read(wire, part, maxBytes) == sent);
        }
    }
}

TEST(TunnelFrames, EachEndIsToldFromTheOthersAndNothingIsReadAfterIt)
{
    for (const auto end : {TunnelEnd::Orderly, TunnelEnd::Reset, TunnelEnd::TimedOut}) {
        const auto sequence = read(frame("a") + endOf(end) + frame("b"), 64, 64);
        CHECK((sequence == Sequence{"a", {end}, false}));
    }
}

TEST(TunnelFrames, BytesOfTheEndpointAreNeverTakenForAnEnd)
{
    const std::string alike = endOf(TunnelEnd::Orderly) + frame("x") + endOf(TunnelEnd::Reset);
    CHECK((read(frame(alike), 1, 64) == Sequence{alike, {}, false}));
}

TEST(TunnelFrames, OtherItemsAreMalformed)
{
    const std::vector<std::string> wrong{
        "\x03", "\x18\x20", "\x40", "\x41x", "\x5a", "\x5f", "\x60", "\x80", "\xf6", "\xff", std::string("\x59\0\0", 3), "HTTP/1.1 200 OK"};
    for (const auto &bytes : wrong) {
        const auto sequence = read(frame("a") + bytes, 64, 64);
        CHECK_TEXT(sequence.malformed, bytes.c_str());
        STRCMP_EQUAL("a", sequence.bytes.c_str());
        CHECK(sequence.ends.empty());
    }
}
