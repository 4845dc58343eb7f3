// Decides how current the answers of a store's watches must be: cheap answers that may lag in normal operation, current ones
// after any sign of a problem.
#pragma once

#include "object_api.h"
#include "task.h"

#include <algorithm>

namespace yucca
{

/// Intervals of ReadPolicy.
struct ReadPolicyOptions {
    /// Interval of a follower's current watches in normal operation. They reveal a replica that lags without any other sign, and cost
    /// 0.1 calls/s per follower.
    Millis currentReadInterval{10000};
    /// Duration of current watches after a sign of a problem. A store that has dropped its history answers from stale replicas for up
    /// to 12 s.
    Millis currentOnlyPeriod{20000};
    /// If a current watch answers with changes sooner than this, the changes existed before the call, and the replica asked before may
    /// not have reported them. The store answers in 4 ms.
    Millis immediateAnswerMax{30};
    /// Duration of current watches after such an answer, which alone is a weak sign: changes also follow each other this fast while
    /// many endpoints change. A lagging replica shows in its next answer, whose revision is below the newest known one. A much longer
    /// duration multiplies the store calls of normal operation.
    Millis immediateAnswerPeriod{2500};
};

/// Shared by the followers of one store; used on the control thread.
class ReadPolicy
{
public:
    explicit ReadPolicy(ReadPolicyOptions options = {})
        : m_options(options)
    {
    }

    /// Returns how current a follower's next watch must be, given the time of its last current answer.
    platform::Freshness choose(Clock::time_point lastCurrent, Clock::time_point now) const
    {
        const bool needsCurrent = now < m_currentOnlyUntil || now - lastCurrent >= m_options.currentReadInterval;
        return needsCurrent ? platform::Freshness::Current : platform::Freshness::MayLag;
    }
    /// Reports a problem with the store: replicas may lag far behind.
    void requireCurrent(Clock::time_point now)
    {
        requireCurrentUntil(now + m_options.currentOnlyPeriod);
    }
    /// Reports that the store was restored from a backup: known revisions are no longer comparable.
    void recordRestore(Clock::time_point now)
    {
        m_newestRevision = 0;
        requireCurrent(now);
    }
    /// Evaluates an answered watch: its freshness and revision, whether it had changes, when it was requested, and the freshness of the
    /// follower's previous answer.
    void recordAnswer(platform::Freshness freshness, uint64_t revision, bool hasChanges, Clock::time_point requestedAt, Clock::time_point now,
                      platform::Freshness previous = platform::Freshness::MayLag)
    {
        const bool behind = freshness == platform::Freshness::MayLag && revision < m_newestRevision;
        const bool previousFromReplica = freshness == platform::Freshness::Current && previous == platform::Freshness::MayLag;
        if (behind) {
            requireCurrent(now);
        } else if (previousFromReplica && hasChanges && now - requestedAt < m_options.immediateAnswerMax) {
            requireCurrentUntil(now + m_options.immediateAnswerPeriod);
        }
        m_newestRevision = std::max(m_newestRevision, revision);
    }

private:
    void requireCurrentUntil(Clock::time_point end)
    {
        m_currentOnlyUntil = std::max(m_currentOnlyUntil, end);
    }

    ReadPolicyOptions m_options;
    Clock::time_point m_currentOnlyUntil{};
    uint64_t m_newestRevision = 0; ///< the highest revision in any answer
};

} // namespace yucca
