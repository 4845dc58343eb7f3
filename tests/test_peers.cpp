// Tests of the exchange of loads between routers: the datagram, the directory of routers in the store, and the checks on what is received.
#include "datagram.h"
#include "local_object_api.h"
#include "peers/load_exchange.h"
#include "recording_sink.h"

// CppUTest goes last: its memory-leak macros redefine operator new.
#include "loop_group.h"

#include <algorithm>
#include <thread>
#include <tuple>

using namespace yucca;
using namespace yucca::fixture;

namespace
{

peers::Peer peerAt(const std::string &id, const std::string &domain, uint16_t port)
{
    return {id, domain, {"127.0.0.1", port}, 0};
}

std::vector<std::string> idsOf(const std::vector<peers::Peer> &list)
{
    std::vector<std::string> ids;
    for (const auto &p : list) {
        ids.push_back(p.id);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

} // namespace

TEST_GROUP(LoadReportEncoding)
{
    Clock::time_point now{std::chrono::hours(1)};
};

TEST(LoadReportEncoding, DecodingAnEncodedDatagramReturnsTheReportsWithTheirAge)
{
    const std::vector<peers::LoadReport> reports{{"i-1", 12, now - Millis(250)}, {"i-2", 0, now - Millis(700)}};
    const auto later = now + std::chrono::seconds(9); // the receiver's clock differs
    const auto decoded = peers::decode(datagramOf({reports, {}, {}}, now), later);
    CHECK(ok(decoded));
    const std::vector<peers::LoadReport> expected{{"i-1", 12, later - Millis(250)}, {"i-2", 0, later - Millis(700)}};
    CHECK(std::get<peers::PeerMessage>(decoded).loads == expected);
}

TEST(LoadReportEncoding, WithTooManyReportsOnlyTheNewestAreEncodedInOnePacket)
{
    std::vector<peers::LoadReport> reports;
    for (int i = 0; i < 500; ++i) {
        reports.push_back({"i-0123456789-" + std::to_string(i), 50, now - Millis(i)});
    }
    const auto datagram = datagramOf({reports, {}, {}}, now);
    CHECK(datagram.size() < 1472); // payload of an Ethernet frame
    const auto decoded = std::get<peers::PeerMessage>(peers::decode(datagram, now)).loads;
    LONGS_EQUAL(peers::maxLoadReports, decoded.size());
    STRCMP_EQUAL("i-0123456789-0", decoded.front().endpoint.c_str());
}

TEST(LoadReportEncoding, CountsOfRequestsInFlightLookLikeReportsOfAnUnlistedEndpointToAnEarlierRelease)
{
    peers::PeerMessage message;
    message.loads.assign(peers::maxLoadReports + 5, {"i-1", 12, now});
    message.inflight = {{"m", 7}, {"n", 0}};
    const auto datagram = datagramOf(message, now);
    const auto decoded = std::get<peers::PeerMessage>(peers::decode(datagram, now));
    CHECK(decoded.inflight == message.inflight);
    LONGS_EQUAL(peers::maxLoadReports - 2, decoded.loads.size());
    const auto items = nlohmann::json::from_cbor(datagram);
    LONGS_EQUAL(peers::maxLoadReports, items.size());
    for (const auto &item : items) {
        CHECK(item.is_array() && item.size() == 3 && item[0].is_string() && item[1].is_number_integer() && item[2].is_number_integer());
    }
}

TEST(LoadReportEncoding, MalformedReportsAreRejected)
{
    using nlohmann::json;
    for (const char *wrong :
         {R"([["i",1]])", R"([["i","1",2]])", R"([["i",-1,2]])", R"([["i",1,-2]])", R"([["i",1,99999999]])", R"([[["i"],1,2]])", R"([7,{}])"}) {
        CHECK_TEXT(passesOver(json::parse(wrong), now), wrong);
    }
    CHECK(readsAtMost(peers::maxLoadReports, R"(["i",1,2])", now));
    for (const auto &noList : {json(7), json::object()}) {
        CHECK(!ok(peers::decode(json::to_cbor(noList), now)));
    }
    // An array containing a map with a claimed size of 8e18, found by fuzzing.
    const std::vector<uint8_t> excessive{0x97, 0x00, 0x10, 0xbb, 0x6e, 0x83, 0xb9, 0xd2, 0x00, 0xed, 0x00, 0x66, 0x6e, 0x83, 0xb9, 0xd2, 0x00};
    CHECK(!ok(peers::decode(excessive, now)));
    const std::vector<uint8_t> noise{0x9f, 0xff, 0x00, 0x13};
    CHECK(!ok(peers::decode(noise, now)));
    CHECK(!ok(peers::decode({}, now)));
}

TEST(LoadReportEncoding, ConfirmationsAreDecodedWithTheirAgeAndMalformedOnesAreRejected)
{
    using nlohmann::json;
    const replica::Confirmation confirmation{"k", 77, 0xfedcba9876543210u, now - Millis(400), 3};
    const auto later = now + std::chrono::seconds(9);
    const auto decoded = std::get<peers::PeerMessage>(peers::decode(datagramOf({{}, {}, {confirmation}}, now), later));
    const std::vector<replica::Confirmation> expected{{"k", 77, 0xfedcba9876543210u, later - Millis(400), 3}};
    CHECK(decoded.confirmations == expected);
    for (const char *wrong : {R"([["k",77,5,400,1,1]])", R"([["k",77,5,400]])", R"([["k",-1,5,400,1]])", R"([["k",77,5,-400,1]])", R"([["k",77,5,99999999,1]])",
                              R"([["k",77,5,400,-1]])", R"([[7,77,5,400,1]])"}) {
        CHECK_TEXT(passesOver(json::parse(wrong), now), wrong);
    }
    CHECK(readsAtMost(peers::maxConfirmations, R"(["k",77,5,400,1])", now));
}

// Guards against a datagram that outgrows its reader: whatever the names, each one fits the buffer of any release, and no item is lost.
TEST(LoadReportEncoding, MessagesWithLongNamesAreDividedIntoDatagramsThatAnyReleaseCanReceive)
{
    const std::string longest(1024, 'x');
    peers::PeerMessage message;
    for (std::size_t i = 0; i < peers::maxLoadReports; ++i) {
        message.loads.push_back({longest.substr(0, 190) + std::to_string(i), 5, now});
    }
    for (std::size_t i = 0; i < peers::maxInflightCounts; ++i) {
        message.inflight.push_back({longest.substr(0, 190) + std::to_string(i), 3});
    }
    for (uint64_t i = 0; i < peers::maxPrompts; ++i) {
        message.prompts.push_back({i, longest + std::to_string(i)});
    }
    for (uint64_t i = 0; i < peers::maxCrashRecords; ++i) {
        message.crashes.push_back({~i, std::vector<uint64_t>(40, ~uint64_t{0}), now});
    }
    for (uint64_t i = 0; i < peers::maxOrigins; ++i) {
        message.origins.push_back({i, streams::makeOrigin(longest + "s", longest + std::to_string(i))});
    }
    message.confirmations = {{"k", 1, 2, now, 3}};
    const auto datagrams = peers::encode(message, now);
    peers::PeerMessage all;
    std::size_t withCounts = 0;
    for (const auto &datagram : datagrams) {
        CHECK(datagram.size() <= peers::earlierReleaseBytes);
        const auto decoded = peers::decode(datagram, now);
        CHECK(ok(decoded));
        const auto &part = std::get<peers::PeerMessage>(decoded);
        LONGS_EQUAL(0, part.unreadable);
        withCounts += part.inflight.empty() ? 0 : 1;
        all.loads.insert(all.loads.end(), part.loads.begin(), part.loads.end());
        all.inflight.insert(all.inflight.end(), part.inflight.begin(), part.inflight.end());
        all.prompts.insert(all.prompts.end(), part.prompts.begin(), part.prompts.end());
        all.crashes.insert(all.crashes.end(), part.crashes.begin(), part.crashes.end());
        all.origins.insert(all.origins.end(), part.origins.begin(), part.origins.end());
        all.confirmations.insert(all.confirmations.end(), part.confirmations.begin(), part.confirmations.end());
    }
    LONGS_EQUAL(1, withCounts); // a receiver replaces the counts of a router by those of its next datagram
    LONGS_EQUAL(peers::maxLoadReports - peers::maxInflightCounts, all.loads.size());
    CHECK(all.inflight == message.inflight);
    LONGS_EQUAL(peers::maxPrompts, all.prompts.size());
    LONGS_EQUAL(peers::maxCrashRecords, all.crashes.size());
    CHECK(all.origins == message.origins);
    CHECK(all.confirmations == message.confirmations);
}

// Guards against a load that no reader accepts taking all other items of the router's datagrams with it.
TEST(LoadReportEncoding, LoadsOutOfRangeAreSentAsTheNearestThatAReaderAccepts)
{
    const auto datagram = datagramOf({{{"a", -1, now}, {"b", int64_t{1} << 60, now}}, {}, {}}, now);
    const auto decoded = std::get<peers::PeerMessage>(peers::decode(datagram, now));
    LONGS_EQUAL(0, decoded.unreadable);
    LONGS_EQUAL(2, decoded.loads.size());
    LONGS_EQUAL(0, decoded.loads[0].load);
    LONGS_EQUAL(1000000, decoded.loads[1].load);
}

namespace
{

/// Reads an item as a router of the release before does, which passes over the whole datagram if it finds one that is none of these.
bool earlierReleaseReads(const nlohmann::json &item)
{
    const auto isText = [](const nlohmann::json &field, std::size_t maxBytes) {
        return field.is_string() && field.get_ref<const std::string &>().size() <= maxBytes;
    };
    if (!item.is_array() || item.size() < 2 || item.size() > 5) {
        return false;
    }
    if (item.size() == 5) {
        return isText(item[0], 200) && item[1].is_number_unsigned() && item[2].is_number_unsigned() && item[3].is_number_unsigned()
            && item[4].is_number_unsigned();
    }
    if (item.size() == 3 && item[0].is_string()) {
        return isText(item[0], 200) && item[1].is_number_unsigned() && item[1] <= 1000000 && item[2].is_number_unsigned();
    }
    if (item.size() == 3) {
        const bool crash = item[1].is_array() && !item[1].empty() && item[1].size() <= 16 && item[2].is_number_unsigned();
        const bool suspicion = item[1].is_number_unsigned() && item[2].is_number_unsigned();
        return item[0].is_number_unsigned() && (crash || suspicion || (isText(item[1], 200) && isText(item[2], 64)));
    }
    const bool answer = item[0].is_number_unsigned() && (item[1].is_number_unsigned() || item[1] == "?" || item[1] == "-");
    return item.size() == 2 && (answer || (isText(item[0], 200) && item[1].is_array() && item[1].size() <= 24));
}

} // namespace

// Guards against a release whose routers and those of the release before lose each other's datagrams while both run.
TEST(LoadReportEncoding, TheReleaseBeforeReadsEveryItemAndItsOwnItemsAreRead)
{
    const std::string longest(1024, 'x');
    peers::PeerMessage message;
    message.loads = {{longest, int64_t{1} << 60, now}, {"i-1", 3, now}};
    message.inflight = {{longest, 3}};
    message.prompts = {{7, longest}, {8, "i-1"}};
    message.crashes = {{5, std::vector<uint64_t>(40, 9), now}};
    message.suspicions = {{5, 6, now}};
    message.completeResponses = {{5, now}};
    message.origins = {{1, streams::makeOrigin(longest, longest)}, {2, streams::makeOrigin("m", "sha256:" + std::string(64, 'a'))}};
    message.originQueries = {3};
    message.unknownOrigins = {4};
    message.confirmations = {{"k", 1, 2, now, 3}};
    for (const auto &datagram : peers::encode(message, now)) {
        const auto items = nlohmann::json::from_cbor(datagram);
        for (const auto &item : items) {
            CHECK_TEXT(earlierReleaseReads(item), item.dump().c_str());
        }
    }
    const std::string digest = "sha256:" + std::string(64, 'a');
    const nlohmann::json before{{1, "m", digest}, {2, "m", "v1"}, {longest, 3, 0}, {"k", 1, 2, 0, 3}};
    const auto decoded = std::get<peers::PeerMessage>(peers::decode(nlohmann::json::to_cbor(before), now));
    LONGS_EQUAL(0, decoded.unreadable);
    CHECK((decoded.origins == std::vector<streams::OriginRecord>{{1, streams::makeOrigin("m", digest)}, {2, {"m", "v1"}}}));
    CHECK(decoded.loads.front().endpoint == longest);
    LONGS_EQUAL(1, decoded.confirmations.size());
}

LOOP_GROUP(PeerDirectory);

TEST(PeerDirectory, RoutersOfOneFailureDomainListEachOther)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    peers::PeerDirectory a(api, peerAt("a", "north", 1));
    peers::PeerDirectory b(api, peerAt("b", "north", 2));
    peers::PeerDirectory c(api, peerAt("c", "south", 3));
    for (auto *d : {&a, &b, &c, &a}) {
        CHECK(loop().run(d->refresh()));
    }
    CHECK(idsOf(a.domainPeers()) == std::vector<std::string>{"b"});
    LONGS_EQUAL(2, a.domainPeers().front().address.port);
    LONGS_EQUAL(3, api.writeCount); // each router announced itself once
}

TEST(PeerDirectory, ARouterReplacedUnderItsNameAnnouncesItsNewAddress)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    peers::PeerDirectory before(api, peerAt("a", "north", 1));
    peers::PeerDirectory after(api, peerAt("a", "north", 9));
    peers::PeerDirectory b(api, peerAt("b", "north", 2));
    CHECK(loop().run(before.refresh()));
    CHECK(loop().run(after.refresh()));
    CHECK(loop().run(b.refresh()));
    LONGS_EQUAL(9, b.domainPeers().front().address.port);
}

