// Simulates the failure detectors of all routers of a fleet, which lose datagrams, stand still, are killed, restart, and are cut off by
// failure domain. Seeded and deterministic.
#pragma once

#include "peers/failure_detector.h"
#include "task.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace yucca::model
{

/// The fleet to simulate.
struct DetectorFleetOptions {
    std::size_t routers = 9;
    std::size_t domains = 5; ///< failure domains; router n is in domain n modulo domains
    uint64_t seed = 1;
    double loss = 0; ///< share of the datagrams that are lost
};

/// Datagrams sent since the last reset, over all routers.
struct DetectorTraffic {
    std::size_t datagrams = 0;
    std::size_t bytes = 0; ///< with IP and UDP headers, if sent as CBOR
};

/// The detectors of a fleet in virtual time.
class DetectorFleet
{
public:
    explicit DetectorFleet(DetectorFleetOptions options);

    /// Advances the simulation.
    void run(Millis time);
    /// Advances the simulation until the given share of the other running routers take a router for unreachable, or until the limit has
    /// passed. Returns the time taken; nothing if the limit has passed.
    std::optional<Millis> runUntilUnreachable(std::size_t router, double share, Millis limit);
    void kill(std::size_t router);
    /// Starts a killed router, which knows nothing but the list of routers.
    void restart(std::size_t router);
    /// Lets a router stand still; datagrams that arrive meanwhile are lost.
    void pause(std::size_t router, Millis time);
    void announceLeaving(std::size_t router)
    {
        m_routers[router].detector->announceLeaving();
    }
    /// Cuts a failure domain off from the others, or connects it again.
    void setCutOff(std::size_t domain, bool cutOff);

    std::size_t size() const
    {
        return m_routers.size();
    }
    bool isRunning(std::size_t router) const
    {
        return m_routers[router].running;
    }
    /// True if the first router takes the second one for reachable.
    bool reaches(std::size_t from, std::size_t to) const
    {
        return m_routers[from].detector->isReachable(m_keys[to]);
    }
    /// The number of running routers that take any listed router for unreachable.
    std::size_t doubtfulRouters() const;
    /// The number of running routers that take themselves for the first by name; the index stands for the name.
    std::size_t firstByName() const;
    DetectorTraffic takeTraffic()
    {
        return std::exchange(m_traffic, {});
    }

private:
    struct Router {
        std::unique_ptr<peers::FailureDetector> detector;
        bool running = true;
        Millis pausedUntil{0};
        Millis phase{0}; ///< of its ticks
    };
    struct Message {
        std::size_t from = 0;
        peers::DetectorMessage content;
    };
    void start(std::size_t router);
    bool isAwake(std::size_t router) const;
    bool arrives(std::size_t from, std::size_t to, std::size_t bytes);
    void post(std::size_t from, std::vector<peers::DetectorMessage> messages);
    void deliverAll();
    void deliver(const Message &message);
    void receive(std::size_t from, std::size_t to, const peers::DetectorMessage &message);

    DetectorFleetOptions m_options;
    std::vector<peers::RouterKey> m_keys;
    std::unordered_map<peers::RouterKey, std::size_t> m_indexes; ///< by key
    std::vector<Router> m_routers;
    std::set<std::size_t> m_cutOff; ///< failure domains
    std::deque<Message> m_messages;
    std::mt19937_64 m_random;
    Millis m_now{0};
    DetectorTraffic m_traffic;
};

} // namespace yucca::model
