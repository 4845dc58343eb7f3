// Quarantine of requests that crash endpoints: which crashes count, which updates
// go to other routers and to the store, and what clears a content.
#include "datagram.h"
#include "follower_fixture.h"
#include "local_object_api.h"
#include "orders.h"
#include "peers/load_exchange.h"
#include "quarantine_store.h"

// CppUTest goes last: its memory-leak macros redefine operator new.
#include "loop_group.h"

#include <algorithm>

using namespace yucca;
using namespace yucca::fixture;
using quarantine::RequestQuarantine;

namespace
{

constexpr uint64_t harmful = 7001;
constexpr uint64_t harmless = 7002;

} // namespace

TEST_GROUP(RequestQuarantine)
{
    Clock::time_point now{std::chrono::hours(30)};
    RequestQuarantine q;

    /// Reports crashes of count endpoints under a content, 1 s apart, with hashes from first on.
    void crashEndpoints(RequestQuarantine & router, uint64_t content, uint64_t first, int count)
    {
        for (int i = 0; i < count; ++i) {
            now += std::chrono::seconds(1);
            router.recordCrash(content, first + static_cast<uint64_t>(i), now);
        }
    }
    bool isQuarantined(uint64_t content)
    {
        return q.quarantinedUntil(content, now).has_value();
    }
};

TEST(RequestQuarantine, ThirdCrashedEndpointQuarantinesTheContent)
{
    crashEndpoints(q, harmful, 1, 2);
    CHECK(!isQuarantined(harmful));
    q.recordCrash(harmful, 2, now); // the same endpoint again, from another request that it was running
    CHECK(!isQuarantined(harmful));
    crashEndpoints(q, harmful, 3, 1);
    CHECK(isQuarantined(harmful));
    CHECK(!isQuarantined(harmless));
    CHECK(*q.quarantinedUntil(harmful, now) == now + q.options().quarantineDuration);
    LONGS_EQUAL(1, q.quarantinedCount(now));
}

TEST(RequestQuarantine, TwoCausesUnderWhichTheSameEndpointsCrashedAreBothQuarantined)
{
    crashEndpoints(q, harmful, 1, 3);
    crashEndpoints(q, harmful + 1, 1, 3);
    crashEndpoints(q, harmful + 1, 4, 1);
    CHECK(q.quarantineOf({harmful}, now).has_value());
    CHECK(q.quarantineOf({harmful + 1}, now).has_value());
    CHECK(!q.quarantineOf({harmful + 2}, now).has_value());
    LONGS_EQUAL(harmful + 1, q.quarantineOf({harmful + 2, harmful + 1}, now)->content);
}

TEST(RequestQuarantine, CompleteAnswerClearsEarlierCrashes)
{
    crashEndpoints(q, harmless, 1, 2);
    q.recordCompleteResponse(harmless, now);
    CHECK(!q.find(harmless).has_value());
    now += q.options().answerGrace + Millis(1);
    crashEndpoints(q, harmless, 3, 2);
    CHECK(!isQuarantined(harmless)); // the crashes before the answer no longer count
}

// When a failure domain is lost, several endpoints end that all ran the most
// frequent content. That content must not be quarantined.
TEST(RequestQuarantine, CrashesSoonAfterACompleteAnswerDoNotCount)
{
    q.recordCompleteResponse(harmless, now);
    crashEndpoints(q, harmless, 1, 9);
    CHECK(!isQuarantined(harmless));
    now += q.options().answerGrace;
    crashEndpoints(q, harmless, 11, 3); // no complete answer for longer than answerGrace
    CHECK(isQuarantined(harmless));
}

TEST(RequestQuarantine, ExpiredQuarantineIsRenewedByOneMoreCrash)
{
    crashEndpoints(q, harmful, 1, 3);
    now += q.options().quarantineDuration;
    CHECK(!isQuarantined(harmful));
    crashEndpoints(q, harmful, 4, 1);
    CHECK(isQuarantined(harmful));
}

TEST(RequestQuarantine, CrashesSeenByThreeRoutersAreMergedToAQuarantine)
{
    std::vector<RequestQuarantine> routers(3);
    for (std::size_t i = 0; i < routers.size(); ++i) {
        crashEndpoints(routers[i], harmful, 10 + i, 1);
    }
    for (auto &from : routers) {
        const auto updates = from.takeUpdates(16);
        for (auto &to : routers) {
            for (const auto &record : updates.records) {
                to.merge(record, now);
            }
        }
    }
    for (auto &router : routers) {
        CHECK(router.quarantinedUntil(harmful, now).has_value());
    }
}

