// Tests of prompt holders: placement, announcements between routers, and the snapshot that a starting router loads.
#include "datagram.h"
#include "local_object_api.h"
#include "peers/load_exchange.h"
#include "prompt_snapshot.h"

#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;

namespace
{

router::TableOptions homePolicy()
{
    router::TableOptions options;
    options.policy = Policy::Home;
    return options;
}

Endpoint makeEngine(const std::string &id)
{
    return endpointAt(id, 1, "m", EndpointKind::Engine);
}

std::vector<Endpoint> engines(std::initializer_list<std::string> ids)
{
    std::vector<Endpoint> out;
    for (const auto &id : ids) {
        out.push_back(makeEngine(id));
    }
    return out;
}

// A prompt whose home in the table is the given endpoint.
uint64_t promptWithHome(const router::RoutingTable &table, const std::string &home)
{
    uint64_t prompt = 1;
    while (table.homeOf("m", prompt)->id != home) {
        ++prompt;
    }
    return prompt;
}

std::string pickedEndpoint(router::RoutingTable &table, uint64_t prompt, Clock::time_point now)
{
    const auto e = table.acquire("m", {prompt, prompt}, {}, now);
    table.release(*e, now);
    return e->id;
}

} // namespace

TEST_GROUP(HolderPlacement)
{
    router::RoutingTable table{homePolicy()};
    Clock::time_point now{std::chrono::hours(1)};
};

TEST(HolderPlacement, PromptStaysAtHolderWhenItsNewHomeJoins)
{
    table.setEndpoints(engines({"a", "b", "c", "d"}), now);
    const uint64_t prompt = promptWithHome(table, "d");
    table.setEndpoints(engines({"a", "b", "c"}), now);
    const auto held = pickedEndpoint(table, prompt, now);
    table.recordPromptHolder(prompt, makeEngine(held), now);
    table.setEndpoints(engines({"a", "b", "c", "d"}), now);
    STRCMP_EQUAL(held.c_str(), pickedEndpoint(table, prompt, now).c_str());
    STRCMP_EQUAL("d", pickedEndpoint(table, prompt, now + std::chrono::seconds(31)).c_str()); // the holder entry has expired
}

TEST(HolderPlacement, PromptGoesToOtherHolderWhenOneIsAtLoadBound)
{
    table.setEndpoints(engines({"a", "b", "c", "d"}), now);
    const uint64_t prompt = promptWithHome(table, "a");
    table.recordPromptHolder(prompt, makeEngine("a"), now);
    table.recordPromptHolder(prompt, makeEngine("c"), now);
    table.recordLoadReport("a", 30, now);
    for (const char *id : {"b", "c", "d"}) {
        table.recordLoadReport(id, 2, now);
    }
    STRCMP_EQUAL("c", pickedEndpoint(table, prompt, now).c_str());
    CHECK(table.estimatePrompt(prompt, makeEngine("c"), now).held);
    STRCMP_EQUAL("c", table.estimatePrompt(prompt, makeEngine("b"), now).source->id.c_str());
}

TEST(HolderPlacement, PlacementViewShowsHoldersLoadsAndAgeOfReport)
{
    table.setEndpoints(engines({"a", "b", "c", "d"}), now);
    table.recordPromptHolder(7, makeEngine("a"), now);
    table.recordPromptHolder(7, makeEngine("c"), now);
    for (const char *id : {"a", "b", "c"}) {
        table.recordLoadReport(id, 4, now);
    }
    const auto known = table.placementView(makeEngine("a"), 7, now + std::chrono::seconds(1));
    LONGS_EQUAL(2, known->holders);
    DOUBLES_EQUAL(2.25, known->load.mean, 0.1); // d has no report
    DOUBLES_EQUAL(3.5, known->load.estimate, 0.1); // between the report and the mean
    DOUBLES_EQUAL(1, known->load.reportAge->count(), 1e-6);
    const auto unknown = table.placementView(makeEngine("d"), 8, now);
    LONGS_EQUAL(0, unknown->holders);
    CHECK(!unknown->load.reportAge);
    CHECK(!table.placementView(makeEngine("e"), 7, now));
}

TEST(HolderPlacement, LeavingHomeIsSourceOfPrompt)
{
    table.setEndpoints(engines({"a", "b", "c"}), now);
    const uint64_t prompt = promptWithHome(table, "a"); // this router never sent the prompt
    auto listed = engines({"a", "b", "c"});
    listed[0].state = EndpointState::Leaving;
    table.setEndpoints(listed, now);
    const auto receiver = makeEngine(pickedEndpoint(table, prompt, now));
    CHECK(receiver.id != "a");
    STRCMP_EQUAL("a", table.estimatePrompt(prompt, receiver, now).source->id.c_str());
}

