// What binds streams outlives all routers: records of versions and origins in the store, and who takes what from them.
#include "entry_fixture.h"
#include "follower_fixture.h"
#include "stream_store.h"

// CppUTest goes last: its memory-leak macros redefine operator new.
#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;
using nlohmann::json;
using streams::Origin;

namespace
{

const Origin oldVersion{"m", "v1"};
const Origin newVersion{"m", "v2"};

std::vector<Endpoint> enginesOf(const std::vector<std::string> &versions)
{
    std::vector<Endpoint> engines;
    for (const auto &version : versions) {
        auto engine = endpointAt("e-" + version, 1, "m", EndpointKind::Engine);
        engine.version = version;
        engines.push_back(engine);
    }
    return engines;
}

/// A router as far as it records and reads what binds streams.
struct StreamRouter {
    StreamRouter(Loop &l, store::ObjectStore &store, const std::vector<std::string> &versions, streams::StreamStoreOptions options = quick())
        : loop(l)
        , api(store)
        , streamStore({api, table, origins,
                       [] {
                           return std::set<std::string>{"m"};
                       },
                       [this] {
                           return rank;
                       },
                       [] {
                           return std::size_t(1);
                       },
                       [this](Clock::time_point) {
                           return catchUp();
                       }},
                      l.io.get_executor(), options)
    {
        table.setEndpoints(enginesOf(versions));
    }
    static streams::StreamStoreOptions quick()
    {
        streams::StreamStoreOptions options;
        options.startDelay = options.pollInterval = options.rankInterval = Millis(1);
        options.recorderInterval = Millis(5);
        options.readDelayPerRouter = Millis(0);
        options.minVersionsInterval = Millis(1);
        options.versionsIntervalPerRouter = Millis(0);
        return options;
    }
    Task<bool> catchUp()
    {
        ++catchUps;
        if (onCatchUp) {
            onCatchUp();
        }
        co_return seesStore;
    }
    void begin(uint64_t stream, const Origin &origin)
    {
        origins.collect(true);
        origins.announce({stream, origin}, Clock::now());
    }
    bool record()
    {
        return loop.run(streamStore.saveVersions()) && loop.run(streamStore.saveOrigins());
    }
    std::optional<Origin> find(uint64_t stream)
    {
        return loop.run(streamStore.find(stream, "m"));
    }
    std::optional<std::string> soleVersion()
    {
        return loop.run(streamStore.soleVersion("m"));
    }

    Loop &loop;
    CountingApi api;
    router::RoutingTable table;
    streams::StreamOrigins origins;
    std::size_t rank = 0;
    bool seesStore = true; ///< the endpoints in effect are those in the store
    int catchUps = 0;
    std::function<void()> onCatchUp;
    streams::StreamStore streamStore;
};

std::set<std::string> recordedVersions(const store::ObjectStore &store)
{
    const auto object = store.get(streams::versionKind, "m");
    return ok(object) ? std::get<store::Object>(object).value["versions"].get<std::set<std::string>>() : std::set<std::string>{};
}

} // namespace

LOOP_GROUP(StreamStore);

TEST(StreamStore, OriginsAreKnownAfterAllRoutersHaveRestarted)
{
    store::ObjectStore store;
    {
        StreamRouter router(loop(), store, {"v1", "v2"});
        router.begin(7, oldVersion);
        router.begin(~uint64_t{0}, newVersion);
        CHECK(router.record());
    }
    StreamRouter restarted(loop(), store, {"v1", "v2"});
    CHECK(restarted.find(7) == oldVersion);
    CHECK(restarted.find(~uint64_t{0}) == newVersion);
    CHECK(!restarted.find(8));
}

