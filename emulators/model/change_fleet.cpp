#include "model/change_fleet.h"

#include <boost/asio/detached.hpp>

#include <algorithm>
#include <map>

namespace yucca::model
{

using json = nlohmann::json;

namespace
{

const std::string kind = "config";
const std::string objectName = "main";
constexpr Millis startTime{6000}; ///< until all routers have listed the objects and heard a confirmation
constexpr Millis peerLatency{1};
constexpr Millis replicaPollInterval{10}; ///< at which a watch notices what its replica receives
constexpr std::size_t watchAnswerBytes = 200; ///< without events
constexpr double bitsPerByte = 8;

const Error refusedError{store::Unavailable, "refused"};
const Error noAnswerError{store::Unavailable, "no answer"};

Task<void> sleepUntil(Clock::time_point end)
{
    if (end > Clock::now()) {
        co_await sleepFor(end - Clock::now());
    }
}

/// Records which version arrived when.
struct VersionSink {
    std::map<int64_t, Clock::time_point> arrivals; ///< by version; only newer versions are recorded
    void record(const store::Object &object)
    {
        const auto version = object.value.value("version", int64_t{0});
        if (arrivals.empty() || version > arrivals.rbegin()->first) {
            arrivals[version] = Clock::now();
        }
    }
    void onListing(const platform::Listing &listing, platform::Freshness)
    {
        std::for_each(listing.items.begin(), listing.items.end(), [this](const auto &object) {
            record(object);
        });
    }
    void onPartialListing(const platform::Listing &)
    {
    }
    void onIncompleteListing(const platform::Listing &listing)
    {
        onListing(listing, platform::Freshness::MayLag);
    }
    void onChange(const platform::Object &object, bool)
    {
        record(object);
    }
    void onBatchEnd()
    {
    }
    void onStoreRecovered(Clock::duration)
    {
    }
    void onStoreRestored()
    {
    }
};

std::size_t wireBytes(const store::Object &object)
{
    return object.value.value("padding", std::string()).size() + watchAnswerBytes;
}

} // namespace

/// The store as one router reaches it.
class ChangeFleet::StoreLink : public platform::ObjectApi
{
public:
    StoreLink(ChangeFleet &fleet, Router &router)
        : m_fleet(fleet)
        , m_router(router)
    {
    }
    Task<Result<platform::Object>> get(std::string, std::string, platform::Freshness) override
    {
        co_return refusedError;
    }
    Task<Result<platform::Object>> put(std::string, std::string, json, std::optional<uint64_t>) override
    {
        co_return refusedError;
    }
    Task<Result<platform::Object>> remove(std::string, std::string, std::optional<uint64_t>) override
    {
        co_return refusedError;
    }
    Task<Result<platform::Listing>> list(std::string listed, std::string after, platform::Freshness freshness) override;
    Task<Result<platform::WatchBatch>> watch(std::string watched, uint64_t from, Millis timeout, platform::Freshness freshness,
                                             http::Cancellation *cancellation) override;
    Task<bool> isReachable(std::string) override
    {
        co_return !refuses();
    }

private:
    bool refuses() const;
    bool lags(platform::Freshness freshness) const
    {
        return freshness == platform::Freshness::MayLag && m_fleet.m_options.replicaLag > Millis(0);
    }
    Task<void> receive(std::size_t bytes, platform::Freshness freshness);
    platform::WatchBatch replicaChanges(uint64_t from) const;

    ChangeFleet &m_fleet;
    Router &m_router;
};

/// The other routers as one router reaches them.
class ChangeFleet::PeerLink : public replica::ChangeSource
{
public:
    PeerLink(ChangeFleet &fleet, Router &router)
        : m_fleet(fleet)
        , m_router(router)
    {
    }
    Task<Result<replica::Changes>> fetch(http::Address from, std::string, replica::Position since, replica::TransferLimit limit) override;

private:
    Task<Result<replica::Changes>> answer(Router &peer, replica::Position since, replica::TransferLimit limit, Clock::time_point deadline);

