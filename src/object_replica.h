// One kind of the store's objects as a router holds them: what it hands on to
// other routers, and a digest by which two routers see that they hold the same.
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

/// An object as one router hands it to another.
struct HandedObject {
    std::string name;
    uint64_t version = 0;
    nlohmann::json value;
};

/// What happened to a kind after a revision, up to another one.
struct Changes {
    uint64_t revision = 0; ///< up to which nothing is missing
    uint64_t digest = 0; ///< of all that the sender holds
    std::vector<HandedObject> objects;
    std::vector<std::string> deleted; ///< names
    store::Epoch epoch = 0; ///< of the revisions
    bool whole = false; ///< all that the sender holds, for one that holds another epoch
};

/// How far a router holds a kind.
struct Position {
    store::Epoch epoch = 0;
    uint64_t revision = 0;
    auto operator<=>(const Position &) const = default;
};

/// Changes as CBOR, and back; an Error (400) says what is wrong with the bytes.
std::vector<uint8_t> encode(const Changes &changes);
Result<Changes> decode(std::span<const uint8_t> bytes);

/// How much one router asks of another.
enum class HandOn {
    Small, ///< the store is there for the rest
    Whole, ///< the store turns the asker away
};

/// Bounds of what a router hands on.
struct ReplicaOptions {
    /// Of one answer. 64 KB are 26 ms of the smallest link met (20 Mbit/s), so
    /// that eight askers at once are served in 0.2 s. What is larger comes from
    /// the store, whose link is 50 times as wide.
    std::size_t mostBytes = 64 * 1024;
    /// Of an answer to a router that the store turns away: an object may have 1 MB.
    std::size_t mostBytesWhole = 1024 * 1024;
    /// Deletions remembered: who lacks an older one asks the store.
    std::size_t mostDeletions = 1024;
};

/// The objects of one kind with their versions. Within an epoch versions only
/// move forward: an older object never takes the place of a newer one. Used from
/// one thread.
class ObjectReplica
{
public:
    explicit ObjectReplica(ReplicaOptions options = {})
        : m_options(options)
    {
    }

    /// Replaces everything by a listing. What it lacks counts as deleted, so
    /// that others still get the changes since their revision from here. One of
    /// another epoch replaces also what is known of deletions.
    void listed(const store::Listing &listing);
    /// Takes one change of an answer that reaches up to a revision. False when
    /// the object held is as new already.
    bool changed(const store::Object &object, bool deleted, uint64_t revision);
    /// Nothing is missing up to a revision.
    void reached(uint64_t revision)
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
    /// Equal for two routers that hold the same objects in the same versions.
    uint64_t digest() const
    {
        return m_digest;
    }
    /// The version held of an object; 0 when there is none.
    uint64_t versionOf(const std::string &name) const;

    /// What changed after a revision. Error 410 when that is no longer known
    /// whole, 413 when it is more than one router hands to another.
    Result<Changes> changesSince(uint64_t revision, HandOn handOn = HandOn::Small) const;
    /// Everything; error 413 as above.
    Result<Changes> snapshot(HandOn handOn = HandOn::Small) const;

private:
    struct Held {
        uint64_t version = 0;
        std::vector<uint8_t> value; ///< CBOR; empty when too large to be handed on
    };
    struct Deletion {
        std::string name;
        uint64_t revision = 0; ///< at or after the deletion
    };
    Result<Changes> collect(uint64_t after, HandOn handOn) const;
    void hold(const store::Object &object);
    void drop(std::map<std::string, Held>::iterator held);
    void noteDeleted(std::map<std::string, Held>::iterator held, uint64_t revision);

    ReplicaOptions m_options;
    std::map<std::string, Held> m_objects;
    std::deque<Deletion> m_deletions; ///< the oldest first
    bool m_listed = false;
    uint64_t m_deletionsFrom = 0; ///< all deletions after this revision are known
    uint64_t m_revision = 0;
    store::Epoch m_epoch = 0;
    uint64_t m_digest = 0;
};

} // namespace yucca::replica