// Guards against records that lose versions with long names, or that a router of the release before cannot read: they hold the text.
TEST(StreamStore, OriginsOfVersionsWithLongNamesAreRecordedByTheirText)
{
    const std::string image = "sha256:" + std::string(63, 'a');
    const std::string huge(100000, 'v');
    store::ObjectStore store;
    {
        StreamRouter router(loop(), store, {image + "1", image + "2", huge + "1", huge + "2"});
        router.begin(7, streams::makeOrigin("m", image + "1"));
        router.begin(8, streams::makeOrigin("m", image + "2"));
        router.begin(9, streams::makeOrigin("m", huge + "1"));
        CHECK(router.record());
    }
    const auto object = store.list(streams::originKind).items.front();
    STRCMP_EQUAL("0000000000000007", object.value["origins"]["m"][image + "1"].get<std::string>().c_str());
    CHECK(object.value.dump().size() < 1000);
    CHECK(recordedVersions(store).count(image + "1") == 1);
    CHECK(std::get<store::Object>(store.get(streams::versionKind, "m")).value.dump().size() < 1000);
    StreamRouter restarted(loop(), store, {image + "1", image + "2", huge + "1", huge + "2"});
    CHECK(restarted.find(7) == streams::makeOrigin("m", image + "1"));
    CHECK(restarted.find(8) == streams::makeOrigin("m", image + "2"));
    CHECK(restarted.find(9) == streams::makeOrigin("m", huge + "1"));
    CHECK(*restarted.table.findVersion("m", restarted.find(9)->version) == huge + "1");
    CHECK(!restarted.table.findVersion("m", streams::makeOrigin("m", huge + "3").version));
}

TEST(StreamStore, AVersionWithAVeryLongNameThatAloneIsRecordedBindsAllStreams)
{
    const std::string huge(100000, 'v');
    store::ObjectStore store;
    CHECK(StreamRouter(loop(), store, {huge}).record());
    StreamRouter restarted(loop(), store, {huge});
    CHECK(*restarted.soleVersion() == huge);
    CHECK(restarted.find(7) == streams::makeOrigin("m", huge));
    StreamRouter other(loop(), store, {huge + "1"});
    CHECK(!other.soleVersion());
}

// Guards against an object of more bytes than the store accepts, which would never be written.
TEST(StreamStore, ManyOriginsAreWrittenToSeveralObjects)
{
    store::ObjectStore store;
    auto options = StreamRouter::quick();
    options.maxOriginsPerObject = 10;
    StreamRouter router(loop(), store, {"v1", "v2"}, options);
    for (uint64_t stream = 0; stream < 25; ++stream) {
        router.begin(stream, oldVersion);
    }
    for (int i = 0; i < 3; ++i) {
        CHECK(router.record());
    }
    LONGS_EQUAL(3, store.list(streams::originKind).items.size());
    StreamRouter restarted(loop(), store, {"v1", "v2"});
    for (uint64_t stream = 0; stream < 25; ++stream) {
        CHECK(restarted.find(stream) == oldVersion);
    }
}

TEST(StreamStore, RestartedRouterDoesNotTakeTheListedVersionForTheOnlyOne)
{
    store::ObjectStore store;
    CHECK(StreamRouter(loop(), store, {"v1", "v2"}).record());
    StreamRouter restarted(loop(), store, {"v2"});
    CHECK(!restarted.soleVersion());
    CHECK(!restarted.find(7));
}

TEST(StreamStore, OnlyRecordedVersionBindsAllStreams)
{
    store::ObjectStore store;
    CHECK(StreamRouter(loop(), store, {"v1"}).record());
    StreamRouter restarted(loop(), store, {"v1"});
    CHECK(*restarted.soleVersion() == "v1");
    CHECK(restarted.find(7) == oldVersion);
    StreamRouter other(loop(), store, {"v2"}); // the recorded one left while no router ran
    CHECK(!other.soleVersion());
}

TEST(StreamStore, NothingIsGuessedWithoutARecordOrWithoutTheStore)
{
    store::ObjectStore store;
    StreamRouter first(loop(), store, {"v1"});
    CHECK(!first.soleVersion());
    CHECK(first.record());
    StreamRouter cutOff(loop(), store, {"v1"});
    cutOff.api.outage = true;
    CHECK(!cutOff.soleVersion());
    CHECK(!cutOff.find(7));
}

