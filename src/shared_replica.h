// The state of one kind of objects that the routers of a failure domain share: the objects held by this router, the time of the
// store's last confirmation, and the peer that announced a newer state.
#pragma once

#include "http.h"
#include "notifier.h"
#include "object_replica.h"
#include "query_schedule.h"

#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace yucca::replica
{

/// What a router announces to its peers about one kind: the state it holds, and when the store last confirmed that no change is missing.
struct Confirmation {
    std::string kind;
    uint64_t revision = 0;
    uint64_t digest = 0;
    Clock::time_point at{};
    store::Epoch epoch = 0; ///< of the revision
    bool operator==(const Confirmation &) const = default;
};

/// Result of fetching changes from a peer.
enum class FetchOutcome {
    Complete, ///< both routers hold the same objects now
    Busy, ///< the peer is sending to others and may be asked again soon
    Unavailable, ///< the peer did not answer, or cannot send the changes
    Mismatch, ///< one of the two routers holds wrong objects
};

/// Error code of a peer that is sending to as many routers as it may.
inline constexpr int PeerBusy = 429;

/// Fetches changes from other routers.
class ChangeSource
{
public:
    virtual ~ChangeSource() = default;
    /// Returns the changes of a kind after a position, as the router at the address from holds them; all objects if the position is
    /// of another epoch. Fails with the peer's status code, or 503 if the peer cannot be reached.
    virtual Task<Result<Changes>> fetch(http::Address from, std::string kind, Position since, TransferLimit limit) = 0;
};

/// Receives the changes fetched from another router.
struct FetchSink {
    std::function<void(const store::Object &object, bool deleted)> changed;
    std::function<void(const store::Listing &listing)> replaced; ///< receives all objects of a later epoch
};

/// Used by the follower of the kind, the exchange with peers and the change server, all on the control thread.
class SharedReplica
{
public:
    /// Returns the rank by name of this router among the routers it hears, 0 for the first; nothing if it hears none.
    using RankProvider = std::function<std::optional<std::size_t>(Clock::time_point now)>;

    SharedReplica(std::string kind, RankProvider rank, ChangeSource &source, QueryScheduleOptions options = {});

    const std::string &kind() const
    {
        return m_kind;
    }

    /// Applies a listing that the follower received. A listing from a replica confirms nothing: peers or a watch show whether it is current.
    void applyListing(const store::Listing &listing, store::Freshness freshness, Clock::time_point now);
    /// Applies one change from an answer that the follower received and that covers changes up to revision.
    void applyChange(const store::Object &object, bool deleted, uint64_t revision);
    /// Records that the store confirmed at a time that no change is missing up to a revision. If there were changes, peers are informed
    /// at once.
    void recordConfirmation(uint64_t revision, Clock::time_point at, bool hasChanges);

    /// Returns true while other routers are heard, so that their confirmations count.
    bool hasActivePeers(Clock::time_point now) const
    {
        return m_rank(now).has_value();
    }
    /// Returns true once the store has confirmed the held state, to this router or to a peer.
    bool isConfirmed() const
    {
        return m_querySchedule.confirmedAt() != Clock::time_point{};
    }
    /// Returns the rank among the routers heard; 0 if none is heard.
    std::size_t rank(Clock::time_point now) const
    {
        return m_rank(now).value_or(0);
    }
    /// Returns when the follower must query the store.
    Clock::time_point queryDueAt(Clock::time_point now);
    /// Returns the timeout of a watch that begins now.
    Millis watchTimeout(Clock::time_point now) const
    {
        const auto &options = m_querySchedule.options();
        return hasActivePeers(now) ? options.watchTimeout : options.standaloneWatchTimeout;
    }
    /// Returns the revision up to which no change is missing, as far as this router knows.
    uint64_t revision() const
    {
        return m_objects.revision();
    }
    /// Returns the revision to watch from: that of the last change, or a later confirmed one that has reached watchRevisionMinAge.
    uint64_t watchFrom(Clock::time_point now) const;
    Clock::time_point confirmedAt() const
    {
        return m_querySchedule.confirmedAt();
    }

    /// Processes a peer's confirmation. A peer that holds the same objects confirms the held state; a peer with a newer state
    /// becomes the source of the next fetch.
    void receiveConfirmation(const Confirmation &confirmation, const http::Address &from, Clock::time_point now);
    /// Returns the confirmation to announce to peers; nothing before the store has confirmed the held state.
    std::optional<Confirmation> currentConfirmation() const;
    /// Returns true if a peer announced a later epoch of the store.
    bool behindEpoch() const;
    /// Returns true if a peer that may be asked now announced a newer state.
    bool behindPeer(Clock::time_point now = Clock::now()) const
    {
        return nextFetchAt() <= now;
    }
    /// Returns when a peer that announced a newer state may be asked; the maximum if none announced one.
    Clock::time_point nextFetchAt() const;
    /// Returns the host address of the peer that was last asked for changes.
    const std::string &lastPeer() const
    {
        return m_requested.from.host;
    }
    /// Fetches the newest announced state from one of the peers that hold it. On any result but Complete, behindPeer() tells whether
    /// another peer may be asked at once.
    Task<FetchOutcome> fetch(FetchSink sink);
    /// Returns true if the state, as read from a replica of the store, is one that a peer announced; it is confirmed then.
    bool adoptAnnouncedState(Clock::time_point now);
    /// Returns what changed after a peer's position, or all objects if the epochs differ. Fails with 410 or 413 as ObjectReplica does.
    Result<Changes> changesSince(Position since, TransferLimit limit) const
    {
        return since.epoch == m_objects.epoch() ? m_objects.changesSince(since.revision, limit) : m_objects.snapshot(limit);
    }

    /// Wakes the follower when a peer announces a newer state, and when a recent confirmation follows a time without one.
    Notifier &wake()
    {
        return m_wake;
    }
    /// Returns the number of listed routers, nothing while it is unknown. Empty if there are no other routers.
    std::function<std::optional<std::size_t>()> routerCount;
    /// onConfirmed is called with each confirmation, onChange after changes that peers must be informed of soon.
    std::function<void(Clock::time_point at)> onConfirmed;
    std::function<void()> onChange;

private:
    struct PeerState {
        http::Address from;
        Position position;
        uint64_t digest = 0;
        Clock::time_point at{};
        Clock::time_point mayAskAt{};
    };
    struct ConfirmedRevision {
        Clock::time_point at;
        uint64_t revision = 0;
    };
    Task<Result<Changes>> request() const;
    FetchOutcome recordFetchError(const Error &error);
    void recordFetchFailure();
    void excludePeer(Clock::time_point until);
    void addPeerState(PeerState state, Clock::time_point now);
    void dropReachedStates();
    Millis busyRetryDelay();
    void applyConfirmation(uint64_t revision, Clock::time_point at, Clock::time_point now);
    Position position() const
    {
        return {m_objects.epoch(), m_objects.revision()};
    }
    bool applyChanges(const Changes &changes, const FetchSink &sink);
    bool replaceAll(const Changes &changes, const FetchSink &sink);

    std::string m_kind;
    RankProvider m_rank;
    ChangeSource &m_source;
    QuerySchedule m_querySchedule;
    ObjectReplica m_objects;
    std::vector<PeerState> m_newerPeerStates; ///< at most one for each peer, in the order of their announcements
    PeerState m_requested; ///< the state that was last requested
    std::minstd_rand m_random{std::random_device{}()};
    uint64_t m_unfetchedDigest = 0; ///< digest of the state that could not be fetched from a peer
    Clock::time_point m_unfetchedAt{};
    bool m_listed = false;
    Clock::time_point m_listedAt{};
    bool m_hadActivePeers = false;
    uint64_t m_lastChange = 0; ///< revision of the last change; a watch from here repeats no change
    std::deque<ConfirmedRevision> m_confirmedRevisions; ///< sampled by confirmation time, the oldest first
    Notifier m_wake;
};

} // namespace yucca::replica
