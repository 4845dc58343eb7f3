// Requests under which endpoints end: what is counted, what is told to other
// routers and to the store, and what clears a request of suspicion.
#include "load_exchange.h"
#include "local_object_api.h"
#include "orders.h"
#include "quarantine_store.h"

// CppUTest goes last: its memory-leak macros redefine operator new.
#include "loop_group.h"

#include <algorithm>

using namespace yucca;
using namespace yucca::rig;
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

    /// So many endpoints end under a request, a second apart.
    void endpointsEnd(RequestQuarantine & router, uint64_t content, uint64_t first, int count)
    {
        for (int i = 0; i < count; ++i) {
            now += std::chrono::seconds(1);
            router.ended(content, first + static_cast<uint64_t>(i), now);
        }
    }
    bool held(uint64_t content)
    {
        return q.heldUntil(content, now).has_value();
    }
};

TEST(RequestQuarantine, AThirdEndpointThatEndsKeepsARequestFromTheOthers)
{
    endpointsEnd(q, harmful, 1, 2);
    CHECK(!held(harmful));
    q.ended(harmful, 2, now); // the same again, as another of its requests broke
    CHECK(!held(harmful));
    endpointsEnd(q, harmful, 3, 1);
    CHECK(held(harmful));
    CHECK(!held(harmless));
    CHECK(*q.heldUntil(harmful, now) == now + q.options().heldFor);
    LONGS_EQUAL(1, q.heldCount(now));
}

TEST(RequestQuarantine, AWholeAnswerEndsTheSuspicion)
{
    endpointsEnd(q, harmless, 1, 2);
    q.answered(harmless, now);
    CHECK(!q.find(harmless).has_value());
    now += q.options().trustedFor + Millis(1);
    endpointsEnd(q, harmless, 3, 2);
    CHECK(!held(harmless)); // those before the answer no longer count
}

// A failure domain goes, and with it several endpoints that all ran what is asked for most.
TEST(RequestQuarantine, EndingsSoonAfterAWholeAnswerAreNotHeldAgainstARequest)
{
    q.answered(harmless, now);
    endpointsEnd(q, harmless, 1, 9);
    CHECK(!held(harmless));
    now += q.options().trustedFor;
    endpointsEnd(q, harmless, 11, 3); // none was whole for a minute
    CHECK(held(harmless));
}

TEST(RequestQuarantine, AfterItsTimeItMayGoOnAndOneMoreEndingRenewsIt)
{
    endpointsEnd(q, harmful, 1, 3);
    now += q.options().heldFor;
    CHECK(!held(harmful));
    endpointsEnd(q, harmful, 4, 1);
    CHECK(held(harmful));
}

TEST(RequestQuarantine, RoutersThatSawOneEndingEachBringThemTogether)
{
    std::vector<RequestQuarantine> routers(3);
    for (std::size_t i = 0; i < routers.size(); ++i) {
        endpointsEnd(routers[i], harmful, 10 + i, 1);
    }
    for (auto &from : routers) {
        const auto news = from.takeNews(16);
        for (auto &to : routers) {
            for (const auto &record : news.records) {
                to.told(record, now);
            }
        }
    }
    for (auto &router : routers) {
        CHECK(router.heldUntil(harmful, now).has_value());
    }
}

TEST(RequestQuarantine, NewsAreToldAFewTimesAndTheMostEndingsFirst)
{
    endpointsEnd(q, harmless, 1, 1);
    endpointsEnd(q, harmful, 2, 2);
    for (int i = 0; i < q.options().timesTold; ++i) {
        const auto news = q.takeNews(1);
        LONGS_EQUAL(1, news.records.size());
        CHECK(news.records.front().content == harmful);
    }
    CHECK(q.takeNews(1).records.front().content == harmless);
    const auto known = *q.find(harmful);
    q.told(known, now); // nothing new
    const auto later = q.takeNews(16);
    CHECK(std::none_of(later.records.begin(), later.records.end(), [](const auto &r) {
        return r.content == harmful;
    }));
}