    ChangeFleet &m_fleet;
    Router &m_router;
};

struct ChangeFleet::Router {
    Router(ChangeFleet &fleet, std::size_t n)
        : index(n)
        , storeLink(fleet, *this)
        , peerLink(fleet, *this)
        , replica(
              kind,
              [this, &fleet, n](Clock::time_point now) {
                  const bool hearsOthers = now - heardAt <= peers::ExchangeOptions().neighbourSilentAfter;
                  return hearsOthers ? std::optional(n / fleet.m_options.domains) : std::nullopt;
              },
              peerLink)
    {
        replica.routerCount = [&fleet] {
            return std::optional(fleet.m_options.routers);
        };
        FollowerOptions options;
        options.sharedReplica = &replica;
        follower = std::make_unique<Follower<VersionSink>>(storeLink, kind, sink, options);
        replica.onChange = [this] {
            roundRequested = true;
            roundWake.notifyAll();
        };
    }
    http::Address address() const
    {
        return {std::to_string(index), 1};
    }

    std::size_t index;
    WorkQueue processor;
    WorkQueue uplink;
    WorkQueue downlink;
    bool refused = false; ///< by the store
    bool silent = false; ///< to requests of peers
    bool alone = false; ///< cut off from all other routers
    Clock::time_point heardAt{}; ///< when a datagram of another router last arrived
    StoreLink storeLink;
    PeerLink peerLink;
    VersionSink sink;
    replica::AnswerSlots slots;
    replica::SharedReplica replica;
    std::unique_ptr<Follower<VersionSink>> follower;
    bool roundRequested = false;
    Notifier roundWake;
};

bool ChangeFleet::StoreLink::refuses() const
{
    return m_fleet.m_started && m_router.refused;
}

// Waits until an answer has passed the links and the router has parsed it.
Task<void> ChangeFleet::StoreLink::receive(std::size_t bytes, platform::Freshness freshness)
{
    ++m_fleet.m_storeCalls;
    m_fleet.m_laggingCalls += freshness == platform::Freshness::MayLag ? 1 : 0;
    m_fleet.m_storeBytes += bytes;
    if (!m_fleet.m_started) {
        co_return;
    }
    const auto sent = m_fleet.m_storeLink.enqueue(m_fleet.transferTime(bytes, m_fleet.m_options.storeLinkMbit));
    const auto received = m_router.downlink.enqueue(m_fleet.transferTime(bytes, m_fleet.m_options.linkMbit));
    co_await sleepUntil(std::max(sent, received) + m_fleet.m_options.storeLatency);
    co_await sleepUntil(m_router.processor.enqueue(m_fleet.processorTime(m_fleet.m_options.costs.perKilobyte * static_cast<double>(bytes) / 1024)));
}

Task<Result<platform::Listing>> ChangeFleet::StoreLink::list(std::string listed, std::string after, platform::Freshness freshness)
{
    co_await sleepFor(peerLatency);
    if (refuses()) {
        co_return refusedError;
    }
    auto listing = m_fleet.m_store.list(listed, after);
    if (const auto held = m_fleet.replicaState(); lags(freshness) && held) {
        listing.items = {*held};
        listing.revision = held->version;
    }
    std::size_t bytes = watchAnswerBytes;
    for (const auto &object : listing.items) {
        bytes += wireBytes(object);
    }
    co_await receive(bytes, freshness);
    co_return listing;
}

platform::WatchBatch ChangeFleet::StoreLink::replicaChanges(uint64_t from) const
{
    const auto held = m_fleet.replicaState();
    platform::WatchBatch batch{held->version, {}, m_fleet.m_store.epoch()};
    if (held->version > from) {
        batch.events.push_back({false, held->version, *held});
    }
    return batch;
}

Task<Result<platform::WatchBatch>> ChangeFleet::StoreLink::watch(std::string watched, uint64_t from, Millis timeout, platform::Freshness freshness,
                                                                 http::Cancellation *)
{
    co_await sleepFor(peerLatency);
    if (refuses()) {
        co_return refusedError;
    }
    const auto end = Clock::now() + timeout;
    if (lags(freshness)) {
        while (replicaChanges(from).events.empty() && Clock::now() < end && !m_fleet.m_stopping) {
            co_await sleepFor(replicaPollInterval);
        }
        co_await receive(watchAnswerBytes, freshness);
        co_return replicaChanges(from);
    }
    while (!m_fleet.m_store.changedSince(from, {watched}) && Clock::now() < end && !m_fleet.m_stopping) {
        co_await m_fleet.m_storeChanged.wait(end);
    }
    auto result = m_fleet.m_store.since(from, {watched});
    std::size_t bytes = watchAnswerBytes;
    if (const auto *batch = std::get_if<platform::WatchBatch>(&result)) {
        for (const auto &event : batch->events) {
            bytes += wireBytes(event.object);
        }
    }
    co_await receive(bytes, freshness);
    co_return result;
}

Task<Result<replica::Changes>> ChangeFleet::PeerLink::fetch(http::Address from, std::string, replica::Position since, replica::TransferLimit limit)
{
    const replica::ChangeExchangeOptions options;
    const auto deadline = Clock::now() + (limit == replica::TransferLimit::Large ? options.fetchLargeTimeout : options.fetchTimeout);
    auto &peer = *m_fleet.m_routers[std::stoul(from.host)];
    co_await sleepFor(peerLatency);
    if (peer.silent || peer.alone || m_router.alone) {
        co_await sleepUntil(deadline);
        co_return noAnswerError;
    }
    co_await sleepUntil(peer.processor.enqueue(m_fleet.processorTime(m_fleet.m_options.costs.perAnswer)));
    if (!peer.slots.acquire(limit)) {
        co_return Error{replica::PeerBusy, "busy"};
    }
    auto result = co_await answer(peer, since, limit, deadline);
    peer.slots.release(limit);
    co_return result;
}

Task<Result<replica::Changes>> ChangeFleet::PeerLink::answer(Router &peer, replica::Position since, replica::TransferLimit limit, Clock::time_point deadline)
{
    auto changes = peer.replica.changesSince(since, limit);
    if (!ok(changes)) {
        co_return changes;
    }
    const auto bytes = encode(std::get<replica::Changes>(changes)).size();
    const auto parse = m_fleet.processorTime(m_fleet.m_options.costs.perKilobyte * static_cast<double>(bytes) / 1024);
    co_await sleepUntil(peer.processor.enqueue(parse));
    const auto transfer = m_fleet.transferTime(bytes, m_fleet.m_options.linkMbit);
    const auto arrival = std::max(peer.uplink.enqueue(transfer), m_router.downlink.enqueue(transfer));
    co_await sleepUntil(std::min(arrival, deadline) + peerLatency);
    if (arrival > deadline) {
        co_return noAnswerError;
    }
    co_await sleepUntil(m_router.processor.enqueue(parse));
    co_return changes;
}

ChangeFleet::ChangeFleet(ChangeFleetOptions options)
    : m_options(options)
    , m_random(options.seed)
{
    writeVersion(0);
    m_writes.back().at = {}; // long ago
    for (std::size_t n = 0; n < options.routers; ++n) {
        m_routers.push_back(std::make_unique<Router>(*this, n));
    }
    std::vector<std::size_t> order(options.routers);
    for (std::size_t n = 0; n < order.size(); ++n) {
        order[n] = n;
        m_routers[n]->silent = n / options.domains < options.silentPeers;
    }
    std::shuffle(order.begin(), order.end(), m_random);
    order.resize(static_cast<std::size_t>(options.refusedShare * static_cast<double>(options.routers)));
    for (const auto n : order) {
        m_routers[n]->refused = true;
    }
    for (std::size_t n = 0; n < options.routers; ++n) {
        start(n);
    }
    run(startTime);
    m_started = true;
}

// All coroutines end before the routers are destroyed.
ChangeFleet::~ChangeFleet()
{
    m_stopping = true;
    for (auto &router : m_routers) {
        router->follower->stop();
    }
    m_storeChanged.notifyAll();
    run(startTime);
}

void ChangeFleet::start(std::size_t n)
{
    auto &router = *m_routers[n];
    asio::co_spawn(m_loop, router.follower->run(), asio::detached);
    asio::co_spawn(m_loop, exchangeRounds(router), asio::detached);
}

Clock::duration ChangeFleet::transferTime(std::size_t bytes, double mbit) const
{
    return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double, std::micro>(static_cast<double>(bytes) * bitsPerByte / mbit));
}

