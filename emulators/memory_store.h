// The object store: versioned objects, conditional writes and watches,
// kept in memory. The core of the platform stand-in (yucca-platform).
#pragma once

#include "store.h"
#include "yucca/types.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace yucca::store
{

/// An in-memory, versioned object store with a bounded history of changes
/// for watches. Used from one thread.
class ObjectStore
{
public:
    explicit ObjectStore(std::size_t history = 10000);

    Result<Object> get(const std::string &kind, const std::string &name) const;
    /// The objects of a kind by name, those after a name, at most limit (0: all).
    Listing list(const std::string &kind, const std::string &after = {}, std::size_t limit = 0) const;
    /// Writes an object. ifVersion: absent = unconditional, 0 = create only,
    /// N = only if the current version is N. A mismatch is a Conflict.
    Result<Object> put(const std::string &kind, const std::string &name, const nlohmann::json &value, std::optional<uint64_t> ifVersion);
    Result<Object> remove(const std::string &kind, const std::string &name, std::optional<uint64_t> ifVersion);
    /// The changes after revision from, of the given kinds (all when
    /// empty); Gone when they are no longer kept. The batch's revision is
    /// the store's, so a watcher moves past changes it did not ask for.
    Result<WatchBatch> since(uint64_t from, const std::vector<std::string> &kinds = {}) const;
    /// True when since() has something to say to a watcher at revision from.
    bool changedSince(uint64_t from, const std::vector<std::string> &kinds) const;
    uint64_t revision() const;
    /// Forgets the history kept for watches.
    void compact();

    /// What the store holds at one moment.
    struct Copy {
        std::map<std::pair<std::string, std::string>, Object> objects;
        std::deque<WatchEvent> history;
        uint64_t revision = 0;
    };
    Copy copy() const
    {
        return {m_objects, m_history, m_revision};
    }
    /// Returns from a copy, in the next epoch: all that was written since is
    /// lost, and its revisions are given out again.
    void restore(Copy copy);
    Epoch epoch() const
    {
        return m_epoch;
    }

private:
    void record(bool deleted, const Object &o);
    std::size_t firstAfter(uint64_t revision) const;

    std::map<std::pair<std::string, std::string>, Object> m_objects;
    std::deque<WatchEvent> m_history;
    std::size_t m_historyLimit;
    uint64_t m_revision = 0;
    Epoch m_epoch = 0;
};

} // namespace yucca::store