TEST(RequestQuarantine, ARouterThatSawTheAnswerContradictsThoseThatBlameTheRequest)
{
    RequestQuarantine other;
    endpointsEnd(q, harmless, 1, 3);
    CHECK(held(harmless));
    other.answered(harmless, now);
    other.told(q.takeNews(16).records.front(), now);
    CHECK(!other.heldUntil(harmless, now).has_value());
    const auto news = other.takeNews(16);
    LONGS_EQUAL(1, news.answers.size());
    q.told(news.answers.front());
    CHECK(!held(harmless));
    LONGS_EQUAL(1, q.takeNews(16).answers.size()); // told on
}

// Behind a proxy that outlives it, an endpoint that has ended is known by its
// entry, which lapses after seconds: a request that comes often reaches others meanwhile.
TEST(RequestQuarantine, AnAnswerThatBrokeCountsUntilItIsKnownWhy)
{
    q.broke(harmful, 1, now);
    q.broke(harmful, 1, now);
    endpointsEnd(q, harmful, 2, 1);
    CHECK(!held(harmful));
    q.broke(harmful, 3, now);
    CHECK(held(harmful));
    q.lives(harmful, 3);
    CHECK(!held(harmful));
    q.broke(harmful, 3, now);
    now += q.options().suspectedFor;
    CHECK(!held(harmful)); // an innocent request waits no longer than that
    q.broke(harmless, 1, now);
    q.answered(harmless, now);
    q.broke(harmless, 2, now);
    q.broke(harmless, 3, now);
    CHECK(!held(harmless));
}

TEST(RequestQuarantine, SuspicionsAreToldToo)
{
    RequestQuarantine other;
    for (uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
        CHECK(other.takeNews(16).suspicions.empty()); // so far told by who saw them
        q.broke(harmful, endpoint, now);
        for (const auto &suspicion : q.takeNews(16).suspicions) {
            other.told(suspicion, now);
        }
    }
    CHECK(other.heldUntil(harmful, now).has_value());
    CHECK(!other.heldUntil(harmful, now + q.options().suspectedFor));
    // Who counts them tells all routers of the third, and of those before it.
    const auto news = other.takeNews(16);
    LONGS_EQUAL(3, news.suspicions.size());
    CHECK(news.urgent.count(harmful));
    CHECK(other.takeNews(16).suspicions.empty());
    CHECK(other.takeNews(16).urgent.empty());
}

TEST(RequestQuarantine, AnEndingCountsWithTheSuspicionsThatAllAreToldOf)
{
    RequestQuarantine counter;
    counter.told(quarantine::Record{harmful, {1}, now}, now);
    counter.takeNews(16);
    counter.takeNews(16);
    counter.takeNews(16);
    counter.told(quarantine::Suspicion{harmful, 2, now}, now);
    CHECK(counter.takeNews(16).urgent.empty());
    counter.told(quarantine::Suspicion{harmful, 3, now}, now);
    const auto news = counter.takeNews(16);
    LONGS_EQUAL(1, news.records.size());
    LONGS_EQUAL(2, news.suspicions.size());
    CHECK(news.urgent.count(harmful));
}

TEST(RequestQuarantine, ARouterThatSawTheAnswerContradictsSuspicionsToo)
{
    q.answered(harmless, now);
    q.told(quarantine::Suspicion{harmless, 1, now}, now);
    const auto news = q.takeNews(16);
    LONGS_EQUAL(1, news.answers.size());
    CHECK(news.suspicions.empty());
}

TEST(RequestQuarantine, NewsThatMatterToAllAreToldAtOnce)
{
    int urgent = 0;
    q.onNews = [&urgent] {
        ++urgent;
    };
    q.broke(harmful, 1, now);
    q.ended(harmful, 1, now);
    LONGS_EQUAL(0, urgent); // of one ending all that the endpoint ran is under suspicion
    q.broke(harmful, 2, now);
    q.ended(harmful, 2, now);
    LONGS_EQUAL(1, urgent);
    q.broke(harmful, 3, now);
    LONGS_EQUAL(2, urgent);
}

TEST(RequestQuarantine, SuspicionsAreBounded)
{
    quarantine::QuarantineOptions options;
    options.mostSuspected = 100;
    RequestQuarantine small(options);
    for (uint64_t content = 0; content < 1000; ++content) {
        small.broke(content, 1, now);
    }
    CHECK(small.takeNews(1000).suspicions.size() <= options.mostSuspicionsTold);
    for (uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
        small.broke(harmful, endpoint, now);
    }
    CHECK(small.heldUntil(harmful, now).has_value());
}