Clock::duration ChangeFleet::processorTime(std::chrono::duration<double, std::milli> core) const
{
    return m_started ? std::chrono::duration_cast<Clock::duration>(core / m_options.core) : Clock::duration::zero();
}

// Sends the confirmation to random routers of the failure domain, in each round and after changes, as LoadExchange does.
Task<void> ChangeFleet::exchangeRounds(Router &router)
{
    const peers::ExchangeOptions options;
    co_await sleepFor(Millis(static_cast<int64_t>(m_random() % static_cast<uint64_t>(options.roundInterval.count()))));
    std::vector<std::size_t> others;
    for (std::size_t n = router.index % m_options.domains; n < m_routers.size(); n += m_options.domains) {
        if (n != router.index) {
            others.push_back(n);
        }
    }
    while (!m_stopping) {
        const auto next = Clock::now() + options.roundInterval;
        co_await sleepFor(options.minRoundInterval);
        if (!router.roundRequested) {
            co_await router.roundWake.wait(next);
        }
        router.roundRequested = false;
        co_await sleepUntil(router.processor.enqueue(processorTime(m_options.costs.perRound)));
        const auto confirmation = router.replica.currentConfirmation();
        if (!confirmation) {
            continue;
        }
        std::shuffle(others.begin(), others.end(), m_random);
        for (std::size_t i = 0; i < std::min(others.size(), options.maxDomainPeersPerRound); ++i) {
            asio::co_spawn(m_loop, deliver(router, others[i], *confirmation), asio::detached);
        }
    }
}