TEST(PeerDirectory, AnEntryLostByTheStoreIsAnnouncedAgainAfterEachRestore)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    peers::PeerDirectory a(api, peerAt("a", "north", 1));
    peers::PeerDirectory b(api, peerAt("b", "north", 2));
    const auto backup = store.backup();
    CHECK(loop().run(a.refresh()));
    for (int round = 0; round < 2; ++round) {
        store.restore(backup);
        CHECK(loop().run(a.refresh()));
        CHECK(loop().run(b.refresh()));
        CHECK(idsOf(b.domainPeers()) == std::vector<std::string>{"a"});
    }
}

TEST(PeerDirectory, ARunningRouterAnnouncesItsRemovedEntryAgain)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    peers::PeerDirectory a(api, peerAt("a", "north", 1));
    peers::PeerDirectory b(api, peerAt("b", "north", 2));
    CHECK(loop().run(a.refresh()));
    CHECK(loop().run(b.refresh()));
    const auto forget = [&]() -> Task<bool> {
        co_await b.removeEntry(b.domainPeers().front());
        co_return true;
    };
    CHECK(loop().run(forget()));
    CHECK(loop().run(b.refresh()));
    CHECK(b.domainPeers().empty());
    CHECK(loop().run(a.refresh())); // finds its entry missing and announces itself again
    CHECK(loop().run(b.refresh()));
    CHECK(idsOf(b.domainPeers()) == std::vector<std::string>{"a"});
}

