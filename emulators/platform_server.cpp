#include "platform_server.h"

#include "decode.h"
#include "log.h"
#include "object_api.h"
#include "object_form.h"
#include "text.h"
#include "uri.h"

#include <boost/asio/detached.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace yucca::platform
{

using json = nlohmann::json;

namespace
{

constexpr const char *serverKind = "servers"; ///< kind of the entries that endpoints write themselves
constexpr Millis snapshotInterval{100}; ///< between two states that are kept for answers that may be stale
constexpr Millis serverExpiryTimeout{1500}; ///< three heartbeat intervals of yucca-endpoint

constexpr std::string_view adminPrefix = "/admin/";
constexpr std::string_view vmAdminPrefix = "/admin/vms/";
constexpr Millis maxWatchTimeout{30000};

// GCC 12 cannot keep braced initializer lists in a coroutine frame, so JSON bodies and headers are made in plain
// functions.

http::Headers retryAfterHeader()
{
    return {{"Retry-After", "1"}};
}

json makePage(const store::Listing &page)
{
    json items = json::array();
    for (const auto &o : page.items) {
        items.push_back(toWire(o));
    }
    return {{"items", items}, {"has_more", page.more}, {"store_revision", page.revision}};
}

json makeBatch(const store::WatchBatch &batch)
{
    json events = json::array();
    for (const auto &e : batch.events) {
        events.push_back({{"deleted", e.deleted}, {"object", toWire(e.object)}});
    }
    return {{"events", events}, {"store_revision", batch.revision}};
}

/// How a stored {MARKER: LEVELS} is sent: as so many nested values, which would be too deep for the stand-in's own handling.
struct NestedShape {
    std::string_view marker;
    std::string_view open;
    std::string_view innermost;
    std::string_view close;
};
constexpr std::array<NestedShape, 2> nestedShapes{{{"{\"nestedLists\":", "[", "", "]"}, {"{\"nestedObjects\":", "{\"a\":", "1", "}"}}};
constexpr int64_t maxNestedLevels = 200000;

std::string repeated(std::string_view text, int64_t count)
{
    std::string out;
    for (int64_t i = 0; i < count; ++i) {
        out += text;
    }
    return out;
}

// Replaces the markers in an encoded response by what they stand for.
std::string withNestedValues(std::string text)
{
    for (const auto &shape : nestedShapes) {
        for (auto at = text.find(shape.marker); at != std::string::npos; at = text.find(shape.marker, at + 1)) {
            const auto end = text.find('}', at);
            const auto begin = at + shape.marker.size();
            const auto levels = text::parseNumber(std::string_view(text).substr(begin, end - begin));
            if (levels && *levels <= maxNestedLevels) {
                text.replace(at, end + 1 - at, repeated(shape.open, *levels) + std::string(shape.innermost) + repeated(shape.close, *levels));
            }
        }
    }
    return text;
}

// Decodes a path segment of a target that was checked before.
std::string decodedSegment(std::string_view segment)
{
    return uri::decode(segment).value_or("");
}

// Returns true for an update of a server's entry that changes nothing but its sequence: such a write is no change.
bool isHeartbeat(json held, json updated)
{
    for (auto *value : {&held, &updated}) {
        if (value->is_object()) {
            value->erase("sequence");
        }
    }
    return held == updated;
}

std::string errorBody(const Error &e)
{
    json body;
    body["error"] = e.message;
    return body.dump();
}

} // namespace

// Sends a response. All responses carry the epoch of the store.
Task<void> PlatformServer::respond(http::Exchange &ex, unsigned status, std::string body, http::Headers headers)
{
    headers.emplace_back("Store-Era", std::to_string(m_store.epoch()));
    body = withNestedValues(std::move(body));
    co_await ex.reply(status, std::move(body), std::move(headers));
}

Task<void> PlatformServer::respondError(http::Exchange &ex, Error e)
{
    co_await respond(ex, static_cast<unsigned>(e.code), errorBody(e));
}

PlatformServer::PlatformServer(const settings::PlatformSettings &settings)
    : m_settings(settings)
    , m_store(static_cast<std::size_t>(settings.watchHistory))
    , m_writes(static_cast<double>(settings.writesPerS), static_cast<double>(settings.writesPerS), Clock::now())
    , m_reads(static_cast<double>(settings.readsPerS), static_cast<double>(settings.readsPerS), Clock::now())
{
    takeSnapshot(Clock::now());
}

Task<void> PlatformServer::handle(http::Exchange &ex)
{
    const std::string path = ex.path();
    if (!uri::isTarget({ex.request().target().data(), ex.request().target().size()})) {
        co_await respond(ex, 400, R"({"error":"not a target of RFC 3986"})");
        co_return;
    }
    if (path.rfind(adminPrefix, 0) == 0) {
        co_await handleAdmin(ex, path);
        co_return;
    }
    removeExpiredServers(Clock::now());
    takeSnapshot(Clock::now());
    if (m_faults.outage) {
        co_await respond(ex, 503, R"({"error":"object API unavailable"})", retryAfterHeader());
        co_return;
    }
    if (m_faults.slowMs > 0) {
        co_await sleepFor(Millis(m_faults.slowMs));
    }
    if (path == "/healthz") {
        co_await respond(ex, 200, R"({"ok":true})");
        co_return;
    }
    const bool write = ex.request().method() != http::bhttp::verb::get;
    if (!(write ? m_writes : m_reads).tryTake(Clock::now())) {
        log::event(log::Event::RateLimited, std::string("op=") + (write ? "write" : "read"));
        co_await respond(ex, 429, R"({"error":"rate limited"})", retryAfterHeader());
        co_return;
    }
    const std::string prefix = std::string(objectsPath) + "/";
    if (path.rfind(prefix, 0) == 0) {
        co_await handleObjects(ex, path.substr(prefix.size()));
    } else {
        co_await respond(ex, 404, R"({"error":"no such path"})");
    }
}

// Restores the store from the backup. Restored server entries expire unless their servers update them.
void PlatformServer::restore()
{
    m_store.restore(m_backup);
    m_snapshots.clear();
    m_serverUpdatedAt.clear();
    for (const auto &entry : m_store.list(serverKind).items) {
        m_serverUpdatedAt[entry.name] = Clock::now();
    }
    m_changed.notifyAll();
    log::event(log::Event::FaultSet, "restored to epoch " + std::to_string(m_store.epoch()));
}

// Keeps the present state for answers that may be stale. Called with each request, which is often enough.
void PlatformServer::takeSnapshot(Clock::time_point now)
{
    if (m_settings.replicaLagMs == 0 || (!m_snapshots.empty() && now - m_snapshots.back().first < snapshotInterval)) {
        return;
    }
    m_snapshots.emplace_back(now, m_store);
    while (m_snapshots.size() > 1 && now - m_snapshots[1].first >= Millis(m_settings.replicaLagMs)) {
        m_snapshots.pop_front();
    }
}

// Returns the state from which a read is answered.
const store::ObjectStore &PlatformServer::stateFor(const http::Exchange &ex, Clock::time_point now) const
{
    const bool lags = m_settings.replicaLagMs > 0 && ex.query("allow_stale") == "1" && !m_snapshots.empty();
    if (!lags) {
        return m_store;
    }
    const auto later = std::find_if(m_snapshots.begin(), m_snapshots.end(), [this, now](const auto &snapshot) {
        return now - snapshot.first < Millis(m_settings.replicaLagMs);
    });
    return later == m_snapshots.begin() ? later->second : std::prev(later)->second;
}

// Removes server entries that have not been updated for too long. Called with each request, which is often enough.
// The time of an outage does not count, because servers cannot update their entries then.
void PlatformServer::removeExpiredServers(Clock::time_point now)
{
    bool changed = false;
    for (auto it = m_serverUpdatedAt.begin(); it != m_serverUpdatedAt.end();) {
        it->second = m_faults.outage ? now : it->second;
        const bool expired = now - it->second > serverExpiryTimeout;
        if (expired) {
            changed = ok(m_store.remove(serverKind, it->first, std::nullopt)) || changed;
        }
        it = expired ? m_serverUpdatedAt.erase(it) : std::next(it);
    }
    if (changed) {
        m_changed.notifyAll();
    }
}

// Handles the calls on a kind and on one object of a kind.
Task<void> PlatformServer::handleObjects(http::Exchange &ex, std::string kindAndName)
{
    const auto slash = kindAndName.find('/');
    const std::string kind = decodedSegment(kindAndName.substr(0, slash));
    const std::string name = slash == std::string::npos ? "" : decodedSegment(kindAndName.substr(slash + 1));
    const bool write = ex.request().method() != http::bhttp::verb::get;
    if (!write && !ex.query("watch").empty()) {
        co_await handleWatch(ex, kind);
        co_return;
    }
    if (name.empty() && !write) {
        co_await handleListing(ex, kind);
        co_return;
    }
    auto result = performCall(ex, kind, name);
    if (write && ok(result)) {
        m_changed.notifyAll();
        if (m_faults.loseAnswers > 0) {
            --m_faults.loseAnswers;
            ex.abort(); // the write took effect; its response is lost
            co_return;
        }
    }
    if (!ok(result)) {
        co_await respondError(ex, std::get<Error>(result));
        co_return;
    }
    co_await respond(ex, 200, toWire(std::get<store::Object>(result)).dump());
}

// Performs a call on one object. A revision in the body or the query makes a write conditional.
Result<store::Object> PlatformServer::performCall(const http::Exchange &ex, const std::string &kind, const std::string &name)
{
    const auto method = ex.request().method();
    if (method == http::bhttp::verb::get) {
        return stateFor(ex, Clock::now()).get(kind, name);
    }
    if (kind == vmKind) {
        return Error{403, "the VM list is the platform's"};
    }
    auto ifVersion = text::parseNumber<uint64_t>(ex.query("revision"));
    if (method == http::bhttp::verb::delete_) {
        return m_store.remove(kind, name, ifVersion);
    }
    const json body = decode::textOrNull(ex.request().body());
    if (!body.is_object()) {
        return Error{400, "body is not a JSON object"};
    }
    auto object = fromWire(kind, body);
    if (method == http::bhttp::verb::post) {
        return m_store.put(kind, object.name, object.value, 0);
    }
    if (method != http::bhttp::verb::put) {
        return Error{405, "method not allowed"};
    }
    if (object.version > 0) {
        ifVersion = object.version;
    }
    if (kind == serverKind) {
        m_serverUpdatedAt[name] = Clock::now();
        auto held = m_store.get(kind, name);
        if (ok(held) && !ifVersion && isHeartbeat(std::get<store::Object>(held).value, object.value)) {
            return held;
        }
    }
    return m_store.put(kind, name, object.value, ifVersion);
}

// Responds with one page of the objects of a kind, starting after the name in the query.
Task<void> PlatformServer::handleListing(http::Exchange &ex, std::string kind)
{
    const auto page = stateFor(ex, Clock::now()).list(kind, ex.query("after_rev"), static_cast<std::size_t>(m_settings.pageEntries));
    co_await respond(ex, 200, makePage(page).dump());
}

// Handles a long-polling watch for the changes of a kind after a revision.
Task<void> PlatformServer::handleWatch(http::Exchange &ex, std::string kind)
{
    const uint64_t from = text::parseNumber<uint64_t>(ex.query("watch")).value_or(0);
    const std::vector<std::string> kinds(1, kind);
    const auto deadline = Clock::now() + std::min(Millis(text::parseNumber<uint64_t>(ex.query("wait_ms")).value_or(1000)), maxWatchTimeout);
    ex.onCallerDisconnect([this] {
        m_changed.notifyAll();
    });
    if (&stateFor(ex, Clock::now()) != &m_store) {
        auto lagging = co_await awaitReplicaChanges(ex, from, kinds, deadline);
        if (!ok(lagging)) {
            co_await respondError(ex, std::get<Error>(lagging));
        } else {
            co_await respond(ex, 200, makeBatch(std::get<store::WatchBatch>(lagging)).dump());
        }
        co_return;
    }
    while (!m_store.changedSince(from, kinds) && Clock::now() < deadline && !ex.callerDisconnected() && !m_faults.outage) {
        co_await m_changed.wait(deadline);
    }
    ex.onCallerDisconnect({});
    if (m_faults.outage) {
        ex.abort(); // a waiting watch is cut off
        co_return;
    }
    auto result = m_store.since(from, kinds);
    if (!ok(result)) {
        co_await respondError(ex, std::get<Error>(result));
        co_return;
    }
    co_await respond(ex, 200, makeBatch(std::get<store::WatchBatch>(result)).dump());
}

// Waits for changes to reach a lagging replica. One that has not reached the revision yet reports its own, and no changes.
Task<Result<store::WatchBatch>> PlatformServer::awaitReplicaChanges(http::Exchange &ex, uint64_t from, std::vector<std::string> kinds,
                                                                    Clock::time_point deadline)
{
    for (;;) {
        const auto now = Clock::now();
        const auto &state = stateFor(ex, now);
        const bool behind = from > state.revision();
        if (!behind && state.changedSince(from, kinds)) {
            co_return state.since(from, kinds);
        }
        if (now >= deadline || m_faults.outage) {
            co_return store::WatchBatch{state.revision(), {}, m_store.epoch()};
        }
        co_await sleepFor(snapshotInterval);
    }
}

// Publishes a change of the VM list after the lag of the list. Without an entry the VM is removed.
Task<void> PlatformServer::publishVm(std::string id, std::optional<json> entry)
{
    co_await sleepFor(Millis(m_settings.vmListLagMs));
    if (entry) {
        m_store.put(vmKind, id, *entry, std::nullopt);
    } else {
        m_store.remove(vmKind, id, std::nullopt);
    }
    m_changed.notifyAll();
}

// Handles /admin/vms/{id} (PUT an endpoint or DELETE it), /admin/faults, /admin/copy (takes a backup of the store) and
// /admin/restore (restores the store from the last backup).
Task<void> PlatformServer::handleAdmin(http::Exchange &ex, std::string path)
{
    const auto &text = ex.request().body();
    json body = decode::textOrNull(text.empty() ? "{}" : text);
    if (!body.is_object()) {
        co_await respondError(ex, Error{400, "body is not a JSON object"});
        co_return;
    }
    if (path == "/admin/faults") {
        m_faults.outage = body.value("outage", false);
        m_faults.slowMs = body.value("slowMs", int64_t{0});
        m_faults.loseAnswers = body.value("loseAnswers", int64_t{0});
        if (body.value("compact", false)) {
            m_store.compact();
        }
        m_changed.notifyAll();
        log::event(log::Event::FaultSet, body.dump());
        co_await respond(ex, 200, body.dump());
        co_return;
    }
    if (path == "/admin/copy" || path == "/admin/restore") {
        if (path == "/admin/copy") {
            m_backup = m_store.backup();
        } else {
            restore();
        }
        co_await respond(ex, 200, "{}");
        co_return;
    }
    if (path.rfind(vmAdminPrefix, 0) != 0) {
        co_await respondError(ex, Error{404, "no such admin path"});
        co_return;
    }
    const std::string id = decodedSegment(std::string_view(path).substr(vmAdminPrefix.size()));
    std::optional<json> entry;
    if (ex.request().method() == http::bhttp::verb::put) {
        body["id"] = id;
        entry = toJson(endpointFromJson(body));
    }
    const std::string published = entry ? entry->dump() : "{}";
    const auto executor = co_await asio::this_coro::executor;
    asio::co_spawn(executor, publishVm(id, std::move(entry)), asio::detached);
    co_await respond(ex, 200, published);
}

} // namespace yucca::platform
