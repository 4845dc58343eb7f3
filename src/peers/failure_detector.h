// Detects which routers of the fleet can be reached, after SWIM (Das, Gupta and Motivala, 2002): each router probes one other at a
// time, has others probe it too before it suspects it, and spreads what it concludes. A router that is suspected contradicts under a
// higher incarnation. The load of a router does not grow with the fleet. No I/O.
#pragma once

#include "task.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace yucca::peers
{

/// Identifies a router: the hash of its id.
using RouterKey = uint64_t;

/// What is known of a router; of equal incarnations the later one in this order holds.
enum class RouterState {
    Alive,
    Suspected, ///< probes failed, and the router may still contradict
    Unreachable, ///< it has not contradicted: killed, paused or cut off
    Left, ///< it announced that it stops
};

/// The state of one router, as routers spread it.
struct RouterStatus {
    RouterKey router = 0;
    uint64_t incarnation = 0; ///< raised by the router itself, to contradict a state
    RouterState state = RouterState::Alive;
    bool operator==(const RouterStatus &) const = default;
};

/// A request to probe another router for the sender.
struct PingRequest {
    uint64_t sequence = 0; ///< of the sender's probe
    RouterKey target = 0;
    bool operator==(const PingRequest &) const = default;
};

/// Contents of datagrams to one router. Each part goes into a datagram of its own.
struct DetectorMessage {
    RouterKey to = 0;
    std::vector<uint64_t> pings = {}; ///< sequence numbers that the receiver returns
    std::vector<uint64_t> acks = {}; ///< sequence numbers of the receiver's probes that were answered
    std::vector<PingRequest> pingRequests = {};
    std::vector<RouterStatus> statuses = {};
};

/// Intervals and counts. A killed router is unreachable after the time until somebody probes it (probeInterval on average), probeTimeout
/// and suspicionTimeout(). A router that stands still for a second learns that it is suspected in time to contradict.
struct DetectorOptions {
    Millis tickInterval{200}; ///< between calls of tick(); a longer interval counts as twice this
    Millis probeInterval{400}; ///< between two probes of this router
    Millis directTimeout{300}; ///< until other routers are asked to probe
    Millis probeTimeout{900}; ///< until a router that did not answer is suspected
    Millis minSuspicion{1200}; ///< until a router that did not contradict is unreachable, in a fleet that one tick reaches
    std::size_t indirectProbes = 3; ///< routers that are asked to probe
    std::size_t spreadPeers = 6; ///< receivers of statuses in a tick
    std::size_t maxStatuses = 48; ///< in a datagram; about 15 B each
    std::size_t reminderStatuses = 8; ///< statuses that accompany an answer to a probe
    uint64_t unreachableProbeRatio = 10; ///< one probe of this many goes to an unreachable router, which may be back
};

/// One router's view of the others. Used from one thread.
class FailureDetector
{
public:
    FailureDetector(RouterKey self, uint64_t seed, DetectorOptions options = {});

    /// Replaces the other routers by the listed ones. New ones are taken for alive until probes fail.
    void setRouters(const std::vector<RouterKey> &others);
    /// Advances time, and returns the messages to send. Time in which this router stood still does not count against others.
    std::vector<DetectorMessage> tick(Clock::time_point now);
    /// Records any datagram of a listed router, and returns what must be sent in turn: a router that is believed to be gone learns so.
    std::vector<DetectorMessage> recordHeard(RouterKey from);
    /// Returns what accompanies the answer to a probe: statuses of routers that are not alive.
    std::vector<RouterStatus> reminders();
    /// Processes the answer to one of this router's probes, made for itself or for another router.
    std::vector<DetectorMessage> recordAck(uint64_t sequence, RouterKey from);
    /// Processes another router's request to probe a third one.
    std::vector<DetectorMessage> recordPingRequest(const PingRequest &request, RouterKey from);
    /// Merges a status from another router. A router that was unreachable for others only is suspected first, so that it can contradict:
    /// after a cut, each side has its own view. Returns this router's contradiction of a status of its own.
    std::vector<DetectorMessage> merge(const RouterStatus &status, RouterKey from);
    /// Announces that this router stops, with the next ticks.
    void announceLeaving();

    /// True unless the router is known to be unreachable or to have left. False for a router that is not listed.
    bool isReachable(RouterKey router) const;
    /// Returns how long a router has not been reachable, as far as this router ran meanwhile; zero for a reachable or unlisted one.
    Clock::duration unreachableFor(RouterKey router) const;
    /// The number of listed routers that are reachable.
    std::size_t reachableCount() const
    {
        return m_routers.size() - m_absent;
    }
    /// The number of listed routers besides this one.
    std::size_t routerCount() const
    {
        return m_routers.size();
    }
    /// Time until a suspected router that did not contradict is unreachable. Grows with the time that a status takes to reach all routers.
    Clock::duration suspicionTimeout() const;
    const DetectorOptions &options() const
    {
        return m_options;
    }

private:
    struct Router {
        uint64_t incarnation = 0;
        RouterState state = RouterState::Alive;
        Clock::duration since{}; ///< running time at the last change of state
        Clock::duration remindedAt = Clock::duration::min(); ///< running time when it was last told its status
    };
    /// A probe that is not answered yet.
    struct Probe {
        RouterKey target = 0;
        Clock::duration startedAt{};
        std::optional<PingRequest> requestedBy = {}; ///< what another router asked for
        RouterKey requester = 0;
        bool othersAsked = false;
    };
    void startProbe(std::vector<DetectorMessage> &out);
    std::optional<RouterKey> nextTarget();
    void checkProbes(std::vector<DetectorMessage> &out);
    void checkSuspicions();
    void spread(std::vector<DetectorMessage> &out);
    std::vector<RouterKey> nextToSpread();
    void askOthers(uint64_t sequence, Probe &probe, std::vector<DetectorMessage> &out);
    void setState(RouterKey key, Router &router, uint64_t incarnation, RouterState state);
    void startSpreading(RouterKey router);
    std::optional<RouterStatus> statusOf(RouterKey router) const;
    std::vector<RouterKey> randomReachable(std::size_t count, RouterKey except);
    static bool isAbsent(RouterState state)
    {
        return state == RouterState::Unreachable || state == RouterState::Left;
    }

    RouterKey m_self;
    DetectorOptions m_options;
    std::mt19937_64 m_random;
    uint64_t m_incarnation = 0;
    bool m_leaving = false;
    std::unordered_map<RouterKey, Router> m_routers;
    std::size_t m_absent = 0; ///< routers that are not reachable
    std::vector<RouterKey> m_order; ///< in which the routers are probed; shuffled after each pass
    std::size_t m_next = 0; ///< in m_order
    std::vector<RouterKey> m_suspects; ///< suspected routers, and some that no longer are
    std::vector<RouterKey> m_absentees; ///< routers that are not reachable, and some that are again
    std::map<uint64_t, Probe> m_probes; ///< by sequence number
    uint64_t m_sequence;
    uint64_t m_probeCount = 0;
    std::map<RouterKey, std::size_t> m_copiesLeft; ///< of the statuses that are being spread
    std::optional<Clock::time_point> m_lastTick;
    Clock::duration m_running{}; ///< time in which this router ran
    Clock::duration m_lastProbeAt{};
};

} // namespace yucca::peers