TEST(PeerDirectory, TheLastListIsKeptWhenTheStoreIsUnreachable)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    peers::PeerDirectory a(api, peerAt("a", "north", 1));
    peers::PeerDirectory b(api, peerAt("b", "north", 2));
    CHECK(loop().run(a.refresh()));
    CHECK(loop().run(b.refresh()));
    api.outage = true;
    CHECK(!loop().run(b.refresh()));
    LONGS_EQUAL(1, b.domainPeers().size());
}

LOOP_GROUP(LoadExchange);

namespace
{

/// A router "a" with two service endpoints, and an exchange that can hear a peer "b".
struct ExchangeFixture {
    ExchangeFixture()
    {
        router::TableOptions options;
        options.servicePolicy = Policy::LeastLoaded;
        table = std::make_unique<router::RoutingTable>(options);
        table->setEndpoints({endpointAt("e1", 1, "p", EndpointKind::Service), endpointAt("e2", 2, "p", EndpointKind::Service)});
        exchange = std::make_unique<peers::LoadExchange>(api, peerAt("a", "north", 1), *table);
    }
    std::string pick(Clock::time_point now)
    {
        const auto endpoint = table->acquire("p", {1, 1}, {}, now);
        table->release(*endpoint, now);
        return endpoint->id;
    }
    store::ObjectStore store;
    platform::LocalObjectApi api{store};
    std::unique_ptr<router::RoutingTable> table;
    std::unique_ptr<peers::LoadExchange> exchange;
};

const http::Address addressOfB{"127.0.0.1", 2};

/// A table of twenty engines "e1" to "e20", each known to hold one request.
std::unique_ptr<router::RoutingTable> tableOfEngines(Clock::time_point now)
{
    router::TableOptions options;
    options.policy = Policy::Home;
    auto table = std::make_unique<router::RoutingTable>(options);
    std::vector<Endpoint> engines;
    for (uint16_t i = 1; i <= 20; ++i) {
        engines.push_back(endpointAt("e" + std::to_string(i), i, "p", EndpointKind::Engine));
    }
    table->setEndpoints(engines, now - std::chrono::seconds(10));
    for (const auto &engine : engines) {
        table->recordLoadReport(engine.id, 1, now - std::chrono::seconds(1));
    }
    return table;
}

/// Peers that send no changes.
struct NoSource : replica::ChangeSource {
    Task<Result<replica::Changes>> fetch(http::Address, std::string, replica::Position, replica::TransferLimit) override
    {
        co_return Error{503, "none"};
    }
};

/// Receives and decodes one datagram.
Task<peers::PeerMessage> receiveMessage(asio::ip::udp::socket &socket)
{
    std::array<uint8_t, 2048> buffer;
    const auto size = co_await socket.async_receive(asio::buffer(buffer), asio::use_awaitable);
    co_return std::get<peers::PeerMessage>(peers::decode({buffer.data(), size}, Clock::now()));
}

} // namespace

