// Tests of what routers know of the software that began streams: the table, the datagrams, and the exchange between routers
// at the sizes of three fleets.
#include "datagram.h"
#include "local_object_api.h"
#include "name_digest.h"
#include "peers/load_exchange.h"
#include "stream_origins.h"

// CppUTest goes last: its memory-leak macros redefine operator new.
#include "loop_group.h"

#include <algorithm>
#include <set>

using namespace yucca;
using namespace yucca::fixture;
using streams::Origin;
using streams::StreamOrigins;

namespace
{

const Origin oldVersion{"m", "v1"};
const Origin newVersion{"m", "v2"};

} // namespace

TEST_GROUP(StreamOrigins)
{
    Clock::time_point now = Clock::now();
    StreamOrigins origins;
};

TEST(StreamOrigins, AnnouncedStreamIsKnownUntilItsRetentionEnds)
{
    streams::OriginOptions options;
    origins.announce({7, oldVersion}, now);
    CHECK(origins.find(7, now) == oldVersion);
    CHECK(origins.find(7, now + options.retention - Millis(1)) == oldVersion);
    CHECK(!origins.find(7, now + options.retention));
    CHECK(!origins.find(8, now));
}

TEST(StreamOrigins, RecordOfAResumptionExtendsTheRetention)
{
    streams::OriginOptions options;
    origins.announce({7, oldVersion}, now);
    origins.merge({7, oldVersion}, now + options.retention / 2);
    CHECK(origins.find(7, now + options.retention) == oldVersion);
}

TEST(StreamOrigins, ContradictingRecordsMakeAStreamUnknown)
{
    origins.announce({7, oldVersion}, now);
    origins.merge({7, newVersion}, now);
    CHECK(!origins.find(7, now));
    origins.merge({7, oldVersion}, now);
    CHECK(!origins.find(7, now));
}

TEST(StreamOrigins, NumberOfRecordsIsBoundedAndTheOldestAreDroppedFirst)
{
    streams::OriginOptions options;
    for (uint64_t stream = 0; stream < 2 * options.maxRecords; ++stream) {
        origins.announce({stream, oldVersion}, now + Millis(stream / 1000));
    }
    CHECK(origins.size() <= options.maxRecords);
    CHECK(!origins.find(0, now + Millis(40)));
    CHECK(origins.find(2 * options.maxRecords - 1, now + Millis(40)) == oldVersion);
}

LOOP_GROUP(StreamOriginQueries);

TEST(StreamOriginQueries, AnswerOfAnotherRouterEndsTheWait)
{
    StreamOrigins origins;
    origins.sendQueries = [&origins](uint64_t stream) {
        origins.recordAsked(stream, {{"127.0.0.1", 1}, {"127.0.0.1", 2}});
        origins.recordUnknown(stream, {"127.0.0.1", 1});
        origins.merge({stream, newVersion}, Clock::now());
    };
    const auto located = loop().run(origins.locate(7));
    CHECK(located == newVersion);
}

TEST(StreamOriginQueries, StreamThatAllAskedRoutersDoNotKnowIsUnknownWithoutAWait)
{
    StreamOrigins origins;
    int queries = 0;
    origins.sendQueries = [&](uint64_t stream) {
        ++queries;
        origins.recordAsked(stream, {{"127.0.0.1", 1}, {"127.0.0.1", 2}});
        origins.recordUnknown(stream, {"127.0.0.1", 2});
        origins.recordUnknown(stream, {"127.0.0.1", 1});
    };
    CHECK(!loop().run(origins.locate(7)).has_value());
    LONGS_EQUAL(1, queries);
}

TEST(StreamOriginQueries, RoutersThatDoNotAnswerAreAskedTwiceAndTheStreamIsUnknown)
{
    StreamOrigins origins;
    int queries = 0;
    origins.sendQueries = [&](uint64_t stream) {
        ++queries;
        origins.recordAsked(stream, {{"127.0.0.1", 1}});
    };
    CHECK(!loop().run(origins.locate(7)).has_value());
    LONGS_EQUAL(2, queries);
}

TEST(StreamOriginQueries, RouterWithoutPeersRefusesWithoutAWait)
{
    StreamOrigins origins;
    int queries = 0;
    origins.sendQueries = [&](uint64_t stream) {
        ++queries;
        origins.recordAsked(stream, {});
    };
    CHECK(!loop().run(origins.locate(7)).has_value());
    LONGS_EQUAL(1, queries);
}

TEST_GROUP(StreamOriginEncoding)
{
    Clock::time_point now{std::chrono::hours(1)};
};

