// Quarantine for requests that crash the endpoints that run them. A crash (an
// "ending" in logs and metrics) is any unplanned end of an endpoint's process,
// also together with its VM. Crashes are counted per request content, because
// each retry bears another request id and may reach another router, and per
// part of a prompt that requests share. Once enough endpoints have crashed under
// the same content or part, requests with it are sent to no endpoint. Below,
// "content" stands for either.
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

/// The endpoints that crashed while they ran requests of one content.
struct CrashRecord {
    uint64_t content = 0; ///< hash of the request's content and its workspace
    std::vector<uint64_t> endpoints; ///< hashes of the endpoint incarnations that crashed (of the engine ids for orders); sorted
    Clock::time_point lastAt{}; ///< time of the last crash
    bool operator==(const CrashRecord &) const = default;
};

/// A possible crash: an endpoint's answer to the content broke off, and the cause is not known yet.
struct Suspicion {
    uint64_t content = 0;
    uint64_t endpoint = 0; ///< hash of the endpoint incarnation
    Clock::time_point at{};
    bool operator==(const Suspicion &) const = default;
};

/// A complete answer to the content: it shows that the request did not cause the crashes before it.
struct CompleteResponse {
    uint64_t content = 0;
    Clock::time_point at{};
    bool operator==(const CompleteResponse &) const = default;
};

/// The updates that one router sends to others.
struct Updates {
    std::vector<CrashRecord> records; ///< sorted by number of crashes, highest first
    std::vector<Suspicion> suspicions;
    std::vector<CompleteResponse> answers;
    std::set<uint64_t> urgent = {}; ///< contents whose records and suspicions go to all routers, not only to those that count single crashes
};

/// The quarantine of a request.
struct Verdict {
    uint64_t content = 0; ///< the key that is quarantined
    Clock::time_point until{};
};

/// Limits and time spans of a quarantine.
struct QuarantineOptions {
    /// Crashed endpoints from which on a content is quarantined. Two crashes
    /// may be chance: the first one, and one more where the retry ran.
    std::size_t crashThreshold = 3;
    Millis quarantineDuration{std::chrono::hours(1)}; ///< counted from the last crash; limited because the endpoints may have been fixed since
    Millis recordRetention{std::chrono::hours(24)}; ///< counted from the last crash; within it, one more crash renews an expired quarantine
    /// A crash within this time after a complete answer does not count against
    /// the content. When many endpoints fail at once, for example with their
    /// failure domain, most of them were running the most frequent contents.
    Millis answerGrace{std::chrono::minutes(1)};
    /// A suspicion counts like a crash for this long, which is enough to find
    /// out whether the endpoint has crashed. Without it, a frequent request
    /// would reach several more endpoints in the meantime.
    Millis suspicionTimeout{6000};
    /// Longest wait stated to a caller whose content is quarantined on suspicion only. A new
    /// connection to the endpoint settles most suspicions within 100 ms.
    Millis suspicionRetryAfter{500};
    std::size_t maxSuspectedRequests = 8192; ///< contents under suspicion: several crashes of endpoints that each run 64 requests
    std::size_t maxQueuedSuspicions = 1024; ///< suspicions that wait to be sent; the oldest are dropped first
    std::size_t maxRecords = 4096; ///< about 150 B each; those with the fewest crashes are dropped first, of these the oldest
    std::size_t maxAnswers = 16384; ///< about 70 B each; one minute's answers of a router at 270 requests/s
    std::size_t maxEndpointsPerRecord = 16;
    /// Crashes from which on a record goes to all routers and to the store. A
    /// single crash implicates every request that the endpoint was running, so
    /// only a few routers count these.
    std::size_t minCrashesToShare = 2;
    int sendsPerUpdate = 3; ///< times that each update is sent, because datagrams may be lost
};

/// One router's view of the requests that crash endpoints. Does no I/O; safe to
/// use from several threads.
class RequestQuarantine
{
public:
    explicit RequestQuarantine(QuarantineOptions options = {})
        : m_options(options)
    {
    }