// The ranks of routers "a" to "d" of one domain, and of "z" in another, as seen by "c".
TEST(LoadExchange, TheRankCountsRecentlyHeardNeighboursWithEarlierNames)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    router::RoutingTable table;
    peers::ExchangeOptions options;
    options.maxPeersPerRound = 3; // the fleet is too large for one round, so only routers of the domain are neighbours
    peers::LoadExchange c(api, peerAt("c", "north", 3), table, options);
    for (const auto &[id, domain, port] :
         {std::tuple("a", "north", 1), std::tuple("b", "north", 2), std::tuple("d", "north", 4), std::tuple("z", "south", 5)}) {
        peers::PeerDirectory other(api, peerAt(id, domain, static_cast<uint16_t>(port)));
        CHECK(loop().run(other.refresh()));
    }
    const auto now = Clock::now();
    CHECK(loop().run(c.refreshPeers(now)));
    CHECK(!c.rank(now).has_value()); // no peer was heard yet
    const auto datagram = datagramOf({}, now);
    c.handleDatagram(datagram, {"127.0.0.1", 5}, now);
    CHECK(!c.rank(now).has_value()); // "z" is no neighbour
    const auto later = now + std::chrono::seconds(4);
    c.handleDatagram(datagram, {"127.0.0.1", 2}, later);
    c.handleDatagram(datagram, {"127.0.0.1", 4}, later);
    LONGS_EQUAL(1, *c.rank(later)); // "b" sorts before "c"; "a" has been silent since it was listed
    CHECK(!c.rank(later + Millis(2500)).has_value());
}