TEST(StreamOriginEncoding, RecordsQueriesAndUnknownStreamsAreDecodedAndFitOnePacket)
{
    peers::PeerMessage message;
    for (uint64_t stream = 0; stream < peers::maxOrigins; ++stream) {
        message.origins.push_back({~stream, {"service-with-a-long-name", "2026.12.04-build-1234"}});
    }
    message.originQueries = {1, ~uint64_t{0}};
    message.unknownOrigins = {2};
    const auto datagram = datagramOf(message, now);
    CHECK(datagram.size() < 1472); // payload of an Ethernet frame
    const auto decoded = peers::decode(datagram, now);
    CHECK(ok(decoded));
    CHECK(std::get<peers::PeerMessage>(decoded) == message);
}

TEST(StreamOriginEncoding, MalformedItemsAreRejected)
{
    using nlohmann::json;
    for (const char *wrong : {R"([[-1,"m","v1"]])", R"([[1,"m",2]])", R"([[1,"!"]])", R"([[-1,"?"]])"}) {
        CHECK_TEXT(passesOver(json::parse(wrong), now), wrong);
    }
    CHECK(readsAtMost(peers::maxOrigins, R"([1,"?"])", now));
    CHECK(readsAtMost(peers::maxOrigins, R"([1,"m","v1"])", now));
}

// Guards against streams that nobody knows because their software's name is long: it is carried, and two long names differ wherever
// they do.
TEST(StreamOriginEncoding, VersionsAndServicesOfAnyLengthAreCarriedAndToldApart)
{
    std::set<streams::Origin> seen;
    for (const std::size_t length : {1u, 63u, 64u, 65u, 71u, 199u, 200u, 201u, 5000u, 100000u}) {
        const std::string name(length, 'a');
        for (const auto &version : {name, name + "1", name + "2", "1" + name}) {
            for (const auto &service : {std::string("m"), name + "m"}) {
                const auto origin = streams::makeOrigin(service, version);
                const auto decoded = std::get<peers::PeerMessage>(peers::decode(datagramOf({{}, {}, {}, {}, {}, {}, {}, {{7, origin}}}, now), now));
                CHECK((decoded.origins == std::vector<streams::OriginRecord>{{7, origin}}));
                CHECK(seen.insert(origin).second);
            }
        }
    }
    const auto digest = streams::makeOrigin("m", std::string(65, 'v')).version;
    CHECK(names::isDigest(digest));
    CHECK(streams::makeOrigin("m", digest).version != digest); // a version whose text is the digest of another one
    CHECK(streams::receivedOrigin("m", digest).version == digest);
}

namespace
{

/// Names of images, which differ in their last characters only.
const streams::Origin oldImage = streams::makeOrigin("m", "sha256:" + std::string(63, 'a') + "1");
const streams::Origin newImage = streams::makeOrigin("m", "sha256:" + std::string(63, 'a') + "2");

/// Routers in four failure domains that keep origins for each other over loopback datagrams.
class OriginFleet
{
public:
    OriginFleet(Loop &loop, std::size_t size)
        : m_loop(loop)
        , routers(size)
    {
        for (std::size_t n = 0; n < size; ++n) {
            start(n);
        }
        for (auto &router : routers) {
            loop.run(router.exchange->refreshPeers(Clock::now()));
        }
    }
    ~OriginFleet()
    {
        for (auto &router : routers) {
            router.exchange->stop();
        }
        m_loop.runUntil([this] {
            return m_tasks == 0;
        });
    }

    struct Router {
        std::unique_ptr<StreamOrigins> origins;
        std::unique_ptr<peers::LoadExchange> exchange;
    };

    std::size_t copies(uint64_t stream) const
    {
        return static_cast<std::size_t>(std::count_if(routers.begin(), routers.end(), [stream](const Router &router) {
            return router.origins->find(stream, Clock::now()).has_value();
        }));
    }
    /// Runs until as many routers know a stream, or a second has passed.
    bool awaitCopies(uint64_t stream, std::size_t count)
    {
        const auto until = Clock::now() + std::chrono::seconds(1);
        asio::steady_timer timer(m_loop.io, until);
        timer.async_wait([](const boost::system::error_code &) {});
        m_loop.runUntil([&] {
            return copies(stream) >= count || Clock::now() >= until;
        });
        return copies(stream) >= count;
    }
    /// Forgets what a router knows, as when it is killed and starts again.
    void forget(std::size_t n)
    {
        auto fresh = std::make_unique<StreamOrigins>();
        connect(n, *fresh);
        m_replaced.push_back(std::move(routers[n].origins));
        routers[n].origins = std::move(fresh);
    }

