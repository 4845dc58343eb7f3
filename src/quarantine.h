// Requests that end the endpoints which run them. Endings are counted by what
// is asked for, as each repeat bears another id and reaches another router;
// once enough endpoints have ended under a request, it is kept from them.
#pragma once

#include "task.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace yucca::quarantine
{

/// The endpoints that ended under requests for one thing.
struct Record {
    uint64_t content = 0; ///< what is asked for, and by which workspace
    std::vector<uint64_t> endpoints; ///< hashes of the incarnations that ended; sorted
    Clock::time_point lastAt{}; ///< of the last ending
    bool operator==(const Record &) const = default;
};

/// An endpoint may have ended under a request: its answer broke, and it is not yet known why.
struct Suspicion {
    uint64_t content = 0;
    uint64_t endpoint = 0;
    Clock::time_point at{};
    bool operator==(const Suspicion &) const = default;
};

/// A request was answered whole: what ended under it before was not its doing.
struct Answer {
    uint64_t content = 0;
    Clock::time_point at{};
    bool operator==(const Answer &) const = default;
};

/// What one router tells others.
struct News {
    std::vector<Record> records; ///< those with the most endings first
    std::vector<Suspicion> suspicions;
    std::vector<Answer> answers;
    std::set<uint64_t> urgent = {}; ///< contents whose records and suspicions all routers need, not only those that count
};

/// Bounds and times of a quarantine.
struct QuarantineOptions {
    /// An endpoint may end under a request by chance, and again where the
    /// request goes on at another one; a third time is the request's doing.
    std::size_t mostEndings = 3;
    Millis heldFor{std::chrono::hours(1)}; ///< since the last ending: endpoints may have been mended since
    Millis rememberedFor{std::chrono::hours(24)}; ///< within that time one more ending renews a quarantine that has run out
    /// An ending so soon after a whole answer to the same request is not the
    /// request's doing: where many endpoints are lost at once, they end under
    /// what is asked for most.
    Millis trustedFor{std::chrono::minutes(1)};
    /// A suspicion counts like an ending for so long, in which it is known
    /// whether the endpoint has ended: else a request that comes often would
    /// reach several more meanwhile.
    Millis suspectedFor{6000};
    /// What a caller is told to wait on mere suspicion: most are settled by a
    /// new connection to the endpoint, in a tenth of a second.
    Millis askAgainAfter{500};
    std::size_t mostSuspected = 1024; ///< requests
    std::size_t mostSuspicionsTold = 256; ///< waiting to be told; the oldest go first
    std::size_t mostRecords = 4096; ///< of about 150 B; the oldest go first
    std::size_t mostAnswers = 16384; ///< of about 70 B: what a router serves in a minute at 270 requests a second
    std::size_t mostEndpoints = 16; ///< of one record
    /// Endings from which on all routers and the store are told of a record. Of
    /// a single ending all that an endpoint ran is under suspicion: that is
    /// counted by a few routers.
    std::size_t leastShared = 2;
    int timesTold = 3; ///< each news: datagrams get lost
};

/// What this router knows of such requests. Free of I/O; safe to use from
/// several threads.
class RequestQuarantine
{
public:
    explicit RequestQuarantine(QuarantineOptions options = {})
        : m_options(options)
    {
    }

    /// Until when a request must not reach endpoints, as far as is known; nothing when it may.
    std::optional<Clock::time_point> heldUntil(uint64_t content, Clock::time_point now) const;
    /// An answer to a request that this router had sent broke: its endpoint may have ended.
    void broke(uint64_t content, uint64_t endpoint, Clock::time_point now);
    /// The endpoint lives: the connection broke for another reason.
    void lives(uint64_t content, uint64_t endpoint);
    /// An endpoint ended while it ran a request that this router had sent.
    void ended(uint64_t content, uint64_t endpoint, Clock::time_point now);
    /// A request was answered whole through this router.
    void answered(uint64_t content, Clock::time_point now);
    /// What another router, or the store, tells.
    void told(const Record &record, Clock::time_point now);
    void told(const Suspicion &suspicion, Clock::time_point now);
    void told(const Answer &answer);

    /// What others are to be told in this round, no more than a number of each kind.
    News takeNews(std::size_t most);
    /// Some of the requests that are kept from endpoints, others with each
    /// call: for routers that missed the news.
    std::vector<Record> someHeld(std::size_t most, Clock::time_point now);
    /// What the store is to be told of since the last call.
    std::vector<uint64_t> takeUnsaved();
    /// Notes that the store could not be told; takeUnsaved() returns it again.
    void notSaved(uint64_t content);
    /// The store has lost what it was told lately: all is to be told again.
    void allUnsaved();
    std::optional<Record> find(uint64_t content) const;
    std::size_t heldCount(Clock::time_point now) const;
    const QuarantineOptions &options() const
    {
        return m_options;
    }
    /// Called from any thread when others are to be told soon.
    std::function<void()> onNews;

private:
    bool held(const Record &record, Clock::time_point now) const;
    std::optional<Clock::time_point> suspectedUntil(uint64_t content, Clock::time_point now) const;
    void broadcastSuspicions(uint64_t content);
    bool urgent(uint64_t content, Clock::time_point now) const;
    bool suspect(const Suspicion &suspicion, Clock::time_point now);
    void forgetSuspicions(Clock::time_point now);
    void tellSoon(bool urgentNews) const;
    bool trusted(uint64_t content, Clock::time_point endedAt) const;
    bool take(const Record &record, Clock::time_point now);
    std::size_t merge(const Record &record, Clock::time_point now);
    void noteAnswer(const Answer &answer);
    bool clear(const Answer &answer);
    void forgetOldest();

    QuarantineOptions m_options;
    mutable std::mutex m_mutex;
    std::map<uint64_t, Record> m_records; ///< by content
    std::map<uint64_t, std::map<uint64_t, Clock::time_point>> m_suspicions; ///< when, by content and endpoint
    std::deque<Suspicion> m_suspicionsToTell;
    std::set<uint64_t> m_urgent; ///< contents of m_suspicionsToTell and m_recordsToTell that all routers need
    std::map<uint64_t, Clock::time_point> m_answers; ///< the last whole answer, by content
    std::map<uint64_t, int> m_recordsToTell; ///< how often yet, by content
    std::map<uint64_t, int> m_answersToTell;
    std::set<uint64_t> m_unsaved;
    uint64_t m_lastTold = 0; ///< by someHeld()
};

} // namespace yucca::quarantine
