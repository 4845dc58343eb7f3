#include "quarantine_store.h"

#include "log.h"
#include "text.h"

#include <algorithm>
#include <variant>

namespace yucca::quarantine
{

using json = nlohmann::json;

namespace
{

constexpr const char *endpointsKey = "endpoints";
constexpr const char *lastEndedKey = "last_ended_ms"; ///< Unix time
constexpr const char *releasedKey = "released_ms"; ///< Unix time of an operator's release
constexpr std::size_t maxLoggedUnreadable = 256;

int64_t unixMs()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// Converts Unix time to the steady clock. Wall-clock steps of a few seconds are
// negligible against a quarantine of hours.
Clock::time_point toSteadyTime(int64_t unixTimeMs)
{
    return Clock::now() - Millis(unixMs() - unixTimeMs);
}

json recordToJson(const CrashRecord &record)
{
    json endpoints = json::array();
    for (const auto endpoint : record.endpoints) {
        endpoints.push_back(text::toHex(endpoint));
    }
    const auto age = std::chrono::duration_cast<Millis>(Clock::now() - record.lastAt).count();
    return {{endpointsKey, std::move(endpoints)}, {lastEndedKey, unixMs() - age}};
}

/// A parsed entry: a record, an operator's release as an answer, or nothing when the entry is unreadable.
using Entry = std::variant<std::monostate, CrashRecord, CompleteResponse>;

Entry parseEntry(const platform::Object &object)
{
    const auto content = text::parseHex(object.name);
    const auto &v = object.value;
    if (!content || !v.is_object()) {
        return {};
    }
    if (v.contains(releasedKey) && v[releasedKey].is_number_integer()) {
        return CompleteResponse{*content, toSteadyTime(v[releasedKey].get<int64_t>())};
    }
    const bool wellFormed = v.contains(endpointsKey) && v[endpointsKey].is_array() && v.contains(lastEndedKey) && v[lastEndedKey].is_number_integer();
    if (!wellFormed) {
        return {};
    }
    CrashRecord record{*content, {}, toSteadyTime(v[lastEndedKey].get<int64_t>())};
    for (const auto &written : v[endpointsKey]) {
        const auto endpoint = written.is_string() ? text::parseHex(written.get_ref<const std::string &>()) : std::nullopt;
        if (!endpoint) {
            return {};
        }
        record.endpoints.push_back(*endpoint);
    }
    std::sort(record.endpoints.begin(), record.endpoints.end());
    return record;
}

} // namespace

json makeReleaseRecord(const std::string &author, const std::string &reason)
{
    return {{releasedKey, unixMs()}, {"author", author}, {"reason", reason}};
}

QuarantineStore::QuarantineStore(platform::ObjectApi &api, RequestQuarantine &quarantine, std::function<bool()> isAlone, std::function<bool()> isSweeper,
                                 QuarantineStoreOptions options)
    : m_api(api)
    , m_quarantine(quarantine)
    , m_isAlone(std::move(isAlone))
    , m_isSweeper(std::move(isSweeper))
    , m_options(options)
{
}

// Time from the last call to the next listing.
Millis QuarantineStore::interval() const
{
    if (!m_storeReachable) {
        return m_options.retryDelay;
    }
    if (m_isAlone()) {
        return m_options.reloadIntervalAlone;
    }
    return m_loadCount < 2 ? m_options.secondLoadDelay : m_options.reloadInterval;
}

Task<void> QuarantineStore::run()
{
    while (!m_stopping) {
        recordEpoch();
        if (m_loadCount == 0 || Clock::now() - m_lastCallAt >= interval()) {
            co_await load();
        }
        if (m_storeReachable) {
            co_await saveAll();
        }
        co_await sleepFor(m_options.savePollInterval);
    }
}

// Queues all records again once the store's epoch rises: a store restored from a backup has lost the later writes.
void QuarantineStore::recordEpoch()
{
    if (m_api.epoch() > m_epoch) {
        m_epoch = m_api.epoch();
        m_quarantine.markAllUnsaved();
    }
}

Task<bool> QuarantineStore::load()
{
    // Routers that start together all seem to be alone at first, and a later listing reads what their first one has missed.
    const auto freshness = m_loadCount > 0 && m_isAlone() ? platform::Freshness::Current : platform::Freshness::MayLag;
    auto result = co_await platform::listAll(m_api, recordKind, freshness);
    m_lastCallAt = Clock::now();
    m_storeReachable = ok(result);
    if (!m_storeReachable) {
        log::Line{log::Event::PlatformUnreachable}.add("op", "quarantine").add("code", int64_t{std::get<Error>(result).code});
        co_return false;
    }
    recordEpoch();
    ++m_loadCount;
    for (const auto &object : std::get<platform::Listing>(result).items) {
        co_await applyEntry(object);
    }
    co_return true;
}

// Merges one entry, or removes it when it has outlived the retention and this router is the sweeper.
Task<void> QuarantineStore::applyEntry(platform::Object object)
{
    const auto now = Clock::now();
    const auto entry = parseEntry(object);
    const auto *record = std::get_if<CrashRecord>(&entry);
    const auto *answer = std::get_if<CompleteResponse>(&entry);
    if (!record && !answer) {
        logUnreadable(object.name);
        co_return;
    }
    const auto at = record ? record->lastAt : answer->at;
    if (now > at + m_quarantine.options().recordRetention) {
        if (m_isSweeper()) {
            co_await m_api.remove(recordKind, object.name, object.version); // a failed removal is repeated after the next listing
        }
    } else if (record) {
        m_quarantine.merge(*record, now);
    } else {
        m_quarantine.merge(*answer);
    }
}

// Logs an unreadable entry once; other programs may write entries of this kind.
void QuarantineStore::logUnreadable(const std::string &name)
{
    if (m_loggedUnreadable.size() < maxLoggedUnreadable && m_loggedUnreadable.insert(name).second) {
        log::Line{log::Event::CatalogueEntryRejected}.add("entry", std::string(recordKind) + "/" + name).add("problems", "not a record of endpoint crashes");
    }
}

Task<void> QuarantineStore::saveAll()
{
    for (const auto content : m_quarantine.takeUnsaved()) {
        if (m_storeReachable) {
            m_storeReachable = co_await save(content);
            m_lastCallAt = Clock::now();
        }
        if (!m_storeReachable) {
            m_quarantine.markUnsaved(content);
        }
    }
}

// Reads the stored record, merges it and writes the result conditionally, so
// that a delayed write can't overwrite what another router has added.
Task<bool> QuarantineStore::save(uint64_t content)
{
    const std::string name = text::toHex(content);
    for (int attempt = 0; attempt < m_options.maxSaveAttempts; ++attempt) {
        auto stored = co_await m_api.get(recordKind, name, platform::Freshness::Current);
        if (!ok(stored) && std::get<Error>(stored).code != store::NotFound) {
            co_return false;
        }
        const auto *object = std::get_if<platform::Object>(&stored);
        const auto entry = object ? parseEntry(*object) : Entry{};
        const auto *record = std::get_if<CrashRecord>(&entry);
        if (record) {
            m_quarantine.merge(*record, Clock::now());
        }
        const auto own = m_quarantine.find(content);
        const bool current = own ? record && record->endpoints == own->endpoints : !record;
        if (current) {
            co_return true;
        }
        const auto written = co_await writeRecord(name, own, object ? object->version : 0);
        if (written != store::Conflict) {
            co_return written == 0;
        }
    }
    co_return true; // other routers keep writing this record; the next listing reads what they wrote
}

// Writes the record over storedVersion, or removes the stored one when there is
// no record. Returns 0 on success, else the error code.
Task<int> QuarantineStore::writeRecord(std::string name, std::optional<CrashRecord> record, uint64_t storedVersion)
{
    Result<platform::Object> result = Error{};
    if (record) {
        result = co_await m_api.put(recordKind, name, recordToJson(*record), storedVersion);
    } else {
        result = co_await m_api.remove(recordKind, name, storedVersion);
    }
    const auto *error = std::get_if<Error>(&result);
    if (error && error->code != store::Conflict) {
        log::Line{log::Event::PlatformUnreachable}.add("op", "quarantine").add("code", int64_t{error->code});
    }
    co_return error ? error->code : 0;
}

} // namespace yucca::quarantine
