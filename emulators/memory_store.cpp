#include "memory_store.h"

#include <algorithm>

namespace yucca::store
{

ObjectStore::ObjectStore(std::size_t history)
    : m_maxHistory(history)
{
}

Result<Object> ObjectStore::get(const std::string &kind, const std::string &name) const
{
    auto it = m_objects.find({kind, name});
    if (it == m_objects.end()) {
        return Error{NotFound, kind + "/" + name + " not found"};
    }
    return it->second;
}

Listing ObjectStore::list(const std::string &kind, const std::string &after, std::size_t limit) const
{
    Listing l;
    l.revision = m_revision;
    l.epoch = m_epoch;
    for (auto it = m_objects.upper_bound({kind, after}); it != m_objects.end() && it->first.first == kind; ++it) {
        if (limit > 0 && l.items.size() == limit) {
            l.more = true;
            break;
        }
        l.items.push_back(it->second);
    }
    return l;
}

Result<Object> ObjectStore::put(const std::string &kind, const std::string &name, const nlohmann::json &value, std::optional<uint64_t> ifVersion)
{
    auto it = m_objects.find({kind, name});
    uint64_t current = it == m_objects.end() ? 0 : it->second.version;
    if (ifVersion && *ifVersion != current) {
        return Error{Conflict, kind + "/" + name + " is at version " + std::to_string(current) + ", not " + std::to_string(*ifVersion)};
    }
    Object o{kind, name, ++m_revision, value};
    m_objects[{kind, name}] = o;
    record(false, o);
    return o;
}

Result<Object> ObjectStore::remove(const std::string &kind, const std::string &name, std::optional<uint64_t> ifVersion)
{
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
    return o;
}

// Appends a change to the history for watches.
void ObjectStore::record(bool deleted, const Object &o)
{
    m_history.push_back({deleted, o.version, o});
    while (m_history.size() > m_maxHistory) {
        m_history.pop_front();
    }
}

namespace
{
bool matchesKinds(const std::vector<std::string> &kinds, const std::string &kind)
{
    return kinds.empty() || std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}
} // namespace

Result<WatchBatch> ObjectStore::since(uint64_t from, const std::vector<std::string> &kinds) const
{
    WatchBatch b;
    b.revision = m_revision;
    b.epoch = m_epoch;
    if (from > m_revision) {
        return Error{Gone, "revision " + std::to_string(from) + " is not known"};
    }
    if (!m_history.empty() && from + 1 < m_history.front().revision) {
        return Error{Gone, "revision " + std::to_string(from) + " is no longer kept"};
    }
    for (std::size_t i = firstIndexAfter(from); i < m_history.size(); ++i) {
        if (matchesKinds(kinds, m_history[i].object.kind)) {
            b.events.push_back(m_history[i]);
        }
    }
    return b;
}

// Returns the index of the first kept change after a revision. Each revision is one change, so the index follows from
// the revision of the first one.
std::size_t ObjectStore::firstIndexAfter(uint64_t revision) const
{
    if (m_history.empty() || revision < m_history.front().revision) {
        return 0;
    }
    return std::min<std::size_t>(revision + 1 - m_history.front().revision, m_history.size());
}

bool ObjectStore::changedSince(uint64_t from, const std::vector<std::string> &kinds) const
{
    if (from > m_revision || (!m_history.empty() && from + 1 < m_history.front().revision)) {
        return true; // since() fails with Gone, which ends the wait
    }
    for (std::size_t i = firstIndexAfter(from); i < m_history.size(); ++i) {
        if (matchesKinds(kinds, m_history[i].object.kind)) {
            return true;
        }
    }
    return false;
}

void ObjectStore::compact()
{
    if (m_history.size() > 1) {
        m_history.erase(m_history.begin(), m_history.end() - 1);
    }
}

void ObjectStore::restore(Backup saved)
{
    m_objects = std::move(saved.objects);
    m_history = std::move(saved.history);
    m_revision = saved.revision;
    ++m_epoch;
}

uint64_t ObjectStore::revision() const
{
    return m_revision;
}

} // namespace yucca::store