TEST(LoadExchange, ConfirmationsAreAcceptedFromNeighboursOnly)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    router::RoutingTable table;
    peers::ExchangeOptions options;
    options.maxPeersPerRound = 1;
    peers::LoadExchange exchange(api, peerAt("a", "north", 1), table, options);
    NoSource none;
    replica::SharedReplica held(
        "k",
        [&exchange](Clock::time_point now) {
            return exchange.rank(now);
        },
        none);
    exchange.shareReplicas({&held});
    for (const auto &[id, domain, port] : {std::tuple("b", "north", 2), std::tuple("z", "south", 5)}) {
        peers::PeerDirectory other(api, peerAt(id, domain, static_cast<uint16_t>(port)));
        CHECK(loop().run(other.refresh()));
    }
    const auto now = Clock::now();
    CHECK(loop().run(exchange.refreshPeers(now)));
    held.applyListing({9, {}, false}, store::Freshness::MayLag, now);
    const auto datagram = datagramOf({{}, {}, {{"k", 9, 0, now}}}, now);
    exchange.handleDatagram(datagram, {"127.0.0.1", 5}, now);
    CHECK(!held.isConfirmed());
    exchange.handleDatagram(datagram, {"127.0.0.1", 2}, now);
    CHECK(held.isConfirmed());
}

