// What the routers of a failure domain know together of one kind of objects:
// the objects as this router holds them, how fresh they are, and which other
// router told of a newer state.
#pragma once

#include "freshness.h"
#include "http.h"
#include "notifier.h"
#include "object_replica.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace yucca::replica
{

/// What a router tells others of a kind: what it holds, and when the store
/// last confirmed that nothing is missing.
struct Confirmation {
    std::string kind;
    uint64_t revision = 0;
    uint64_t digest = 0;
    Clock::time_point at{};
    store::Epoch epoch = 0; ///< of the revision
    bool operator==(const Confirmation &) const = default;
};

/// How getting changes from another router ended.
enum class Fetched {
    Whole, ///< both hold the same now
    NotHad, ///< it did not answer, or hands on no more
    Differs, ///< one of the two holds something wrong
};

/// Where changes are had from other routers.
class ChangeSource
{
public:
    virtual ~ChangeSource() = default;
    /// The changes of a kind after a position, as a router holds them; all of it
    /// where the position is of another epoch.
    virtual Task<Result<Changes>> fetch(http::Address from, std::string kind, Position since, HandOn handOn) = 0;
};

/// Takes what was had from another router.
struct FetchSink {
    std::function<void(const store::Object &object, bool deleted)> changed;
    std::function<void(const store::Listing &listing)> replaced; ///< everything, of a later epoch
};

/// Shared by the kind's follower, the exchange with other routers and the
/// server that hands changes on; used from the control thread.
class SharedReplica
{
public:
    /// A router's place among those it hears, the first by name 0; nothing when it hears nobody.
    using Rank = std::function<std::optional<std::size_t>(Clock::time_point now)>;

    SharedReplica(std::string kind, Rank rank, ChangeSource &source, FreshnessOptions options = {});

    const std::string &kind() const
    {
        return m_kind;
    }

    /// Called by the follower with the store's answers. A listing that may lag
    /// confirms nothing: neighbours, or a watch, tell whether it is current.
    void listed(const store::Listing &listing, store::Freshness freshness, Clock::time_point now);
    void changed(const store::Object &object, bool deleted, uint64_t revision);
    /// The store confirmed that nothing is missing up to a revision; with news, others are told at once.
    void confirmed(uint64_t revision, Clock::time_point at, bool news);

    /// True while other routers are heard: what they know counts.
    bool shared(Clock::time_point now) const
    {
        return m_rank(now).has_value();
    }
    /// True once the store has confirmed what is held, to whomever.
    bool confirmed() const
    {
        return m_freshness.confirmedAt() != Clock::time_point{};
    }
    /// The place among those heard; 0 when nobody is.
    std::size_t rank(Clock::time_point now) const
    {
        return m_rank(now).value_or(0);
    }
    /// When the follower is to ask the store.
    Clock::time_point askAt(Clock::time_point now);
    /// The wait of its watches while other routers are heard.
    Millis watchWait() const
    {
        return m_freshness.options().watchWait;
    }
    /// The revision to watch from: that of the last change, or a newer one that is old enough to be trusted.
    uint64_t watchFrom(Clock::time_point now) const;
    Clock::time_point confirmedAt() const
    {
        return m_freshness.confirmedAt();
    }

    /// Takes another router's word. One that holds the same confirms what is
    /// held here; one that holds something newer is asked for it.
    void heard(const Confirmation &word, const http::Address &from, Clock::time_point now);
    /// What to tell others; nothing before the store has confirmed anything.
    std::optional<Confirmation> told() const;
    /// True when another router told of a later epoch of the store.
    bool behindEpoch() const
    {
        return m_newer && m_newer->position.epoch > m_objects.epoch();
    }
    /// True when another router told of something newer.
    bool lacks() const
    {
        return m_newer.has_value();
    }
    /// Gets what is newer from the router that told of it. Unless it is had
    /// whole, the store has to be asked.
    Task<Fetched> fetch(HandOn handOn, FetchSink sink);
    /// True once the state is held that could not be had from its teller.
    bool holdsTold() const
    {
        return m_objects.digest() == m_notHadDigest;
    }
    /// What another router lacks that holds a position.
    Result<Changes> changesSince(Position since, HandOn handOn) const
    {
        return since.epoch == m_objects.epoch() ? m_objects.changesSince(since.revision, handOn) : m_objects.snapshot(handOn);
    }

    /// Wakes the follower when something newer is told of, and when a
    /// confirmation ends a silence.
    Notifier &wake()
    {
        return m_wake;
    }
    /// Called with each confirmation, and after news: others are to be told soon.
    std::function<void(Clock::time_point at)> onConfirmed;
    std::function<void()> onNews;

private:
    struct Newer {
        http::Address from;
        Position position;
        uint64_t digest = 0;
        Clock::time_point at{};
    };
    struct Trusted {
        Clock::time_point at;
        uint64_t revision = 0;
    };
    void noteNotHad(const Newer &asked);
    void noteConfirmed(uint64_t revision, Clock::time_point at, Clock::time_point now);
    Position position() const
    {
        return {m_objects.epoch(), m_objects.revision()};
    }
    bool take(const Changes &changes, const FetchSink &sink);
    bool replace(const Changes &changes, const FetchSink &sink);

    std::string m_kind;
    Rank m_rank;
    ChangeSource &m_source;
    Freshness m_freshness;
    ObjectReplica m_objects;
    std::optional<Newer> m_newer;
    uint64_t m_notHadDigest = 0; ///< of the state that could not be had from its teller
    Clock::time_point m_notHadAt{};
    bool m_listed = false;
    bool m_wasShared = false;
    uint64_t m_lastChange = 0; ///< a watch from here tells nothing again
    std::deque<Trusted> m_trail; ///< revisions by when they were confirmed, the oldest first
    Notifier m_wake;
};

} // namespace yucca::replica