Task<void> ChangeFleet::deliver(Router &from, std::size_t to, replica::Confirmation confirmation)
{
    auto &receiver = *m_routers[to];
    if (from.alone || receiver.alone) {
        co_return;
    }
    co_await sleepFor(peerLatency);
    co_await sleepUntil(receiver.processor.enqueue(processorTime(m_options.costs.perDatagram)));
    receiver.heardAt = Clock::now();
    receiver.replica.receiveConfirmation(confirmation, from.address(), Clock::now());
}

void ChangeFleet::write(std::size_t bytes)
{
    ++m_version;
    m_writtenAt = Clock::now();
    writeVersion(bytes);
    m_storeChanged.notifyAll();
}

void ChangeFleet::writeVersion(std::size_t bytes)
{
    auto written = m_store.put(kind, objectName, {{"version", m_version}, {"padding", std::string(bytes, 'x')}}, std::nullopt);
    m_writes.push_back({Clock::now(), std::move(std::get<store::Object>(written))});
}

// Returns the object as a replica holds it.
std::optional<store::Object> ChangeFleet::replicaState() const
{
    const auto until = Clock::now() - m_options.replicaLag;
    const auto held = std::find_if(m_writes.rbegin(), m_writes.rend(), [until](const Write &write) {
        return write.at <= until;
    });
    return held == m_writes.rend() ? std::nullopt : std::optional(held->object);
}

void ChangeFleet::setAlone(std::size_t router, bool alone)
{
    m_routers[router]->alone = alone;
}

ChangeTimes ChangeFleet::timesOfLastWrite() const
{
    std::vector<Clock::duration> times;
    for (const auto &router : m_routers) {
        const auto arrival = router->sink.arrivals.lower_bound(m_version);
        if (arrival != router->sink.arrivals.end()) {
            times.push_back(arrival->second - m_writtenAt);
        }
    }
    std::sort(times.begin(), times.end());
    ChangeTimes out;
    out.reached = times.size();
    if (!times.empty()) {
        out.half = std::chrono::duration_cast<Millis>(times[times.size() / 2]);
        out.last = std::chrono::duration_cast<Millis>(times.back());
    }
    return out;
}

} // namespace yucca::model
