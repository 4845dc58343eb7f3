#include "object_replica.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace yucca::replica
{

using json = nlohmann::json;

namespace
{

// The part of one object in the digest, which is the exclusive or of them all:
// it does not depend on the order in which they came.
uint64_t digestOf(const std::string &name, uint64_t version)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), version);
}

constexpr std::size_t headBytes = 16; ///< of an object in an answer beside its name and value, estimated

// One object: [name, version, value as CBOR].
bool readObject(const json &item, HandedObject &out)
{
    const bool shaped = item.is_array() && item.size() == 3 && item[0].is_string() && item[1].is_number_unsigned() && item[2].is_binary();
    if (!shaped) {
        return false;
    }
    out.name = item[0].get<std::string>();
    out.version = item[1].get<uint64_t>();
    out.value = json::from_cbor(static_cast<const std::vector<uint8_t> &>(item[2].get_binary()), true, false);
    return !out.value.is_discarded();
}

Result<Changes> readChanges(const json &written)
{
    const bool shaped = written.is_array() && written.size() == 6 && written[0].is_number_unsigned() && written[1].is_number_unsigned() && written[2].is_array()
        && written[3].is_array() && written[4].is_number_unsigned() && written[5].is_boolean();
    if (!shaped) {
        return Error{400, "not a list of changes"};
    }
    Changes out{written[0].get<uint64_t>(), written[1].get<uint64_t>(), {}, {}, written[4].get<store::Epoch>(), written[5].get<bool>()};
    for (const auto &item : written[2]) {
        out.objects.emplace_back();
        if (!readObject(item, out.objects.back())) {
            return Error{400, "object " + std::to_string(out.objects.size()) + " is malformed"};
        }
    }
    for (const auto &name : written[3]) {
        if (!name.is_string()) {
            return Error{400, "a deleted name is no text"};
        }
        out.deleted.push_back(name.get<std::string>());
    }
    return out;
}

} // namespace

std::vector<uint8_t> encode(const Changes &changes)
{
    json objects = json::array();
    for (const auto &o : changes.objects) {
        json item = json::array();
        item.push_back(o.name);
        item.push_back(o.version);
        item.push_back(json::binary(json::to_cbor(o.value)));
        objects.push_back(std::move(item));
    }
    json out = json::array();
    out.push_back(changes.revision);
    out.push_back(changes.digest);
    out.push_back(std::move(objects));
    out.push_back(changes.deleted);
    out.push_back(changes.epoch);
    out.push_back(changes.whole);
    return json::to_cbor(out);
}

Result<Changes> decode(std::span<const uint8_t> bytes)
{
    try {
        return readChanges(json::from_cbor(bytes.begin(), bytes.end(), true, false));
    } catch (const json::exception &e) {
        return Error{400, e.what()}; // a stated size beyond all bounds throws even where errors are not to
    }
}

void ObjectReplica::hold(const store::Object &object)
{
    const auto held = m_objects.find(object.name);
    if (held != m_objects.end()) {
        drop(held);
    }
    auto value = json::to_cbor(object.value);
    if (value.size() > m_options.mostBytesWhole) {
        value = {};
    }
    m_digest ^= digestOf(object.name, object.version);
    m_objects[object.name] = {object.version, std::move(value)};
}

void ObjectReplica::drop(std::map<std::string, Held>::iterator held)
{
    m_digest ^= digestOf(held->first, held->second.version);
    m_objects.erase(held);
}

void ObjectReplica::listed(const store::Listing &listing)
{
    if (listing.epoch != m_epoch) {
        *this = ObjectReplica(m_options);
        m_epoch = listing.epoch;
    }
    if (!m_listed) {
        m_deletionsFrom = listing.revision;
        m_listed = true;
    }
    std::set<std::string> names;
    for (const auto &object : listing.items) {
        names.insert(object.name);
        hold(object);
    }
    std::vector<std::string> gone;
    for (const auto &[name, held] : m_objects) {
        if (!names.count(name)) {
            gone.push_back(name);
        }
    }
    for (const auto &name : gone) {
        noteDeleted(m_objects.find(name), listing.revision);
    }
    m_revision = listing.revision;
}

void ObjectReplica::noteDeleted(std::map<std::string, Held>::iterator held, uint64_t revision)
{
    m_deletions.push_back({held->first, revision});
    drop(held);
    if (m_deletions.size() > m_options.mostDeletions) {
        m_deletionsFrom = std::max(m_deletionsFrom, m_deletions.front().revision);
        m_deletions.pop_front();
    }
}

bool ObjectReplica::changed(const store::Object &object, bool deleted, uint64_t revision)
{
    const auto held = m_objects.find(object.name);
    if (deleted) {
        if (held == m_objects.end()) {
            return false;
        }
        noteDeleted(held, revision);
        return true;
    }
    // Version 0 is an entry that cannot be read: it replaces what was read before.
    if (held != m_objects.end() && object.version != 0 && held->second.version >= object.version) {
        return false;
    }
    hold(object);
    return true;
}

uint64_t ObjectReplica::versionOf(const std::string &name) const
{
    const auto held = m_objects.find(name);
    return held == m_objects.end() ? 0 : held->second.version;
}

Result<Changes> ObjectReplica::changesSince(uint64_t revision, HandOn handOn) const
{
    if (revision < m_deletionsFrom) {
        return Error{store::Gone, "deletions of before are not known"};
    }
    auto out = collect(revision, handOn);
    if (!ok(out)) {
        return out;
    }
    for (const auto &deletion : m_deletions) {
        if (deletion.revision > revision && !m_objects.count(deletion.name)) {
            std::get<Changes>(out).deleted.push_back(deletion.name);
        }
    }
    return out;
}

Result<Changes> ObjectReplica::snapshot(HandOn handOn) const
{
    auto out = collect(0, handOn);
    if (ok(out)) {
        std::get<Changes>(out).whole = true;
    }
    return out;
}

// The objects that changed after a revision.
Result<Changes> ObjectReplica::collect(uint64_t after, HandOn handOn) const
{
    const std::size_t most = handOn == HandOn::Whole ? m_options.mostBytesWhole : m_options.mostBytes;
    Changes out{m_revision, m_digest, {}, {}, m_epoch, false};
    std::size_t bytes = 0;
    for (const auto &[name, held] : m_objects) {
        if (held.version <= after) {
            continue;
        }
        bytes += name.size() + held.value.size() + headBytes;
        if (held.value.empty() || bytes > most) {
            return Error{413, "more than a router hands on"};
        }
        out.objects.push_back({name, held.version, json::from_cbor(held.value)});
    }
    return out;
}

} // namespace yucca::replica
