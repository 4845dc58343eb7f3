// Follows one kind of objects in the store: one listing, then successive watches. The follower recovers from outages, dropped
// history and hanging connections. Routers that hear each other share the work: a router watches the store only when no recent
// confirmation of its state is known, and fetches changes from the peer that announced them. A router that hears no other one watches
// the store itself, and never a replica, whose answers may be older than the bound within which a change must be in effect.
#pragma once

#include "log.h"
#include "notifier.h"
#include "object_api.h"
#include "page_cursor.h"
#include "shared_replica.h"
#include "task.h"

#include <algorithm>
#include <concepts>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace yucca
{

/// The receiver of a follower's updates. All calls are made on the control thread.
template <typename S>
concept FollowerSink = requires(S s, const platform::Listing &listing, platform::Freshness freshness, const platform::Object &object, bool deleted,
                                Clock::duration outageDuration)
{
    s.onListing(listing, freshness);
    s.onPartialListing(listing); // one page of the first listing; the complete listing follows
    s.onIncompleteListing(listing); // the objects that can be had; others may exist
    s.onChange(object, deleted);
    s.onBatchEnd();
    s.onStoreRecovered(outageDuration); // called before the first update after an outage
    s.onStoreRestored(); // called before the first listing after the store was restored from a backup
};

/// Intervals, delays and collaborators of a Follower.
struct FollowerOptions {
    /// Timeout of one watch. It is short because a store that drops its history may leave a watch unanswered, and only the timeout
    /// reveals that. A change must be in effect at most 3 s after such an event.
    Millis watchTimeout{2000};
    Millis initialRetryDelay{100}; ///< delay after a failed call; each further failure doubles it, up to maxRetryDelay
    /// Upper limit of the delay. Every call has a cost, also calls to an unreachable store. A caller that learns earlier that the
    /// store is back calls restartWatch().
    Millis maxRetryDelay{1600};
    /// Delay between received changes and the next watch, so that one answer carries all changes made meanwhile. Every call has a
    /// cost, and while many endpoints join and leave, each change would wake the watch of every router. The delay is far below the
    /// 2 s within which a change must be in effect.
    Millis changeCoalescingDelay{300};
    replica::SharedReplica *sharedReplica = nullptr; ///< state shared with other routers; null: this router follows the store on its own
    /// Delay after a failed call of a router that hears others and is not among the first maxProbingRouters by name. Those notice the
    /// store's return and announce it.
    Millis nonProberRetryDelay{3200};
    Millis rankPollInterval{400}; ///< between checks during that delay whether this router has become one that probes the store
    Millis outageSuspectedAfter{2500}; ///< the store may have been down if neither this router nor a peer heard from it for this long
    Millis replicaWatchTimeout{100}; ///< timeout of a watch on a replica for a change that a peer announced; after it, the store itself is watched
    /// Delay of the first listing after the store was restored from a backup. The known state stays in effect meanwhile. It is
    /// needed if the sink cannot tell lost entries from deleted ones; 0 if it can.
    Millis relistDelayAfterRestore{0};
    /// Minimum interval between two listings that are made because two routers hold different objects.
    Millis minRelistInterval{10000};
    /// Objects that are read by name where the list cannot be completed and lacks them.
    std::vector<std::string> essentialNames;
    /// Failures in a row after which a later page counts as one that cannot be had, though other calls may be answered.
    int maxPageFailures = 6;
    Millis catchUpWait{1}; ///< timeout of the watch in catchUp(), which asks for the changes that exist already
    Millis catchUpPollInterval{5}; ///< between checks in catchUp() for the requested changes; a check makes no call
    Millis firstListRetryDelay{2000}; ///< after an incomplete listing; each further one doubles it, up to maxListRetryDelay
    Millis maxListRetryDelay{60000};
};

/// Number of routers that keep calling an unreachable store while routers hear each other: enough that one of them is running.
inline constexpr std::size_t maxProbingRouters = 3;

/// Follows one kind of objects until stop() is called.
template <FollowerSink Sink> class Follower
{
public:
    Follower(platform::ObjectApi &api, std::string kind, Sink &sink, FollowerOptions options = {})
        : m_api(api)
        , m_kind(std::move(kind))
        , m_sink(sink)
        , m_options(options)
        , m_retryDelay(options.initialRetryDelay)
    {
    }

    Task<void> run()
    {
        while (!m_stopping) {
            co_await waitUntilDue();
            if (m_stopping) {
                break;
            }
            const bool reached = co_await step();
            if (!reached && !m_stopping && !behindPeer()) {
                co_await waitForRetry();
            } else if (m_hadChanges && !m_stopping) {
                co_await wake().wait(Clock::now() + m_options.changeCoalescingDelay);
            }
        }
    }
    void stop()
    {
        m_stopping = true;
        wake().notifyAll();
    }
    /// Cancels the pending watch, which may have been lost in an outage that is over, and starts another one. Ends the delay after
    /// a failed call.
    void restartWatch()
    {
        wake().notifyAll();
        if (m_cancellation) {
            m_cancellation->cancel();
        }
    }
    /// Compares the held state with the store's, in one call. If changes are missing, makes run() read them and waits until they are
    /// applied. Returns true if the held state is the store's as of this call or later; false after until, or if the call fails.
    Task<bool> catchUp(Clock::time_point until)
    {
        if (!m_listed) {
            co_return false;
        }
        const auto from = shared() ? shared()->watchFrom(Clock::now()) : m_revision;
        const auto epoch = m_epoch;
        const auto result = co_await m_api.watch(m_kind, from, m_options.catchUpWait, platform::Freshness::Current, nullptr);
        const auto *batch = std::get_if<platform::WatchBatch>(&result);
        if (!batch || batch->epoch != epoch) {
            co_return false;
        }
        if (!batch->events.empty() && heldRevision() < batch->revision) {
            m_mustQuery = true;
            restartWatch();
        }
        while (!batch->events.empty() && heldRevision() < batch->revision && Clock::now() < until) {
            co_await sleepFor(m_options.catchUpPollInterval);
        }
        co_return m_epoch == epoch && (batch->events.empty() || heldRevision() >= batch->revision);
    }
    /// Runs one listing, one fetch from a peer or one watch. Returns false if the store could not be reached.
    Task<bool> step()
    {
        bool reached = false;
        m_hadChanges = false;
        if (Clock::now() < m_listNotBefore) {
            co_await wake().wait(m_listNotBefore);
        }
        if (!m_listed || listRetryDue()) {
            reached = co_await list();
        } else if (behindPeer()) {
            reached = co_await fetch();
        } else if (behindEpoch()) {
            reached = co_await list();
        } else if (nextFetchAt() != Clock::time_point::max()) {
            reached = co_await readAnnounced(); // the peers that hold the newer state are busy
        } else {
            reached = co_await watch();
        }
        if (reached) {
            m_retryDelay = m_options.initialRetryDelay;
        }
        co_return reached;
    }

private:
    // The state shared with other routers; null while this router's own is incomplete, as nothing may be concluded from a comparison.
    replica::SharedReplica *shared() const
    {
        return m_incomplete ? nullptr : m_options.sharedReplica;
    }

    bool listRetryDue() const
    {
        return m_incomplete && Clock::now() >= m_listRetryAt;
    }

    // Returns the revision up to which no change is missing, as far as this router knows.
    uint64_t heldRevision() const
    {
        return shared() ? std::max(m_revision, shared()->revision()) : m_revision;
    }

    // Returns true if the store has announced a later epoch than that of the held state.
    bool behindEpoch() const
    {
        return m_listed && m_api.epoch() > m_epoch;
    }

    // Enters the epoch of a listing. Revisions of different epochs are not comparable, so conclusions from earlier ones are dropped.
    void applyEpoch(const platform::Listing &listing)
    {
        if (listing.epoch > m_epoch && m_listedAt != Clock::time_point{}) {
            log::Line{log::Event::StoreRestored}
                .add("kind", m_kind)
                .add("epoch", static_cast<int64_t>(listing.epoch))
                .add("before", static_cast<int64_t>(m_epoch))
                .add("revision", static_cast<int64_t>(listing.revision))
                .add("held", static_cast<int64_t>(m_revision));
            m_sink.onStoreRestored();
        }
        m_epoch = listing.epoch;
    }

    // Returns true if the listing must be read again after a delay, which lets the owners of entries that the store lost write them again.
    bool delayListing(const platform::Listing &listing)
    {
        const bool restored = listing.epoch > m_epoch && m_listedAt != Clock::time_point{};
        if (!restored || m_options.relistDelayAfterRestore == Millis(0) || m_delayedEpoch == listing.epoch) {
            return false;
        }
        m_delayedEpoch = listing.epoch;
        m_listNotBefore = Clock::now() + m_options.relistDelayAfterRestore;
        return true;
    }

    // Returns true if a peer announced a newer state, also if it did so during a call that then failed. A retry delay would postpone
    // the use of that state.
    bool behindPeer() const
    {
        return shared() && shared()->behindPeer();
    }

    Clock::time_point nextFetchAt() const
    {
        return shared() ? shared()->nextFetchAt() : Clock::time_point::max();
    }

    bool isProber() const
    {
        return !shared() || shared()->rank(Clock::now()) < maxProbingRouters;
    }

    // Waits after a failed call, or until notified. A router that leaves the calls to others does so only while it hears them.
    Task<void> waitForRetry()
    {
        const bool probes = isProber();
        const auto retryAt = Clock::now() + nextRetryDelay();
        for (bool due = false; !due;) {
            const auto until = std::min({retryAt, nextFetchAt(), probes ? retryAt : Clock::now() + m_options.rankPollInterval});
            co_await wake().wait(until);
            const auto now = Clock::now();
            due = now < until || now >= retryAt || m_stopping || behindPeer() || (!probes && isProber());
        }
    }

    // Waits while confirmations from peers are recent enough.
    Task<void> waitUntilDue()
    {
        while (shared() && m_listed && !m_stopping) {
            const auto now = Clock::now();
            const auto due = shared()->queryDueAt(now);
            if (m_mustQuery || behindPeer() || behindEpoch() || due <= now) {
                co_return;
            }
            co_await wake().wait(std::min(due, nextFetchAt()));
        }
    }

    // Logs changes that are in force, given the time at which they arrived and that of the confirmation before.
    void logChanges(std::size_t changes, std::string_view from, const std::string &peer, Clock::time_point arrivedAt, Clock::time_point confirmedAt) const
    {
        const auto age = confirmedAt == Clock::time_point{} ? Millis(-1) : std::chrono::duration_cast<Millis>(arrivedAt - confirmedAt);
        log::Line{log::Event::ChangesReceived}
            .add("kind", m_kind)
            .add("from", from)
            .add("peer", peer)
            .add("changes", static_cast<int64_t>(changes))
            .add("age_ms", age.count())
            .add("took_ms", std::chrono::duration_cast<Millis>(Clock::now() - arrivedAt).count());
    }

    Clock::time_point confirmedAt() const
    {
        return shared() ? shared()->confirmedAt() : m_lastContact;
    }

    replica::FetchSink fetchSink()
    {
        return {[this](const platform::Object &object, bool deleted) {
                    recordContact(); // recorded before the first update after an outage
                    recordFetchedChanges(1);
                    m_sink.onChange(object, deleted);
                },
                [this](const platform::Listing &listing) {
                    recordContact();
                    applyEpoch(listing);
                    m_revision = listing.revision;
                    recordFetchedChanges(listing.items.size());
                    m_sink.onListing(listing, platform::Freshness::MayLag);
                }};
    }

    void recordFetchedChanges(std::size_t count)
    {
        m_fetchedAt = m_hadChanges ? m_fetchedAt : Clock::now();
        m_fetchedChanges = m_hadChanges ? m_fetchedChanges + count : count;
        m_hadChanges = true;
    }

    // Fetches the state that peers announced, from one after the other. Reads it from the store if no peer can send it; while peers
    // are only busy, they are asked again until the store must be queried.
    Task<bool> fetch()
    {
        const bool laterEpoch = shared()->behindEpoch();
        auto outcome = replica::FetchOutcome::Unavailable;
        bool busy = false;
        do {
            outcome = co_await fetchFromPeer();
            busy = busy || outcome == replica::FetchOutcome::Busy;
        } while (outcome != replica::FetchOutcome::Complete && outcome != replica::FetchOutcome::Mismatch && behindPeer() && !m_stopping);
        if (outcome == replica::FetchOutcome::Complete) {
            recordContact();
            co_return true;
        }
        if (laterEpoch) {
            co_return co_await list();
        }
        // Only a listing shows which of the two routers is wrong.
        if (outcome == replica::FetchOutcome::Mismatch && Clock::now() - m_listedAt >= m_options.minRelistInterval) {
            m_listed = false;
            co_return co_await list();
        }
        if (busy && shared()->queryDueAt(Clock::now()) > Clock::now()) {
            co_return true;
        }
        co_return co_await readAnnounced();
    }

    Task<replica::FetchOutcome> fetchFromPeer()
    {
        const auto confirmedBefore = confirmedAt();
        const auto outcome = co_await shared()->fetch(fetchSink());
        if (m_hadChanges) {
            m_sink.onBatchEnd();
            logChanges(m_fetchedChanges, "peer", shared()->lastPeer(), m_fetchedAt, confirmedBefore);
        }
        co_return outcome;
    }

    // Reads a state that peers announced from a replica, at a tenth of the cost of a current read, and from the store if the replica
    // lags.
    Task<bool> readAnnounced()
    {
        if (!m_storeLost) {
            const bool reached = co_await watch(WatchMode{platform::Freshness::MayLag, m_options.replicaWatchTimeout});
            if (!reached || shared()->adoptAnnouncedState(Clock::now())) {
                co_return reached;
            }
        }
        co_return co_await watch();
    }

    // Reads all pages. After a failure the next attempt continues with the failed page: where many routers share the store's link,
    // restarting from the first page would never complete.
    Task<bool> list()
    {
        // A replica's answer suffices at the start, at a tenth of the cost. What it lacks is reported within a second by the routers
        // that query the store for all, or by this router's own watch.
        const bool first = m_listedAt == Clock::time_point{};
        const auto freshness = m_options.sharedReplica && first ? platform::Freshness::MayLag : platform::Freshness::Current;
        for (bool more = true; more;) {
            auto result = co_await m_api.list(m_kind, m_cursor.after(), freshness);
            if (const auto *error = std::get_if<Error>(&result)) {
                const auto next = recordPageFailure(*error);
                if (next == AfterPageFailure::ReadFromOtherStart) {
                    continue;
                }
                if (next == AfterPageFailure::EndListing) {
                    co_return co_await useIncompleteListing(freshness, error->message);
                }
                recordStoreLost(*error);
                co_return false;
            }
            m_pageFailures = 0;
            auto &page = std::get<platform::Listing>(result);
            const bool late = page.epoch < std::max(m_epoch, m_listing.epoch);
            const bool mixed = !m_listing.items.empty() && page.epoch != m_listing.epoch;
            if (late || mixed) {
                discardPages(); // pages from before a restore of the store are not mixed with later ones
                co_return !late;
            }
            const bool hasMore = page.more;
            if (hasMore && first) {
                m_sink.onPartialListing(page);
            }
            more = hasMore && m_cursor.advance(page);
            appendPage(std::move(page));
            if (hasMore && !more) {
                co_return co_await useIncompleteListing(freshness, "no name to continue from");
            }
        }
        recordContact();
        if (delayListing(m_listing)) {
            discardPages();
            co_return true;
        }
        applyListing(freshness);
        co_return true;
    }

    enum class AfterPageFailure {
        Retry, ///< the same page, after a delay
        ReadFromOtherStart, ///< at once
        EndListing, ///< without this page and those after it
    };

    // Counts a failure of the page to read. Only the first page is indispensable.
    AfterPageFailure recordPageFailure(const Error &error)
    {
        if (m_cursor.after().empty()) {
            return AfterPageFailure::Retry;
        }
        if (store::isRefusal(error.code)) {
            return m_cursor.retreat() ? AfterPageFailure::ReadFromOtherStart : AfterPageFailure::EndListing;
        }
        return ++m_pageFailures < m_options.maxPageFailures ? AfterPageFailure::Retry : AfterPageFailure::EndListing;
    }

    bool hasRead(const std::string &name) const
    {
        return std::any_of(m_listing.items.begin(), m_listing.items.end(), [&name](const platform::Object &object) {
            return object.name == name;
        });
    }

    void discardPages()
    {
        m_listing = {};
        m_cursor = {};
        m_pageFailures = 0;
    }

    // Uses the pages that were read, and the essential objects. Objects that are missing are kept, as they may be in the rest.
    Task<bool> useIncompleteListing(platform::Freshness freshness, std::string why)
    {
        m_pageFailures = 0;
        for (const auto &name : m_options.essentialNames) {
            if (hasRead(name)) {
                continue;
            }
            auto read = co_await m_api.get(m_kind, name, freshness);
            if (const auto *error = std::get_if<Error>(&read)) {
                if (error->code != store::NotFound) {
                    recordStoreLost(*error);
                    co_return false;
                }
            } else {
                m_listing.items.push_back(std::move(std::get<platform::Object>(read)));
            }
        }
        platform::logIncompleteList(m_kind, m_listing.items.size(), why);
        recordContact();
        m_incomplete = true;
        m_listRetryDelay = m_listRetryDelay == Millis(0) ? m_options.firstListRetryDelay : std::min(m_listRetryDelay * 2, m_options.maxListRetryDelay);
        m_listRetryAt = Clock::now() + m_listRetryDelay;
        const auto listing = adoptListing();
        m_sink.onIncompleteListing(listing);
        co_return true;
    }

    // The listing gets the revision of its first page, so that a watch from there misses no change made while later pages were read.
    void appendPage(platform::Listing page)
    {
        if (m_listing.items.empty()) {
            m_listing.revision = page.revision;
            m_listing.epoch = page.epoch;
        }
        std::move(page.items.begin(), page.items.end(), std::back_inserter(m_listing.items));
    }

    // Makes the pages that were read the held state, up to what the sink receives.
    platform::Listing adoptListing()
    {
        auto listing = std::exchange(m_listing, {});
        m_cursor = {};
        applyEpoch(listing);
        m_listedAt = Clock::now();
        m_revision = listing.revision;
        m_listed = true;
        return listing;
    }

    void applyListing(platform::Freshness freshness)
    {
        const auto confirmedBefore = confirmedAt();
        m_incomplete = false;
        m_listRetryDelay = Millis(0);
        const auto listing = adoptListing();
        m_sink.onListing(listing, freshness);
        if (m_options.sharedReplica) {
            m_options.sharedReplica->applyListing(listing, freshness, m_listedAt);
        }
        logChanges(listing.items.size(), "listing", "", m_listedAt, confirmedBefore);
    }

    // Overrides the read policy's choice for one watch.
    struct WatchMode {
        platform::Freshness freshness;
        Millis wait;
    };

    Task<bool> watch(std::optional<WatchMode> mode = std::nullopt)
    {
        http::Cancellation cancellation;
        m_cancellation = &cancellation;
        const auto requestedAt = Clock::now();
        if (!mode) {
            m_mustQuery = false;
        }
        const auto freshness = mode ? mode->freshness : platform::Freshness::Current;
        const auto wait = mode ? mode->wait : watchTimeout(requestedAt);
        const auto from = shared() ? shared()->watchFrom(requestedAt) : m_revision;
        auto result = co_await m_api.watch(m_kind, from, wait, freshness, &cancellation);
        m_cancellation = nullptr;
        if (!ok(result) && cancellation.isCancelled()) {
            co_return true;
        }
        if (!ok(result)) {
            const auto &error = std::get<Error>(result);
            if (error.code == store::Gone) {
                log::Line{log::Event::WatchRestarted}.add("kind", m_kind).add("from", static_cast<int64_t>(from));
                m_listed = false;
                co_return true;
            }
            recordStoreLost(error);
            co_return false;
        }
        const auto confirmedBefore = confirmedAt();
        const auto arrivedAt = Clock::now();
        recordContact();
        const auto &batch = std::get<platform::WatchBatch>(result);
        if (batch.epoch != m_epoch) {
            co_return batch.epoch > m_epoch; // the next step lists the objects; an answer of an older epoch is ignored
        }
        if (batch.revision < m_revision) {
            m_listed = m_listed && freshness == platform::Freshness::MayLag; // a current answer shows that the store went back: list again
            co_return true;
        }
        m_revision = batch.revision;
        m_hadChanges = !batch.events.empty();
        for (const auto &event : batch.events) {
            m_sink.onChange(event.object, event.deleted);
            if (shared()) {
                shared()->applyChange(event.object, event.deleted, batch.revision);
            }
        }
        m_sink.onBatchEnd();
        if (m_hadChanges) {
            logChanges(batch.events.size(), freshness == platform::Freshness::Current ? "store" : "replica", "", arrivedAt, confirmedBefore);
        }
        if (shared() && freshness == platform::Freshness::Current) {
            // A process that was suspended reads the answer late. The answer is no newer than the end of the watch.
            shared()->recordConfirmation(batch.revision, std::min(Clock::now(), requestedAt + wait), m_hadChanges);
        }
        co_return true;
    }

    // An incomplete state is not shared, so no other router confirms it.
    Millis watchTimeout(Clock::time_point now) const
    {
        return m_options.sharedReplica ? m_options.sharedReplica->watchTimeout(now) : m_options.watchTimeout;
    }

    void recordContact()
    {
        const auto now = Clock::now();
        const auto last = shared() ? std::max(m_lastContact, shared()->confirmedAt()) : m_lastContact;
        const auto outageDuration = last == Clock::time_point{} ? Clock::duration::zero() : now - last;
        if (!m_storeLost && outageDuration >= m_options.outageSuspectedAfter) {
            m_sink.onStoreRecovered(outageDuration); // this router made no call meanwhile
        }
        if (m_storeLost) {
            m_storeLost = false;
            log::Line{log::Event::StoreRegained}.add("kind", m_kind).add("away_ms", std::chrono::duration_cast<Millis>(outageDuration).count());
            m_sink.onStoreRecovered(outageDuration);
        }
        m_lastContact = now;
    }

    void recordStoreLost(const Error &error)
    {
        if (!m_storeLost) {
            m_storeLost = true;
            log::Line{log::Event::StoreLost}.add("kind", m_kind).add("code", int64_t{error.code}).add("why", error.message);
        }
    }

    // Returns the delay of the next call after a failed one. It is a random time between half of m_retryDelay and m_retryDelay, so
    // that routers that lost the store together do not retry together, or nonProberRetryDelay if other routers probe the store.
    Millis nextRetryDelay()
    {
        if (shared() && shared()->rank(Clock::now()) >= maxProbingRouters) {
            return m_options.nonProberRetryDelay;
        }
        const Millis delay = m_retryDelay / 2 + Millis(m_random() % static_cast<uint64_t>(m_retryDelay.count() / 2 + 1));
        m_retryDelay = std::min(m_retryDelay * 2, m_options.maxRetryDelay);
        return delay;
    }

    Notifier &wake()
    {
        return m_options.sharedReplica ? m_options.sharedReplica->wake() : m_wake;
    }

    platform::ObjectApi &m_api;
    std::string m_kind;
    Sink &m_sink;
    FollowerOptions m_options;
    Millis m_retryDelay;
    Notifier m_wake;
    std::minstd_rand m_random{std::random_device{}()};
    http::Cancellation *m_cancellation = nullptr; ///< of the pending watch
    uint64_t m_revision = 0;
    store::Epoch m_epoch = 0; ///< epoch of m_revision and of the state passed to the sink
    store::Epoch m_delayedEpoch = 0; ///< epoch whose first listing was delayed
    Clock::time_point m_listNotBefore{};
    platform::Listing m_listing; ///< pages read so far
    store::PageCursor m_cursor; ///< of the page to read
    int m_pageFailures = 0; ///< of the page to read, in a row
    bool m_incomplete = false; ///< the last listing could not be completed
    Millis m_listRetryDelay{0};
    Clock::time_point m_listRetryAt{};
    bool m_hadChanges = false; ///< in the last step
    bool m_mustQuery = false; ///< the store is known to have changes that are not held
    std::size_t m_fetchedChanges = 0; ///< from a peer in the last step
    Clock::time_point m_fetchedAt{}; ///< when the first of them arrived
    bool m_listed = false;
    bool m_storeLost = false;
    bool m_stopping = false;
    Clock::time_point m_listedAt{};
    Clock::time_point m_lastContact{};
};

} // namespace yucca
