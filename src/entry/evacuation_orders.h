// The evacuation orders in effect, including those that a restore of the store from a backup may have lost. No I/O.
#pragma once

#include "task.h"

#include <set>
#include <string>

namespace yucca::entry
{

/// Time after the return of a restored store within which operators write lost orders again.
inline constexpr Millis orderRewriteTime{2500};

/// Tracks the evacuated failure domains. An order that a restore lost stays in effect until it is listed again, or until
/// the store, having answered for orderRewriteTime, confirms that it was not. A restore from a second backup starts that
/// time anew: operators could not write while the store was away. Revisions can't show which of two orders is later, as
/// they are assigned again after a restore.
class EvacuationOrders
{
public:
    /// Replaces the listed orders by a complete listing, given as names of failure domains.
    void replaceListed(std::set<std::string> domains);
    /// Records that the order of a domain was written, or deleted.
    void setListed(const std::string &domain, bool listed);
    /// Called when the store has been restored, before its first listing: any order may be lost.
    void recordRestore(Clock::time_point now);
    /// Records that the store confirmed the listed orders at a time. Returns true if this ended lost orders.
    bool recordConfirmation(Clock::time_point at);
    /// Returns when this router noticed the last restore.
    Clock::time_point restoredAt() const
    {
        return m_restoredAt;
    }
    /// Returns the domains whose orders are listed or lost.
    std::set<std::string> inEffect() const;

private:
    std::set<std::string> m_listed;
    std::set<std::string> m_lost; ///< not listed since the last restore, but in effect before it
    Clock::time_point m_restoredAt{};
};

} // namespace yucca::entry