TEST(StreamStore, ValuesOfOtherWritersAreNoRecords)
{
    for (const auto &value : {json(1), json({{"versions", "v1"}}), json({{"versions", json::array({1})}}), json({{"versions", json::array()}})}) {
        store::ObjectStore store;
        store.put(streams::versionKind, "m", value, std::nullopt);
        for (const auto &origins : {json(1), json({{"origins", 1}}), json({{"origins", {{"m", 1}}}}), json({{"origins", {{"m", {{"v1", 1}}}}}}),
                                    json({{"origins", {{"m", {{"v1", "0000000000000007x"}}}}}}), json({{"origins", {{"m", {{"v1", "zz0000000000000"}}}}}})}) {
            store.put(streams::originKind, origins.dump(), origins, std::nullopt);
        }
        StreamRouter router(loop(), store, {"v1"});
        CHECK(!router.soleVersion());
        CHECK(router.find(7) == oldVersion); // the record with a part of a key behind it
        CHECK(!router.find(8));
    }
}

TEST(StreamStore, OriginsAreWrittenOnlyWhileAServiceHasSeveralVersions)
{
    store::ObjectStore store;
    StreamRouter router(loop(), store, {"v1"});
    router.begin(7, oldVersion);
    CHECK(router.record());
    LONGS_EQUAL(0, store.list(streams::originKind).items.size());
    router.table.setEndpoints(enginesOf({"v1", "v2"}));
    CHECK(router.record());
    LONGS_EQUAL(1, store.list(streams::originKind).items.size()); // of the stream that began before
    CHECK(router.record());
    LONGS_EQUAL(1, store.list(streams::originKind).items.size());
    router.begin(8, newVersion);
    CHECK(router.record());
    LONGS_EQUAL(2, store.list(streams::originKind).items.size());
}

TEST(StreamStore, StreamsUnderWayAreAnnouncedAgainOnceTheirServiceHasSeveralVersions)
{
    store::ObjectStore store;
    StreamRouter router(loop(), store, {"v1"});
    router.rank = 9;
    std::vector<streams::OriginRecord> sent;
    router.origins.sendCopies = [&sent](const streams::OriginRecord &record) {
        sent.push_back(record);
    };
    router.begin(7, oldVersion);
    router.origins.merge({8, oldVersion}, Clock::now()); // another router's
    router.begin(9, {"other", "v1"});
    asio::co_spawn(loop().io, router.streamStore.run(), asio::detached);
    loop().run(trueAfterDelay(Millis(10)));
    LONGS_EQUAL(2, sent.size());
    router.table.setEndpoints(enginesOf({"v1", "v2"}));
    loop().run(trueAfterDelay(Millis(20)));
    LONGS_EQUAL(3, sent.size());
    CHECK((sent.back() == streams::OriginRecord{7, oldVersion}));
    router.streamStore.stop();
    loop().run(trueAfterDelay(Millis(10)));
}

TEST(StreamStore, OriginsAreWrittenToABoundedNumberOfObjects)
{
    store::ObjectStore store;
    StreamRouter router(loop(), store, {"v1", "v2"});
    CHECK(router.record());
    const auto written = router.api.writeCount;
    constexpr uint64_t rounds = 250;
    for (uint64_t stream = 0; stream < rounds; ++stream) {
        router.begin(2 * stream, oldVersion);
        router.begin(2 * stream + 1, newVersion);
        CHECK(router.record());
    }
    LONGS_EQUAL(written + rounds, router.api.writeCount);
    LONGS_EQUAL(streams::StreamStoreOptions{}.originObjects, store.list(streams::originKind).items.size());
    StreamRouter restarted(loop(), store, {"v1", "v2"});
    CHECK(restarted.find(2 * rounds - 1) == newVersion);
}

