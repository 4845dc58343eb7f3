// At-most-once execution of non-idempotent calls. A router creates a claim
// record per idempotency key in the platform's object store before it forwards
// the call, and stores the response in that record afterwards.
#pragma once

#include "object_api.h"
#include "task.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>

namespace yucca::idempotency
{

/// The object kind of the records of callers' requests.
inline constexpr const char *recordKind = "idem";

/// What a router does with a request that carries an idempotency key.
enum class Decision {
    Run, ///< this router holds the claim and forwards the call once
    Replay, ///< the call ran before; the stored response is returned
    InProgress, ///< another attempt holds the claim; its outcome is not known yet
    NotRun, ///< no claim was granted (store unreachable, rate limited or just restored), so the call did not run
    Mismatch, ///< the key was used before for a different request
};

inline constexpr NameTable<Decision, 5> decisionNames{{{Decision::Run, "run"},
                                                       {Decision::Replay, "replay"},
                                                       {Decision::InProgress, "in_progress"},
                                                       {Decision::NotRun, "not_run"},
                                                       {Decision::Mismatch, "mismatch"}}};

/// The result of Guard::claim().
struct Claim {
    Decision decision = Decision::NotRun;
    platform::Object record; ///< the record in the store, when there is one
    unsigned storedStatus = 0; ///< HTTP status of the stored response, for Replay
    std::string storedBody; ///< for Replay
};

/// Handling of a store that is restored from a backup and has lost the later writes.
struct RestoreOptions {
    /// No claims are granted for this long after this router learns of the
    /// restore, while the other routers rewrite their lost records. Each learns
    /// of the restore within one watch timeout, 2 s.
    Millis claimPauseAfterRestore{5000};
    Millis recentRecordAge{std::chrono::minutes(1)}; ///< records older than this may be dropped; backups are seconds old
    std::size_t maxRecentRecords = 20000; ///< about 400 B each; the oldest are dropped first
};

/// Creates and settles the claims of one router; safe to use from several threads.
class Guard
{
public:
    /// owner is the router's id; kind is the object kind of the records.
    Guard(platform::ObjectApi &api, std::string owner, std::string kind = recordKind, RestoreOptions options = {});

    /// Claims a workspace's key for a request with the given content hash. Each
    /// attempt writes a new nonce, by which it recognises its own claim when the
    /// store's answer was lost.
    Task<Claim> claim(std::string workspace, std::string key, uint64_t requestHash);
    /// Returns the final record of a call that ran, with the response's HTTP status and body.
    static nlohmann::json completed(const Claim &claim, unsigned status, const std::string &body);
    /// Returns the final record of a call that certainly did not run; a retry may run it.
    static nlohmann::json released(const Claim &claim);
    /// Writes the final record of a claim once. Fails with Unavailable when the
    /// store could not be reached, with AnswerLost when the write may have taken
    /// effect, and with Conflict when the record was changed by another writer.
    Task<Result<platform::Object>> settle(Claim claim, nlohmann::json record);
    /// Settles a claim, with retries at growing delays for 10 min: a record left
    /// "started" would answer every retry of the caller with "unknown" for good.
    /// Returns false when the record was not written.
    Task<bool> settleEventually(Claim claim, nlohmann::json record);

    /// Records an epoch that the store gave to another client of this process. A higher
    /// epoch than known means that the store was restored. Callable from any thread.
    void recordEpoch(store::Epoch epoch, Clock::time_point now);
    /// After a restore of the store, rewrites the records of this router that it
    /// lost; else does nothing. When the store fails, the next call tries again.
    Task<void> rewriteLostRecords();

    /// Returns the URL-safe record name of a workspace's key.
    static std::string recordName(const std::string &workspace, const std::string &key);

private:
    struct RecentRecord {
        nlohmann::json value;
        Clock::time_point at{};
    };
    bool claimsSuspended(Clock::time_point now);
    void addRecent(const std::string &name, const nlohmann::json &value);
    std::map<std::string, RecentRecord> takeRecordsToRestore(Clock::time_point now);
    Task<Result<platform::Object>> rewriteRecord(std::string name, nlohmann::json record);
    Claim interpretRecord(const platform::Object &existing, uint64_t requestHash, const std::string &nonce);

    platform::ObjectApi &m_api;
    std::string m_owner;
    std::string m_kind;
    std::string m_processId; ///< random per process: nonces never repeat across restarts
    std::atomic<uint64_t> m_attempts{0}; ///< claims of this process so far, for their nonces
    RestoreOptions m_options;
    std::mutex m_mutex;
    std::map<std::string, RecentRecord> m_recentRecords; ///< records that this router wrote recently, by name
    store::Epoch m_epoch = 0;
    Clock::time_point m_claimsResumeAt{};
    bool m_restorePending = false;
};

} // namespace yucca::idempotency