    /// Returns the time until which the content must not be sent to an endpoint, or nothing when it may be sent.
    std::optional<Clock::time_point> quarantinedUntil(uint64_t content, Clock::time_point now) const;
    /// Returns the quarantine of a request with several keys, or nothing when it may be sent.
    std::optional<Verdict> quarantineOf(const std::vector<uint64_t> &keys, Clock::time_point now) const;
    /// Reports that the answer to a request of this router broke off: the endpoint may have crashed.
    void recordBrokenResponse(uint64_t content, uint64_t endpoint, Clock::time_point now);
    /// Reports that the endpoint is alive, and withdraws the suspicion against the content.
    void recordAlive(uint64_t content, uint64_t endpoint);
    /// Reports that the endpoint crashed while it ran a request of this router.
    void recordCrash(uint64_t content, uint64_t endpoint, Clock::time_point now);
    /// Reports that a request through this router was answered completely.
    void recordCompleteResponse(uint64_t content, Clock::time_point now);
    /// Merges a record received from another router or read from the store. If
    /// this router has seen a recent complete answer, it queues that answer for
    /// the others instead.
    void merge(const CrashRecord &record, Clock::time_point now);
    /// Merges a suspicion received from another router, with the same exception.
    void merge(const Suspicion &suspicion, Clock::time_point now);
    /// Merges a complete answer reported by another router or released by an operator, and clears the content.
    void merge(const CompleteResponse &answer);

    /// Takes the updates due in this round from the queues: at most limit of each kind, except urgent.
    Updates takeUpdates(std::size_t limit);
    /// Returns up to limit quarantined records, in rotation from call to call,
    /// for routers that missed the updates.
    std::vector<CrashRecord> nextQuarantined(std::size_t limit, Clock::time_point now);
    /// Returns the contents to be written to the store since the last call.
    std::vector<uint64_t> takeUnsaved();
    /// Queues a content for takeUnsaved() again, after a failed write.
    void markUnsaved(uint64_t content);
    /// Queues all contents for takeUnsaved(), after the store lost recent writes.
    void markAllUnsaved();
    /// Returns the record of a content, or nothing when there is none.
    std::optional<CrashRecord> find(uint64_t content) const;
    /// Returns the number of quarantined contents; suspicions alone do not count.
    std::size_t quarantinedCount(Clock::time_point now) const;
    const QuarantineOptions &options() const
    {
        return m_options;
    }
    /// Called, from any thread, when an update should be sent before the next round.
    std::function<void()> onUrgentUpdate;

private:
    bool isQuarantined(const CrashRecord &record, Clock::time_point now) const;
    std::optional<Clock::time_point> suspectedUntil(uint64_t content, Clock::time_point now) const;
    void broadcastSuspicions(uint64_t content);
    bool isUrgent(uint64_t content, Clock::time_point now) const;
    bool addSuspicion(const Suspicion &suspicion, Clock::time_point now);
    void pruneSuspicions(Clock::time_point now);
    void notifyIfUrgent(bool urgentUpdate) const;
    bool recentlyAnswered(uint64_t content, Clock::time_point endedAt) const;
    bool acceptRecord(const CrashRecord &record, Clock::time_point now);
    std::size_t mergeRecord(const CrashRecord &record, Clock::time_point now);
    void addAnswer(const CompleteResponse &answer);
    bool clearContent(const CompleteResponse &answer);
    void evictRecord();

    QuarantineOptions m_options;
    mutable std::mutex m_mutex;
    std::map<uint64_t, CrashRecord> m_records; ///< by content
    std::map<uint64_t, std::map<uint64_t, Clock::time_point>> m_suspicions; ///< time of each, by content and endpoint
    std::deque<Suspicion> m_pendingSuspicions; ///< to be sent to other routers; the newest at the back
    std::set<uint64_t> m_urgent; ///< contents of m_pendingSuspicions and m_pendingRecords that go to all routers
    std::map<uint64_t, Clock::time_point> m_answers; ///< time of the last complete answer, by content
    std::map<uint64_t, int> m_pendingRecords; ///< remaining sends, by content
    std::map<uint64_t, int> m_pendingAnswers; ///< remaining sends, by content
    std::set<uint64_t> m_unsaved; ///< contents to be written to the store
    uint64_t m_repeatCursor = 0; ///< content of the last record that nextQuarantined() returned
};

} // namespace yucca::quarantine