TEST(RequestQuarantine, UpdatesAreSentAFewTimesWithTheMostCrashesFirst)
{
    crashEndpoints(q, harmless, 1, 1);
    crashEndpoints(q, harmful, 2, 2);
    for (int i = 0; i < q.options().sendsPerUpdate; ++i) {
        const auto updates = q.takeUpdates(1);
        LONGS_EQUAL(1, updates.records.size());
        CHECK(updates.records.front().content == harmful);
    }
    CHECK(q.takeUpdates(1).records.front().content == harmless);
    const auto known = *q.find(harmful);
    q.merge(known, now); // adds nothing
    const auto later = q.takeUpdates(16);
    CHECK(std::none_of(later.records.begin(), later.records.end(), [](const auto &r) {
        return r.content == harmful;
    }));
}

TEST(RequestQuarantine, RouterThatSawACompleteAnswerClearsTheRecordAtOthers)
{
    RequestQuarantine other;
    crashEndpoints(q, harmless, 1, 3);
    CHECK(isQuarantined(harmless));
    other.recordCompleteResponse(harmless, now);
    other.merge(q.takeUpdates(16).records.front(), now);
    CHECK(!other.quarantinedUntil(harmless, now).has_value());
    const auto updates = other.takeUpdates(16);
    LONGS_EQUAL(1, updates.answers.size());
    q.merge(updates.answers.front());
    CHECK(!isQuarantined(harmless));
    LONGS_EQUAL(1, q.takeUpdates(16).answers.size()); // the answer is forwarded
}

// The crash of an endpoint behind a proxy shows only when its store entry
// expires, seconds later. A frequent request must not reach more endpoints meanwhile.
TEST(RequestQuarantine, BrokenAnswerCountsUntilItIsExplainedOrExpires)
{
    q.recordBrokenResponse(harmful, 1, now);
    q.recordBrokenResponse(harmful, 1, now);
    crashEndpoints(q, harmful, 2, 1);
    CHECK(!isQuarantined(harmful));
    q.recordBrokenResponse(harmful, 3, now);
    CHECK(isQuarantined(harmful));
    q.recordAlive(harmful, 3);
    CHECK(!isQuarantined(harmful));
    q.recordBrokenResponse(harmful, 3, now);
    now += q.options().suspicionTimeout;
    CHECK(!isQuarantined(harmful)); // bounds the wait of a content that crashed nothing
    q.recordBrokenResponse(harmless, 1, now);
    q.recordCompleteResponse(harmless, now);
    q.recordBrokenResponse(harmless, 2, now);
    q.recordBrokenResponse(harmless, 3, now);
    CHECK(!isQuarantined(harmless));
}

TEST(RequestQuarantine, SuspicionsFromAnotherRouterQuarantineTheContent)
{
    RequestQuarantine other;
    for (uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
        CHECK(other.takeUpdates(16).suspicions.empty()); // only the router that saw a suspicion sends it
        q.recordBrokenResponse(harmful, endpoint, now);
        for (const auto &suspicion : q.takeUpdates(16).suspicions) {
            other.merge(suspicion, now);
        }
    }
    CHECK(other.quarantinedUntil(harmful, now).has_value());
    CHECK(!other.quarantinedUntil(harmful, now + q.options().suspicionTimeout));
    // With the third suspicion, the counting router sends all three to all routers.
    const auto updates = other.takeUpdates(16);
    LONGS_EQUAL(3, updates.suspicions.size());
    CHECK(updates.urgent.count(harmful));
    CHECK(other.takeUpdates(16).suspicions.empty());
    CHECK(other.takeUpdates(16).urgent.empty());
}

TEST(RequestQuarantine, OneCrashAndTwoSuspicionsAreSentToAllRouters)
{
    RequestQuarantine counter;
    counter.merge(quarantine::CrashRecord{harmful, {1}, now}, now);
    counter.takeUpdates(16);
    counter.takeUpdates(16);
    counter.takeUpdates(16);
    counter.merge(quarantine::Suspicion{harmful, 2, now}, now);
    CHECK(counter.takeUpdates(16).urgent.empty());
    counter.merge(quarantine::Suspicion{harmful, 3, now}, now);
    const auto updates = counter.takeUpdates(16);
    LONGS_EQUAL(1, updates.records.size());
    LONGS_EQUAL(2, updates.suspicions.size());
    CHECK(updates.urgent.count(harmful));
}

