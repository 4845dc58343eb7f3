// Leases kept as objects in the platform's store: at most one holder at a time,
// each with a fencing token higher than those of all holders before it, also
// after the store was restored from a backup and has lost the last holder.
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

/// Time since boot including suspension (CLOCK_BOOTTIME), so that a holder whose
/// VM was frozen sees the time that has passed.
using BootTime = std::chrono::nanoseconds;
using BootClock = std::function<BootTime()>;

/// Reads CLOCK_BOOTTIME.
BootTime bootTimeNow();

/// One process's handle on a named lease. No wall clock is involved: a holder
/// counts the duration from before it sent its last renewal; other processes
/// take the lease once they have seen the record unchanged for its whole duration.
class Lease
{
public:
    /// holder must be unique per process, also across restarts.
    Lease(platform::ObjectApi &api, std::string name, std::string holder, Millis duration, BootClock clock = bootTimeNow);

    /// Takes the lease when it is free or expired, or renews it when it is held.
    /// Returns true when this process holds it afterwards.
    Task<bool> acquireOrRenew();
    /// Gives the lease up, so that the next holder need not wait for it to expire.
    Task<void> release();
    /// True while this process may act as the holder. It turns false a quarter of
    /// the duration before another process may take the lease.
    bool held() const;
    /// The fencing token of this process's last term; higher for every new term.
    uint64_t fence() const
    {
        return m_fence;
    }

private:
    /// A version of the record, or an epoch of the store, and when this process first saw it.
    struct Observation {
        store::Epoch epoch = 0;
        uint64_t version = 0;
        BootTime since{};
    };
    bool mayHaveUnknownHolder(store::Epoch epoch);
    bool hasExpired(const platform::Object &object);
    Task<bool> writeRecord(std::optional<uint64_t> ifVersion, uint64_t fence, BootTime startedAt, store::Epoch epoch);

    platform::ObjectApi &m_api;
    std::string m_name;
    std::string m_holder;
    Millis m_duration;
    BootClock m_clock;
    uint64_t m_fence = 0;
    uint64_t m_version = 0; ///< version of the record while it is this process's; else 0
    store::Epoch m_epoch = 0; ///< epoch of the store in which the lease was taken
    BootTime m_heldUntil{};
    Observation m_observedRecord;
    Observation m_observedEpoch;
};

} // namespace yucca::lease
