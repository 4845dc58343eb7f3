// A router's copy of one kind of the store's objects: the source of changes for other routers, and a digest by which two routers
// detect that they hold the same objects.
#pragma once

#include "store.h"
#include "yucca/types.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace yucca::replica
{

/// An object as transferred between routers.
struct ReplicatedObject {
    std::string name;
    uint64_t version = 0;
    nlohmann::json value;
    std::string problem = {}; ///< as in store::Object
};

/// The changes of one kind between two revisions.
struct Changes {
    uint64_t revision = 0; ///< no change is missing up to this revision
    uint64_t digest = 0; ///< of all objects that the sender holds
    std::vector<ReplicatedObject> objects;
    std::vector<std::string> deleted; ///< names of deleted objects
    store::Epoch epoch = 0; ///< of the revisions
    bool isSnapshot = false; ///< true if objects holds all objects of the sender, for a receiver of another epoch
};

/// The position up to which a router holds a kind; ordered by epoch, then revision.
struct Position {
    store::Epoch epoch = 0;
    uint64_t revision = 0;
    auto operator<=>(const Position &) const = default;
};

/// Encodes changes as CBOR. decode() fails with an Error (400) that describes what is malformed.
std::vector<uint8_t> encode(const Changes &changes);
Result<Changes> decode(std::span<const uint8_t> bytes);

/// Error code of changes that exceed the size limit.
inline constexpr int ChangesTooLarge = 413;

/// Which size limit applies to a transfer between routers.
enum class TransferLimit {
    Regular,
    Large, ///< for changes that exceed the regular limit; a router sends few such answers concurrently
};

/// Size limits of an ObjectReplica.
struct ReplicaOptions {
    /// Size of a regular answer. 64 KB take 26 ms on the slowest supported link (20 Mbit/s), so that eight concurrent answers take
    /// 0.2 s.
    std::size_t maxBytes = 64 * 1024;
    /// Size of a large answer: one object may have 1 MB.
    std::size_t maxBytesLarge = 1024 * 1024;
    /// Deletions remembered; a router that lacks an older one queries the store.
    std::size_t maxDeletions = 1024;
};

/// The objects of one kind with their versions. Within an epoch an older version never replaces a newer one. Used from one thread.
class ObjectReplica
{
public:
    explicit ObjectReplica(ReplicaOptions options = {})
        : m_options(options)
    {
    }

    /// Replaces all objects by a listing. Objects missing from it are recorded as deleted, so that peers can still fetch the changes
    /// since their revision. A listing of another epoch also clears the recorded deletions.
    void applyListing(const store::Listing &listing);
    /// Applies one change from an answer that covers changes up to revision. Returns false if the held object is at least as new, or
    /// if the object to delete is not held.
    bool applyChange(const store::Object &object, bool deleted, uint64_t revision);
    /// Records that no change is missing up to a revision.
    void advanceTo(uint64_t revision)
    {
        m_revision = std::max(m_revision, revision);
    }

    uint64_t revision() const
    {
        return m_revision;
    }
    store::Epoch epoch() const
    {
        return m_epoch;
    }
    /// Returns a digest that is equal for two routers with the same objects in the same versions.
    uint64_t digest() const
    {
        return m_digest;
    }
    /// Returns the held version of an object; 0 if it is not held.
    uint64_t versionOf(const std::string &name) const;

    /// Returns the changes after a revision. Fails with 410 if deletions since then are no longer known, and with 413 if the changes
    /// exceed the size limit.
    Result<Changes> changesSince(uint64_t revision, TransferLimit limit = TransferLimit::Regular) const;
    /// Returns all objects; fails with 413 if they exceed the size limit.
    Result<Changes> snapshot(TransferLimit limit = TransferLimit::Regular) const;

private:
    struct StoredObject {
        uint64_t version = 0;
        std::vector<uint8_t> value; ///< CBOR; empty if it exceeds the size limit of any transfer
    };
    struct Deletion {
        std::string name;
        uint64_t revision = 0; ///< at or after the deletion
    };
    Result<Changes> collectChanges(uint64_t after, TransferLimit limit) const;
    void insertObject(const store::Object &object);
    void eraseObject(std::map<std::string, StoredObject>::iterator held);
    void recordDeletion(std::map<std::string, StoredObject>::iterator held, uint64_t revision);

    ReplicaOptions m_options;
    std::map<std::string, StoredObject> m_objects;
    std::deque<Deletion> m_deletions; ///< the oldest first
    bool m_listed = false;
    uint64_t m_deletionsKnownAfter = 0; ///< all deletions after this revision are known
    uint64_t m_revision = 0;
    store::Epoch m_epoch = 0;
    uint64_t m_digest = 0;
};

} // namespace yucca::replica
