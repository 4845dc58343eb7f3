#include "ctl.h"

#include "catalogue.h"
#include "decode.h"

#include <algorithm>
#include <ctime>
#include <random>

namespace yucca::ctl
{

using json = nlohmann::json;

namespace
{

constexpr const char *changeIdKey = "change"; ///< field of an entry: the id of the change that wrote it

// Returns a random id, unique to this change.
std::string newChangeId()
{
    std::random_device entropy;
    char text[32];
    snprintf(text, sizeof text, "%08x%08x", entropy(), entropy());
    return text;
}

std::string auditRecordName(const Entry &entry, const std::string &changeId)
{
    return entry.kind + "." + entry.name + "." + changeId;
}

// Returns the audit record of a change that is about to be written. Not part of
// the coroutine, as GCC 12 cannot keep braced lists in a coroutine frame.
json proposedRecord(const Entry &entry, const Author &author, uint64_t version, const json &before)
{
    return {{"kind", entry.kind},    {"name", entry.name},      {"base", version},          {"before", before},     {"after", entry.value},
            {"author", author.name}, {"reason", author.reason}, {"at", std::time(nullptr)}, {"outcome", "proposed"}};
}

std::string describe(const Entry &entry)
{
    return entry.kind + "/" + entry.name;
}

// Reads the entry to find out whether a write took effect after its response was lost.
Task<Result<platform::Object>> resolveLostWrite(platform::ObjectApi &api, const Entry &entry, const json &written)
{
    auto got = co_await api.get(entry.kind, entry.name, platform::Freshness::Current);
    if (!ok(got)) {
        const auto error = std::get<Error>(got);
        co_return error.code == store::NotFound ? Error{store::Unavailable, "the write did not take effect"} : Error{store::AnswerLost, error.message};
    }
    if (std::get<platform::Object>(got).value == written) {
        co_return std::move(got);
    }
    co_return Error{store::Conflict, "the entry is at version " + std::to_string(std::get<platform::Object>(got).version)};
}

Change toChange(const Entry &entry, const Result<platform::Object> &put)
{
    if (ok(put)) {
        const auto version = std::get<platform::Object>(put).version;
        return {ChangeResult::Applied, version, describe(entry) + " applied at version " + std::to_string(version)};
    }
    const auto &error = std::get<Error>(put);
    switch (error.code) {
    case store::Conflict:
        return {ChangeResult::LostRace, 0,
                describe(entry) + " was changed by someone else: " + error.message + "; nothing written. Read it again (get), then apply."};
    case store::AnswerLost:
        return {ChangeResult::Unknown, 0, describe(entry) + ": the response was lost; the change may have been applied. Run history to check."};
    default:
        return {ChangeResult::Failed, 0, describe(entry) + ": " + error.message + "; nothing written"};
    }
}

// Versions of different epochs are not comparable: after a restore, the version that was read may belong to another value.
Error restoredError()
{
    return {store::Conflict, "the store was restored from a backup meanwhile"};
}

Change writtenAfterRestore(const Entry &entry, uint64_t version)
{
    return {ChangeResult::Unknown, version,
            describe(entry) + " was written at version " + std::to_string(version)
                + " after the store was restored from a backup; it may have replaced another change than the one read. Run history to check."};
}

Change unchanged(const Entry &entry, uint64_t version)
{
    return {ChangeResult::Unchanged, version, describe(entry) + " unchanged at version " + std::to_string(version)};
}

} // namespace

json withoutChangeId(json value)
{
    if (value.is_object()) {
        value.erase(changeIdKey);
    }
    return value;
}

std::vector<Entry> parseEntries(const json &document, Findings &findings)
{
    std::vector<Entry> out;
    const json list = document.is_array() ? document : json::array({document});
    for (std::size_t i = 0; i < list.size(); ++i) {
        const auto &item = list[i];
        const std::string path = "/" + std::to_string(i);
        if (!item.is_object()) {
            findings.add(path, "must be an object");
            continue;
        }
        Entry e;
        for (const auto &[key, value] : item.items()) {
            if (key == "kind" && value.is_string()) {
                e.kind = value.get<std::string>();
            } else if (key == "name" && value.is_string()) {
                e.name = value.get<std::string>();
            } else if (key == "value") {
                e.value = value;
            } else if (key == "ifVersion" && value.is_number_unsigned()) {
                e.ifVersion = value.get<uint64_t>();
            } else {
                findings.add(path + "/" + key, "unknown key or wrong type");
            }
        }
        if (e.name.empty()) {
            findings.add(path + "/name", "required");
        }
        catalogue::check(e.kind, e.value, path + "/value", findings);
        out.push_back(std::move(e));
    }
    return out;
}

Task<Change> applyEntry(platform::ObjectApi &api, Entry entry, Author author)
{
    auto current = co_await api.get(entry.kind, entry.name, platform::Freshness::Current);
    if (!ok(current) && std::get<Error>(current).code != store::NotFound) {
        co_return toChange(entry, current);
    }
    const auto epoch = api.epoch();
    const bool exists = ok(current);
    const json before = exists ? withoutChangeId(std::get<platform::Object>(current).value) : json();
    const uint64_t version = exists ? std::get<platform::Object>(current).version : 0;
    const uint64_t expected = entry.ifVersion.value_or(version);
    if (expected != version) {
        const Error error{store::Conflict, describe(entry) + " is at version " + std::to_string(version) + ", not " + std::to_string(expected)};
        co_return toChange(entry, error);
    }
    if (before == entry.value) {
        co_return unchanged(entry, version);
    }
    const std::string changeId = newChangeId();
    const std::string auditKey = auditRecordName(entry, changeId);
    json record = proposedRecord(entry, author, version, before);
    auto proposed = co_await api.put(catalogue::auditKind, auditKey, record, std::nullopt);
    if (!ok(proposed) && std::get<Error>(proposed).code != store::AnswerLost) {
        co_return toChange(entry, Error{store::Unavailable, "no audit record could be written: " + std::get<Error>(proposed).message});
    }
    json taggedValue = entry.value;
    taggedValue[changeIdKey] = changeId;
    Result<platform::Object> put = restoredError();
    if (api.epoch() == epoch) {
        put = co_await api.put(entry.kind, entry.name, taggedValue, expected);
    }
    if (!ok(put) && std::get<Error>(put).code == store::AnswerLost) {
        put = co_await resolveLostWrite(api, entry, taggedValue);
    }
    Change change = toChange(entry, put);
    if (change.result == ChangeResult::Applied && api.epoch() != epoch) {
        change = writtenAfterRestore(entry, change.version);
    }
    if (change.result != ChangeResult::Unknown) {
        record["outcome"] = change.result == ChangeResult::Applied ? "accepted" : "refused";
        record["version"] = change.version;
        co_await api.put(catalogue::auditKind, auditKey, record, std::nullopt);
    }
    co_return change;
}

Entry evacuationEntry(const std::string &domain, bool active, const Author &author, int64_t nowS)
{
    Entry entry;
    entry.kind = catalogue::evacuationKind;
    entry.name = domain;
    entry.value = {{"active", active}, {"author", author.name}, {"since", nowS}};
    return entry;
}

Task<Result<std::vector<AuditLine>>> history(platform::ObjectApi &api, std::string kind, std::string name)
{
    auto listed = co_await platform::listAll(api, catalogue::auditKind);
    if (!ok(listed)) {
        co_return std::get<Error>(listed);
    }
    if (std::get<platform::Listing>(listed).more) {
        co_return Error{store::Unavailable, "the store refuses a page of the audit records"};
    }
    auto current = co_await api.get(kind, name, platform::Freshness::Current);
    const std::string prefix = kind + "." + name + ".";
    std::vector<AuditLine> out;
    for (const auto &object : std::get<platform::Listing>(listed).items) {
        const auto &record = object.value;
        if (decode::fieldOr<std::string>(record, "kind", {}) != kind || decode::fieldOr<std::string>(record, "name", {}) != name) {
            continue;
        }
        std::string outcome = decode::fieldOr<std::string>(record, "outcome", {});
        const std::string changeId = object.name.substr(std::min(prefix.size(), object.name.size()));
        if (outcome == "proposed" && ok(current) && decode::fieldOr<std::string>(std::get<platform::Object>(current).value, changeIdKey, {}) == changeId) {
            outcome = "accepted"; // the program ended before it recorded the outcome
        }
        AuditLine line;
        line.record = record;
        line.outcome = outcome;
        out.push_back(std::move(line));
    }
    std::stable_sort(out.begin(), out.end(), [](const AuditLine &a, const AuditLine &b) {
        const auto order = [](const AuditLine &line) {
            return std::pair(decode::fieldOr<int64_t>(line.record, "at", 0), decode::fieldOr<uint64_t>(line.record, "base", 0));
        };
        return order(a) < order(b);
    });
    co_return out;
}

} // namespace yucca::ctl