TEST(StreamStore, NewRecorderDoesNotReplaceTheNewestOrigins)
{
    store::ObjectStore store;
    constexpr uint64_t routers = 20;
    for (uint64_t stream = 0; stream < routers; ++stream) {
        StreamRouter router(loop(), store, {"v1", "v2"});
        router.begin(stream, oldVersion);
        CHECK(router.record());
    }
    LONGS_EQUAL(routers, store.list(streams::originKind).items.size());
}

TEST(StreamStore, TwoRecordersDoNotReplaceEachOthersOrigins)
{
    store::ObjectStore store;
    StreamRouter first(loop(), store, {"v1", "v2"});
    StreamRouter second(loop(), store, {"v1", "v2"});
    constexpr uint64_t streams = 20;
    for (uint64_t stream = 0; stream < streams; ++stream) {
        auto &router = stream % 2 == 0 ? first : second;
        router.begin(stream, oldVersion);
        CHECK(router.record());
    }
    StreamRouter restarted(loop(), store, {"v1", "v2"});
    for (uint64_t stream = 0; stream < streams; ++stream) {
        CHECK(restarted.find(stream) == oldVersion);
    }
}

TEST(StreamStore, OriginsThatCouldNotBeWrittenAreWrittenLater)
{
    store::ObjectStore store;
    StreamRouter router(loop(), store, {"v1", "v2"});
    CHECK(router.record());
    router.begin(7, oldVersion);
    router.api.outage = true;
    CHECK(!loop().run(router.streamStore.saveOrigins()));
    router.api.outage = false;
    CHECK(loop().run(router.streamStore.saveOrigins()));
    StreamRouter restarted(loop(), store, {"v1", "v2"});
    CHECK(restarted.find(7) == oldVersion);
}

TEST(StreamStore, RequestsShareReadsOfTheStore)
{
    store::ObjectStore store;
    CHECK(StreamRouter(loop(), store, {"v1", "v2"}).record());
    auto options = StreamRouter::quick();
    options.readInterval = std::chrono::minutes(1);
    StreamRouter router(loop(), store, {"v1", "v2"}, options);
    std::vector<std::optional<std::optional<Origin>>> found(20);
    for (uint64_t stream = 0; stream < found.size(); ++stream) {
        loop().start(router.streamStore.find(stream, "m"), found[stream]);
    }
    loop().runUntil([&] {
        return std::all_of(found.begin(), found.end(), [](const auto &result) {
            return result.has_value();
        });
    });
    for (uint64_t stream = 0; stream < 100; ++stream) {
        CHECK(!router.find(stream));
    }
    LONGS_EQUAL(1, router.api.lists); // of origins alone, as there are two versions
}

TEST(StreamStore, RequestsShareChecksOfTheOnlyVersion)
{
    store::ObjectStore store;
    CHECK(StreamRouter(loop(), store, {"v1"}).record());
    auto options = StreamRouter::quick();
    options.minVersionsInterval = options.maxVersionsInterval = Millis(100);
    StreamRouter router(loop(), store, {"v1"}, options);
    for (int round = 1; round <= 3; ++round) {
        std::vector<std::optional<std::optional<Origin>>> found(20);
        for (uint64_t stream = 0; stream < found.size(); ++stream) {
            loop().start(router.streamStore.find(stream, "m"), found[stream]);
        }
        loop().runUntil([&] {
            return std::all_of(found.begin(), found.end(), [](const auto &result) {
                return result.has_value();
            });
        });
        CHECK(**found.front() == oldVersion);
        LONGS_EQUAL(round, router.api.lists);
        LONGS_EQUAL(round, router.catchUps);
    }
}