TEST(HolderPlacement, PromptIsAnnouncedOnceAndAgainAfterInterval)
{
    table.setEndpoints(engines({"a", "b"}), now);
    table.recordPromptHolder(7, makeEngine("a"), now);
    table.recordPromptHolder(7, makeEngine("a"), now + std::chrono::seconds(1));
    table.mergePeerPrompt({8, "b"}, now);
    table.recordPromptHolder(8, makeEngine("b"), now + std::chrono::seconds(1)); // a peer has announced it already
    table.mergePeerPrompt({9, "nobody"}, now);
    CHECK((table.takePromptAnnouncements(10) == std::vector<peers::PromptAnnouncement>{{7, "a"}}));
    table.recordPromptHolder(7, makeEngine("a"), now + std::chrono::seconds(11));
    LONGS_EQUAL(1, table.takePromptAnnouncements(10).size());
    CHECK(table.takePromptAnnouncements(10).empty());
}

TEST_GROUP(PromptEncoding)
{
    Clock::time_point now{std::chrono::hours(1)};
};

TEST(PromptEncoding, DecodedPromptsEqualEncodedOnes)
{
    const std::vector<peers::PromptAnnouncement> prompts{{1, "i-1"}, {0xffffffffffffffffULL, "i-1"}, {3, "i-2"}};
    const auto decoded = std::get<peers::PeerMessage>(peers::decode(datagramOf({{{"i-1", 4, now}}, prompts, {}}, now), now));
    CHECK(decoded.prompts == prompts);
    LONGS_EQUAL(1, decoded.loads.size());
}

TEST(PromptEncoding, FullMessageFitsOnePacket)
{
    std::vector<peers::LoadReport> reports;
    std::vector<peers::PromptAnnouncement> prompts;
    for (uint64_t i = 0; i < 100; ++i) {
        const std::string id = "i-0123456789-" + std::to_string(i);
        reports.push_back({id, 50, now});
        prompts.push_back({0xfffffffffffffff0ULL + i % 16, id});
    }
    const auto datagram = datagramOf({reports, prompts, {}}, now);
    CHECK(datagram.size() < 1472); // payload limit of one Ethernet frame
    LONGS_EQUAL(peers::maxPrompts, std::get<peers::PeerMessage>(peers::decode(datagram, now)).prompts.size());
}

TEST(PromptEncoding, MalformedMessageIsRejected)
{
    using nlohmann::json;
    for (const char *wrong : {R"([["i",[-1]]])", R"([["i",["1"]]])", R"([[1,[1]]])", R"([["i",{}]])",
                              R"([["i",[1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,17,18,19,20,21,22,23,24,25]]])"}) {
        CHECK_TEXT(passesOver(json::parse(wrong), now), wrong);
    }
}

LOOP_GROUP(PromptsBetweenRouters);

TEST(PromptsBetweenRouters, AnnouncedHolderIsUsedByPeer)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    const auto now = Clock::now();
    router::RoutingTable table(homePolicy());
    table.setEndpoints(engines({"a", "b", "c"}), now);
    // The other router is in another failure domain.
    peers::PeerDirectory other(api, {"r2", "south", {"127.0.0.1", 2}, 0});
    CHECK(loop().run(other.refresh()));
    peers::LoadExchange exchange(api, {"r1", "north", {"127.0.0.1", 1}, 0}, table);
    CHECK(loop().run(exchange.refreshPeers(now)));
    const uint64_t prompt = promptWithHome(table, "a");
    exchange.handleDatagram(datagramOf({{}, {{prompt, "c"}}, {}}, now), {"127.0.0.1", 2}, now);
    STRCMP_EQUAL("c", pickedEndpoint(table, prompt, now).c_str());
    CHECK(table.takePromptAnnouncements(10).empty()); // announcements from peers are not forwarded
}

TEST(PromptsBetweenRouters, OnlyFirstLiveRouterByNameWritesSnapshot)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    router::RoutingTable table;
    peers::LoadExchange first(api, {"r1", "north", {"127.0.0.1", 1}, 0}, table);
    peers::LoadExchange second(api, {"r2", "south", {"127.0.0.1", 2}, 0}, table);
    const auto now = Clock::now();
    for (auto *e : {&first, &second, &first}) {
        CHECK(loop().run(e->refreshPeers(now)));
    }
    CHECK(first.isFirstByName(now));
    CHECK(!second.isFirstByName(now));
    CHECK(second.isFirstByName(now + std::chrono::seconds(11))); // the first router has been silent
}

