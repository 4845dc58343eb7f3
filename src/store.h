// The objects of the platform's store: versioned values by kind and name, listings, watches and error codes.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace yucca::store
{

/// How current an answer must be.
enum class Freshness {
    Current, ///< the store's present state
    MayLag, ///< the state of a replica: cheaper, but it may lag by seconds
};

/// Counts how often the store was restored from a backup. Revisions are comparable only within one epoch, because a restored
/// store assigns the revisions after the backup again. 0 if the store does not report epochs.
using Epoch = uint64_t;

/// One stored object. Its version is the store revision of its last write.
struct Object {
    std::string kind;
    std::string name;
    uint64_t version = 0;
    nlohmann::json value;
    Epoch epoch = 0; ///< epoch of the answer that contained the object; unset for objects of a listing or a watch
    std::string problem = {}; ///< why the value could not be decoded, which is null then; empty if it could
};

/// A change reported by a watch.
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

/// A list answer: the objects of a kind at a revision.
struct Listing {
    uint64_t revision = 0;
    std::vector<Object> items;
    bool more = false; ///< true if another page follows, after the name of the last item; of several pages: the rest cannot be had
    Epoch epoch = 0;
};

/// Error codes of the store, also used on the wire.
inline constexpr int NotFound = 404;
inline constexpr int RequestTimeout = 408; ///< the request did not arrive in time
inline constexpr int Conflict = 409;
inline constexpr int Gone = 410; ///< the revision to watch from is no longer kept; list again
inline constexpr int RateLimited = 429;
inline constexpr int Unavailable = 503;
inline constexpr int AnswerLost = 504; ///< the call was sent and may have taken effect

/// True for an error that the same call would get again: the store does not take the call as it is.
constexpr bool isRefusal(int code)
{
    return code >= 400 && code < 500 && code != RateLimited && code != RequestTimeout;
}

} // namespace yucca::store