TEST(RequestQuarantine, WhoBringsEndingsTogetherSavesThem)
{
    endpointsEnd(q, harmful, 1, 1);
    CHECK(q.takeUnsaved().empty()); // of one ending all that an endpoint ran is under suspicion
    q.told(quarantine::Record{harmful, {9}, now}, now);
    CHECK(q.takeUnsaved() == std::vector<uint64_t>{harmful});
    q.told(quarantine::Record{harmful, {1, 9, 10}, now}, now);
    CHECK(q.takeUnsaved().empty()); // whoever told it did
    q.answered(harmful, now);
    CHECK(q.takeUnsaved() == std::vector<uint64_t>{harmful}); // to be removed
}

TEST(RequestQuarantine, HeldRequestsAreToldInTurn)
{
    for (uint64_t content = 1; content <= 5; ++content) {
        endpointsEnd(q, content, 1, 3);
    }
    endpointsEnd(q, 6, 1, 1);
    std::vector<uint64_t> told;
    for (int i = 0; i < 5; ++i) {
        for (const auto &record : q.someHeld(2, now)) {
            told.push_back(record.content);
        }
    }
    CHECK((told == std::vector<uint64_t>{1, 2, 3, 4, 5, 1, 2, 3, 4, 5}));
}

TEST(RequestQuarantine, InALossOfManyEndpointsWhatHasTheFewestEndingsIsForgottenFirst)
{
    quarantine::QuarantineOptions options;
    options.mostRecords = 100;
    RequestQuarantine small(options);
    endpointsEnd(small, harmful, 1, 3);
    for (uint64_t content = 10000; content < 10500; ++content) {
        endpointsEnd(small, content, 50, 1);
    }
    CHECK(small.heldUntil(harmful, now).has_value());
    LONGS_EQUAL(1, small.heldCount(now));
    CHECK(!small.find(10000).has_value());
    CHECK(small.find(10499).has_value());
}

TEST(RequestQuarantine, AnswersThatAreRememberedAreBounded)
{
    quarantine::QuarantineOptions options;
    options.mostAnswers = 100;
    RequestQuarantine small(options);
    for (uint64_t content = 0; content < 1000; ++content) {
        small.answered(content, now);
    }
    endpointsEnd(small, 999, 1, 3);
    CHECK(!small.heldUntil(999, now).has_value());
}

TEST_GROUP(EndingsDigest)
{
    Clock::time_point now{std::chrono::hours(30)};
};

TEST(EndingsDigest, EndingsAndAnswersComeOutWithTheirAge)
{
    peers::Digest digest;
    digest.endings = {{0xfedcba9876543210u, {1, 2, 0xffffffffffffffffu}, now - std::chrono::hours(2)}, {1, {5}, now}};
    digest.suspicions = {{8, 0xfedcba9876543210u, now - Millis(30)}};
    digest.answers = {{9, now - Millis(70)}};
    const auto later = now + std::chrono::hours(9); // the receiver's clock is another one
    const auto decoded = std::get<peers::Digest>(peers::decode(peers::encode(digest, now), later));
    const std::vector<quarantine::Record> expected{{0xfedcba9876543210u, {1, 2, 0xffffffffffffffffu}, later - std::chrono::hours(2)}, {1, {5}, later}};
    CHECK(decoded.endings == expected);
    CHECK(decoded.suspicions == (std::vector<quarantine::Suspicion>{{8, 0xfedcba9876543210u, later - Millis(30)}}));
    CHECK(decoded.answers == (std::vector<quarantine::Answer>{{9, later - Millis(70)}}));
}

