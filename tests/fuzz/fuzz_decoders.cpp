// libFuzzer target: the decoders of external input handle any bytes. Accepted values are valid, and each rejected
// configuration or endpoint entry comes with a finding.
#include "codec.h"
#include "dialect.h"
#include "entry/entry_settings.h"
#include "explain.h"
#include "model/scenario.h"
#include "peers/peer_message.h"
#include "tunnel_frames.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <sstream>
#include <string>

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
    const auto value = nlohmann::json::parse(bytes, nullptr, false, true);
    if (value.is_discarded()) {
        return 0;
    }
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
