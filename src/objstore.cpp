#include "objstore.h"

#include <algorithm>

namespace yucca::store
{

nlohmann::json toJson(const Object &o)
{
    return {{"kind", o.kind}, {"name", o.name}, {"version", o.version}, {"value", o.value}};
}

Object objectFromJson(const nlohmann::json &j)
{
    Object o;
    o.kind = j.value("kind", "");
    o.name = j.value("name", "");
    o.version = j.value("version", uint64_t{0});
    o.value = j.contains("value") ? j["value"] : nlohmann::json();
    return o;
}

ObjectStore::ObjectStore(std::size_t history)
    : m_historyLimit(history)
{
}

Result<Object> ObjectStore::get(const std::string &kind, const std::string &name) const
{
    std::lock_guard lock(m_mutex);
    auto it = m_objects.find({kind, name});
    if (it == m_objects.end()) {
        return Error{NotFound, kind + "/" + name + " not found"};
    }
    return it->second;
}

Listing ObjectStore::list(const std::string &kind) const
{
    std::lock_guard lock(m_mutex);
    Listing l;
    l.revision = m_revision;
    for (auto it = m_objects.lower_bound({kind, ""}); it != m_objects.end() && it->first.first == kind; ++it) {
        l.items.push_back(it->second);
    }
    return l;
}

Result<Object> ObjectStore::put(const std::string &kind, const std::string &name, const nlohmann::json &value, std::optional<uint64_t> ifVersion)
{
    std::unique_lock lock(m_mutex);
    auto it = m_objects.find({kind, name});
    uint64_t current = it == m_objects.end() ? 0 : it->second.version;
    if (ifVersion && *ifVersion != current) {
        return Error{Conflict, kind + "/" + name + " is at version " + std::to_string(current) + ", not " + std::to_string(*ifVersion)};
    }
    Object o{kind, name, ++m_revision, value};
    m_objects[{kind, name}] = o;
    record(false, o);
    lock.unlock();
    m_changed.notify_all();
    return o;
}

Result<Object> ObjectStore::remove(const std::string &kind, const std::string &name, std::optional<uint64_t> ifVersion)
{
    std::unique_lock lock(m_mutex);
    auto it = m_objects.find({kind, name});
    if (it == m_objects.end()) {
        return Error{NotFound, kind + "/" + name + " not found"};
    }
    if (ifVersion && *ifVersion != it->second.version) {
        return Error{Conflict, kind + "/" + name + " is at version " + std::to_string(it->second.version)};
    }
    Object o = it->second;
    m_objects.erase(it);
    o.version = ++m_revision;
    record(true, o);
    lock.unlock();
    m_changed.notify_all();
    return o;
}

// Appends a change to the bounded history that watches read.
void ObjectStore::record(bool deleted, const Object &o)
{
    m_history.push_back({deleted, o.version, o});
    while (m_history.size() > m_historyLimit) {
        m_history.pop_front();
    }
}

namespace
{
bool wanted(const std::vector<std::string> &kinds, const std::string &kind)
{
    return kinds.empty() || std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}
} // namespace

Result<WatchBatch> ObjectStore::since(uint64_t from, const std::vector<std::string> &kinds) const
{
    std::lock_guard lock(m_mutex);
    WatchBatch b;
    b.revision = m_revision;
    if (!m_history.empty() && from + 1 < m_history.front().revision) {
        return Error{Gone, "revision " + std::to_string(from) + " is no longer kept"};
    }
    for (const auto &e : m_history) {
        if (e.revision > from && wanted(kinds, e.object.kind)) {
            b.events.push_back(e);
        }
    }
    return b;
}

// True when a kept change of the given kinds is newer than from. Caller holds the lock.
bool ObjectStore::changedSince(uint64_t from, const std::vector<std::string> &kinds) const
{
    if (!m_history.empty() && from + 1 < m_history.front().revision) {
        return true; // the watcher must hear that it is Gone
    }
    for (auto it = m_history.rbegin(); it != m_history.rend() && it->revision > from; ++it) {
        if (wanted(kinds, it->object.kind)) {
            return true;
        }
    }
    return false;
}

void ObjectStore::waitPast(uint64_t from, std::chrono::milliseconds timeout, const std::vector<std::string> &kinds) const
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, timeout, [&] {
        return changedSince(from, kinds);
    });
}

uint64_t ObjectStore::revision() const
{
    std::lock_guard lock(m_mutex);
    return m_revision;
}

} // namespace yucca::store