    store::ObjectStore store;
    platform::LocalObjectApi api{store};
    std::size_t copiesSent = 0;
    std::size_t queriesSent = 0;

private:
    void start(std::size_t n)
    {
        auto &router = routers[n];
        asio::ip::udp::socket probe(m_loop.io, {asio::ip::make_address("127.0.0.1"), 0});
        const auto port = probe.local_endpoint().port();
        probe.close();
        const peers::Peer self{"router-" + std::to_string(n), "domain-" + std::to_string(n % 4), {"127.0.0.1", port}, 0};
        router.exchange = std::make_unique<peers::LoadExchange>(api, self, m_table, peers::ExchangeOptions{});
        router.origins = std::make_unique<StreamOrigins>();
        connect(n, *router.origins);
        run(router.exchange->runReceiver());
        m_loop.run(router.exchange->refreshPeers(Clock::now()));
    }
    void connect(std::size_t n, StreamOrigins &origins)
    {
        auto &exchange = *routers[n].exchange;
        exchange.shareOrigins(origins);
        origins.sendCopies = [this, &exchange](const streams::OriginRecord &record) {
            ++copiesSent;
            run(exchange.sendOriginCopies(record));
        };
        origins.sendQueries = [this, &exchange](uint64_t stream) {
            ++queriesSent;
            run(exchange.sendOriginQueries(stream));
        };
    }
    void run(Task<void> task)
    {
        ++m_tasks;
        asio::co_spawn(m_loop.io, std::move(task), [this](std::exception_ptr) {
            --m_tasks;
        });
    }

    Loop &m_loop;
    router::RoutingTable m_table;
    int m_tasks = 0;
    std::vector<std::unique_ptr<StreamOrigins>> m_replaced;

public:
    std::vector<Router> routers;
};

constexpr std::size_t fleetSizes[] = {9, 68, 295};

} // namespace

LOOP_GROUP(StreamOriginExchange);

TEST(StreamOriginExchange, AnyRouterContinuesAStreamAfterTheRouterThatBeganItWasKilled)
{
    for (const auto size : fleetSizes) {
        OriginFleet fleet(loop(), size);
        for (uint64_t n = 0; n < 20; ++n) {
            const uint64_t stream = ring::hash("stream-" + std::to_string(n));
            const std::size_t first = (7 * n) % size;
            fleet.routers[first].origins->announce({stream, n % 2 ? oldVersion : newVersion}, Clock::now());
            CHECK(fleet.awaitCopies(stream, 1 + streams::originCopies));
            fleet.forget(first);
            const std::size_t next = (7 * n + 3) % size;
            const auto located = loop().run(fleet.routers[next].origins->locate(stream));
            CHECK(located == (n % 2 ? oldVersion : newVersion));
        }
    }
}

// Guards against copies and answers that are lost because the names of the versions are long.
TEST(StreamOriginExchange, AnyRouterContinuesAStreamOfAVersionWithALongName)
{
    OriginFleet fleet(loop(), 3);
    for (uint64_t n = 0; n < 20; ++n) {
        const uint64_t stream = ring::hash("stream-" + std::to_string(n));
        const auto &origin = n % 2 ? oldImage : newImage;
        const std::size_t first = n % 3;
        fleet.routers[first].origins->announce({stream, origin}, Clock::now());
        CHECK(fleet.awaitCopies(stream, 3));
        fleet.forget(first);
        CHECK(loop().run(fleet.routers[first].origins->locate(stream)) == origin);
    }
}

// The cost of a stream does not grow with the fleet.
TEST(StreamOriginExchange, EachStreamIsKeptByFourRoutersAtAnySizeOfTheFleet)
{
    for (const auto size : fleetSizes) {
        OriginFleet fleet(loop(), size);
        for (uint64_t n = 0; n < 50; ++n) {
            const uint64_t stream = ring::hash("stream-" + std::to_string(n));
            fleet.routers[n % size].origins->announce({stream, oldVersion}, Clock::now());
            CHECK(fleet.awaitCopies(stream, 1 + streams::originCopies));
            LONGS_EQUAL(1 + streams::originCopies, fleet.copies(stream));
        }
        LONGS_EQUAL(50, fleet.copiesSent);
        LONGS_EQUAL(0, fleet.queriesSent);
    }
}

TEST(StreamOriginExchange, StreamThatNobodyKnowsIsUnknownAfterOneRoundOfQueries)
{
    for (const auto size : fleetSizes) {
        OriginFleet fleet(loop(), size);
        CHECK(!loop().run(fleet.routers[1].origins->locate(4711)).has_value());
        LONGS_EQUAL(1, fleet.queriesSent);
    }
}