// Guards against a resumed router taking the datagrams that were queued meanwhile for the present state of its peers.
TEST(LoadExchange, DatagramsThatWaitedWhileTheProcessStoodStillCountAsReceivedBefore)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    router::RoutingTable table;
    asio::ip::udp::socket sender(loop().io, {asio::ip::make_address("127.0.0.1"), 0});
    const uint16_t port = [this] {
        asio::ip::udp::socket probe(loop().io, {asio::ip::make_address("127.0.0.1"), 0});
        return probe.local_endpoint().port();
    }();
    peers::ExchangeOptions options;
    options.maxReceiveDelay = Millis(50);
    peers::LoadExchange exchange(api, peerAt("a", "north", port), table, options);
    NoSource none;
    replica::SharedReplica held(
        "k",
        [&exchange](Clock::time_point now) {
            return exchange.rank(now);
        },
        none);
    exchange.shareReplicas({&held});
    peers::PeerDirectory b(api, peerAt("b", "north", sender.local_endpoint().port()));
    CHECK(loop().run(b.refresh()));
    CHECK(loop().run(exchange.refreshPeers(Clock::now())));
    held.applyListing({9, {}, false}, store::Freshness::MayLag, Clock::now());
    bool stopped = false;
    asio::co_spawn(loop().io, exchange.runReceiver(), [&stopped](std::exception_ptr) {
        stopped = true;
    });
    CHECK(loop().run(trueAfterDelay(Millis(5))));
    const auto stoodStill = Clock::now();
    const asio::ip::udp::endpoint to(asio::ip::make_address("127.0.0.1"), port);
    for (int i = 0; i < 3; ++i) {
        sender.send_to(asio::buffer(datagramOf({{}, {}, {{"k", 9, 0, Clock::now()}}}, Clock::now())), to);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(200)); // the loop does not run meanwhile
    loop().runUntil([&] {
        return held.isConfirmed();
    });
    CHECK(loop().run(trueAfterDelay(Millis(5))));
    CHECK(held.confirmedAt() <= stoodStill);
    sender.send_to(asio::buffer(datagramOf({{}, {}, {{"k", 9, 0, Clock::now()}}}, Clock::now())), to);
    loop().runUntil([&] {
        return held.confirmedAt() > stoodStill;
    });
    exchange.stop();
    loop().runUntil([&] {
        return stopped;
    });
}

TEST(LoadExchange, ALoadReportedByAPeerChangesThePlacement)
{
    ExchangeFixture fixture;
    peers::PeerDirectory b(fixture.api, peerAt("b", "north", 2));
    CHECK(loop().run(b.refresh()));
    const auto now = Clock::now();
    CHECK(loop().run(fixture.exchange->refreshPeers(now)));
    const std::string busy = fixture.pick(now);
    fixture.exchange->handleDatagram(datagramOf({{{busy, 40, now}}, {}, {}}, now), addressOfB, now);
    CHECK(fixture.pick(now) != busy);
    CHECK(fixture.table->reportsReceivedSince({}).empty()); // received loads are not forwarded
}

// Guards against one item that cannot be read costing the rest of its datagram, unnoticed.
TEST(LoadExchange, AnUnreadableItemCostsItselfAloneAndIsCounted)
{
    ExchangeFixture fixture;
    peers::PeerDirectory b(fixture.api, peerAt("b", "north", 2));
    CHECK(loop().run(b.refresh()));
    const auto now = Clock::now();
    CHECK(loop().run(fixture.exchange->refreshPeers(now)));
    const std::string busy = fixture.pick(now);
    const nlohmann::json items{{1, 2, 3, 4, 5, 6}, {busy, 40, 0}, {"i", -7, 0}};
    fixture.exchange->handleDatagram(nlohmann::json::to_cbor(items), addressOfB, now);
    CHECK(fixture.pick(now) != busy);
    LONGS_EQUAL(2, fixture.exchange->unreadableItems());
    fixture.exchange->handleDatagram(std::vector<uint8_t>{0x9f, 0xff, 0x00, 0x13}, addressOfB, now);
    LONGS_EQUAL(3, fixture.exchange->unreadableItems());
}

// Guards against endpoints and services with long names being unknown to routers that hear of them.
TEST(LoadExchange, ReportsAndCountsOfLongNamesReachTheirEndpointsAndServices)
{
    const std::string longId = std::string(1000, 'e');
    const std::string longService = std::string(1000, 's');
    const auto now = Clock::now();
    router::TableOptions options;
    options.servicePolicy = Policy::LeastLoaded;
    router::RoutingTable table(options);
    table.setEndpoints({endpointAt(longId + "1", 1, longService, EndpointKind::Service), endpointAt(longId + "2", 2, longService, EndpointKind::Service)});
    const auto decoded = std::get<peers::PeerMessage>(peers::decode(datagramOf({{{longId + "1", 40, now}}, {{7, longId + "2"}}, {}}, now), now));
    table.mergePeerReport(decoded.loads.front(), now);
    table.mergePeerPrompt(decoded.prompts.front(), now);
    for (int i = 0; i < 20; ++i) {
        const auto picked = table.acquire(longService, {1, 1}, {}, now);
        CHECK(picked->id == longId + "2");
    }
    LONGS_EQUAL(1, table.knownPrompts(10, now).size());
    CHECK(table.knownPrompts(10, now).front().endpoint == longId + "2");
}

