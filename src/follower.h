// Keeps up with one kind of objects in the store: a listing, then one watch
// after the other, through outages, lost history and silent connections. Where
// other routers are heard, they ask for each other: a watch is made only when
// no confirmation is fresh, and changes come from whoever has them.
#pragma once

#include "log.h"
#include "notifier.h"
#include "object_api.h"
#include "read_policy.h"
#include "shared_replica.h"
#include "task.h"

#include <algorithm>
#include <concepts>
#include <optional>
#include <random>
#include <string>
#include <utility>

namespace yucca
{

/// What takes a follower's news, all on the control thread.
template <typename S>
concept FollowerSink = requires(S s, const platform::Listing &listing, platform::Freshness freshness, const platform::Object &object, bool deleted,
                                Clock::duration away)
{
    s.listed(listing, freshness);
    s.listedSoFar(listing); // the first pages of a start's listing
    s.changed(object, deleted);
    s.batchEnded();
    s.regained(away); // before the first news after an outage
    s.restored(); // before the first listing after the store returned from an older copy
};

/// How a follower waits.
struct FollowerOptions {
    /// One watch's wait. Short: a store that drops its history may leave a
    /// watch without a word, and only its wait's passing shows that. A change
    /// is to be in force three seconds after such an event at the latest.
    Millis watchWait{2000};
    Millis firstPause{100}; ///< after a failed call; doubled by each next, up to:
    /// Each call is priced, those to a store that is away too. Whoever learns
    /// sooner that it answers again calls restartWatch().
    Millis longestPause{1600};
    /// Between news and the next watch: what changes meanwhile comes in one
    /// answer. Each call is priced, and where endpoints come and go in numbers
    /// every change would wake every router's watch. Far below the 2 s in which
    /// a change is to be in force.
    Millis afterNews{300};
    ReadPolicy *reads = nullptr; ///< of the store; null: every watch is a current one
    replica::SharedReplica *shared = nullptr; ///< with other routers; null: this router follows alone
    /// A start's listing that may lag is confirmed by an own watch after this
    /// time, unless others do it. By then routers that started together hear
    /// each other; a router counts as in touch 3 s after its start.
    Millis confirmAloneAfter{2500};
    /// After a failed call, for a router that is not among the first to ask
    /// where others are heard: these notice the store's return, and tell.
    Millis sharedPause{3200};
    Millis longSilence{2500}; ///< without a word of the store, asked or not: it may have been away
    Millis replicaWait{100}; ///< of a replica that is to have what a neighbour told of; then the store itself is asked
    /// After the store returned from an older copy, until it is listed: what is
    /// held stays in force meanwhile, where nothing else tells lost entries from
    /// deleted ones. Zero where the sink tells them apart.
    Millis restorePause{0};
    /// Listings because two routers hold different objects: no more than one in this time.
    Millis relistEvery{10000};
};

/// Routers that keep asking a store that does not answer, where others are heard: enough for one to be alive.
inline constexpr std::size_t mostProbing = 3;

/// Follows one kind until stopped.
template <FollowerSink Sink> class Follower
{
public:
    Follower(platform::ObjectApi &api, std::string kind, Sink &sink, FollowerOptions options = {})
        : m_api(api)
        , m_kind(std::move(kind))
        , m_sink(sink)
        , m_options(options)
        , m_pause(options.firstPause)
    {
    }

    Task<void> run()
    {
        while (!m_stopping) {
            co_await untilDue();
            if (m_stopping) {
                break;
            }
            const bool reached = co_await step();
            if (!reached && !m_stopping && !lacks()) {
                co_await wake().wait(Clock::now() + nextPause());
            } else if (m_hadNews && !m_stopping) {
                co_await wake().wait(Clock::now() + m_options.afterNews);
            }
        }
    }
    void stop()
    {
        m_stopping = true;
        wake().notifyAll();
    }
    /// Ends the watch that waits, if any, and starts another: it may have
    /// been lost in an outage that is over. Ends the pause after a failed call.
    void restartWatch()
    {
        doubt();
        wake().notifyAll();
        if (m_cancellation) {
            m_cancellation->fire();
        }
    }
    /// One listing, one answer of another router or one watch; false when the
    /// store could not be reached.
    Task<bool> step()
    {
        bool reached = false;
        m_hadNews = false;
        if (Clock::now() < m_listNotBefore) {
            co_await wake().wait(m_listNotBefore);
        }
        if (!m_listed) {
            reached = co_await list();
        } else if (lacks()) {
            reached = co_await fetch();
        } else if (behindEpoch()) {
            reached = co_await list();
        } else {
            reached = co_await watch();
        }
        if (reached) {
            m_pause = m_options.firstPause;
        }
        co_return reached;
    }

private:
    // True when the store has told a later epoch than that of what is held.
    bool behindEpoch() const
    {
        return m_listed && m_api.epoch() > m_epoch;
    }

    // Puts a listing's epoch in force. Revisions of two epochs say nothing of
    // each other: what was concluded from those held is void.
    void enterEpoch(const platform::Listing &listing)
    {
        if (listing.epoch > m_epoch && m_listedAt != Clock::time_point{}) {
            log::Line{log::Event::StoreRestored}
                .add("kind", m_kind)
                .add("epoch", static_cast<int64_t>(listing.epoch))
                .add("before", static_cast<int64_t>(m_epoch))
                .add("revision", static_cast<int64_t>(listing.revision))
                .add("held", static_cast<int64_t>(m_from));
            if (m_options.reads) {
                m_options.reads->restored(Clock::now());
            }
            m_sink.restored();
        }
        m_epoch = listing.epoch;
    }

    // True when a listing is to be made once more, after those whose entries the
    // store lost had time to write them again.
    bool postponed(const platform::Listing &listing)
    {
        const bool restored = listing.epoch > m_epoch && m_listedAt != Clock::time_point{};
        if (!restored || m_options.restorePause == Millis(0) || m_postponedIn == listing.epoch) {
            return false;
        }
        m_postponedIn = listing.epoch;
        m_listNotBefore = Clock::now() + m_options.restorePause;
        return true;
    }

    // True when another router told of something newer: also during a call that
    // then failed. A pause would keep it out of force.
    bool lacks() const
    {
        return m_options.shared && m_options.shared->lacks();
    }

    // Waits while other routers' confirmations hold.
    Task<void> untilDue()
    {
        while (m_options.shared && m_listed && !m_stopping) {
            const auto now = Clock::now();
            const auto due = m_options.shared->askAt(now);
            if (lacks() || behindEpoch() || due <= now) {
                co_return;
            }
            co_await wake().wait(due);
        }
    }

    replica::FetchSink fetchSink()
    {
        return {[this](const platform::Object &object, bool deleted) {
                    noteContact(); // before the first news after an outage
                    m_sink.changed(object, deleted);
                    m_hadNews = true;
                },
                [this](const platform::Listing &listing) {
                    noteContact();
                    enterEpoch(listing);
                    m_from = listing.revision;
                    m_sink.listed(listing, platform::Freshness::MayLag);
                    m_hadNews = true;
                }};
    }

    // Takes what another router told of; asks the store where that fails.
    Task<bool> fetch()
    {
        const bool laterEpoch = m_options.shared->behindEpoch();
        const auto handOn = m_lost ? replica::HandOn::Whole : replica::HandOn::Small;
        const auto fetched = co_await m_options.shared->fetch(handOn, fetchSink());
        if (m_hadNews) {
            m_sink.batchEnded();
        }
        if (fetched == replica::Fetched::Whole) {
            noteContact();
            co_return true;
        }
        if (laterEpoch) {
            co_return co_await list();
        }
        // Only a listing tells which of the two is wrong.
        if (fetched == replica::Fetched::Differs && Clock::now() - m_listedAt >= m_options.relistEvery) {
            m_listed = false;
            co_return co_await list();
        }
        if (!m_lost) {
            // What is too large for neighbours costs a tenth at a replica: 295
            // routers take each change of a configuration of 1,200 routes so.
            const bool reached = co_await watch(WatchAt{platform::Freshness::MayLag, m_options.replicaWait});
            if (!reached || m_options.shared->holdsTold()) {
                co_return reached;
            }
        }
        co_return co_await watch();
    }

    // Reads all pages; after a failure it goes on with the page that failed, as
    // beginning anew never ends where many routers share the store's link.
    Task<bool> list()
    {
        // At a start a replica's answer will do, at a tenth of the price: those
        // who ask for all, or else a watch of its own, tell within a second
        // what it lacks.
        const bool first = m_listedAt == Clock::time_point{};
        const auto freshness = m_options.shared && first ? platform::Freshness::MayLag : platform::Freshness::Current;
        for (bool more = true; more;) {
            const std::string after = lastName();
            auto result = co_await m_api.list(m_kind, after, freshness);
            if (!ok(result)) {
                noteLost(std::get<Error>(result));
                co_return false;
            }
            auto &page = std::get<platform::Listing>(result);
            const bool late = page.epoch < std::max(m_epoch, m_listing.epoch);
            const bool mixed = !m_listing.items.empty() && page.epoch != m_listing.epoch;
            if (late || mixed) {
                m_listing = {}; // of a store that has returned from a copy meanwhile
                co_return !late;
            }
            const bool promised = page.more;
            takePage(std::move(page));
            more = promised && lastName() != after;
            if (more && first) {
                m_sink.listedSoFar(m_listing);
            }
        }
        noteContact();
        if (postponed(m_listing)) {
            m_listing = {};
            co_return true;
        }
        noteListed(freshness);
        co_return true;
    }

    // The revision of the whole is its first page's: a watch from there misses
    // no change made meanwhile.
    void takePage(platform::Listing page)
    {
        if (m_listing.items.empty()) {
            m_listing.revision = page.revision;
            m_listing.epoch = page.epoch;
        }
        std::move(page.items.begin(), page.items.end(), std::back_inserter(m_listing.items));
    }

    // The name to go on after; an entry of another writer may have none.
    std::string lastName() const
    {
        const auto &items = m_listing.items;
        const auto last = std::find_if(items.rbegin(), items.rend(), [](const platform::Object &o) {
            return !o.name.empty();
        });
        return last == items.rend() ? std::string() : last->name;
    }

    void noteListed(platform::Freshness freshness)
    {
        const auto listing = std::exchange(m_listing, {});
        enterEpoch(listing);
        m_listedAt = Clock::now();
        if (freshness == platform::Freshness::Current) {
            m_lastCurrent = m_listedAt;
        }
        m_lastFreshness = freshness;
        m_from = listing.revision;
        m_listed = true;
        m_sink.listed(listing, freshness);
        if (m_options.shared) {
            m_options.shared->listed(listing, freshness, m_listedAt);
        }
    }

    // How a watch is made where that is not left to the policy.
    struct WatchAt {
        platform::Freshness freshness;
        Millis wait;
    };

    Task<bool> watch(std::optional<WatchAt> how = std::nullopt)
    {
        http::Cancellation cancellation;
        m_cancellation = &cancellation;
        const auto askedAt = Clock::now();
        const bool forOthers = m_options.shared && m_options.shared->shared(askedAt);
        const auto freshness = how ? how->freshness : forOthers ? platform::Freshness::Current : freshnessAlone(askedAt);
        const auto wait = how ? how->wait : forOthers ? m_options.shared->watchWait() : waitAlone(askedAt);
        const auto from = m_options.shared ? m_options.shared->watchFrom(askedAt) : m_from;
        auto result = co_await m_api.watch(m_kind, from, wait, freshness, &cancellation);
        m_cancellation = nullptr;
        if (!ok(result) && cancellation.fired()) {
            co_return true;
        }
        if (!ok(result)) {
            const auto &error = std::get<Error>(result);
            doubt();
            if (error.code == store::Gone) {
                log::Line{log::Event::WatchRestarted}.add("kind", m_kind).add("from", static_cast<int64_t>(from));
                m_listed = false;
                co_return true;
            }
            noteLost(error);
            co_return false;
        }
        noteContact();
        const auto &batch = std::get<platform::WatchBatch>(result);
        if (batch.epoch != m_epoch) {
            co_return batch.epoch > m_epoch; // the next step lists; a late answer says nothing
        }
        noteAnswered(freshness, batch, askedAt);
        if (batch.revision < m_from) {
            m_listed = m_listed && freshness == platform::Freshness::MayLag; // else a store that went back
            co_return true;
        }
        m_from = batch.revision;
        m_hadNews = !batch.events.empty();
        for (const auto &event : batch.events) {
            m_sink.changed(event.object, event.deleted);
            if (m_options.shared) {
                m_options.shared->changed(event.object, event.deleted, batch.revision);
            }
        }
        m_sink.batchEnded();
        if (m_options.shared && freshness == platform::Freshness::Current) {
            m_options.shared->confirmed(batch.revision, Clock::now(), m_hadNews);
        }
        co_return true;
    }

    // A start's listing that came from a replica is not yet confirmed.
    bool unconfirmed() const
    {
        return m_options.shared && !m_options.shared->confirmed();
    }

    platform::Freshness freshnessAlone(Clock::time_point now) const
    {
        if (unconfirmed()) {
            return now >= m_listedAt + m_options.confirmAloneAfter ? platform::Freshness::Current : platform::Freshness::MayLag;
        }
        return m_options.reads ? m_options.reads->choose(m_lastCurrent, now) : platform::Freshness::Current;
    }

    Millis waitAlone(Clock::time_point now) const
    {
        const auto left = std::chrono::ceil<Millis>(m_listedAt + m_options.confirmAloneAfter - now);
        return unconfirmed() && left > Millis(0) ? std::min(left, m_options.watchWait) : m_options.watchWait;
    }

    void doubt()
    {
        if (m_options.reads) {
            m_options.reads->doubt(Clock::now());
        }
    }

    void noteAnswered(platform::Freshness freshness, const platform::WatchBatch &batch, Clock::time_point askedAt)
    {
        const auto now = Clock::now();
        if (freshness == platform::Freshness::Current) {
            m_lastCurrent = now;
        }
        if (m_options.reads) {
            m_options.reads->answered(freshness, batch.revision, !batch.events.empty(), askedAt, now, m_lastFreshness);
        }
        m_lastFreshness = freshness;
    }

    void noteContact()
    {
        const auto now = Clock::now();
        const auto last = m_options.shared ? std::max(m_lastContact, m_options.shared->confirmedAt()) : m_lastContact;
        const auto away = last == Clock::time_point{} ? Clock::duration::zero() : now - last;
        if (!m_lost && away >= m_options.longSilence) {
            m_sink.regained(away); // this router did not ask meanwhile
        }
        if (m_lost) {
            m_lost = false;
            log::Line{log::Event::StoreRegained}.add("kind", m_kind).add("away_ms", std::chrono::duration_cast<Millis>(away).count());
            m_sink.regained(away);
        }
        m_lastContact = now;
    }

    void noteLost(const Error &error)
    {
        if (!m_lost) {
            m_lost = true;
            log::Line{log::Event::StoreLost}.add("kind", m_kind).add("code", int64_t{error.code}).add("why", error.message);
        }
    }

    // Between half and all of the pause, so that routers that lost the store
    // together do not come back together.
    Millis nextPause()
    {
        if (m_options.shared && m_options.shared->rank(Clock::now()) >= mostProbing) {
            return m_options.sharedPause;
        }
        const Millis pause = m_pause / 2 + Millis(m_random() % static_cast<uint64_t>(m_pause.count() / 2 + 1));
        m_pause = std::min(m_pause * 2, m_options.longestPause);
        return pause;
    }

    Notifier &wake()
    {
        return m_options.shared ? m_options.shared->wake() : m_wake;
    }

    platform::ObjectApi &m_api;
    std::string m_kind;
    Sink &m_sink;
    FollowerOptions m_options;
    Millis m_pause;
    Notifier m_wake;
    std::minstd_rand m_random{std::random_device{}()};
    http::Cancellation *m_cancellation = nullptr; ///< of the watch that waits
    uint64_t m_from = 0;
    store::Epoch m_epoch = 0; ///< of m_from, and of all that the sink was told
    store::Epoch m_postponedIn = 0; ///< the epoch whose first listing was put off
    Clock::time_point m_listNotBefore{};
    platform::Listing m_listing; ///< the pages so far
    platform::Freshness m_lastFreshness = platform::Freshness::Current; ///< of the last answered watch
    bool m_hadNews = false; ///< in the last watch
    bool m_listed = false;
    bool m_lost = false;
    bool m_stopping = false;
    Clock::time_point m_listedAt{};
    Clock::time_point m_lastContact{};
    Clock::time_point m_lastCurrent{}; ///< when the last current answer came
};

} // namespace yucca