TEST(RequestQuarantine, RouterThatSawACompleteAnswerRejectsSuspicions)
{
    q.recordCompleteResponse(harmless, now);
    q.merge(quarantine::Suspicion{harmless, 1, now}, now);
    const auto updates = q.takeUpdates(16);
    LONGS_EQUAL(1, updates.answers.size());
    CHECK(updates.suspicions.empty());
}

TEST(RequestQuarantine, UpdatesForAllRoutersAreSignalledAtOnce)
{
    int urgent = 0;
    q.onUrgentUpdate = [&urgent] {
        ++urgent;
    };
    q.recordBrokenResponse(harmful, 1, now);
    q.recordCrash(harmful, 1, now);
    LONGS_EQUAL(0, urgent); // a single crash implicates everything that the endpoint was running
    q.recordBrokenResponse(harmful, 2, now);
    q.recordCrash(harmful, 2, now);
    LONGS_EQUAL(1, urgent);
    q.recordBrokenResponse(harmful, 3, now);
    LONGS_EQUAL(2, urgent);
}

TEST(RequestQuarantine, NumberOfSuspicionsIsBounded)
{
    quarantine::QuarantineOptions options;
    options.maxSuspectedRequests = 100;
    RequestQuarantine small(options);
    for (uint64_t content = 0; content < 1000; ++content) {
        small.recordBrokenResponse(content, 1, now);
    }
    CHECK(small.takeUpdates(1000).suspicions.size() <= options.maxQueuedSuspicions);
    for (uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
        small.recordBrokenResponse(harmful, endpoint, now);
    }
    CHECK(small.quarantinedUntil(harmful, now).has_value());
}

TEST(RequestQuarantine, RouterThatMergesCrashesSavesTheRecord)
{
    crashEndpoints(q, harmful, 1, 1);
    CHECK(q.takeUnsaved().empty()); // a single crash is not saved
    q.merge(quarantine::CrashRecord{harmful, {9}, now}, now);
    CHECK(q.takeUnsaved() == std::vector<uint64_t>{harmful});
    q.merge(quarantine::CrashRecord{harmful, {1, 9, 10}, now}, now);
    CHECK(q.takeUnsaved().empty()); // the sender of a complete record has saved it
    q.recordCompleteResponse(harmful, now);
    CHECK(q.takeUnsaved() == std::vector<uint64_t>{harmful}); // its stored record must be removed
}

TEST(RequestQuarantine, QuarantinedRecordsAreReturnedInRotation)
{
    for (uint64_t content = 1; content <= 5; ++content) {
        crashEndpoints(q, content, 1, 3);
    }
    crashEndpoints(q, 6, 1, 1);
    std::vector<uint64_t> returned;
    for (int i = 0; i < 5; ++i) {
        for (const auto &record : q.nextQuarantined(2, now)) {
            returned.push_back(record.content);
        }
    }
    CHECK((returned == std::vector<uint64_t>{1, 2, 3, 4, 5, 1, 2, 3, 4, 5}));
}

TEST(RequestQuarantine, FullRecordTableDropsTheFewestCrashesFirst)
{
    quarantine::QuarantineOptions options;
    options.maxRecords = 100;
    RequestQuarantine small(options);
    crashEndpoints(small, harmful, 1, 3);
    for (uint64_t content = 10000; content < 10500; ++content) {
        crashEndpoints(small, content, 50, 1);
    }
    CHECK(small.quarantinedUntil(harmful, now).has_value());
    LONGS_EQUAL(1, small.quarantinedCount(now));
    CHECK(!small.find(10000).has_value());
    CHECK(small.find(10499).has_value());
}

TEST(RequestQuarantine, NumberOfRememberedAnswersIsBounded)
{
    quarantine::QuarantineOptions options;
    options.maxAnswers = 100;
    RequestQuarantine small(options);
    for (uint64_t content = 0; content < 1000; ++content) {
        small.recordCompleteResponse(content, now);
    }
    crashEndpoints(small, 999, 1, 3);
    CHECK(!small.quarantinedUntil(999, now).has_value());
}

