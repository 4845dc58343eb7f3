#include "model/poisoned_part.h"

#include "peers/peer_message.h"
#include "yucca/ring.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace yucca::model
{

namespace
{

constexpr Millis minWriteDelay{40}; ///< from the arrival of a request to the first event
constexpr Millis maxWriteDelay{140};
constexpr Millis minRunTime{300};
constexpr Millis maxRunTime{1500};
constexpr Millis crashDetection{900}; ///< until a router knows that an engine crashed, and did not only break connections
constexpr Millis engineRestart{2500};
constexpr Millis updateRound{30}; ///< between two datagrams of a router, while there are urgent updates
constexpr std::size_t peersPerRound = 12;
constexpr std::size_t crashCounters = 3; ///< routers that count single crashes, in a fleet that one round does not reach
constexpr int maxSends = 2; ///< of one request
constexpr uint64_t poisonedPart = 0xbadbadbad;

struct Request {
    std::vector<uint64_t> keys;
    std::size_t router = 0;
    bool poisoned = false;
    int sends = 0;
};

enum class EventKind {
    Arrival, ///< at a router
    Writes, ///< an engine begins to write an answer
    Ends, ///< a request is answered completely
    Detected, ///< a router knows of a crash
    Restart, ///< an engine is back
    Chance, ///< an engine crashes without a cause in its requests
    Round, ///< all routers exchange updates
};

struct Event {
    Clock::time_point at{};
    uint64_t order = 0; ///< of creation: events of one moment keep it
    EventKind kind = EventKind::Arrival;
    Request request;
    std::size_t engine = 0;
    uint64_t incarnation = 0;
    bool operator>(const Event &other) const
    {
        return std::pair(at, order) > std::pair(other.at, other.order);
    }
};

struct Engine {
    uint64_t incarnation = 0;
    bool up = true;
    std::vector<std::pair<uint64_t, Request>> running; ///< with the number of the send
};

class Simulation
{
public:
    explicit Simulation(const PoisonedPartScenario &scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
        , m_quarantines(scenario.routers)
        , m_engines(scenario.engines)
    {
        for (auto &engine : m_engines) {
            engine.incarnation = ++m_incarnations;
        }
    }

    PoisonedPartOutcome run()
    {
        scheduleArrivals(m_scenario.soundPerS, Millis(0), false);
        scheduleArrivals(m_scenario.poisonedPerS, m_scenario.poisonFrom, true);
        scheduleChance();
        for (Millis at{0}; at < m_scenario.duration; at += updateRound) {
            schedule(m_start + at, EventKind::Round);
        }
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            if (event.at > m_start + m_scenario.duration) {
                break;
            }
            m_now = event.at;
            handle(event);
        }
        return m_outcome;
    }

private:
    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }
    Millis between(Millis min, Millis max)
    {
        return min + Millis(static_cast<int64_t>(uniform() * static_cast<double>((max - min).count())));
    }
    std::size_t index(std::size_t size)
    {
        return static_cast<std::size_t>(m_random() % size);
    }
    void schedule(Clock::time_point at, EventKind kind, Request request = {}, std::size_t engine = 0, uint64_t incarnation = 0)
    {
        m_events.push({at, ++m_order, kind, std::move(request), engine, incarnation});
    }

    void scheduleArrivals(double perS, Millis from, bool poisoned)
    {
        double at = static_cast<double>(from.count());
        const double end = static_cast<double>(m_scenario.duration.count());
        while (perS > 0 && (at += -std::log(1 - uniform()) * 1000 / perS) < end) {
            schedule(m_start + Millis(static_cast<int64_t>(at)), EventKind::Arrival, makeRequest(poisoned));
        }
    }
    void scheduleChance()
    {
        double at = 0;
        const double end = static_cast<double>(m_scenario.duration.count());
        while (m_scenario.chanceCrashesPerS > 0 && (at += -std::log(1 - uniform()) * 1000 / m_scenario.chanceCrashesPerS) < end) {
            schedule(m_start + Millis(static_cast<int64_t>(at)), EventKind::Chance, {}, index(m_engines.size()));
        }
    }

    // A first part that both kinds share, a second part, and content of its own.
    Request makeRequest(bool poisoned)
    {
        Request request;
        request.poisoned = poisoned;
        request.router = index(m_scenario.routers);
        const auto first = static_cast<std::size_t>(uniform() * uniform() * static_cast<double>(m_scenario.firstParts));
        const auto middle = static_cast<std::size_t>(uniform() * uniform() * static_cast<double>(m_scenario.middleParts));
        request.keys = {ring::hash("content", ++m_contents), ring::hash("first", first), poisoned ? poisonedPart : ring::hash("middle", middle)};
        return request;
    }

    void handle(const Event &event)
    {
        switch (event.kind) {
        case EventKind::Arrival:
            send(event.request);
            break;
        case EventKind::Writes:
            if (isRunning(event)) {
                crash(event.engine);
            }
            break;
        case EventKind::Ends:
            complete(event);
            break;
        case EventKind::Detected:
            for (const auto key : event.request.keys) {
                m_quarantines[event.request.router].recordCrash(key, event.incarnation, m_now);
            }
            break;
        case EventKind::Restart:
            m_engines[event.engine].up = true;
            m_engines[event.engine].incarnation = ++m_incarnations;
            break;
        case EventKind::Chance:
            if (m_engines[event.engine].up) {
                crash(event.engine);
            }
            break;
        case EventKind::Round:
            exchange();
            break;
        }
    }

    bool isLate(Millis since) const
    {
        return m_fifthCrash && m_now > *m_fifthCrash + since;
    }

    void send(Request request)
    {
        const bool late = !request.poisoned && request.sends == 0 && isLate(2 * m_scenario.contact);
        const bool first = !request.poisoned && request.sends == 0;
        m_outcome.sound += first ? 1 : 0;
        m_outcome.soundLate += late ? 1 : 0;
        if (m_quarantines[request.router].quarantineOf(request.keys, m_now)) {
            m_outcome.soundWithheld += first ? 1 : 0;
            m_outcome.soundWithheldLate += late ? 1 : 0;
            return;
        }
        std::vector<std::size_t> usable;
        for (std::size_t n = 0; n < m_engines.size(); ++n) {
            if (m_engines[n].up && m_engines[n].running.size() < m_scenario.slots) {
                usable.push_back(n);
            }
        }
        if (usable.empty()) {
            return;
        }
        const auto n = usable[index(usable.size())];
        auto &engine = m_engines[n];
        ++request.sends;
        m_outcome.lateSends += request.poisoned && isLate(m_scenario.contact) ? 1 : 0;
        const auto number = m_order + 1; // of the event that ends the run
        engine.running.emplace_back(number, request);
        const auto kind = request.poisoned ? EventKind::Writes : EventKind::Ends;
        const auto after = request.poisoned ? between(minWriteDelay, maxWriteDelay) : between(minRunTime, maxRunTime);
        schedule(m_now + after, kind, request, n, engine.incarnation);
    }

    bool isRunning(const Event &event) const
    {
        const auto &engine = m_engines[event.engine];
        return engine.up && engine.incarnation == event.incarnation;
    }

    void complete(const Event &event)
    {
        if (!isRunning(event)) {
            return;
        }
        std::erase_if(m_engines[event.engine].running, [&event](const auto &entry) {
            return entry.first == event.order;
        });
        for (const auto key : event.request.keys) {
            m_quarantines[event.request.router].recordCompleteResponse(key, m_now);
        }
    }

    // Breaks all that an engine runs. Requests that their routers may send again are.
    void crash(std::size_t n)
    {
        auto &engine = m_engines[n];
        const auto running = std::move(engine.running);
        const bool poisoned = std::any_of(running.begin(), running.end(), [](const auto &entry) {
            return entry.second.poisoned;
        });
        m_outcome.crashes += poisoned ? 1 : 0;
        if (m_outcome.crashes == 5 && !m_fifthCrash) {
            m_fifthCrash = m_now;
        }
        engine.running.clear();
        engine.up = false;
        schedule(m_now + engineRestart, EventKind::Restart, {}, n);
        for (const auto &[number, request] : running) {
            for (const auto key : request.keys) {
                m_quarantines[request.router].recordBrokenResponse(key, engine.incarnation, m_now);
            }
            schedule(m_now + crashDetection, EventKind::Detected, request, n, engine.incarnation);
        }
        for (const auto &[number, request] : running) {
            if (request.sends < maxSends) {
                send(request);
            }
        }
    }

    std::vector<std::size_t> randomPeers()
    {
        std::set<std::size_t> peers;
        while (peers.size() < std::min(peersPerRound, m_scenario.routers)) {
            peers.insert(index(m_scenario.routers));
        }
        return {peers.begin(), peers.end()};
    }
    std::vector<std::size_t> countersOf(uint64_t key) const
    {
        std::set<std::size_t> counters;
        for (uint64_t n = 0; counters.size() < std::min(crashCounters, m_scenario.routers); ++n) {
            counters.insert(ring::hash(std::to_string(key), n) % m_scenario.routers);
        }
        return {counters.begin(), counters.end()};
    }

    template <typename Item> void deliver(std::size_t from, const std::vector<Item> &items, const std::vector<std::size_t> &to)
    {
        if (items.empty()) {
            return;
        }
        for (const auto peer : to) {
            m_outcome.updates += peer != from ? 1 : 0;
            for (const auto &item : items) {
                if constexpr (std::is_same_v<Item, quarantine::CompleteResponse>) {
                    m_quarantines[peer].merge(item);
                } else {
                    m_quarantines[peer].merge(item, m_now);
                }
            }
        }
    }

    // As LoadExchange does: what is urgent goes to random routers, which pass it on, and single crashes to those that count them.
    void exchange()
    {
        for (std::size_t from = 0; from < m_quarantines.size(); ++from) {
            const auto updates = m_quarantines[from].takeUpdates(peers::maxCrashRecords);
            const bool reachesAll = m_scenario.routers <= peersPerRound + 1;
            const auto all = randomPeers();
            deliver(from, updates.answers, all);
            std::vector<quarantine::CrashRecord> records;
            std::vector<quarantine::Suspicion> suspicions;
            for (const auto &record : updates.records) {
                if (reachesAll || updates.urgent.count(record.content) || record.endpoints.size() >= quarantine::QuarantineOptions{}.minCrashesToShare) {
                    records.push_back(record);
                } else {
                    deliver(from, std::vector{record}, countersOf(record.content));
                }
            }
            for (const auto &suspicion : updates.suspicions) {
                if (reachesAll || updates.urgent.count(suspicion.content)) {
                    suspicions.push_back(suspicion);
                } else {
                    deliver(from, std::vector{suspicion}, countersOf(suspicion.content));
                }
            }
            deliver(from, records, all);
            deliver(from, suspicions, all);
        }
    }

    PoisonedPartScenario m_scenario;
    std::mt19937_64 m_random;
    std::vector<quarantine::RequestQuarantine> m_quarantines;
    std::vector<Engine> m_engines;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    const Clock::time_point m_start{std::chrono::hours(1)};
    Clock::time_point m_now = m_start;
    std::optional<Clock::time_point> m_fifthCrash;
    uint64_t m_order = 0;
    uint64_t m_incarnations = 0;
    uint64_t m_contents = 0;
    PoisonedPartOutcome m_outcome;
};

} // namespace

PoisonedPartOutcome simulatePoisonedPart(const PoisonedPartScenario &scenario)
{
    return Simulation(scenario).run();
}

} // namespace yucca::model
