#include "stream_store.h"

#include "decode.h"
#include "failure.h"
#include "log.h"
#include "name_digest.h"
#include "text.h"

#include <boost/asio/detached.hpp>

#include <algorithm>

namespace yucca::streams
{

using json = nlohmann::json;

namespace
{

constexpr const char *versionsKey = "versions";
constexpr const char *originsKey = "origins";
constexpr std::size_t keyDigits = 16; ///< of a stream's key in hexadecimal

const Error incompleteList{store::Unavailable, "the store refuses a page"};

std::string paddedKey(uint64_t stream)
{
    const auto digits = text::toHex(stream);
    return std::string(keyDigits - digits.size(), '0') + digits;
}

// Returns a version, or a service that has a record, as it stands in records.
std::string recordName(std::string_view name)
{
    return names::abbreviate(name, names::maxStoredBytes);
}

std::set<std::string> recordNames(const std::set<std::string> &versions)
{
    std::set<std::string> out;
    for (const auto &version : versions) {
        out.insert(recordName(version));
    }
    return out;
}

// Returns false if the text is not a list of keys.
bool appendKeys(const Origin &origin, std::string_view keys, std::vector<OriginRecord> &out)
{
    for (std::size_t at = 0; at < keys.size(); at += keyDigits) {
        const auto digits = keys.substr(at, keyDigits);
        const auto stream = digits.size() == keyDigits ? text::parseHex(digits) : std::nullopt;
        if (!stream) {
            return false;
        }
        out.push_back({*stream, origin});
    }
    return true;
}

/// The records of one object. Other programs may have written anything: what is no record is skipped.
struct DecodedOrigins {
    std::vector<OriginRecord> records;
    std::size_t unreadable = 0; ///< number of skipped parts
};

// Decodes the keys of streams, grouped by service and version: {SERVICE: {VERSION: "KEYKEY..."}}.
DecodedOrigins decodeOrigins(const json &value)
{
    DecodedOrigins out;
    const auto services = value.is_object() ? value.find(originsKey) : value.end();
    if (services == value.end() || !services->is_object()) {
        out.unreadable = 1;
        return out;
    }
    for (const auto &[service, versions] : services->items()) {
        if (!versions.is_object()) {
            ++out.unreadable;
            continue;
        }
        for (const auto &[version, keys] : versions.items()) {
            const bool readable = keys.is_string() && appendKeys(receivedOrigin(service, version), keys.get_ref<const std::string &>(), out.records);
            out.unreadable += readable ? 0 : 1;
        }
    }
    return out;
}

// Returns nothing for a value that is no record of versions.
std::optional<std::set<std::string>> decodeVersions(const json &value)
{
    const auto list = value.is_object() ? value.find(versionsKey) : value.end();
    if (list == value.end() || !list->is_array() || list->empty()) {
        return std::nullopt;
    }
    std::set<std::string> versions;
    for (const auto &version : *list) {
        if (!version.is_string()) {
            return std::nullopt;
        }
        versions.insert(names::received(version.get_ref<const std::string &>(), names::maxStoredBytes));
    }
    return versions;
}

json encodeVersions(const std::set<std::string> &versions)
{
    json value;
    value[versionsKey] = versions;
    return value;
}

void logUnreadable(const char *kind, const std::string &name, const std::string &problems)
{
    log::Line{log::Event::CatalogueEntryRejected}.add("entry", std::string(kind) + "/" + name).add("problems", problems);
}

void logFailure(const char *operation, const Error &error)
{
    log::Line{log::Event::PlatformUnreachable}.add("op", operation).add("code", int64_t{error.code});
}

} // namespace

StreamStore::StreamStore(StreamStoreParts parts, asio::any_io_executor executor, StreamStoreOptions options)
    : m_parts(std::move(parts))
    , m_executor(std::move(executor))
    , m_options(options)
{
}

Task<void> StreamStore::run()
{
    const auto begin = Clock::now() + m_options.startDelay;
    auto rankDue = begin;
    m_parts.origins.collect(true);
    while (!m_stopping) {
        const auto now = Clock::now();
        announceUnrecorded(now);
        collectOrigins(now);
        if (now >= rankDue) {
            rankDue = now + m_options.rankInterval;
            m_rank = m_parts.rank();
            m_parts.origins.collect(m_rank == 0);
        }
        if (now >= begin && m_rank < m_options.versionRecorders) {
            co_await recordVersions(now);
        }
        bool saved = true;
        if (now >= begin && m_rank == 0) {
            saved = co_await saveOrigins();
        }
        co_await sleepFor(saved ? currentInterval() : m_options.rankInterval); // each call has a cost, also to a store that is away
    }
}

// Only the router that writes origins has to do so often.
Millis StreamStore::currentInterval() const
{
    return m_rank == 0 && !m_mixed.empty() ? std::min(m_options.writeInterval, m_options.pollInterval) : m_options.pollInterval;
}

bool StreamStore::hasSeveralVersions(const std::string &service, Clock::time_point now) const
{
    return !m_parts.table.soleVersion(service, now).has_value();
}

// Sends the origins of this router's streams to the one that records them, once their service has several versions.
void StreamStore::announceUnrecorded(Clock::time_point now)
{
    for (const auto &service : m_parts.services()) {
        if (!hasSeveralVersions(service, now)) {
            m_mixed.erase(service);
        } else if (m_mixed.insert(service).second) {
            m_parts.origins.announceAgain(service, m_options.resumptionWindow, now);
        }
    }
}

// Keeps collected origins for as long as their streams may be taken up: other routers may see a new version sooner.
void StreamStore::collectOrigins(Clock::time_point now)
{
    for (auto &record : m_parts.origins.takeCollected()) {
        m_pending.emplace_back(now, std::move(record));
    }
    while (!m_pending.empty() && now - m_pending.front().first >= m_options.resumptionWindow) {
        m_pending.pop_front();
    }
}

// Returns the listed versions of each service as they stand in records.
std::map<std::string, StreamStore::Versions> StreamStore::listedVersions() const
{
    auto listed = m_parts.table.listedVersions();
    for (auto &[service, versions] : listed) {
        versions = recordNames(versions);
    }
    return listed;
}

// Records versions that are listed and not recorded, one recorder after the other, and drops those that have had no streams for long.
Task<void> StreamStore::recordVersions(Clock::time_point now)
{
    if (m_parts.api.epoch() != m_epoch) {
        m_epoch = m_parts.api.epoch();
        m_versionsLoaded = false; // a restored store has lost the later writes
    }
    bool due = false;
    bool expired = false;
    const auto listed = listedVersions();
    for (const auto &service : m_parts.services()) {
        const auto it = listed.find(service);
        if (it != listed.end()) {
            noteAbsent(service, it->second, now);
            due = due || !m_versionsLoaded || !isRecorded(service, it->second);
            expired = expired || hasExpired(service, it->second, now);
        }
    }
    if (!due) {
        m_unrecordedSince = {};
    } else if (m_unrecordedSince == Clock::time_point{}) {
        m_unrecordedSince = now;
    }
    const auto turn = m_options.recorderInterval * static_cast<int64_t>(m_rank);
    if ((due && now - m_unrecordedSince >= turn) || (expired && m_rank == 0)) {
        const bool saved = co_await saveVersions();
        m_unrecordedSince = saved ? Clock::time_point{} : Clock::now() + m_options.rankInterval;
    }
}

Task<bool> StreamStore::saveVersions()
{
    if (!m_versionsLoaded) {
        m_versionsLoaded = co_await readVersions();
        if (!m_versionsLoaded) {
            co_return false;
        }
    }
    const auto listed = listedVersions();
    for (const auto &service : m_parts.services()) {
        const auto it = listed.find(service);
        const bool upToDate = it == listed.end() || (isRecorded(service, it->second) && !hasExpired(service, it->second, Clock::now()));
        if (upToDate) {
            continue;
        }
        const bool saved = co_await saveVersions(service, it->second);
        if (!saved) {
            co_return false;
        }
    }
    co_return true;
}

// Reads the record, and writes it on condition that no other router has changed it meanwhile.
Task<bool> StreamStore::saveVersions(std::string service, Versions listed)
{
    auto stored = co_await m_parts.api.get(versionKind, recordName(service), store::Freshness::Current);
    if (!ok(stored) && std::get<Error>(stored).code != store::NotFound) {
        logFailure("stream versions", std::get<Error>(stored));
        co_return false;
    }
    const auto *object = std::get_if<store::Object>(&stored);
    const auto before = object ? decodeVersions(object->value) : std::nullopt;
    auto versions = before.value_or(Versions{});
    std::erase_if(versions, [&](const std::string &recorded) {
        return isExpired(service, recorded, listed, Clock::now());
    });
    versions.insert(listed.begin(), listed.end());
    if (before != versions) {
        const auto version = object ? object->version : 0;
        auto value = encodeVersions(versions);
        auto written = co_await m_parts.api.put(versionKind, recordName(service), std::move(value), version);
        if (!ok(written)) {
            logFailure("stream versions", std::get<Error>(written));
            co_return false;
        }
    }
    setRecorded(service, std::move(versions));
    co_return true;
}

// Returns true for a version that this router has seen recorded and not listed for as long as its streams may last.
bool StreamStore::isExpired(const std::string &service, const std::string &version, const Versions &listed, Clock::time_point now) const
{
    const auto absent = m_absentSince.find({service, version});
    return !listed.count(version) && absent != m_absentSince.end() && now - absent->second >= m_options.versionMemory;
}

bool StreamStore::hasExpired(const std::string &service, const Versions &listed, Clock::time_point now) const
{
    return std::any_of(m_absentSince.begin(), m_absentSince.end(), [&](const auto &absent) {
        return absent.first.first == service && isExpired(service, absent.first.second, listed, now);
    });
}

// Notes since when recorded versions are not listed.
void StreamStore::noteAbsent(const std::string &service, const Versions &listed, Clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    const auto recorded = m_recorded.find(recordName(service));
    std::erase_if(m_absentSince, [&](const auto &absent) {
        const auto &[ofService, version] = absent.first;
        return ofService == service && (listed.count(version) || recorded == m_recorded.end() || !recorded->second.count(version));
    });
    if (recorded == m_recorded.end()) {
        return;
    }
    for (const auto &version : recorded->second) {
        if (!listed.count(version)) {
            m_absentSince.try_emplace({service, version}, now);
        }
    }
}

// Returns true if all listed versions are recorded.
bool StreamStore::isRecorded(const std::string &service, const Versions &listed) const
{
    std::lock_guard lock(m_mutex);
    const auto recorded = m_recorded.find(recordName(service));
    return recorded != m_recorded.end() && std::includes(recorded->second.begin(), recorded->second.end(), listed.begin(), listed.end());
}

void StreamStore::setRecorded(const std::string &service, Versions versions)
{
    std::lock_guard lock(m_mutex);
    m_recorded[recordName(service)] = std::move(versions);
}

Task<bool> StreamStore::saveOrigins()
{
    const auto now = Clock::now();
    collectOrigins(now);
    const auto due = std::stable_partition(m_pending.begin(), m_pending.end(), [&](const auto &pending) {
        return !hasSeveralVersions(serviceOf(pending.second.origin), now);
    });
    const auto count = std::min(m_options.maxOriginsPerObject, static_cast<std::size_t>(m_pending.end() - due));
    const auto end = due + static_cast<std::ptrdiff_t>(count);
    const std::deque<std::pair<Clock::time_point, OriginRecord>> taken(due, end);
    m_pending.erase(due, end);
    if (taken.empty()) {
        co_return true;
    }
    std::vector<OriginRecord> records;
    for (const auto &pending : taken) {
        records.push_back(pending.second);
    }
    auto value = encodeOrigins(records);
    const bool written = co_await putOrigins(std::move(value));
    if (!written) {
        m_pending.insert(m_pending.begin(), taken.begin(), taken.end());
    }
    co_return written;
}

// Returns the name of an origin's service; its digest if no configured service has it.
std::string StreamStore::serviceOf(const Origin &origin) const
{
    if (names::isDigest(origin.service)) {
        for (auto &service : m_parts.services()) {
            if (names::abbreviate(service, names::maxServiceBytes) == origin.service) {
                return service;
            }
        }
    }
    return origin.service;
}

// Returns the version of an origin as it stands in records: an earlier release knows it by its text alone.
std::string StreamStore::versionOf(const Origin &origin, const std::string &service) const
{
    const auto version = m_parts.table.findVersion(service, origin.version);
    return version ? recordName(*version) : origin.version;
}

// Groups the keys of streams by service and version, see decodeOrigins().
json StreamStore::encodeOrigins(const std::vector<OriginRecord> &records) const
{
    std::map<Origin, std::string> keys;
    for (const auto &record : records) {
        keys[record.origin] += paddedKey(record.stream);
    }
    json services = json::object();
    for (const auto &[origin, streams] : keys) {
        const auto service = serviceOf(origin);
        services[recordName(service)][versionOf(origin, service)] = streams;
    }
    return {{originsKey, std::move(services)}};
}

// Each write is conditional. Another router that counts as the first by name, or did a moment ago, may write too: then its objects are
// the newest, and this router goes on after them.
Task<bool> StreamStore::putOrigins(json value)
{
    auto written = co_await putNextObject(value);
    if (!ok(written) && std::get<Error>(written).code == store::Conflict) {
        m_nextObject.reset();
        written = co_await putNextObject(std::move(value));
    }
    if (const auto *error = std::get_if<Error>(&written)) {
        m_nextObject.reset(); // a lost answer leaves open which version the object has
        logFailure("stream origins", *error);
    }
    co_return ok(written);
}

Task<Result<store::Object>> StreamStore::putNextObject(json value)
{
    if (!m_nextObject) {
        const auto failed = co_await findNextObject();
        if (failed) {
            co_return *failed;
        }
    }
    const auto number = *m_nextObject;
    auto written = co_await m_parts.api.put(originKind, std::to_string(number), std::move(value), m_objectVersions[number]);
    if (const auto *object = std::get_if<store::Object>(&written)) {
        m_objectVersions[number] = object->version;
        m_nextObject = (number + 1) % m_options.originObjects;
    }
    co_return written;
}

// Finds the object after the one that was written last, by this router or by another: the newest origins are those that are needed.
Task<std::optional<Error>> StreamStore::findNextObject()
{
    auto listed = co_await platform::listAll(m_parts.api, originKind, store::Freshness::Current);
    if (const auto *error = std::get_if<Error>(&listed)) {
        co_return *error;
    }
    m_objectVersions.assign(m_options.originObjects, 0);
    for (const auto &object : std::get<store::Listing>(listed).items) {
        const auto number = text::parseNumber<std::size_t>(object.name);
        if (number && *number < m_options.originObjects) {
            m_objectVersions[*number] = object.version;
        }
    }
    const auto newest = std::max_element(m_objectVersions.begin(), m_objectVersions.end());
    const auto after = static_cast<std::size_t>(newest - m_objectVersions.begin()) + 1;
    m_nextObject = *newest == 0 ? 0 : after % m_options.originObjects;
    co_return std::nullopt;
}

std::optional<std::string> StreamStore::recordedVersion(const std::string &service, Clock::time_point now) const
{
    const auto listed = m_parts.table.soleVersion(service, now);
    std::lock_guard lock(m_mutex);
    const auto recorded = m_recorded.find(recordName(service));
    const bool known = listed && recorded != m_recorded.end() && recorded->second == Versions{recordName(*listed)};
    return known ? listed : std::nullopt;
}

Task<std::optional<std::string>> StreamStore::soleVersion(std::string service)
{
    if (!m_parts.table.soleVersion(service, Clock::now())) {
        co_return std::nullopt;
    }
    const bool checked = co_await asio::co_spawn(m_executor, checkVersions(), asio::use_awaitable);
    co_return checked ? recordedVersion(service, Clock::now()) : std::nullopt;
}

Task<std::optional<Origin>> StreamStore::find(uint64_t stream, std::string service)
{
    const auto version = co_await soleVersion(service);
    if (version) {
        co_return makeOrigin(service, *version);
    }
    co_await asio::co_spawn(m_executor, refreshOrigins(), asio::use_awaitable);
    co_return m_parts.origins.find(stream, Clock::now());
}

// Waits for a check of the versions that begins after this call. Returns false if there is none in time. All requests that wait share
// the checks.
Task<bool> StreamStore::checkVersions()
{
    const auto arrived = Clock::now();
    const auto until = arrived + m_options.readTimeout;
    const bool mayRead = co_await awaitFirstRead(until);
    while (mayRead && m_checkedAt < arrived && Clock::now() < until) {
        if (!m_checking && Clock::now() >= m_checkNotBefore) {
            startRead(readVersionsAndEndpoints(), m_checking, m_checkEnded);
        }
        co_await m_checkEnded.wait(m_checking ? until : std::min(until, m_checkNotBefore));
    }
    co_return m_checkedAt >= arrived;
}

// The order matters: a version whose last endpoint left before the comparison has been recorded by then.
Task<void> StreamStore::readVersionsAndEndpoints()
{
    const auto begun = Clock::now();
    const auto spread = m_options.versionsIntervalPerRouter * static_cast<int64_t>(m_parts.routers());
    m_checkNotBefore = begun + std::clamp(spread, m_options.minVersionsInterval, m_options.maxVersionsInterval);
    const bool endpoints = co_await m_parts.catchUpEndpoints(begun + m_options.readTimeout);
    bool versions = false;
    if (endpoints) {
        versions = co_await readVersions();
    }
    m_checkedAt = versions ? begun : m_checkedAt;
    log::Line{log::Event::StreamVersionsRead}.add("versions", versions).add("endpoints", endpoints);
}

// Reads the origins unless that was done within the interval. All requests that wait share one read.
Task<void> StreamStore::refreshOrigins()
{
    const auto until = Clock::now() + m_options.readTimeout;
    const bool mayRead = co_await awaitFirstRead(until);
    if (!mayRead || (!m_reading && Clock::now() < m_readNotBefore)) {
        co_return;
    }
    if (!m_reading) {
        startRead(readAllOrigins(), m_reading, m_readEnded);
    }
    co_await m_readEnded.wait(until);
}

Task<void> StreamStore::readAllOrigins()
{
    const bool origins = co_await readOrigins();
    m_readNotBefore = Clock::now() + m_options.readInterval;
    log::Line{log::Event::StreamsRead}.add("origins", origins).add("known", static_cast<int64_t>(m_parts.origins.size()));
}

// Runs a read, and wakes the requests that wait for it when it ends, also by an exception.
void StreamStore::startRead(Task<void> read, bool &running, Notifier &ended)
{
    running = true;
    asio::co_spawn(m_executor, std::move(read), [&running, &ended](std::exception_ptr failure) {
        running = false;
        ended.notifyAll();
        if (failure) {
            log::Line{log::Event::TaskFailed}.add("task", "read streams").add("error", describe(failure));
        }
    });
}

// Waits for this router's time of the first read. Returns false if that is later than a request may wait.
Task<bool> StreamStore::awaitFirstRead(Clock::time_point until)
{
    if (m_firstReadAt == Clock::time_point{}) {
        const auto spread = m_options.readDelayPerRouter * static_cast<int64_t>(m_parts.routers());
        m_firstReadAt = Clock::now() + Millis(m_random() % static_cast<uint64_t>(spread.count() + 1));
    }
    if (m_firstReadAt >= until) {
        co_return false;
    }
    if (const auto now = Clock::now(); now < m_firstReadAt) {
        co_await sleepFor(m_firstReadAt - now);
    }
    co_return true;
}

Task<bool> StreamStore::readVersions()
{
    auto listed = co_await platform::listAll(m_parts.api, versionKind, store::Freshness::Current);
    const auto *listing = std::get_if<store::Listing>(&listed);
    if (!listing || listing->more) {
        logFailure("stream versions", listing ? incompleteList : std::get<Error>(listed));
        co_return false;
    }
    std::lock_guard lock(m_mutex);
    m_recorded.clear();
    for (const auto &object : listing->items) {
        const auto versions = decodeVersions(object.value);
        if (!versions) {
            logUnreadable(versionKind, object.name, "no list of versions");
            continue;
        }
        m_recorded[object.name] = *versions;
    }
    co_return true;
}

Task<bool> StreamStore::readOrigins()
{
    auto listed = co_await platform::listAll(m_parts.api, originKind, store::Freshness::Current);
    if (const auto *error = std::get_if<Error>(&listed)) {
        logFailure("stream origins", *error);
        co_return false;
    }
    const auto now = Clock::now();
    for (const auto &object : std::get<store::Listing>(listed).items) {
        const auto decoded = decodeOrigins(object.value);
        for (const auto &record : decoded.records) {
            m_parts.origins.restore(record, now);
        }
        if (decoded.unreadable > 0) {
            logUnreadable(originKind, object.name, std::to_string(decoded.unreadable) + " parts are no origins of streams");
        }
    }
    co_return true;
}

} // namespace yucca::streams