TEST_GROUP(CrashRecordEncoding)
{
    Clock::time_point now{std::chrono::hours(30)};
};

TEST(CrashRecordEncoding, DecodedCrashesAndAnswersKeepTheirAge)
{
    peers::PeerMessage message;
    message.crashes = {{0xfedcba9876543210u, {1, 2, 0xffffffffffffffffu}, now - std::chrono::hours(2)}, {1, {5}, now}};
    message.suspicions = {{8, 0xfedcba9876543210u, now - Millis(30)}};
    message.completeResponses = {{9, now - Millis(70)}};
    const auto later = now + std::chrono::hours(9); // the receiver's clock differs
    const auto decoded = std::get<peers::PeerMessage>(peers::decode(datagramOf(message, now), later));
    const std::vector<quarantine::CrashRecord> expected{{0xfedcba9876543210u, {1, 2, 0xffffffffffffffffu}, later - std::chrono::hours(2)}, {1, {5}, later}};
    CHECK(decoded.crashes == expected);
    CHECK(decoded.suspicions == (std::vector<quarantine::Suspicion>{{8, 0xfedcba9876543210u, later - Millis(30)}}));
    CHECK(decoded.completeResponses == (std::vector<quarantine::CompleteResponse>{{9, later - Millis(70)}}));
}

TEST(CrashRecordEncoding, FullDatagramFitsOnePacketAndMalformedOnesAreRejected)
{
    using nlohmann::json;
    peers::PeerMessage message;
    for (uint64_t i = 0; i < peers::maxCrashRecords; ++i) {
        const uint64_t large = ~i;
        message.crashes.push_back({large, {large - 5, large - 4, large - 3, large - 2}, now - std::chrono::hours(20)});
        std::sort(message.crashes.back().endpoints.begin(), message.crashes.back().endpoints.end());
        message.suspicions.push_back({large, large, now});
        message.completeResponses.push_back({large, now});
    }
    const auto datagram = datagramOf(message, now);
    CHECK(datagram.size() < 1472);
    CHECK(ok(peers::decode(datagram, now)));
    for (const char *wrong : {"[[1,[],5]]", "[[1,[2],-5]]", "[[1,[-2],5]]", "[[1,[3,2],5]]", "[[-1,[2],5]]", "[[1,[2],99999999999]]", "[[1,-5]]",
                              "[[1,99999999999]]", "[[1,2,-5]]", "[[1,2,99999999]]"}) {
        CHECK_TEXT(passesOver(json::parse(wrong), now), wrong);
    }
    CHECK(readsAtMost(peers::maxCrashRecords, "[1,[2],5]", now));
}

namespace
{

/// Routers in four failure domains that exchange updates over loopback datagrams.
class GossipFleet
{
public:
    GossipFleet(Loop &loop, std::size_t size)
        : m_loop(loop)
        , routers(size)
    {
        for (std::size_t n = 0; n < size; ++n) {
            start(n);
        }
        for (int pass = 0; pass < 2; ++pass) {
            for (auto &router : routers) {
                loop.run(router.exchange->refreshPeers(Clock::now()));
            }
        }
    }
    ~GossipFleet()
    {
        for (auto &router : routers) {
            router.exchange->stop();
        }
        m_loop.runUntil([this] {
            return m_tasks == 0;
        });
    }

    struct Router {
        std::unique_ptr<RequestQuarantine> quarantine;
        std::unique_ptr<peers::LoadExchange> exchange;
    };

    /// Starts the n-th router, or replaces it by one with an empty quarantine.
    void start(std::size_t n)
    {
        auto &router = routers[n];
        if (router.exchange) {
            router.exchange->stop();
            m_stoppedExchanges.push_back(std::move(router.exchange)); // its tasks return later
            m_replacedQuarantines.push_back(std::move(router.quarantine));
        }
        router.quarantine = std::make_unique<RequestQuarantine>();
        const peers::Peer self{"router-" + std::to_string(n), "domain-" + std::to_string(n % 4), {"127.0.0.1", portOf(n)}, 0};
        peers::ExchangeOptions options;
        options.roundInterval = Millis(20);
        options.minRoundInterval = Millis(5);
        router.exchange = std::make_unique<peers::LoadExchange>(api, self, m_table, options);
        router.exchange->shareQuarantine(*router.quarantine);
        run(router.exchange->runSender());
        run(router.exchange->runReceiver());
        m_loop.run(router.exchange->refreshPeers(Clock::now()));
    }

