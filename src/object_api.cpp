#include "object_api.h"

#include "decode.h"
#include "log.h"
#include "page_cursor.h"

namespace yucca::platform
{

Task<Result<Listing>> listAll(ObjectApi &api, std::string kind, Freshness freshness)
{
    Listing combined;
    store::PageCursor cursor;
    for (bool complete = false; !complete;) {
        auto listed = co_await api.list(kind, cursor.after(), freshness);
        if (const auto *error = std::get_if<Error>(&listed)) {
            if (cursor.after().empty() || !store::isRefusal(error->code)) {
                co_return *error;
            }
            if (!cursor.retreat()) {
                logIncompleteList(kind, combined.items.size(), error->message);
                co_return combined;
            }
            continue;
        }
        auto &page = std::get<Listing>(listed);
        if (cursor.after().empty()) {
            combined.revision = page.revision;
            combined.epoch = page.epoch;
        }
        combined.more = page.more;
        const bool continues = page.more && cursor.advance(page);
        std::move(page.items.begin(), page.items.end(), std::back_inserter(combined.items));
        if (combined.more && !continues) {
            logIncompleteList(kind, combined.items.size(), "no name to continue from");
        }
        complete = !continues;
    }
    co_return combined;
}

void logIncompleteList(const std::string &kind, std::size_t entries, const std::string &why)
{
    constexpr std::size_t maxLoggedBytes = 200;
    log::Line{log::Event::ListIncomplete}.add("kind", kind).add("entries", static_cast<int64_t>(entries)).add("why", why.substr(0, maxLoggedBytes));
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
