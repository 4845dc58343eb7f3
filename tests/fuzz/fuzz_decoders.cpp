// libFuzzer target: the decoders of what comes from outside take any bytes.
// What they accept is whole; what they reject has a finding.
#include "codec.h"
#include "dialect.h"
#include "entry/entry_settings.h"
#include "explain.h"
#include "load_digest.h"
#include "model/scenario.h"

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

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, std::size_t size)
{
    const std::string bytes(reinterpret_cast<const char *>(data), size);
    if (const auto parts = platform::parsePromptParts(bytes)) {
        for (const auto &part : *parts) {
            require(part.tokens >= 0);
        }
    }
    const Clock::time_point now{std::chrono::hours(1)};
    const auto reports = peers::decode({data, size}, now);
    if (ok(reports)) {
        for (const auto &report : std::get<peers::Digest>(reports).loads) {
            require(report.load >= 0 && report.heardAt <= now);
        }
    }
    explain::Reader reader("q1");
    std::istringstream log(bytes);
    reader.read(log, "fuzz");
    require(!reader.finish().cause.empty() || size > 0);
    const auto value = nlohmann::json::parse(bytes, nullptr, false, true);
    if (value.is_discarded()) {
        return 0;
    }
    Findings configuration;
    const auto parsed = platform::ObjectCodec::configuration(value, configuration);
    require(parsed.has_value() == configuration.empty());
    if (parsed) {
        for (const auto &route : parsed->routes) {
            require(route.maxAttempts >= 1 && !route.destinations.empty());
        }
    }
    Findings endpoint;
    require(platform::ObjectCodec::endpoint("i-1", value, endpoint).has_value() == endpoint.empty());
    Findings settings;
    entry::parseSettings(value, settings);
    Findings problems;
    const auto scenario = model::parseScenario(value, problems);
    for (const auto &kind : scenario.kinds) {
        require(!problems.empty() || scenario.pool(kind.pool));
    }
    return 0;
}
