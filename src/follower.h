// Keeps up with one kind of objects in the store: a listing, then one watch
// after the other, through outages, lost history and silent connections.
#pragma once

#include "log.h"
#include "notifier.h"
#include "object_api.h"
#include "read_policy.h"
#include "task.h"

#include <algorithm>
#include <concepts>
#include <random>
#include <string>

namespace yucca
{

/// What takes a follower's news, all on the control thread.
template <typename S> concept FollowerSink = requires(S s, const platform::Listing &listing, const platform::Object &object, bool deleted, Clock::duration away)
{
    s.listed(listing);
    s.changed(object, deleted);
    s.batchEnded();
    s.regained(away); // before the first news after an outage
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
};

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
            const bool reached = co_await step();
            if (!reached && !m_stopping) {
                co_await m_wake.wait(Clock::now() + nextPause());
            } else if (m_hadNews && !m_stopping) {
                co_await m_wake.wait(Clock::now() + m_options.afterNews);
            }
        }
    }
    void stop()
    {
        m_stopping = true;
        m_wake.notifyAll();
    }
    /// Ends the watch that waits, if any, and starts another: it may have
    /// been lost in an outage that is over. Ends the pause after a failed call.
    void restartWatch()
    {
        doubt();
        m_wake.notifyAll();
        if (m_cancellation) {
            m_cancellation->fire();
        }
    }
    /// One listing or one watch; false when the store could not be reached.
    Task<bool> step()
    {
        bool reached = false;
        m_hadNews = false;
        if (m_listed) {
            reached = co_await watch();
        } else {
            reached = co_await list();
        }
        if (reached) {
            m_pause = m_options.firstPause;
        }
        co_return reached;
    }

private:
    Task<bool> list()
    {
        auto result = co_await platform::listAll(m_api, m_kind);
        if (!ok(result)) {
            noteLost(std::get<Error>(result));
            co_return false;
        }
        noteContact();
        m_lastCurrent = Clock::now();
        m_lastFreshness = platform::Freshness::Current;
        const auto &listing = std::get<platform::Listing>(result);
        m_from = listing.revision;
        m_listed = true;
        m_sink.listed(listing);
        co_return true;
    }

    Task<bool> watch()
    {
        http::Cancellation cancellation;
        m_cancellation = &cancellation;
        const auto askedAt = Clock::now();
        const auto freshness = m_options.reads ? m_options.reads->choose(m_lastCurrent, askedAt) : platform::Freshness::Current;
        auto result = co_await m_api.watch(m_kind, m_from, m_options.watchWait, freshness, &cancellation);
        m_cancellation = nullptr;
        if (!ok(result) && cancellation.fired()) {
            co_return true;
        }
        if (!ok(result)) {
            const auto &error = std::get<Error>(result);
            doubt();
            if (error.code == store::Gone) {
                log::Line{log::Event::WatchRestarted}.add("kind", m_kind).add("from", static_cast<int64_t>(m_from));
                m_listed = false;
                co_return true;
            }
            noteLost(error);
            co_return false;
        }
        noteContact();
        const auto &batch = std::get<platform::WatchBatch>(result);
        noteAnswered(freshness, batch, askedAt);
        if (batch.revision < m_from) {
            m_listed = m_listed && freshness == platform::Freshness::MayLag; // else a store that went back
            co_return true;
        }
        m_from = batch.revision;
        m_hadNews = !batch.events.empty();
        for (const auto &event : batch.events) {
            m_sink.changed(event.object, event.deleted);
        }
        m_sink.batchEnded();
        co_return true;
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
        if (m_lost) {
            m_lost = false;
            const auto away = m_lastContact == Clock::time_point{} ? Clock::duration::zero() : now - m_lastContact;
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
        const Millis pause = m_pause / 2 + Millis(m_random() % static_cast<uint64_t>(m_pause.count() / 2 + 1));
        m_pause = std::min(m_pause * 2, m_options.longestPause);
        return pause;
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
    platform::Freshness m_lastFreshness = platform::Freshness::Current; ///< of the last answered watch
    bool m_hadNews = false; ///< in the last watch
    bool m_listed = false;
    bool m_lost = false;
    bool m_stopping = false;
    Clock::time_point m_lastContact{};
    Clock::time_point m_lastCurrent{}; ///< when the last current answer came
};

} // namespace yucca