    /// Runs until all routers, except one if given, quarantine the content. Returns false after 20 s.
    bool allQuarantine(uint64_t content, std::size_t except = ~std::size_t{0})
    {
        const auto until = Clock::now() + std::chrono::seconds(20);
        bool all = false;
        m_loop.runUntil([&] {
            all = true;
            for (std::size_t n = 0; n < routers.size(); ++n) {
                all = all && (n == except || routers[n].quarantine->quarantinedUntil(content, Clock::now()));
            }
            return all || Clock::now() > until;
        });
        return all;
    }
    /// Runs for twelve rounds of the exchange.
    void letUpdatesSpread()
    {
        m_loop.run(twelveRounds());
    }

    store::ObjectStore store;
    platform::LocalObjectApi api{store};

private:
    void run(Task<void> task)
    {
        ++m_tasks;
        asio::co_spawn(m_loop.io, std::move(task), [this](std::exception_ptr) {
            --m_tasks;
        });
    }
    static Task<bool> twelveRounds()
    {
        co_await sleepFor(Millis(240)); // 12 rounds of 20 ms
        co_return true;
    }
    uint16_t portOf(std::size_t n)
    {
        while (m_ports.size() <= n) {
            asio::ip::udp::socket probe(m_loop.io, {asio::ip::make_address("127.0.0.1"), 0});
            m_ports.push_back(probe.local_endpoint().port());
        }
        return m_ports[n];
    }

    Loop &m_loop;
    router::RoutingTable m_table;
    int m_tasks = 0;
    std::vector<uint16_t> m_ports;
    std::vector<std::unique_ptr<peers::LoadExchange>> m_stoppedExchanges;
    std::vector<std::unique_ptr<RequestQuarantine>> m_replacedQuarantines;

public:
    std::vector<Router> routers;
};

} // namespace

LOOP_GROUP(QuarantineGossip);

TEST(QuarantineGossip, CrashesSeenByDifferentRoutersQuarantineTheContentEverywhere)
{
    for (const std::size_t size : {2, 9, 60}) {
        GossipFleet fleet(loop(), size);
        for (std::size_t i = 0; i < 3; ++i) {
            fleet.routers[(7 * i) % size].quarantine->recordCrash(harmful, 100 + i, Clock::now());
            fleet.letUpdatesSpread();
        }
        CHECK(fleet.allQuarantine(harmful));
    }
}

// A proxy accepts connections for an endpoint that has crashed, so that for
// seconds only suspicions are known, each at another router.
TEST(QuarantineGossip, SuspicionsSeenByDifferentRoutersQuarantineTheContentEverywhere)
{
    for (const std::size_t size : {9, 40, 60}) {
        GossipFleet fleet(loop(), size);
        for (std::size_t i = 0; i < 3; ++i) {
            fleet.routers[(7 * i) % size].quarantine->recordBrokenResponse(harmful, 100 + i, Clock::now());
            fleet.letUpdatesSpread();
        }
        CHECK(fleet.allQuarantine(harmful));
    }
}

TEST(QuarantineGossip, CrashesAreKeptWhenTheRoutersThatSawThemAreReplaced)
{
    for (const std::size_t size : {3, 9, 40}) {
        GossipFleet fleet(loop(), size);
        for (std::size_t i = 0; i < 3; ++i) {
            const std::size_t witness = (5 * i) % size;
            fleet.routers[witness].quarantine->recordCrash(harmful, 100 + i, Clock::now());
            fleet.letUpdatesSpread();
            fleet.start(witness);
            fleet.letUpdatesSpread();
        }
        CHECK(fleet.allQuarantine(harmful));
    }
}

TEST(QuarantineGossip, ReplacedRouterLearnsTheQuarantineFromOthers)
{
    GossipFleet fleet(loop(), 9);
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.routers[i].quarantine->recordCrash(harmful, 100 + i, Clock::now());
    }
    CHECK(fleet.allQuarantine(harmful));
    fleet.letUpdatesSpread(); // the updates have been sent
    fleet.start(8);
    CHECK(fleet.allQuarantine(harmful));
}