// Guards against a router that is out of step continuing a stream at the one version that it knows: its view must be the store's, as of
// the time at which the stream is taken up.
TEST(StreamStore, AViewThatIsBehindTheStoreBindsNoStream)
{
    store::ObjectStore store;
    CHECK(StreamRouter(loop(), store, {"v1"}).record());
    StreamRouter behind(loop(), store, {"v1"});
    behind.seesStore = false;
    CHECK(!behind.soleVersion());
    CHECK(!behind.find(7));
    behind.seesStore = true;
    CHECK(behind.find(7) == oldVersion);
    behind.onCatchUp = [&behind] {
        behind.table.setEndpoints(enginesOf({"v1", "v2"})); // what the store lists now
    };
    CHECK(!behind.find(8));
}

TEST(StreamStore, ARecordReadBeforeTheStreamIsTakenUpDoesNotBindIt)
{
    store::ObjectStore store;
    CHECK(StreamRouter(loop(), store, {"v1"}).record());
    StreamRouter router(loop(), store, {"v1"});
    CHECK(router.find(7) == oldVersion);
    CHECK(StreamRouter(loop(), store, {"v1", "v2"}).record()); // another version joined and began a stream just now
    CHECK(!router.find(8));
}

TEST(StreamStore, VersionIsDroppedOnceARecorderHasMissedItForLong)
{
    store::ObjectStore store;
    CHECK(StreamRouter(loop(), store, {"v1", "v2"}).record());
    StreamRouter early(loop(), store, {"v2"});
    asio::co_spawn(loop().io, early.streamStore.run(), asio::detached);
    loop().run(trueAfterDelay(Millis(30)));
    CHECK((recordedVersions(store) == std::set<std::string>{"v1", "v2"}));
    early.streamStore.stop();
    auto options = StreamRouter::quick();
    options.versionMemory = Millis(20);
    StreamRouter late(loop(), store, {"v2"}, options);
    asio::co_spawn(loop().io, late.streamStore.run(), asio::detached);
    const auto until = Clock::now() + std::chrono::seconds(3);
    while (recordedVersions(store).size() > 1 && Clock::now() < until) {
        loop().run(trueAfterDelay(Millis(5)));
    }
    CHECK((recordedVersions(store) == std::set<std::string>{"v2"}));
    late.streamStore.stop();
    loop().run(trueAfterDelay(Millis(10)));
}

TEST(StreamStore, FirstRouterRecordsAndTheOthersOnlyWhatItLeavesOut)
{
    store::ObjectStore store;
    StreamRouter first(loop(), store, {"v1"});
    StreamRouter second(loop(), store, {"v1"});
    StreamRouter last(loop(), store, {"v1"});
    second.rank = 1;
    last.rank = 9;
    for (auto *router : {&first, &second, &last}) {
        asio::co_spawn(loop().io, router->streamStore.run(), asio::detached);
    }
    loop().run(trueAfterDelay(Millis(30)));
    CHECK((recordedVersions(store) == std::set<std::string>{"v1"}));
    LONGS_EQUAL(1, first.api.writeCount);
    LONGS_EQUAL(0, second.api.writeCount);
    first.api.outage = true;
    for (auto *router : {&first, &second, &last}) {
        router->table.setEndpoints(enginesOf({"v1", "v2"}));
    }
    loop().run(trueAfterDelay(Millis(30)));
    CHECK((recordedVersions(store) == std::set<std::string>{"v1", "v2"}));
    LONGS_EQUAL(1, second.api.writeCount);
    LONGS_EQUAL(0, last.api.writeCount);
    for (auto *router : {&first, &second, &last}) {
        router->streamStore.stop();
    }
    loop().run(trueAfterDelay(Millis(10)));
}

TEST(StreamStore, RecordLostByARestoreOfTheStoreIsWrittenAgain)
{
    store::ObjectStore store;
    const auto empty = store.backup();
    StreamRouter router(loop(), store, {"v1"});
    asio::co_spawn(loop().io, router.streamStore.run(), asio::detached);
    loop().run(trueAfterDelay(Millis(20)));
    LONGS_EQUAL(1, recordedVersions(store).size());
    store.restore(empty);
    loop().run(router.api.isReachable("k")); // any answer tells the new epoch
    loop().run(trueAfterDelay(Millis(20)));
    LONGS_EQUAL(1, recordedVersions(store).size());
    router.streamStore.stop();
    loop().run(trueAfterDelay(Millis(10)));
}