LOOP_GROUP(PromptSnapshot);

namespace
{

struct SnapshotFixture {
    SnapshotFixture()
    {
        table.setEndpoints(engines({"a", "b", "c"}));
    }
    router::PromptSnapshot snapshot(bool writes = true)
    {
        return {api, table,
                [] {
                    return true;
                },
                [writes] {
                    return writes;
                }};
    }
    store::ObjectStore store;
    platform::LocalObjectApi api{store};
    router::RoutingTable table{homePolicy()};
};

} // namespace

TEST(PromptSnapshot, StartingRouterLoadsHoldersFromSnapshot)
{
    SnapshotFixture before;
    const uint64_t prompt = promptWithHome(before.table, "a");
    before.table.recordPromptHolder(prompt, makeEngine("b"), Clock::now());
    before.table.recordPromptHolder(prompt, makeEngine("c"), Clock::now());
    before.table.recordPromptHolder(0xfedcba9876543210ULL, makeEngine("a"), Clock::now());
    auto written = before.snapshot();
    CHECK(loop().run(written.write()));
    router::RoutingTable after(homePolicy());
    after.setEndpoints(engines({"b", "c", "d"})); // "a" is gone
    router::PromptSnapshot read(
        before.api, after,
        [] {
            return true;
        },
        [] {
            return false;
        });
    CHECK(loop().run(read.read()));
    CHECK(after.estimatePrompt(prompt, makeEngine("b"), Clock::now()).held);
    CHECK(after.estimatePrompt(prompt, makeEngine("c"), Clock::now()).held);
    CHECK(!after.estimatePrompt(prompt, makeEngine("d"), Clock::now()).held);
    CHECK(after.takePromptAnnouncements(10).empty());
    LONGS_EQUAL(2, after.knownPrompts(10, Clock::now()).size());
}

// Guards against a snapshot of more bytes than the store accepts, which would never be written.
TEST(PromptSnapshot, SnapshotOfEndpointsWithLongIdsFitsAnObject)
{
    SnapshotFixture fixture;
    std::vector<Endpoint> endpoints;
    for (int i = 0; i < 2000; ++i) {
        endpoints.push_back(makeEngine(std::string(1000, 'e') + std::to_string(i)));
    }
    fixture.table.setEndpoints(endpoints);
    for (uint64_t i = 0; i < endpoints.size(); ++i) {
        fixture.table.recordPromptHolder(i, endpoints[i], Clock::now());
    }
    auto written = fixture.snapshot();
    CHECK(loop().run(written.write()));
    const auto stored = fixture.store.get(router::snapshotKind, router::snapshotName);
    CHECK(ok(stored));
    const auto bytes = std::get<store::Object>(stored).value.dump().size();
    CHECK(bytes < 1024 * 1024 && bytes > 256 * 1024);
}

TEST(PromptSnapshot, MissingSnapshotCompletesReadAndStoreOutageFailsIt)
{
    SnapshotFixture fixture;
    auto snapshot = fixture.snapshot();
    CHECK(loop().run(snapshot.read()));
    fixture.api.outage = true;
    CHECK(!loop().run(snapshot.read()));
    fixture.table.recordPromptHolder(1, makeEngine("a"), Clock::now());
    CHECK(!loop().run(snapshot.write()));
    LONGS_EQUAL(0, fixture.api.writeCount);
}

TEST(PromptSnapshot, MalformedEntriesAreSkipped)
{
    using nlohmann::json;
    SnapshotFixture fixture;
    auto snapshot = fixture.snapshot();
    for (const auto &value : {json(7), json::array({1}), json{{"a", 5}}, json{{"a", {1, "xyz", "12g", "", nullptr}}}, json{{"nobody", {"1f"}}}}) {
        fixture.store.put(router::snapshotKind, router::snapshotName, value, std::nullopt);
        CHECK(loop().run(snapshot.read()));
        CHECK(fixture.table.knownPrompts(10, Clock::now()).empty());
    }
    fixture.store.put(router::snapshotKind, router::snapshotName, json{{"a", {"zz", "1f"}}}, std::nullopt);
    CHECK(loop().run(snapshot.read()));
    CHECK(fixture.table.estimatePrompt(0x1f, makeEngine("a"), Clock::now()).held);
}