LOOP_GROUP(QuarantineStore);

namespace
{

bool neverAlone()
{
    return false;
}

/// The quarantine of one router and its persistence in the store.
struct StoredRouter {
    explicit StoredRouter(platform::ObjectApi &api, bool sweeps = false, std::function<bool()> isAlone = neverAlone)
        : persistence(api, quarantine, std::move(isAlone), [sweeps] {
            return sweeps;
        })
    {
    }
    void crashEndpoints(uint64_t first, int count)
    {
        for (int i = 0; i < count; ++i) {
            quarantine.recordCrash(harmful, first + static_cast<uint64_t>(i), Clock::now());
        }
    }
    void saveAll(Loop &loop)
    {
        for (const auto content : quarantine.takeUnsaved()) {
            CHECK(loop.run(persistence.save(content)));
        }
    }
    bool isQuarantined() const
    {
        return quarantine.quarantinedUntil(harmful, Clock::now()).has_value();
    }
    RequestQuarantine quarantine;
    quarantine::QuarantineStore persistence;
};

} // namespace

TEST(QuarantineStore, StartingRouterLoadsASavedQuarantine)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    StoredRouter before(api);
    before.crashEndpoints(1, 3);
    before.saveAll(loop());
    StoredRouter after(api);
    CHECK(loop().run(after.persistence.load()));
    CHECK(after.isQuarantined());
}

// Guards against a router that hears no other one learning of a quarantine seconds late, from a replica.
TEST(QuarantineStore, ARouterThatHearsNobodyReadsThePresentRecords)
{
    store::ObjectStore store;
    CountingApi api(store);
    bool alone = true;
    StoredRouter router(api, false, [&alone] {
        return alone;
    });
    CHECK(loop().run(router.persistence.load()));
    CHECK(api.lastListFreshness == platform::Freshness::MayLag); // the first one, by all routers of a fleet that starts
    CHECK(loop().run(router.persistence.load()));
    CHECK(api.lastListFreshness == platform::Freshness::Current);
    alone = false;
    CHECK(loop().run(router.persistence.load()));
    CHECK(api.lastListFreshness == platform::Freshness::MayLag);
}

TEST(QuarantineStore, OneMoreCrashAfterTwoSavedOnesQuarantinesTheContent)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    StoredRouter before(api);
    before.crashEndpoints(1, 2);
    before.saveAll(loop());
    StoredRouter after(api);
    CHECK(loop().run(after.persistence.load()));
    CHECK(!after.isQuarantined());
    after.crashEndpoints(3, 1);
    CHECK(after.isQuarantined());
}

TEST(QuarantineStore, RecordsSavedByTwoRoutersAreMerged)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    StoredRouter a(api);
    StoredRouter b(api);
    a.crashEndpoints(1, 2);
    b.crashEndpoints(2, 2);
    a.saveAll(loop());
    b.saveAll(loop());
    CHECK(b.isQuarantined()); // saving has merged the record of the other router
    StoredRouter c(api);
    CHECK(loop().run(c.persistence.load()));
    CHECK(c.isQuarantined());
}

TEST(QuarantineStore, UnsavedRecordIsSavedAfterTheOutage)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    StoredRouter a(api);
    a.crashEndpoints(1, 3);
    api.outage = true;
    const auto running = [&]() -> Task<bool> {
        co_await a.persistence.run();
        co_return true;
    };
    std::optional<bool> ended;
    loop().start(running(), ended);
    const auto later = [&]() -> Task<bool> {
        co_await sleepFor(Millis(300));
        co_return true;
    };
    CHECK(loop().run(later()));
    LONGS_EQUAL(0, store.list(quarantine::recordKind, "", 10).items.size());
    api.outage = false;
    loop().runUntil([&] {
        return !store.list(quarantine::recordKind, "", 10).items.empty();
    });
    a.persistence.stop();
    loop().runUntil([&] {
        return ended.has_value();
    });
    StoredRouter b(api);
    CHECK(loop().run(b.persistence.load()));
    CHECK(b.isQuarantined());
}

