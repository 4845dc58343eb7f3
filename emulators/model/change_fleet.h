// Simulates how changes of the store's objects reach all routers of a fleet: the product's followers, shared replicas and change
// server, in virtual time, with the processor of each router, its link and the store's link as queues. Seeded and deterministic.
#pragma once

#include "change_exchange.h"
#include "follower.h"
#include "memory_store.h"
#include "model/virtual_time.h"
#include "peers/load_exchange.h"

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace yucca::model
{

/// Processor time of a router's steps, on one whole core; estimates.
struct ChangeCosts {
    std::chrono::duration<double, std::milli> perKilobyte{0.03}; ///< to parse, apply or encode objects
    std::chrono::duration<double, std::milli> perAnswer{0.3}; ///< of an HTTP answer, without its body
    std::chrono::duration<double, std::milli> perDatagram{0.05};
    std::chrono::duration<double, std::milli> perRound{0.3}; ///< of the exchange
};

/// The fleet to simulate.
struct ChangeFleetOptions {
    std::size_t routers = 9;
    std::size_t domains = 5; ///< failure domains; router n is in domain n modulo domains
    uint64_t seed = 1;
    double core = 0.12; ///< processor of a router
    double linkMbit = 20; ///< of a router, in each direction
    double storeLinkMbit = 1000;
    Millis storeLatency{4};
    Millis replicaLag{0}; ///< age of the state in answers that may lag
    double refusedShare = 0; ///< share of the routers that the store refuses once the fleet has started
    std::size_t silentPeers = 0; ///< routers that announce changes and do not answer requests for them, of each domain
    ChangeCosts costs = {};
};

/// A queue that serves one piece of work after the other: a processor or a link.
class WorkQueue
{
public:
    /// Returns when the work ends, if it is queued now.
    Clock::time_point enqueue(Clock::duration work)
    {
        m_busyUntil = std::max(m_busyUntil, Clock::now()) + work;
        m_busy += work;
        return m_busyUntil;
    }
    /// The total of all work so far.
    Clock::duration busy() const
    {
        return m_busy;
    }

private:
    Clock::time_point m_busyUntil{};
    Clock::duration m_busy{};
};

/// How long a change took to the routers, from the store's confirmation.
struct ChangeTimes {
    Millis half{};
    Millis last{};
    std::size_t reached = 0; ///< routers that have it
};

/// A fleet whose routers follow one kind of objects.
class ChangeFleet
{
public:
    explicit ChangeFleet(ChangeFleetOptions options);
    ~ChangeFleet();

    /// Writes a version of the one object, which then has about the given size in bytes as JSON.
    void write(std::size_t bytes);
    void run(Millis duration)
    {
        m_time.run(m_loop, duration);
    }
    /// Cuts a router off from all others, or ends that. It still reaches the store.
    void setAlone(std::size_t router, bool alone);
    /// Returns the times of the last written version. A router that got a later version instead has it too.
    ChangeTimes timesOfLastWrite() const;
    /// Bytes that the store sent since the start of the fleet.
    uint64_t storeBytes() const
    {
        return m_storeBytes;
    }
    /// Calls to the store since the start of the fleet.
    uint64_t storeCalls() const
    {
        return m_storeCalls;
    }
    /// Of these, the calls whose answers could lag.
    uint64_t laggingCalls() const
    {
        return m_laggingCalls;
    }

private:
    struct Router;
    class StoreLink;
    class PeerLink;
    /// A version as it was written.
    struct Write {
        Clock::time_point at{};
        store::Object object;
    };

    void start(std::size_t n);
    void writeVersion(std::size_t bytes);
    std::optional<store::Object> replicaState() const;
    Task<void> exchangeRounds(Router &router);
    Task<void> deliver(Router &from, std::size_t to, replica::Confirmation confirmation);
    Clock::duration transferTime(std::size_t bytes, double mbit) const;
    Clock::duration processorTime(std::chrono::duration<double, std::milli> core) const;

    ChangeFleetOptions m_options;
    VirtualTime m_time;
    asio::io_context m_loop{1};
    store::ObjectStore m_store;
    std::vector<Write> m_writes;
    Notifier m_storeChanged;
    WorkQueue m_storeLink;
    std::vector<std::unique_ptr<Router>> m_routers;
    std::mt19937_64 m_random;
    uint64_t m_storeBytes = 0;
    uint64_t m_storeCalls = 0;
    uint64_t m_laggingCalls = 0;
    int64_t m_version = 0;
    Clock::time_point m_writtenAt{};
    bool m_started = false;
    bool m_stopping = false;
};

} // namespace yucca::model
