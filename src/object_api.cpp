#include "object_api.h"

#include "decode.h"

namespace yucca::platform
{

Task<Result<Listing>> listAll(ObjectApi &api, std::string kind, Freshness freshness)
{
    Listing combined;
    std::string after;
    for (bool first = true;; first = false) {
        auto listed = co_await api.list(kind, after, freshness);
        if (!ok(listed)) {
            co_return std::get<Error>(listed);
        }
        auto &page = std::get<Listing>(listed);
        if (first) {
            combined.revision = page.revision;
        }
        std::move(page.items.begin(), page.items.end(), std::back_inserter(combined.items));
        if (!page.more || page.items.empty()) {
            co_return combined;
        }
        after = combined.items.back().name;
    }
}

nlohmann::json toJson(const Endpoint &e)
{
    return {{"id", e.id},
            {"host", e.host},
            {"port", e.port},
            {"pool", e.pool},
            {"zone", e.zone},
            {"kind", nameOf(endpointKindNames, e.kind)},
            {"state", nameOf(endpointStateNames, e.state)},
            {"born", e.startedAtMs},
            {"version", e.version}};
}

Endpoint endpointFromJson(const nlohmann::json &j)
{
    Endpoint e;
    const auto textField = [&j](const char *key, const char *fallback) {
        return decode::fieldOr<std::string>(j, key, fallback);
    };
    e.id = textField("id", "");
    e.host = textField("host", "127.0.0.1");
    e.port = decode::fieldOr<uint16_t>(j, "port", 0);
    e.pool = textField("pool", "");
    e.zone = textField("zone", "");
    e.startedAtMs = decode::fieldOr<int64_t>(j, "born", 0);
    e.version = textField("version", "");
    e.kind = parseName(endpointKindNames, textField("kind", "engine")).value_or(EndpointKind::Engine);
    e.state = parseName(endpointStateNames, textField("state", "live")).value_or(EndpointState::Live);
    return e;
}

} // namespace yucca::platform
