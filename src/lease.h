// Leases kept as objects in the object API: at most one holder at a time,
// each with a fencing number higher than every holder before it, also where the
// store returns from an older copy and has lost who held it last.
#pragma once

#include "object_api.h"
#include "task.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace yucca::lease
{

/// The object kind that holds the leases.
inline constexpr const char *leaseKind = "lease";

/// Time since boot, suspension included (CLOCK_BOOTTIME): a holder whose VM
/// was frozen must see that time has passed.
using BootTime = std::chrono::nanoseconds;
using BootClock = std::function<BootTime()>;

/// The machine's CLOCK_BOOTTIME.
BootTime bootTimeNow();

/// One process's part in a named lease. Nobody's wall clock enters: a
/// holder counts from before its own renewal was sent; others wait until
/// they have seen the same record unchanged for its whole duration.
class Lease
{
public:
    Lease(platform::ObjectApi &api, std::string name, std::string holder, Millis duration, BootClock clock = bootTimeNow);

    /// Takes the lease when it is free or lapsed, or renews it when held.
    /// True when held afterwards.
    Task<bool> acquireOrRenew();
    /// Gives the lease up, so that another need not wait for it to lapse.
    Task<void> release();
    /// True while this process may act as the holder: it stops being so a
    /// safety margin before others may take the lease.
    bool held() const;
    /// The holder's fencing number; higher for every new holder.
    uint64_t fence() const
    {
        return m_fence;
    }

private:
    /// A record of another's, or an epoch, and since when it has been known.
    struct Seen {
        store::Epoch epoch = 0;
        uint64_t version = 0;
        BootTime since{};
    };
    bool mayHaveLostHolder(store::Epoch epoch);
    bool lapsed(const platform::Object &object);
    Task<bool> write(std::optional<uint64_t> ifVersion, uint64_t fence, BootTime began, store::Epoch epoch);

    platform::ObjectApi &m_api;
    std::string m_name;
    std::string m_holder; ///< unique per process
    Millis m_duration;
    BootClock m_clock;
    uint64_t m_fence = 0;
    uint64_t m_version = 0; ///< of the record while it is ours; 0 when it is not
    store::Epoch m_epoch = 0; ///< in which it was taken
    BootTime m_heldUntil{};
    Seen m_seen;
    Seen m_epochSeen;
};

} // namespace yucca::lease
