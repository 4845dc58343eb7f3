// The routers that may be running, as far as one router knows, and this router's share of limits that all of them have in common.
#pragma once

#include "boot_clock.h"
#include "task.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace yucca::peers
{

/// Bounds on what a router may not know yet.
struct MembershipOptions {
    Millis limitWindow{10000}; ///< the longest window of a shared limit
    Millis listingLifetime{13000}; ///< a listing counts for this long: one interval between listings, and a slow call
    Millis readLag{5000}; ///< a listing shows every entry that was written this long before
    Millis arrivalDelay{3000}; ///< from the use of a limit until its effect at an endpoint
};

/// Shares a limit among the routers of a fleet so that in any window the shares in use add up to one at most, whatever the routers know
/// of each other, as long as the bounds of MembershipOptions hold. A router has no share
///
/// - until settlingTime() after its entry was listed: then all others divide by a number that includes it, and what its predecessor
///   spent has left the window;
/// - while its last listing is older than listingLifetime: it does not know of routers that were added since.
///
/// A router that is no longer listed counts for settlingTime() more, as it may still use its share. Thread-safe; no I/O.
class FleetMembership
{
public:
    explicit FleetMembership(MembershipOptions options = {})
        : m_options(options)
    {
    }

    /// Records a listing of the routers' entries, with the times before and after the call.
    void recordListing(const std::vector<std::string> &others, bool listsSelf, BootClock::time_point begunAt, BootClock::time_point endedAt);
    /// Returns the names of the other routers that are listed, or were until settlingTime() ago.
    std::vector<std::string> mayBeRunning() const;
    /// Returns this router's share of a limit of the fleet, from 0 to 1.
    double share(BootClock::time_point now) const;
    /// Replaces the longest window of a shared limit.
    void setLimitWindow(Millis window);

private:
    Millis settlingTime() const
    {
        return m_options.limitWindow + m_options.listingLifetime + m_options.readLag + m_options.arrivalDelay;
    }

    mutable std::mutex m_mutex;
    MembershipOptions m_options;
    std::map<std::string, std::optional<BootClock::time_point>> m_others; ///< with the begin of the first listing that lacked them
    std::optional<BootClock::time_point> m_listedAt; ///< begin of the last listing
    std::optional<BootClock::time_point> m_listsSelfSince;
};

} // namespace yucca::peers
