#include "model/retry_sum.h"

#include "admission.h"
#include "entry/entry_settings.h"
#include "entry/stall_monitor.h"
#include "peers/fleet_membership.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/poisson_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace yucca::model
{

namespace
{

constexpr Millis step{100};
constexpr Millis faultInterval{700}; ///< average, between two faults of one kind
constexpr Millis failurePeriod{9000}; ///< the service fails in the first two thirds of each period
constexpr Millis movePeriod{13000}; ///< callers move after each of these
constexpr int retriesPerRequest = 1; ///< demanded while the service fails
constexpr int maxBurst = 40; ///< retries that one router demands in a step at the start of a failure
constexpr Millis maxListingJitter{1000}; ///< until the first listing of a router
constexpr Millis secondListingDelay{1200};
constexpr Millis listingInterval{10000};
constexpr Millis failedListingDelay{5000};
constexpr Millis usualReplicaLag{200}; ///< of a listing, at most
constexpr Millis maxReplicaLag{3000}; ///< of a listing while lists change

using Names = std::set<std::string>;

/// The entries of routers in the store, with those of the last seconds for listings that lag.
class RouterEntries
{
public:
    void recordState(Millis now)
    {
        m_history.emplace_back(now, m_names);
        while (m_history.front().first + maxReplicaLag < now) {
            m_history.pop_front();
        }
    }
    const Names &listing(Millis lag) const
    {
        const auto it = std::find_if(m_history.begin(), m_history.end(), [&](const auto &state) {
            return state.first + lag >= m_history.back().first;
        });
        return it->second;
    }
    Names &names()
    {
        return m_names;
    }

private:
    Names m_names;
    std::deque<std::pair<Millis, Names>> m_history;
};

/// The process of one router: its budget, and what it knows of the other routers.
class RouterProcess
{
public:
    RouterProcess(std::string name, const entry::Settings &settings, Millis startedAt, Millis jitter)
        : m_name(std::move(name))
        , m_budget(entry::retryLimits(settings))
        , m_nextListing(startedAt + jitter)
    {
    }
    bool isListingDue(Millis now) const
    {
        return now >= m_nextListing;
    }
    void recordFailedListing(Millis now)
    {
        m_nextListing = now + failedListingDelay;
    }
    void recordListing(const Names &names, Millis now)
    {
        const bool listsSelf = names.count(m_name) > 0;
        m_nextListing = now + (++m_listings >= 2 && listsSelf ? listingInterval : secondListingDelay);
        std::vector<std::string> others(names.begin(), names.end());
        std::erase(others, m_name);
        m_membership.recordListing(others, listsSelf, bootTime(now), bootTime(now));
    }
    void tick(Millis now)
    {
        m_stalls.tick(bootTime(now));
    }
    void recordRequest(Millis now)
    {
        m_budget.recordRequest(m_stalls.earliestSend(bootTime(now)));
    }
    bool tryRetry(Millis now)
    {
        return m_budget.tryRetry(bootTime(now), m_membership.share(bootTime(now)));
    }
    void recordRetryArrival(Millis now)
    {
        m_budget.recordRetryArrival(bootTime(now));
    }

private:
    static BootClock::time_point bootTime(Millis now)
    {
        return BootClock::time_point(std::chrono::hours(1)) + now;
    }

    std::string m_name;
    limits::RetryBudget m_budget;
    peers::FleetMembership m_membership;
    entry::StallMonitor m_stalls;
    Millis m_nextListing;
    int m_listings = 0;
};

/// A VM that runs a router.
struct Machine {
    std::string name;
    std::unique_ptr<RouterProcess> process; ///< null while it is down
    Millis startsAt{};
    std::optional<Millis> stillUntil;
    Millis storeAwayUntil{};
    std::size_t waiting = 0; ///< requests that arrived while the process stood still
    std::size_t departing = 0; ///< permitted retries whose connections are being opened; they are sent in the next step in which the process runs
};

class Simulation
{
public:
    explicit Simulation(const RetrySumScenario &scenario)
        : m_scenario(scenario)
        , m_random(static_cast<uint64_t>(scenario.seed))
        , m_count(scenario.allowance)
    {
        m_settings.retryRatio = scenario.allowance.ratio;
        m_settings.retrySlack = scenario.allowance.slack;
        m_settings.retryWindowS = std::chrono::duration<double>(scenario.allowance.window).count();
        for (std::size_t i = 0; i < scenario.routers; ++i) {
            addMachine(Millis(0));
        }
    }

    RetrySum run()
    {
        for (Millis now{0}; now < m_scenario.duration; now += step) {
            applyFaults(now);
            m_entries.recordState(now);
            for (std::size_t i = 0; i < m_machines.size(); ++i) {
                advance(*m_machines[i], shareOf(i, now), now);
            }
        }
        m_sum.worst = m_count.worstWindow();
        return m_sum;
    }

private:
    int draw(int min, int max)
    {
        return boost::random::uniform_int_distribution<int>(min, max)(m_random);
    }
    bool happens(Millis interval)
    {
        return draw(0, static_cast<int>(interval / step) - 1) == 0;
    }
    Machine &anyMachine()
    {
        return *m_machines[static_cast<std::size_t>(draw(0, static_cast<int>(m_machines.size()) - 1))];
    }
    void addMachine(Millis startsAt)
    {
        auto machine = std::make_unique<Machine>();
        machine->name = "router-" + std::to_string(m_nextName++);
        machine->startsAt = startsAt;
        m_machines.push_back(std::move(machine));
    }
    void kill(Machine &machine, Millis now)
    {
        machine.process.reset();
        machine.stillUntil.reset();
        machine.waiting = 0;
        machine.departing = 0;
        machine.startsAt = now + Millis(draw(2, 20) * 100);
    }

    void applyFaults(Millis now)
    {
        if (m_scenario.restarts && happens(faultInterval)) {
            kill(anyMachine(), now);
        }
        if (m_scenario.restarts && happens(faultInterval * 10)) {
            for (auto &machine : m_machines) {
                kill(*machine, now);
            }
        }
        if (m_scenario.pauses && happens(faultInterval)) {
            auto &machine = anyMachine();
            machine.stillUntil = machine.stillUntil.value_or(now + Millis(draw(2, 50) * 100));
        }
        if (m_scenario.listChanges) {
            changeLists(now);
        }
    }

    void changeLists(Millis now)
    {
        if (happens(faultInterval * 12)) {
            const bool all = draw(0, 2) == 0;
            const Millis until = now + Millis(draw(10, 300) * 100);
            for (auto &machine : m_machines) {
                machine->storeAwayUntil = all || draw(0, 1) == 1 ? until : machine->storeAwayUntil;
            }
        }
        if (happens(faultInterval * 12)) { // the store is restored from an old copy
            std::erase_if(m_entries.names(), [this](const std::string &) {
                return draw(0, 3) > 0;
            });
        }
        if (happens(faultInterval * 8)) {
            addMachine(now);
        }
        if (happens(faultInterval * 8) && m_machines.size() > m_scenario.routers / 2 + 1) { // for good; its entry may be removed late
            const auto index = static_cast<std::size_t>(draw(0, static_cast<int>(m_machines.size()) - 1));
            if (draw(0, 1) == 1) {
                m_entries.names().erase(m_machines[index]->name);
            }
            m_machines.erase(m_machines.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }

    // The share of all requests that go to a machine.
    double shareOf(std::size_t index, Millis now)
    {
        const double even = 1.0 / static_cast<double>(m_machines.size());
        if (!m_scenario.moves) {
            return even;
        }
        const bool first = now / movePeriod % 2 == 0;
        return (index % 2 == 0) == first ? 2 * even : 0;
    }

    void advance(Machine &machine, double share, Millis now)
    {
        const double mean = m_scenario.requestsPerS * share * std::chrono::duration<double>(step).count();
        const int requests = mean > 0 ? boost::random::poisson_distribution<int>(mean)(m_random) : 0;
        for (int i = 0; i < requests; ++i) {
            m_count.recordRequest(now);
        }
        if (!machine.process && now >= machine.startsAt) {
            machine.process = std::make_unique<RouterProcess>(machine.name, m_settings, now, Millis(draw(0, static_cast<int>(maxListingJitter.count()))));
        }
        if (!machine.process) {
            return; // callers are refused
        }
        if (machine.stillUntil && now < *machine.stillUntil) {
            machine.waiting += static_cast<std::size_t>(requests);
            return;
        }
        machine.stillUntil.reset();
        for (std::size_t i = std::exchange(machine.departing, 0); i > 0; --i) {
            recordArrivalOfRetry(now);
            machine.process->recordRetryArrival(now);
        }
        refreshList(machine, now);
        const auto handled = static_cast<std::size_t>(requests) + std::exchange(machine.waiting, 0);
        machine.process->tick(now);
        for (std::size_t i = 0; i < handled; ++i) {
            machine.process->recordRequest(now);
        }
        demandRetries(machine, handled, now);
    }

    void refreshList(Machine &machine, Millis now)
    {
        auto &process = *machine.process;
        if (!process.isListingDue(now)) {
            return;
        }
        if (now < machine.storeAwayUntil) {
            process.recordFailedListing(now);
            return;
        }
        const Millis maxLag = m_scenario.listChanges ? maxReplicaLag : usualReplicaLag;
        process.recordListing(m_entries.listing(Millis(draw(0, static_cast<int>(maxLag.count())))), now);
        m_entries.names().insert(machine.name);
    }

    void demandRetries(Machine &machine, std::size_t handled, Millis now)
    {
        const auto phase = now % failurePeriod;
        if (phase >= failurePeriod * 2 / 3) {
            return;
        }
        const int wanted = static_cast<int>(handled) * retriesPerRequest + (phase < step ? maxBurst : 0) + draw(0, 1);
        for (int i = 0; i < wanted; ++i) {
            ++m_sum.demanded;
            if (!machine.process->tryRetry(now)) {
                continue;
            }
            ++m_sum.permitted;
            ++machine.departing;
        }
    }

    void recordArrivalOfRetry(Millis at)
    {
        const std::string id = std::to_string(m_nextArrival++);
        m_count.recordArrival(id, at);
        m_count.recordArrival(id, at);
    }

    RetrySumScenario m_scenario;
    boost::random::mt19937_64 m_random;
    entry::Settings m_settings;
    RouterEntries m_entries;
    std::vector<std::unique_ptr<Machine>> m_machines;
    emulators::RetryCount m_count;
    RetrySum m_sum;
    int m_nextName = 0;
    int64_t m_nextArrival = 0;
};

} // namespace

RetrySum simulateRetrySum(const RetrySumScenario &scenario)
{
    return Simulation(scenario).run();
}

} // namespace yucca::model