TEST(QuarantineStore, RecordsLostInARestoreAreSavedAgain)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    StoredRouter before(api);
    const auto backup = store.backup();
    CHECK(loop().run(before.persistence.load()));
    before.crashEndpoints(1, 3);
    before.saveAll(loop());
    for (int round = 0; round < 2; ++round) {
        store.restore(backup);
        CHECK(loop().run(before.persistence.load()));
        before.saveAll(loop());
    }
    StoredRouter starts(api);
    CHECK(loop().run(starts.persistence.load()));
    CHECK(starts.isQuarantined());
}

TEST(QuarantineStore, CompleteAnswerRemovesTheRecord)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    StoredRouter a(api);
    a.crashEndpoints(1, 3);
    a.saveAll(loop());
    a.quarantine.recordCompleteResponse(harmful, Clock::now());
    a.saveAll(loop());
    LONGS_EQUAL(0, store.list(quarantine::recordKind, "", 10).items.size());
}

TEST(QuarantineStore, OperatorsReleaseEndsAQuarantine)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    StoredRouter a(api);
    a.crashEndpoints(1, 3);
    a.saveAll(loop());
    const auto name = store.list(quarantine::recordKind, "", 10).items.front().name;
    store.put(quarantine::recordKind, name, quarantine::makeReleaseRecord("ops", "mended in the engine"), std::nullopt);
    CHECK(loop().run(a.persistence.load()));
    CHECK(!a.isQuarantined());
}

TEST(QuarantineStore, UnreadableEntriesAreKeptAndIgnored)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    using nlohmann::json;
    const std::vector<json> wrong{json(7),
                                  json::object(),
                                  {{"endpoints", {1, 2, 3}}, {"last_ended_ms", 5}},
                                  {{"endpoints", {"x"}}, {"last_ended_ms", 5}},
                                  {{"endpoints", {"1"}}, {"last_ended_ms", "5"}}};
    for (std::size_t i = 0; i < wrong.size(); ++i) {
        store.put(quarantine::recordKind, "a" + std::to_string(i), wrong[i], std::nullopt);
    }
    store.put(quarantine::recordKind, "not hexadecimal", {{"endpoints", {"1"}}, {"last_ended_ms", 5}}, std::nullopt);
    StoredRouter a(api, true);
    CHECK(loop().run(a.persistence.load()));
    LONGS_EQUAL(6, store.list(quarantine::recordKind, "", 10).items.size());
    LONGS_EQUAL(0, a.quarantine.quarantinedCount(Clock::now()));
}

TEST(QuarantineStore, OnlyTheSweeperRemovesExpiredRecords)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    store.put(quarantine::recordKind, "1b59", {{"endpoints", {"1", "2", "3"}}, {"last_ended_ms", 5}}, std::nullopt);
    StoredRouter other(api);
    CHECK(loop().run(other.persistence.load()));
    LONGS_EQUAL(1, store.list(quarantine::recordKind, "", 10).items.size());
    CHECK(!other.isQuarantined());
    StoredRouter sweeper(api, true);
    CHECK(loop().run(sweeper.persistence.load()));
    LONGS_EQUAL(0, store.list(quarantine::recordKind, "", 10).items.size());
}

LOOP_GROUP(OrderQuarantine);

// An order to load a model that crashes engines must not reach one engine of the
// pool after the other: crashes are counted per order, not per engine.
TEST(OrderQuarantine, OrderIsNotSentToTheWholePool)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    lease::Lease lease(api, "duties", "a", Millis(10000));
    CHECK(loop().run(lease.acquireOrRenew()));
    RequestQuarantine quarantine;
    int sent = 0;
    const orders::Sender crashingSender = [&](orders::Order order, uint64_t) -> Task<orders::SendResult> {
        ++sent;
        co_return order.argument == "counsel-v3" ? orders::SendResult::EngineCrashed : orders::SendResult::Applied;
    };
    orders::Dispatcher dispatcher(api, lease, "a", crashingSender, quarantine);
    for (int n = 0; n < 8; ++n) {
        const auto result = loop().run(dispatcher.dispatch({"engine-" + std::to_string(n), "load_model", "counsel-v3", "load.2"}));
        CHECK(result == (n < 3 ? orders::OrderResult::EngineCrashed : orders::OrderResult::Quarantined));
    }
    LONGS_EQUAL(3, sent);
    const auto other = loop().run(dispatcher.dispatch({"engine-0", "load_model", "counsel-v2", "load.1"}));
    CHECK(other == orders::OrderResult::Applied);
}
