// An in-memory object store with versioned objects, conditional writes and watches: the core of the emulated platform
// (yucca-platform).
#pragma once

#include "store.h"
#include "yucca/types.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace yucca::store
{

/// An in-memory store of versioned objects, with a bounded history of changes for watches. Used from one thread.
class ObjectStore
{
public:
    /// Keeps the given number of changes for watches.
    explicit ObjectStore(std::size_t history = 10000);

    /// Returns an object. Fails with NotFound.
    Result<Object> get(const std::string &kind, const std::string &name) const;
    /// Returns the objects of a kind, sorted by name, starting after the given name, at most limit (0: all).
    Listing list(const std::string &kind, const std::string &after = {}, std::size_t limit = 0) const;
    /// Writes an object. ifVersion: absent = unconditional, 0 = create only, N = only at version N. Returns the object
    /// written. Fails with Conflict if the version differs.
    Result<Object> put(const std::string &kind, const std::string &name, const nlohmann::json &value, std::optional<uint64_t> ifVersion);
    /// Deletes an object, with ifVersion as for put(). Returns the object at the version of its deletion. Fails with
    /// NotFound or Conflict.
    Result<Object> remove(const std::string &kind, const std::string &name, std::optional<uint64_t> ifVersion);
    /// Returns the changes after the revision from, of the given kinds (all if empty). The revision of the batch is
    /// that of the store, so that a watch also advances past changes of other kinds. Fails with Gone if from is not a
    /// known revision or the changes after it are no longer kept.
    Result<WatchBatch> since(uint64_t from, const std::vector<std::string> &kinds = {}) const;
    /// Returns true if since() would return changes or fail.
    bool changedSince(uint64_t from, const std::vector<std::string> &kinds) const;
    uint64_t revision() const;
    /// Drops the history kept for watches, except the last change.
    void compact();

    /// A backup of the store.
    struct Backup {
        std::map<std::pair<std::string, std::string>, Object> objects;
        std::deque<WatchEvent> history;
        uint64_t revision = 0;
    };
    Backup backup() const
    {
        return {m_objects, m_history, m_revision};
    }
    /// Restores the store from a backup and starts the next epoch. All later writes are lost, and their revisions are
    /// assigned again.
    void restore(Backup saved);
    Epoch epoch() const
    {
        return m_epoch;
    }

private:
    void record(bool deleted, const Object &o);
    std::size_t firstIndexAfter(uint64_t revision) const;

    std::map<std::pair<std::string, std::string>, Object> m_objects;
    std::deque<WatchEvent> m_history;
    std::size_t m_maxHistory;
    uint64_t m_revision = 0;
    Epoch m_epoch = 0;
};

} // namespace yucca::store
