// At-most-once execution of non-idempotent calls, recorded through the
// platform's object API: a create-only claim per idempotency key, then
// the stored answer.
#pragma once

#include "object_api.h"
#include "task.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>

namespace yucca::idempotency
{

/// The object kind that holds the records of callers' requests.
inline constexpr const char *recordKind = "idem";

/// What a router may do with a request that carries an idempotency key.
enum class Decision {
    Run, ///< this router holds the claim: forward the call once
    Replay, ///< the call ran before: answer with the stored answer
    InProgress, ///< another attempt holds the claim; its outcome is not known yet
    NotRun, ///< no claim could be taken (store down or rate limited): not run
    Mismatch, ///< the key was used before for a different request
};

inline constexpr NameTable<Decision, 5> decisionNames{{{Decision::Run, "run"},
                                                       {Decision::Replay, "replay"},
                                                       {Decision::InProgress, "in_progress"},
                                                       {Decision::NotRun, "not_run"},
                                                       {Decision::Mismatch, "mismatch"}}};

/// The outcome of a claim, with the record when there is one.
struct Claim {
    Decision decision = Decision::NotRun;
    platform::Object record;
    unsigned storedStatus = 0;
    std::string storedBody;
};

/// What a guard does about a store that returns from an older copy.
struct RestoreOptions {
    /// No claims are taken for so long after the return is known: the routers
    /// whose records were lost write them again meanwhile. Each hears of the
    /// return within a watch's wait of 2 s.
    Millis claimsAfterRestore{5000};
    Millis rememberedFor{std::chrono::minutes(1)}; ///< copies are seconds old
    std::size_t mostRemembered = 20000; ///< of about 400 B; the oldest go first
};

/// Takes and settles claims for one router.
class Guard
{
public:
    /// Records are of the given kind.
    Guard(platform::ObjectApi &api, std::string owner, std::string kind = recordKind, RestoreOptions options = {});

    /// Claims key for a request whose body hashes to requestHash.
    /// Each attempt is identified by a fresh nonce so that a claim whose
    /// answer was lost can be recognised as one's own.
    Task<Claim> claim(std::string workspace, std::string key, uint64_t requestHash);
    /// The record of a call that ran, with its answer.
    static nlohmann::json completed(const Claim &claim, unsigned status, const std::string &body);
    /// The record of a call that certainly did not run: a retry may run it.
    static nlohmann::json released(const Claim &claim);
    /// Writes the final record of a claim. Unavailable when the store could
    /// not be reached; Conflict when somebody else settled it.
    Task<Result<platform::Object>> settle(Claim claim, nlohmann::json record);
    /// Settles a claim however long the store is away, up to a limit, with
    /// growing pauses: a record left "started" would answer "unknown" for good.
    Task<bool> settleEventually(Claim claim, nlohmann::json record);

    /// The store told an epoch to somebody else; from any thread.
    void noteEpoch(store::Epoch epoch, Clock::time_point now);
    /// After the store's return, writes again the records of this router that it
    /// lost; else does nothing. Goes on with the next call where the store fails.
    Task<void> restoreLost();

    /// The record name of a key: workspace and key, URL-safe.
    static std::string recordName(const std::string &workspace, const std::string &key);

private:
    struct Remembered {
        nlohmann::json value;
        Clock::time_point at{};
    };
    bool restoring(Clock::time_point now);
    void remember(const std::string &name, const nlohmann::json &value);
    std::map<std::string, Remembered> toRestore(Clock::time_point now);
    Task<Result<platform::Object>> writeAgain(std::string name, nlohmann::json record);
    Claim decide(const platform::Object &existing, uint64_t requestHash, const std::string &nonce);

    platform::ObjectApi &m_api;
    std::string m_owner;
    std::string m_kind;
    std::string m_boot; ///< random per process: nonces never repeat across restarts
    std::atomic<uint64_t> m_attempts{0}; ///< traffic threads claim concurrently
    RestoreOptions m_options;
    std::mutex m_mutex;
    std::map<std::string, Remembered> m_remembered; ///< records of this router, by name
    store::Epoch m_epoch = 0;
    Clock::time_point m_claimsFrom{};
    bool m_restorePending = false;
};

} // namespace yucca::idempotency
