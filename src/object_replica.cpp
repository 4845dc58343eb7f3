#include "object_replica.h"

#include "decode.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace yucca::replica
{

using json = nlohmann::json;

namespace
{

// Returns one object's part of the digest. The digest is the exclusive or of all parts, so it does not depend on their order.
uint64_t objectDigest(const std::string &name, uint64_t version)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), version);
}

constexpr std::size_t objectOverheadBytes = 16; ///< estimated size of an object in an answer, without its name and value

// Reads one object: [name, version, value as CBOR]. A value that exceeds the bounds of decode.h makes only this object unreadable: a
// router of another release may have other bounds.
bool readObject(const json &item, ReplicatedObject &out)
{
    const bool wellFormed = item.is_array() && item.size() == 3 && item[0].is_string() && item[1].is_number_unsigned() && item[2].is_binary();
    if (!wellFormed) {
        return false;
    }
    out.name = item[0].get<std::string>();
    out.version = item[1].get<uint64_t>();
    auto value = decode::cbor(static_cast<const std::vector<uint8_t> &>(item[2].get_binary()));
    if (const auto *error = std::get_if<Error>(&value)) {
        out.problem = error->message;
        return error->code == decode::OutOfBounds;
    }
    out.value = std::move(std::get<json>(value));
    return true;
}

Result<Changes> readChanges(const json &encoded)
{
    const bool wellFormed = encoded.is_array() && encoded.size() == 6 && encoded[0].is_number_unsigned() && encoded[1].is_number_unsigned()
        && encoded[2].is_array() && encoded[3].is_array() && encoded[4].is_number_unsigned() && encoded[5].is_boolean();
    if (!wellFormed) {
        return Error{400, "the body is not an encoded list of changes"};
    }
    Changes out{encoded[0].get<uint64_t>(), encoded[1].get<uint64_t>(), {}, {}, encoded[4].get<store::Epoch>(), encoded[5].get<bool>()};
    for (const auto &item : encoded[2]) {
        out.objects.emplace_back();
        if (!readObject(item, out.objects.back())) {
            return Error{400, "object " + std::to_string(out.objects.size()) + " is malformed"};
        }
    }
    for (const auto &name : encoded[3]) {
        if (!name.is_string()) {
            return Error{400, "the name of a deleted object is not a string"};
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
    out.push_back(changes.isSnapshot);
    return json::to_cbor(out);
}

Result<Changes> decode(std::span<const uint8_t> bytes)
{
    const auto encoded = decode::cbor(bytes);
    if (!ok(encoded)) {
        return std::get<Error>(encoded);
    }
    return readChanges(std::get<json>(encoded));
}

void ObjectReplica::insertObject(const store::Object &object)
{
    const auto held = m_objects.find(object.name);
    if (held != m_objects.end()) {
        eraseObject(held);
    }
    auto value = json::to_cbor(object.value);
    if (value.size() > m_options.maxBytesLarge) {
        value = {};
    }
    m_digest ^= objectDigest(object.name, object.version);
    m_objects[object.name] = {object.version, std::move(value)};
}

void ObjectReplica::eraseObject(std::map<std::string, StoredObject>::iterator held)
{
    m_digest ^= objectDigest(held->first, held->second.version);
    m_objects.erase(held);
}

void ObjectReplica::applyListing(const store::Listing &listing)
{
    if (listing.epoch != m_epoch) {
        *this = ObjectReplica(m_options);
        m_epoch = listing.epoch;
    }
    if (!m_listed) {
        m_deletionsKnownAfter = listing.revision;
        m_listed = true;
    }
    std::set<std::string> names;
    for (const auto &object : listing.items) {
        names.insert(object.name);
        insertObject(object);
    }
    std::vector<std::string> missing;
    for (const auto &[name, held] : m_objects) {
        if (!names.count(name)) {
            missing.push_back(name);
        }
    }
    for (const auto &name : missing) {
        recordDeletion(m_objects.find(name), listing.revision);
    }
    m_revision = listing.revision;
}

void ObjectReplica::recordDeletion(std::map<std::string, StoredObject>::iterator held, uint64_t revision)
{
    m_deletions.push_back({held->first, revision});
    eraseObject(held);
    if (m_deletions.size() > m_options.maxDeletions) {
        m_deletionsKnownAfter = std::max(m_deletionsKnownAfter, m_deletions.front().revision);
        m_deletions.pop_front();
    }
}

bool ObjectReplica::applyChange(const store::Object &object, bool deleted, uint64_t revision)
{
    const auto held = m_objects.find(object.name);
    if (deleted) {
        if (held == m_objects.end()) {
            return false;
        }
        recordDeletion(held, revision);
        return true;
    }
    // Version 0 marks an unreadable entry; it replaces the readable one.
    if (held != m_objects.end() && object.version != 0 && held->second.version >= object.version) {
        return false;
    }
    insertObject(object);
    return true;
}

uint64_t ObjectReplica::versionOf(const std::string &name) const
{
    const auto held = m_objects.find(name);
    return held == m_objects.end() ? 0 : held->second.version;
}

Result<Changes> ObjectReplica::changesSince(uint64_t revision, TransferLimit limit) const
{
    if (revision < m_deletionsKnownAfter) {
        return Error{store::Gone, "deletions of before are not known"};
    }
    auto out = collectChanges(revision, limit);
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

Result<Changes> ObjectReplica::snapshot(TransferLimit limit) const
{
    auto out = collectChanges(0, limit);
    if (ok(out)) {
        std::get<Changes>(out).isSnapshot = true;
    }
    return out;
}

// Returns the objects that changed after a revision, without deletions.
Result<Changes> ObjectReplica::collectChanges(uint64_t after, TransferLimit limit) const
{
    const std::size_t maxBytes = limit == TransferLimit::Large ? m_options.maxBytesLarge : m_options.maxBytes;
    Changes out{m_revision, m_digest, {}, {}, m_epoch, false};
    std::size_t bytes = 0;
    for (const auto &[name, held] : m_objects) {
        if (held.version <= after) {
            continue;
        }
        bytes += name.size() + held.value.size() + objectOverheadBytes;
        if (held.value.empty() || bytes > maxBytes) {
            return Error{ChangesTooLarge, "more than a router hands on"};
        }
        auto value = decode::cbor(held.value);
        if (!ok(value)) {
            return std::get<Error>(value);
        }
        out.objects.push_back({name, held.version, std::move(std::get<json>(value))});
    }
    return out;
}

} // namespace yucca::replica