TEST(LoadExchange, AnOlderLoadReportDoesNotReplaceANewerOne)
{
    ExchangeFixture fixture;
    peers::PeerDirectory b(fixture.api, peerAt("b", "north", 2));
    CHECK(loop().run(b.refresh()));
    const auto now = Clock::now();
    CHECK(loop().run(fixture.exchange->refreshPeers(now)));
    fixture.table->recordLoadReport("e1", 40, now);
    fixture.table->recordLoadReport("e2", 20, now);
    fixture.exchange->handleDatagram(datagramOf({{{"e1", 0, now - Millis(500)}}, {}, {}}, now), addressOfB, now);
    STRCMP_EQUAL("e2", fixture.pick(now).c_str());
    LONGS_EQUAL(2, fixture.table->reportsReceivedSince(now - Millis(1)).size());
    LONGS_EQUAL(0, fixture.table->reportsReceivedSince(now).size());
}

TEST(LoadExchange, RecentPeerReportsOfLoadedEnginesAreForwardedHighestFirst)
{
    const auto now = Clock::now();
    const auto table = tableOfEngines(now);
    table->recordLoadReport("e1", 60, now); // this router's own report
    table->mergePeerReport({"e2", 30, now - Millis(100)}, now);
    table->mergePeerReport({"e3", 40, now - Millis(100)}, now);
    table->mergePeerReport({"e4", 50, now - Millis(300)}, now);
    table->mergePeerReport({"e5", 2, now}, now);
    table->mergePeerReport({"unlisted", 90, now}, now);
    const Millis maxAge{200};
    const peers::LoadReport second{"e2", 30, now - Millis(100)};
    const peers::LoadReport first{"e3", 40, now - Millis(100)};
    CHECK((table->reportsToForward(now - Millis(1), 4, maxAge, now) == std::vector<peers::LoadReport>{first, second}));
    CHECK((table->reportsToForward(now - Millis(1), 1, maxAge, now) == std::vector<peers::LoadReport>{first}));
    CHECK(table->reportsToForward(now, 4, maxAge, now).empty()); // forwarded in the round before
}

TEST(LoadExchange, ARoundForwardsReportsOfLoadedEnginesUnlessItReachesAllRouters)
{
    for (const bool reachesAll : {false, true}) {
        asio::ip::udp::socket listener(loop().io, {asio::ip::make_address("127.0.0.1"), 0});
        const uint16_t port = listener.local_endpoint().port();
        ExchangeFixture fixture;
        for (const auto &peer : {peerAt("b", "south", 2), peerAt("c", "north", port), peerAt("d", "south", 4)}) {
            CHECK(loop().run(peers::PeerDirectory(fixture.api, peer).refresh()));
        }
        const auto now = Clock::now();
        const auto table = tableOfEngines(now);
        peers::ExchangeOptions options;
        options.maxPeersPerRound = reachesAll ? 3 : 2;
        options.maxForwardedAge = std::chrono::seconds(30);
        peers::LoadExchange exchange(fixture.api, peerAt("a", "north", 0), *table, options);
        CHECK(loop().run(exchange.refreshPeers(now)));
        exchange.handleDatagram(datagramOf({{{"e3", 40, now}}, {}, {}}, now), addressOfB, now);
        bool stopped = false;
        asio::co_spawn(loop().io, exchange.runSender(), [&stopped](std::exception_ptr) {
            stopped = true;
        });
        const auto message = loop().run(receiveMessage(listener));
        exchange.stop();
        loop().runUntil([&stopped] {
            return stopped;
        });
        const bool forwarded = std::any_of(message.loads.begin(), message.loads.end(), [](const peers::LoadReport &report) {
            return report.endpoint == "e3" && report.load == 40;
        });
        CHECK_EQUAL(!reachesAll, forwarded);
    }
}