LOOP_GROUP(StreamsAfterRestart);

namespace
{

std::string versionedEvents(const std::string &version, int first)
{
    std::string out;
    for (int event = first; event <= 5; ++event) {
        out += chunk("id: " + std::to_string(event) + "\ndata: " + version + "\n\n");
    }
    return out + "0\r\n\r\n";
}

/// Engines of two versions behind a router of which there may be several in turn, over one store.
struct TwoVersions {
    explicit TwoVersions(Loop &loop)
        : old(loop, scriptFor("v1"))
        , fresh(loop, scriptFor("v2"))
    {
    }
    static ScriptedEndpoint::Script scriptFor(const std::string &version)
    {
        return [version](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
            const auto last = request.header("Last-Event-Id");
            const auto bytes = streamHead(request.header("Yuccasaddle-Attempt-Id")) + versionedEvents(version, last == "(none)" ? 1 : std::stoi(last) + 1);
            co_await sendBytes(socket, bytes);
        };
    }
    void list(EntryFixture &router, const std::vector<std::string> &versions) const
    {
        std::map<std::string, Endpoint> listed;
        for (const auto &version : versions) {
            auto endpoint = endpointAt("e-" + version, version == "v1" ? old.port : fresh.port, "m", EndpointKind::Service);
            endpoint.version = version;
            listed.emplace(endpoint.id, endpoint);
        }
        router.published.replaceEndpoints(listed);
        router.published.publishEndpoints();
    }
    ScriptedEndpoint old;
    ScriptedEndpoint fresh;
};

} // namespace

TEST(StreamsAfterRestart, StreamGoesOnAtTheVersionThatBeganItWhenAllRoutersHaveRestarted)
{
    TwoVersions engines(loop());
    EntryFixture before(loop(), {});
    before.origins.collect(true);
    engines.list(before, {"v1", "v2"});
    before.recordVersions();
    std::vector<std::string> versions;
    for (int n = 0; n < 8; ++n) {
        const auto begun = before.reply("POST", "/chat/1", "a" + std::to_string(n));
        LONGS_EQUAL(200, begun.status);
        versions.push_back(begun.body.find("v1") != std::string::npos ? "v1" : "v2");
    }
    CHECK(loop().run(before.streamStore.saveOrigins()));
    EntryFixture after(loop(), {});
    after.durable = before.durable;
    engines.list(after, {"v1", "v2"});
    for (int n = 0; n < 8; ++n) {
        const http::Headers resumption{{"Resumes", "a" + std::to_string(n)}, {"Last-Event-Id", "2"}};
        const auto reply = after.reply("POST", "/chat/1", "b" + std::to_string(n), resumption);
        LONGS_EQUAL(200, reply.status);
        CHECK(reply.body.find(versions[static_cast<std::size_t>(n)]) != std::string::npos);
        CHECK(reply.body.find(versions[static_cast<std::size_t>(n)] == "v1" ? "v2" : "v1") == std::string::npos);
    }
}

TEST(StreamsAfterRestart, StreamTakenUpWithoutItsFirstAttemptIsRefusedWhereAnotherVersionMayHaveBegunIt)
{
    TwoVersions engines(loop());
    EntryFixture before(loop(), {});
    engines.list(before, {"v1", "v2"});
    before.recordVersions();
    EntryFixture after(loop(), {});
    after.durable = before.durable;
    engines.list(after, {"v2"}); // the old version left while no router ran
    const auto reply = after.reply("POST", "/chat/1", "b1", {{"Last-Event-Id", "2"}});
    LONGS_EQUAL(503, reply.status);
    CHECK(!reply.header("Retry-After").empty());
    LONGS_EQUAL(0, engines.fresh.seen.size());
}
