// libFuzzer target: the decoders of external input handle any bytes. Accepted values are valid, and each rejected
// configuration or endpoint entry comes with a finding.
#include "codec.h"
#include "decode.h"
#include "dialect.h"
#include "entry/entry_settings.h"
#include "explain.h"
#include "model/scenario.h"
#include "nested.h"
#include "object_replica.h"
#include "peers/peer_message.h"
#include "response_parser.h"
#include "settings.h"
#include "tunnel_frames.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>
#include <sstream>
#include <string>
#include <string_view>

using namespace yucca;

namespace
{

void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

/// What a sequence of frames holds.
struct FrameContent {
    std::string bytes;
    bool ended = false;
    bool malformed = false;
    bool operator==(const FrameContent &) const = default;
};

// Reads frames of which a part arrives at a time.
FrameContent readFrames(const std::string &wire, std::size_t partBytes)
{
    http::TunnelFrameReader reader;
    FrameContent out;
    std::string pending;
    for (std::size_t at = 0; at < wire.size() && !out.ended && !out.malformed; at += partBytes) {
        pending += wire.substr(at, partBytes);
        std::string_view left = pending;
        for (bool more = true; more;) {
            const auto item = reader.next(left, partBytes);
            more = std::holds_alternative<std::string_view>(item);
            out.bytes += more ? std::get<std::string_view>(item) : std::string_view();
            out.ended = std::holds_alternative<http::TunnelEnd>(item);
            out.malformed = std::holds_alternative<http::MalformedFrame>(item);
        }
        pending = std::string(left);
    }
    return out;
}

constexpr std::size_t maxNestedLevels = 512; ///< well beyond decode::maxDepth
constexpr std::size_t maxInnermostBytes = 128; ///< each input is decoded in several ways

std::string nested(std::string_view open, std::string_view innermost, std::string_view close, std::size_t levels)
{
    return fixture::Nesting{"", open, innermost, close}.levels(levels);
}

void decodeEverywhere(const std::string &bytes)
{
    const std::span<const uint8_t> view(reinterpret_cast<const uint8_t *>(bytes.data()), bytes.size());
    const auto decoded = decode::text(bytes);
    const auto reference = nlohmann::json::parse(bytes, nullptr, false);
    require(ok(decoded) ? std::get<nlohmann::json>(decoded) == reference : reference.is_discarded() || std::get<Error>(decoded).code == decode::OutOfBounds);
    const auto fromCbor = decode::cbor(view);
    require(!ok(fromCbor) || !std::get<nlohmann::json>(fromCbor).is_discarded());
    Findings problems;
    platform::parseResponse(bytes, problems);
    const auto changes = replica::decode(view);
    if (ok(changes)) {
        replica::encode(std::get<replica::Changes>(changes));
    }
    Findings settingsFindings;
    settings::parseText(bytes, settingsFindings);
}

// Decodes the input as the innermost value of lists and objects, in text and in CBOR. The first byte selects the depth.
void decodeNested(const std::string &bytes)
{
    const std::size_t levels = bytes.empty() ? 0 : static_cast<uint8_t>(bytes[0]) * maxNestedLevels / 256;
    const auto innermost = bytes.substr(std::min<std::size_t>(1, bytes.size()), maxInnermostBytes);
    const bool tooDeep = levels > decode::maxDepth;
    for (const auto &text : {nested("[", innermost, "]", levels), nested("{\"a\":", innermost, "}", levels)}) {
        decodeEverywhere(text);
        require(!tooDeep || !ok(decode::text(text)));
    }
    for (const auto &cbor : {nested("\x81", innermost, "", levels), nested("\xa1\x61\x61", innermost, "", levels), nested("\x9f", innermost, "\xff", levels)}) {
        decodeEverywhere(cbor);
        require(!tooDeep || !ok(decode::cbor({reinterpret_cast<const uint8_t *>(cbor.data()), cbor.size()})));
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, std::size_t size)
{
    const std::string bytes(reinterpret_cast<const char *>(data), size);
    if (const auto parts = platform::parsePromptParts(bytes)) {
        for (const auto &part : *parts) {
            require(part.tokens >= 0);
        }
    }
    const auto frames = readFrames(bytes, 1);
    require(frames == readFrames(bytes, size + 1));
    require(frames.bytes.size() < size || size == 0);
    decodeEverywhere(bytes);
    decodeNested(bytes);
    const Clock::time_point now{std::chrono::hours(1)};
    const auto message = peers::decode({data, size}, now);
    if (ok(message)) {
        for (const auto &report : std::get<peers::PeerMessage>(message).loads) {
            require(report.load >= 0 && report.receivedAt <= now);
        }
    }
    explain::TimelineBuilder timeline("q1");
    std::istringstream log(bytes);
    timeline.read(log, "fuzz");
    require(!timeline.finish().cause.empty() || size > 0);
    const auto decoded = decode::text(bytes, decode::Comments::Ignored);
    if (!ok(decoded)) {
        return 0;
    }
    const auto &value = std::get<nlohmann::json>(decoded);
    Findings configurationFindings;
    const auto configuration = platform::ObjectCodec::configuration(value, configurationFindings);
    require(configuration.has_value() == configurationFindings.empty());
    if (configuration) {
        for (const auto &route : configuration->routes) {
            require(route.maxAttempts >= 1 && !route.destinations.empty());
        }
    }
    Findings endpointFindings;
    require(platform::ObjectCodec::endpoint("i-1", value, endpointFindings).has_value() == endpointFindings.empty());
    Findings settingsFindings;
    entry::parseSettings(value, settingsFindings);
    Findings scenarioFindings;
    const auto scenario = model::parseScenario(value, scenarioFindings);
    for (const auto &kind : scenario.kinds) {
        require(!scenarioFindings.empty() || scenario.pool(kind.pool));
    }
    return 0;
}
