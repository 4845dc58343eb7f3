#include "prompt_snapshot.h"

#include "log.h"
#include "text.h"

#include <algorithm>

namespace yucca::router
{

using json = nlohmann::json;

namespace
{

std::optional<uint64_t> keyOf(const json &written)
{
    return written.is_string() ? text::fromHex(written.get_ref<const std::string &>()) : std::nullopt;
}

// The prompts of each endpoint, the last noted first.
json snapshotOf(const std::vector<peers::PromptNews> &prompts)
{
    json out = json::object();
    for (const auto &p : prompts) {
        out[p.endpoint].push_back(text::hex(p.prompt));
    }
    return out;
}

// Whatever of it can be read; others may have written there.
std::vector<peers::PromptNews> promptsOf(const json &snapshot)
{
    std::vector<peers::PromptNews> out;
    if (!snapshot.is_object()) {
        return out;
    }
    for (const auto &[endpoint, keys] : snapshot.items()) {
        for (const auto &written : keys) {
            if (const auto key = keyOf(written)) {
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
        co_await sleepFor(m_options.endpointsCheck);
    }
    for (int tries = 0; tries < m_options.mostReads && !m_stopping; ++tries) {
        const bool done = co_await read();
        if (done) {
            break;
        }
        co_await sleepFor(m_options.again);
    }
    while (!m_stopping) {
        co_await sleepFor(m_options.every);
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
    const auto prompts = promptsOf(std::get<platform::Object>(result).value);
    const auto now = Clock::now();
    for (auto p = prompts.rbegin(); p != prompts.rend(); ++p) {
        m_table.toldOfPrompt(*p, now);
    }
    log::Line{log::Event::PromptsLoaded}.add("prompts", static_cast<int64_t>(prompts.size()));
    co_return true;
}

Task<bool> PromptSnapshot::write()
{
    const auto known = m_table.knownPrompts(m_options.mostPrompts, Clock::now());
    if (known.empty()) {
        co_return true;
    }
    const json snapshot = snapshotOf(known);
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