TEST(EndingsDigest, AFullDatagramFitsOnePacketAndMalformedOnesAreRefused)
{
    using nlohmann::json;
    peers::Digest digest;
    for (uint64_t i = 0; i < peers::mostEndings; ++i) {
        const uint64_t large = ~i;
        digest.endings.push_back({large, {large - 5, large - 4, large - 3, large - 2}, now - std::chrono::hours(20)});
        std::sort(digest.endings.back().endpoints.begin(), digest.endings.back().endpoints.end());
        digest.suspicions.push_back({large, large, now});
        digest.answers.push_back({large, now});
    }
    const auto datagram = peers::encode(digest, now);
    CHECK(datagram.size() < 1472);
    CHECK(ok(peers::decode(datagram, now)));
    const std::vector<json> wrong{json::parse("[[1,[],5]]"),
                                  json::parse("[[1,[2],-5]]"),
                                  json::parse("[[1,[-2],5]]"),
                                  json::parse("[[1,[3,2],5]]"),
                                  json::parse("[[-1,[2],5]]"),
                                  json::parse("[[1,[2],99999999999]]"),
                                  json::parse("[[1,-5]]"),
                                  json::parse("[[1,99999999999]]"),
                                  json::parse("[[1,2,-5]]"),
                                  json::parse("[[1,2,99999999]]"),
                                  json(std::vector<json>(peers::mostEndings + 1, json::parse("[1,[2],5]")))};
    for (const auto &w : wrong) {
        CHECK(!ok(peers::decode(json::to_cbor(w), now)));
    }
}

namespace
{

/// Routers that tell each other over loopback datagrams, in four failure domains.
class TellingFleet
{
public:
    TellingFleet(Loop &loop, std::size_t size)
        : m_loop(loop)
        , routers(size)
    {
        for (std::size_t n = 0; n < size; ++n) {
            start(n);
        }
        for (int listing = 0; listing < 2; ++listing) {
            for (auto &router : routers) {
                loop.run(router.exchange->refreshPeers(Clock::now()));
            }
        }
    }
    ~TellingFleet()
    {
        for (auto &router : routers) {
            router.exchange->stop();
        }
        m_loop.until([this] {
            return m_tasks == 0;
        });
    }

    struct Router {
        std::unique_ptr<RequestQuarantine> quarantine;
        std::unique_ptr<peers::LoadExchange> exchange;
    };

    /// Starts a router, or in place of one that knows things one that knows nothing.
    void start(std::size_t n)
    {
        auto &router = routers[n];
        if (router.exchange) {
            router.exchange->stop();
            m_stopped.push_back(std::move(router.exchange)); // its tasks end later
            m_forgotten.push_back(std::move(router.quarantine));
        }
        router.quarantine = std::make_unique<RequestQuarantine>();
        const peers::Peer self{"router-" + std::to_string(n), "domain-" + std::to_string(n % 4), {"127.0.0.1", portOf(n)}, 0};
        peers::ExchangeOptions options;
        options.every = Millis(20);
        options.newsAfter = Millis(5);
        router.exchange = std::make_unique<peers::LoadExchange>(api, self, m_table, options);
        router.exchange->share(*router.quarantine);
        run(router.exchange->tell());
        run(router.exchange->hear());
        m_loop.run(router.exchange->refreshPeers(Clock::now()));
    }

