// The objects of the platform's store as the product sees them: versioned
// values by kind and name, listings, watches and the errors of calls.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace yucca::store
{

/// How current an answer must be.
enum class Freshness {
    Current, ///< what the store holds now
    MayLag, ///< what a replica of the store holds: cheaper, and at times seconds old
};

/// Counts the store's returns from an older copy of itself. Revisions are
/// comparable only within one epoch: after a return those since the copy are
/// given out again. 0 where the store does not tell.
using Epoch = uint64_t;

/// One stored object. Its version is the store revision of its last write.
struct Object {
    std::string kind;
    std::string name;
    uint64_t version = 0;
    nlohmann::json value;
    Epoch epoch = 0; ///< of the answer that it came in; not told of a listing's or a watch's objects
};

/// A change seen by a watch.
struct WatchEvent {
    bool deleted = false;
    uint64_t revision = 0;
    Object object;
};

/// A watch answer: the changes after a revision, and the revision reached.
struct WatchBatch {
    uint64_t revision = 0;
    std::vector<WatchEvent> events;
    Epoch epoch = 0;
};

/// A list answer: the objects of a kind as of a revision.
struct Listing {
    uint64_t revision = 0;
    std::vector<Object> items;
    bool more = false; ///< a page: go on after the last item's name
    Epoch epoch = 0;
};

/// Error codes the store gives (also used on the wire).
inline constexpr int NotFound = 404;
inline constexpr int Conflict = 409;
inline constexpr int Gone = 410; ///< a watch from a revision no longer kept: list again
inline constexpr int Unavailable = 503;
inline constexpr int AnswerLost = 504; ///< the call was sent; it may have taken effect

} // namespace yucca::store
