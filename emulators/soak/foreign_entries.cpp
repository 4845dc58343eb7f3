// Entries of another writer whose values are nested so deeply that handling them level by level would end a process.
#include "soak/fleet.h"
#include "soak/layout.h"

#include <nlohmann/json.hpp>

#include <array>

namespace yucca::soak
{

namespace
{

using nlohmann::json;

constexpr int nestedLevels = 150000; ///< 300 KB of lists, 900 KB of objects; an object of the store may have 1 MB

/// An entry that is otherwise as its kind expects; the emulated store sends the marker as nested values.
struct ForeignEntry {
    const char *kind;
    const char *field;
    const char *marker;
};
constexpr std::array<ForeignEntry, foreignEntries> entries{
    {{"servers", "zone", "nestedLists"}, {"servers", "note", "nestedObjects"}, {"config", "routes", "nestedObjects"}, {"router", "address", "nestedLists"}}};

json objectFor(const ForeignEntry &entry, const std::string &name)
{
    json spec{{"service", plainService}, {"address", "127.0.0.1:9"}, {"zone", "zone-0"},         {"version", "v0"}, {"slots", 1}, {"state", "ready"},
              {"sequence", 1},           {"cold_remaining_ms", 0},   {"failureDomain", "zone-0"}};
    spec[entry.field] = {{entry.marker, nestedLevels}};
    return {{"metadata", {{"name", name}}}, {"spec", std::move(spec)}};
}

} // namespace

// Writes the entry and deletes it again. A store that is down may keep it: it then stays until the end.
Task<void> SoakFleet::applyForeignEntry(Step step)
{
    if (step.fault != Fault::ForeignEntry) {
        co_return;
    }
    const auto &entry = entries[step.target];
    const std::string name = "foreign-" + std::to_string(step.target);
    const std::string path = std::string("/api/objects/") + entry.kind;
    const http::Address to{"127.0.0.1", port(storePortOffset)};
    http::CallOptions options;
    options.deadline = Clock::now() + callerTimeout;
    const std::string object = objectFor(entry, name).dump();
    co_await m_client.call(to, http::makeRequest("POST", path, object), options);
    co_await sleepFor(step.duration);
    options.deadline = Clock::now() + callerTimeout;
    co_await m_client.call(to, http::makeRequest("DELETE", path + "/" + name), options);
    // The results are ignored: the store may be down, or an earlier entry of this name may still be there.
}

} // namespace yucca::soak