    /// Runs until all routers, or all but one, keep a request from endpoints. False when they do not.
    bool allHold(uint64_t content, std::size_t except = ~std::size_t{0})
    {
        const auto until = Clock::now() + std::chrono::seconds(20);
        bool all = false;
        m_loop.until([&] {
            all = true;
            for (std::size_t n = 0; n < routers.size(); ++n) {
                all = all && (n == except || routers[n].quarantine->heldUntil(content, Clock::now()));
            }
            return all || Clock::now() > until;
        });
        return all;
    }
    /// Lets news spread for a while.
    void settle()
    {
        m_loop.run(settled());
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
    static Task<bool> settled()
    {
        co_await sleepFor(Millis(240)); // twelve rounds
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
    std::vector<std::unique_ptr<peers::LoadExchange>> m_stopped;
    std::vector<std::unique_ptr<RequestQuarantine>> m_forgotten;

public:
    std::vector<Router> routers;
};

} // namespace

LOOP_GROUP(EndingsInAFleet);

TEST(EndingsInAFleet, EndingsSeenAtDifferentRoutersKeepTheRequestFromAllEndpoints)
{
    for (const std::size_t size : {2, 9, 60}) {
        TellingFleet fleet(loop(), size);
        for (std::size_t i = 0; i < 3; ++i) {
            fleet.routers[(7 * i) % size].quarantine->ended(harmful, 100 + i, Clock::now());
            fleet.settle();
        }
        CHECK(fleet.allHold(harmful));
    }
}

// Endpoints behind proxies take connections also when they have ended: what is
// known of them for seconds is suspicions, of three different routers.
TEST(EndingsInAFleet, SuspicionsSeenAtDifferentRoutersKeepTheRequestFromAllEndpoints)
{
    for (const std::size_t size : {9, 40, 60}) {
        TellingFleet fleet(loop(), size);
        for (std::size_t i = 0; i < 3; ++i) {
            fleet.routers[(7 * i) % size].quarantine->broke(harmful, 100 + i, Clock::now());
            fleet.settle();
        }
        CHECK(fleet.allHold(harmful));
    }
}

TEST(EndingsInAFleet, TheyAreNotForgottenWhereRoutersAreReplacedOneAfterTheOther)
{
    for (const std::size_t size : {3, 9, 40}) {
        TellingFleet fleet(loop(), size);
        for (std::size_t i = 0; i < 3; ++i) {
            const std::size_t seenBy = (5 * i) % size;
            fleet.routers[seenBy].quarantine->ended(harmful, 100 + i, Clock::now());
            fleet.settle();
            fleet.start(seenBy);
            fleet.settle();
        }
        CHECK(fleet.allHold(harmful));
    }
}

TEST(EndingsInAFleet, ARouterThatWasAwayHearsOfItFromTheOthers)
{
    TellingFleet fleet(loop(), 9);
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.routers[i].quarantine->ended(harmful, 100 + i, Clock::now());
    }
    CHECK(fleet.allHold(harmful));
    fleet.settle(); // the news have been told
    fleet.start(8);
    CHECK(fleet.allHold(harmful));
}

LOOP_GROUP(QuarantineStore);

namespace
{

bool never()
{
    return false;
}

/// A router's quarantine with its keeper in the store.
struct StoredRouter {
    explicit StoredRouter(platform::ObjectApi &api, bool sweeps = false)
        : keeper(api, quarantine, never, [sweeps] {
            return sweeps;
        })
    {
    }
    void endpointsEnd(uint64_t first, int count)
    {
        for (int i = 0; i < count; ++i) {
            quarantine.ended(harmful, first + static_cast<uint64_t>(i), Clock::now());
        }
    }
    void saveAll(Loop &loop)
    {
        for (const auto content : quarantine.takeUnsaved()) {
            CHECK(loop.run(keeper.save(content)));
        }
    }
    bool holds() const
    {
        return quarantine.heldUntil(harmful, Clock::now()).has_value();
    }
    RequestQuarantine quarantine;
    quarantine::QuarantineStore keeper;
};

} // namespace

TEST(QuarantineStore, ARouterThatStartsGoesOnWithWhatOthersSaved)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    StoredRouter before(api);
    before.endpointsEnd(1, 3);
    before.saveAll(loop());
    StoredRouter after(api);
    CHECK(loop().run(after.keeper.load()));
    CHECK(after.holds());
}

TEST(QuarantineStore, AlsoAfterTwoEndingsOneMoreIsEnough)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    StoredRouter before(api);
    before.endpointsEnd(1, 2);
    before.saveAll(loop());
    StoredRouter after(api);
    CHECK(loop().run(after.keeper.load()));
    CHECK(!after.holds());
    after.endpointsEnd(3, 1);
    CHECK(after.holds());
}

TEST(QuarantineStore, WhatTwoRoutersSaveIsBroughtTogether)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    StoredRouter a(api);
    StoredRouter b(api);
    a.endpointsEnd(1, 2);
    b.endpointsEnd(2, 2);
    a.saveAll(loop());
    b.saveAll(loop());
    CHECK(b.holds()); // it read the other's
    StoredRouter c(api);
    CHECK(loop().run(c.keeper.load()));
    CHECK(c.holds());
}

