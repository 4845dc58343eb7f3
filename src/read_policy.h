// How current the answers of a store's watches must be: cheap ones that may
// lag while all is calm, current ones as soon as anything speaks against it.
#pragma once

#include "object_api.h"
#include "task.h"

#include <algorithm>

namespace yucca
{

/// Times of ReadPolicy.
struct ReadPolicyOptions {
    /// In calm times a follower's watch is a current one this often: it shows
    /// a replica that lags without a sign. Costs 0.1 calls/s a follower.
    Millis checkEvery{10000};
    /// After a sign of trouble all watches are current for this long: a store
    /// that has dropped its history answers from old replicas for up to 12 s.
    Millis doubtFor{20000};
    /// A current watch that answers sooner had its news waiting: the replica
    /// that was asked before it may not have told them. The store answers in 4 ms.
    Millis waitingNews{30};
    /// So long that alone is a reason for current watches. News also follow
    /// each other that fast where many endpoints change at once; a replica that
    /// is behind shows it in the next answer that may lag, as its revision is
    /// below the newest known. With 20 s for this sign 60 routers made 5,250
    /// calls on a calm day of 44 s.
    Millis doubtOfWaiting{2500};
};

/// Shared by the followers of one store; used from the control thread.
class ReadPolicy
{
public:
    explicit ReadPolicy(ReadPolicyOptions options = {})
        : m_options(options)
    {
    }

    /// How current the next watch of a follower must be, whose last current
    /// answer came at a moment.
    platform::Freshness choose(Clock::time_point lastCurrent, Clock::time_point now) const
    {
        const bool check = now < m_doubtUntil || now - lastCurrent >= m_options.checkEvery;
        return check ? platform::Freshness::Current : platform::Freshness::MayLag;
    }
    /// Something went wrong with the store: replicas may be far behind.
    void doubt(Clock::time_point now)
    {
        doubtUntil(now + m_options.doubtFor);
    }
    /// The store returned from an older copy: revisions known so far say nothing.
    void restored(Clock::time_point now)
    {
        m_newest = 0;
        doubt(now);
    }
    /// Learns from an answered watch: the store's revision in it, whether it
    /// had news, when it was asked for, and what the follower's answer before it was.
    void answered(platform::Freshness freshness, uint64_t revision, bool news, Clock::time_point askedAt, Clock::time_point now,
                  platform::Freshness before = platform::Freshness::MayLag)
    {
        const bool behind = freshness == platform::Freshness::MayLag && revision < m_newest;
        const bool replicaBefore = freshness == platform::Freshness::Current && before == platform::Freshness::MayLag;
        if (behind) {
            doubt(now);
        } else if (replicaBefore && news && now - askedAt < m_options.waitingNews) {
            doubtUntil(now + m_options.doubtOfWaiting);
        }
        m_newest = std::max(m_newest, revision);
    }

private:
    void doubtUntil(Clock::time_point end)
    {
        m_doubtUntil = std::max(m_doubtUntil, end);
    }

    ReadPolicyOptions m_options;
    Clock::time_point m_doubtUntil{};
    uint64_t m_newest = 0; ///< the highest revision that any answer told
};

} // namespace yucca
