// Entries of another writer: values that are nested so deeply that handling them level by level would end a process, numbers and
// addresses that no endpoint can mean, and names that a request cannot carry as they are.
#include "decode.h"
#include "soak/fleet.h"
#include "soak/layout.h"

#include <nlohmann/json.hpp>

#include <array>

namespace yucca::soak
{

namespace
{

using nlohmann::json;

/// An entry that is otherwise as its kind expects. The emulated store sends a marker as nested values.
struct ForeignEntry {
    const char *kind;
    const char *field;
    const char *value; ///< JSON
};
constexpr std::array<ForeignEntry, foreignEntries> entries{{{"servers", "zone", R"({"nestedLists":150000})"},
                                                            {"servers", "note", R"({"nestedObjects":150000})"},
                                                            {"config", "routes", R"({"nestedObjects":150000})"},
                                                            {"router", "address", R"({"nestedLists":150000})"},
                                                            {"servers", "slots", "-1"},
                                                            {"servers", "sequence", "18446744073709551615"},
                                                            {"servers", "cold_remaining_ms", "1000000000000000000"},
                                                            {"servers", "address", R"("127.0.0.1:0")"},
                                                            {"servers", "address", R"("127.0.0.1:65536")"},
                                                            {"servers", "born", "null"}}};

json objectFor(const ForeignEntry &entry, const std::string &name)
{
    json spec{{"service", plainService}, {"address", "127.0.0.1:9"}, {"zone", "zone-0"},         {"version", "v0"}, {"slots", 1}, {"state", "ready"},
              {"sequence", 1},           {"cold_remaining_ms", 0},   {"failureDomain", "zone-0"}};
    spec[entry.field] = decode::textOrNull(entry.value);
    return {{"metadata", {{"name", name}}}, {"spec", std::move(spec)}};
}

constexpr std::array<const char *, 4> listedKinds{"servers", "config", "quarantine", "router"};

using NamePair = std::array<std::string, 2>;

// Returns names that sort before all others of their kinds, and so end a page.
NamePair unsafeNames(std::size_t pair)
{
    const std::array<std::string, 2 * unsafeNamePairs> names{
        "00%#", "01&b=", "02+", "03%C3%A9", "04 b", "05\u00e9\u4e2d", "06\r\nX-Injected: 1", "07" + std::string(2048, '%')};
    return {names[2 * pair], names[2 * pair + 1]};
}

json foreignObject(const std::string &name)
{
    return {{"metadata", {{"name", name}}}, {"spec", {{"written", "by another"}}}};
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
    const std::string object = objectFor(entry, name).dump();
    co_await storeCall("POST", kindTarget(entry.kind), object);
    co_await sleepFor(step.duration);
    co_await storeCall("DELETE", objectTarget(entry.kind, name), "");
}

// Writes entries of all kinds that routers list, and deletes them again.
Task<void> SoakFleet::applyUnsafelyNamedEntry(Step step)
{
    if (step.fault != Fault::UnsafelyNamedEntry) {
        co_return;
    }
    const auto names = unsafeNames(step.target);
    for (const char *kind : listedKinds) {
        for (const auto &name : names) {
            const auto object = foreignObject(name).dump();
            co_await storeCall("POST", kindTarget(kind), object);
        }
    }
    co_await sleepFor(step.duration);
    for (const char *kind : listedKinds) {
        for (const auto &name : names) {
            co_await storeCall("DELETE", objectTarget(kind, name), "");
        }
    }
}

// The result is ignored: the store may be down, or an earlier entry of this name may still be there.
Task<void> SoakFleet::storeCall(std::string method, std::string target, std::string body)
{
    http::CallOptions options;
    options.deadline = Clock::now() + callerTimeout;
    const http::Address to{"127.0.0.1", port(storePortOffset)};
    co_await m_client.call(to, http::makeRequest(method, target, std::move(body)), options);
}

} // namespace yucca::soak