TEST(QuarantineStore, WhatCouldNotBeSavedIsSavedOnceTheStoreIsBack)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    StoredRouter a(api);
    a.endpointsEnd(1, 3);
    api.outage = true;
    const auto running = [&]() -> Task<bool> {
        co_await a.keeper.run();
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
    loop().until([&] {
        return !store.list(quarantine::recordKind, "", 10).items.empty();
    });
    a.keeper.stop();
    loop().until([&] {
        return ended.has_value();
    });
    StoredRouter b(api);
    CHECK(loop().run(b.keeper.load()));
    CHECK(b.holds());
}

TEST(QuarantineStore, WhatTheStoreLostIsSavedAgain)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    StoredRouter before(api);
    const auto copy = store.copy();
    CHECK(loop().run(before.keeper.load()));
    before.endpointsEnd(1, 3);
    before.saveAll(loop());
    for (int round = 0; round < 2; ++round) {
        store.restore(copy);
        CHECK(loop().run(before.keeper.load()));
        before.saveAll(loop());
    }
    StoredRouter starts(api);
    CHECK(loop().run(starts.keeper.load()));
    CHECK(starts.holds());
}

TEST(QuarantineStore, AWholeAnswerTakesTheRecordAway)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    StoredRouter a(api);
    a.endpointsEnd(1, 3);
    a.saveAll(loop());
    a.quarantine.answered(harmful, Clock::now());
    a.saveAll(loop());
    LONGS_EQUAL(0, store.list(quarantine::recordKind, "", 10).items.size());
}

TEST(QuarantineStore, AnOperatorsReleaseEndsAQuarantine)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    StoredRouter a(api);
    a.endpointsEnd(1, 3);
    a.saveAll(loop());
    const auto name = store.list(quarantine::recordKind, "", 10).items.front().name;
    store.put(quarantine::recordKind, name, quarantine::releaseBy("ops", "mended in the engine"), std::nullopt);
    CHECK(loop().run(a.keeper.load()));
    CHECK(!a.holds());
}

TEST(QuarantineStore, EntriesOfOthersThatCanNotBeReadAreLeftAlone)
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
    CHECK(loop().run(a.keeper.load()));
    LONGS_EQUAL(6, store.list(quarantine::recordKind, "", 10).items.size());
    LONGS_EQUAL(0, a.quarantine.heldCount(Clock::now()));
}

TEST(QuarantineStore, WhatIsTooOldIsRemovedByTheSweeperAlone)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    store.put(quarantine::recordKind, "1b59", {{"endpoints", {"1", "2", "3"}}, {"last_ended_ms", 5}}, std::nullopt);
    StoredRouter other(api);
    CHECK(loop().run(other.keeper.load()));
    LONGS_EQUAL(1, store.list(quarantine::recordKind, "", 10).items.size());
    CHECK(!other.holds());
    StoredRouter sweeper(api, true);
    CHECK(loop().run(sweeper.keeper.load()));
    LONGS_EQUAL(0, store.list(quarantine::recordKind, "", 10).items.size());
}

LOOP_GROUP(OrderThatEndsEngines);

// An order to load a model went to one engine of a pool after the other, and
// each ended under it: what had happened was kept by engine, not by order.
TEST(OrderThatEndsEngines, ItDoesNotGoRoundThePool)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    lease::Lease lease(api, "duties", "a", Millis(10000));
    CHECK(loop().run(lease.acquireOrRenew()));
    RequestQuarantine quarantine;
    int sent = 0;
    const orders::Sender ending = [&](orders::Order order, uint64_t) -> Task<orders::Ack> {
        ++sent;
        co_return order.argument == "counsel-v3" ? orders::Ack::EngineEnded : orders::Ack::Applied;
    };
    orders::Desk desk(api, lease, "a", ending, quarantine);
    for (int n = 0; n < 8; ++n) {
        const auto result = loop().run(desk.carryOut({"engine-" + std::to_string(n), "load_model", "counsel-v3", "load.2"}));
        CHECK(result == (n < 3 ? orders::OrderResult::EngineEnded : orders::OrderResult::Quarantined));
    }
    LONGS_EQUAL(3, sent);
    const auto other = loop().run(desk.carryOut({"engine-0", "load_model", "counsel-v2", "load.1"}));
    CHECK(other == orders::OrderResult::Applied);
}