TEST(LoadExchange, CountsOfPeersSetTheMeanLoadOfAServiceWithALoadBound)
{
    ExchangeFixture fixture;
    for (const auto &peer : {peerAt("b", "north", 2), peerAt("c", "south", 3)}) {
        CHECK(loop().run(peers::PeerDirectory(fixture.api, peer).refresh()));
    }
    const auto now = Clock::now();
    const auto table = tableOfEngines(now); // each reported that it holds no request besides the reported one
    peers::ExchangeOptions options;
    options.roundInterval = Millis(10);
    peers::LoadExchange exchange(fixture.api, peerAt("a", "north", 0), *table, options);
    CHECK(loop().run(exchange.refreshPeers(now)));
    CHECK(loop().run(exchange.refreshPeers(now)));
    peers::PeerMessage message;
    message.inflight = {{"p", 40}};
    const auto later = now + std::chrono::minutes(1); // the counts do not expire during the test
    exchange.handleDatagram(datagramOf(message, later), addressOfB, later);
    exchange.handleDatagram(datagramOf(message, later), {"127.0.0.1", 3}, later);
    bool stopped = false;
    asio::co_spawn(loop().io, exchange.runSender(), [&stopped](std::exception_ptr) {
        stopped = true;
    });
    double mean = 0;
    loop().runUntil([&] {
        mean = table->placementView(endpointAt("e1", 1, "p", EndpointKind::Engine), 1, Clock::now())->load.mean;
        return mean > 3.9;
    });
    exchange.stop();
    loop().runUntil([&stopped] {
        return stopped;
    });
    DOUBLES_EQUAL(4, mean, 0.1); // 80 requests on 20 engines
}

TEST(LoadExchange, DatagramsFromUnlistedSendersAreIgnored)
{
    ExchangeFixture fixture;
    const auto now = Clock::now();
    CHECK(loop().run(fixture.exchange->refreshPeers(now)));
    const std::string first = fixture.pick(now);
    fixture.exchange->handleDatagram(datagramOf({{{first, 40, now}}, {}, {}}, now), addressOfB, now);
    STRCMP_EQUAL(first.c_str(), fixture.pick(now).c_str());
}

TEST(LoadExchange, AMalformedDatagramChangesNothing)
{
    ExchangeFixture fixture;
    peers::PeerDirectory b(fixture.api, peerAt("b", "north", 2));
    CHECK(loop().run(b.refresh()));
    const auto now = Clock::now();
    CHECK(loop().run(fixture.exchange->refreshPeers(now)));
    const std::string first = fixture.pick(now);
    auto datagram = datagramOf({{{first, 40, now}}, {}, {}}, now);
    datagram.pop_back();
    fixture.exchange->handleDatagram(datagram, addressOfB, now);
    STRCMP_EQUAL(first.c_str(), fixture.pick(now).c_str());
}

TEST(LoadExchange, RoutersWhoseEntriesTheStoreLostKeepTheirPartOfSharedLimits)
{
    ExchangeFixture fixture;
    for (const auto &peer : {peerAt("b", "north", 2), peerAt("c", "south", 3)}) {
        CHECK(loop().run(peers::PeerDirectory(fixture.api, peer).refresh()));
    }
    const auto now = Clock::now();
    CHECK(loop().run(fixture.exchange->refreshPeers(now)));
    for (const char *name : {"a", "b", "c"}) {
        fixture.store.remove(peers::routerKind, name, std::nullopt);
    }
    CHECK(loop().run(fixture.exchange->refreshPeers(now)));
    CHECK(std::vector<std::string>({"b", "c"}) == fixture.exchange->membership().mayBeRunning());
}

TEST(LoadExchange, TheEntryOfALongSilentRouterIsRemoved)
{
    ExchangeFixture fixture;
    peers::PeerDirectory b(fixture.api, peerAt("b", "north", 2));
    CHECK(loop().run(b.refresh()));
    const auto now = Clock::now();
    CHECK(loop().run(fixture.exchange->refreshPeers(now)));
    const auto listed = [&] {
        return fixture.store.list(peers::routerKind, "", 10).items.size();
    };
    CHECK(loop().run(fixture.exchange->refreshPeers(now + std::chrono::minutes(9))));
    LONGS_EQUAL(2, listed());
    fixture.exchange->handleDatagram(datagramOf({}, now), addressOfB, now + std::chrono::minutes(9)); // the peer is running
    CHECK(loop().run(fixture.exchange->refreshPeers(now + std::chrono::minutes(11))));
    LONGS_EQUAL(2, listed());
    CHECK(loop().run(fixture.exchange->refreshPeers(now + std::chrono::minutes(20))));
    LONGS_EQUAL(1, listed());
}
