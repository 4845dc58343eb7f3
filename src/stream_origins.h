// What routers know of the software that began resumable streams. A stream may go on only at the version that began it,
// and its caller may take it up at any router. Each router keeps the origins of its own streams and copies of others';
// who must be asked follows from a hash of the stream. What nobody knows is not guessed.
#pragma once

#include "http.h"
#include "name_digest.h"
#include "notifier.h"
#include "task.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace yucca::streams
{

/// The software that began a stream. The names are abbreviated, so that equal ones are equal wherever they come from.
struct Origin {
    std::string service;
    std::string version;
    auto operator<=>(const Origin &) const = default;
};

/// Returns the origin with the given names.
inline Origin makeOrigin(std::string_view service, std::string_view version)
{
    return {names::abbreviate(service, names::maxServiceBytes), names::abbreviate(version, names::maxVersionBytes)};
}
/// Returns the origin whose names were sent by another router or read from a record.
inline Origin receivedOrigin(std::string_view service, std::string_view version)
{
    return {names::received(service, names::maxServiceBytes), names::received(version, names::maxVersionBytes)};
}

/// The origin of one stream, as routers send it to each other.
struct OriginRecord {
    uint64_t stream = 0; ///< hash of the caller's workspace and of the attempt that brought the first event
    Origin origin;
    bool operator==(const OriginRecord &) const = default;
};

/// Routers that get a copy of each origin. With three, the loss of a failure domain or of half of the fleet leaves one of most origins.
inline constexpr std::size_t originCopies = 3;
/// Routers that are asked for an origin: more than hold copies, because the lists of routers may differ by a few.
inline constexpr std::size_t originQueries = 8;

/// Limits and time spans.
struct OriginOptions {
    Millis retention{60000}; ///< since the last event that began or resumed the stream: callers give up sooner
    std::size_t maxRecords = 16384; ///< about 200 B each; the oldest are dropped first
    Millis queryTimeout{200}; ///< in all, until an unknown stream is refused
    Millis queryRepeat{80}; ///< after which routers are asked once more, as datagrams may be lost
};

/// The origins that one router knows. Does no I/O of its own; safe to use from several threads.
class StreamOrigins
{
public:
    explicit StreamOrigins(OriginOptions options = {})
        : m_options(options)
    {
    }

    /// Records the origin of a stream whose first event this router has received, and has copies sent. The event is passed on without
    /// waiting for them: a stream whose copies are lost is refused later, and never continued at a guess.
    void announce(const OriginRecord &record, Clock::time_point now);
    /// Has copies sent once more of the streams of a service that this router has recorded within a time: their copies, sent while the
    /// service had one version, did not need to go to the store.
    void announceAgain(const std::string &service, Clock::duration within, Clock::time_point now);
    /// Records a copy from another router. Contradicting records make the stream unknown.
    void merge(const OriginRecord &record, Clock::time_point now);
    /// Records an origin that was read from the store. It is not collected again.
    void restore(const OriginRecord &record, Clock::time_point now);
    /// Returns the origin of a stream, if this router knows it.
    std::optional<Origin> find(uint64_t stream, Clock::time_point now) const;
    /// Returns the origin of a stream, or nothing if neither this router nor one of those that were asked knows it.
    Task<std::optional<Origin>> locate(uint64_t stream);
    /// Records which routers have been asked for a stream.
    void recordAsked(uint64_t stream, const std::set<http::Address> &peers);
    /// Records that a router does not know the stream for which it was asked.
    void recordUnknown(uint64_t stream, const http::Address &peer);
    std::size_t size() const;
    /// Selects whether records are collected from now on, for takeCollected().
    void collect(bool enabled);
    /// Returns the records that were announced or merged since the last call, at most maxRecords.
    std::vector<OriginRecord> takeCollected();

    /// Sends copies of a record to other routers; called from any thread. Empty if there are none.
    std::function<void(const OriginRecord &)> sendCopies;
    /// Asks other routers for a stream and calls recordAsked(); called from any thread. Empty if there are none.
    std::function<void(uint64_t)> sendQueries;

private:
    struct Entry {
        Origin origin;
        Clock::time_point at{};
        bool contradicted = false; ///< by a record with another origin
        bool own = false; ///< announced by this router
    };
    /// One request that waits for answers of other routers.
    struct Query {
        asio::any_io_executor executor;
        Notifier answered;
        std::set<http::Address> asked;
        std::set<http::Address> unknownTo;
        bool complete = false; ///< the origin is known, or unknown to all that were asked
    };
    using QueryPtr = std::shared_ptr<Query>;

    void insert(const OriginRecord &record, Clock::time_point now);
    void collectRecord(const OriginRecord &record);
    void prune(Clock::time_point now);
    void completeQueries(uint64_t stream);
    static void wake(const QueryPtr &query);

    OriginOptions m_options;
    mutable std::mutex m_mutex;
    std::unordered_map<uint64_t, Entry> m_entries; ///< by stream
    std::deque<std::pair<Clock::time_point, uint64_t>> m_order; ///< times and streams of all records, oldest first
    std::multimap<uint64_t, QueryPtr> m_queries; ///< by stream
    bool m_collecting = false;
    std::vector<OriginRecord> m_collected;
};

} // namespace yucca::streams
