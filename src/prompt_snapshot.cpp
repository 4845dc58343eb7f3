#include "prompt_snapshot.h"

#include "log.h"
#include "text.h"

#include <algorithm>

namespace yucca::router
{

using json = nlohmann::json;

namespace
{

constexpr std::size_t overheadBytes = 6; ///< quotes and separators of a name or a key

std::optional<uint64_t> parseKey(const json &keyText)
{
    return keyText.is_string() ? text::parseHex(keyText.get_ref<const std::string &>()) : std::nullopt;
}

// Groups the prompts by endpoint, the most recently recorded first, up to a size.
json encodeSnapshot(const std::vector<peers::PromptAnnouncement> &prompts, std::size_t maxBytes)
{
    json out = json::object();
    std::size_t bytes = 0;
    for (const auto &p : prompts) {
        auto key = text::toHex(p.prompt);
        bytes += key.size() + overheadBytes + (out.contains(p.endpoint) ? 0 : p.endpoint.size() + overheadBytes);
        if (bytes > maxBytes) {
            break;
        }
        out[p.endpoint].push_back(std::move(key));
    }
    return out;
}

// Parses a snapshot and skips malformed entries, which other programs may have written.
std::vector<peers::PromptAnnouncement> decodeSnapshot(const json &snapshot)
{
    std::vector<peers::PromptAnnouncement> out;
    if (!snapshot.is_object()) {
        return out;
    }
    for (const auto &[endpoint, keys] : snapshot.items()) {
        for (const auto &keyText : keys) {
            if (const auto key = parseKey(keyText)) {
                out.push_back({*key, endpoint});
            }
        }
    }
    return out;
}

} // namespace

PromptSnapshot::PromptSnapshot(platform::ObjectApi &api, RoutingTable &table, std::function<bool()> endpointsKnown, std::function<bool()> isWriter,
                               SnapshotOptions options)
    : m_api(api)
    , m_table(table)
    , m_endpointsKnown(std::move(endpointsKnown))
    , m_isWriter(std::move(isWriter))
    , m_options(options)
{
}

Task<void> PromptSnapshot::run()
{
    while (!m_endpointsKnown() && !m_stopping) {
        co_await sleepFor(m_options.endpointsPollInterval);
    }
    for (int tries = 0; tries < m_options.maxReads && !m_stopping; ++tries) {
        const bool done = co_await read();
        if (done) {
            break;
        }
        co_await sleepFor(m_options.readRetryDelay);
    }
    while (!m_stopping) {
        co_await sleepFor(m_options.writeInterval);
        if (!m_stopping && m_isWriter()) {
            co_await write();
        }
    }
}

Task<bool> PromptSnapshot::read()
{
    auto result = co_await m_api.get(snapshotKind, snapshotName, platform::Freshness::MayLag);
    if (!ok(result)) {
        co_return std::get<Error>(result).code == store::NotFound;
    }
    const auto prompts = decodeSnapshot(std::get<platform::Object>(result).value);
    const auto now = Clock::now();
    for (auto p = prompts.rbegin(); p != prompts.rend(); ++p) {
        m_table.mergePeerPrompt(*p, now);
    }
    log::Line{log::Event::PromptsLoaded}.add("prompts", static_cast<int64_t>(prompts.size()));
    co_return true;
}

Task<bool> PromptSnapshot::write()
{
    const auto known = m_table.knownPrompts(m_options.maxPrompts, Clock::now());
    if (known.empty()) {
        co_return true;
    }
    const json snapshot = encodeSnapshot(known, m_options.maxBytes);
    auto result = co_await m_api.put(snapshotKind, snapshotName, snapshot, std::nullopt);
    if (!ok(result) && std::get<Error>(result).code == store::NotFound) {
        result = co_await m_api.put(snapshotKind, snapshotName, snapshot, 0);
    }
    if (!ok(result)) {
        log::Line{log::Event::PlatformUnreachable}.add("op", "prompts").add("code", int64_t{std::get<Error>(result).code});
    }
    co_return ok(result);
}

} // namespace yucca::router
