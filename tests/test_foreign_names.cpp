// Names that other writers choose: in targets of requests, at the ends of pages, and in headers.
#include "codec.h"
#include "page_cursor.h"
#include "peers/peer_directory.h"
#include "platform_server.h"
#include "quarantine_store.h"
#include "recording_sink.h"
#include "scripted_store.h"
#include "uri.h"

#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;
using nlohmann::json;

namespace
{

const std::vector<std::string> unsafeNames{"a00%#",
                                           "a01%#",
                                           "a02&b=",
                                           "a03+",
                                           "a04%C3%A9",
                                           "a05 b",
                                           "a06\u00e9\u4e2d",
                                           "a07\r\nX-Injected: 1",
                                           "a08/../x?allow_stale=1",
                                           std::string("a09\0b", 5),
                                           "..",
                                           ".",
                                           "a10" + std::string(2048, '%')};

store::Listing pageOf(std::vector<std::string> names)
{
    store::Listing page;
    page.more = true;
    for (auto &name : names) {
        page.items.push_back({"k", std::move(name), 1, 1});
    }
    return page;
}

// The emulated platform with pages of two entries, and a client of it.
struct PagedPlatform {
    explicit PagedPlatform(Loop &loop)
        : server(settingsWithSmallPages())
        , endpoint(loop,
                   [this](http::Exchange &ex) {
                       ++calls;
                       return server.handle(ex);
                   })
        , client({"127.0.0.1", endpoint.port})
    {
    }
    static settings::PlatformSettings settingsWithSmallPages()
    {
        settings::PlatformSettings s;
        s.pageEntries = 2;
        return s;
    }
    int calls = 0;
    platform::PlatformServer server;
    FakeEndpoint endpoint;
    platform::StoreClient client;
};

// A store that refuses the pages after some names, or fails to send them.
class RefusingStore : public platform::LocalObjectApi
{
public:
    explicit RefusingStore(store::ObjectStore &store)
        : LocalObjectApi(store)
        , m_objects(store)
    {
    }
    Task<Result<platform::Listing>> list(std::string kind, std::string after, platform::Freshness) override
    {
        ++lists;
        if (refused.count(after)) {
            co_return Error{failure, "refused"};
        }
        co_return m_objects.list(kind, after, 2);
    }
    std::set<std::string> refused;
    int failure = 400;
    int lists = 0;

private:
    store::ObjectStore &m_objects;
};

} // namespace

TEST_GROUP(Uri){};

TEST(Uri, EncodedTextIsDecodedToTheSameBytesAndIsPartOfATarget)
{
    for (const auto &name : unsafeNames) {
        const auto target = uri::Target("/x").segment(name).parameter("after", name).text();
        CHECK_TEXT(uri::isTarget(target), target.c_str());
        CHECK(*uri::decode(uri::encode(name)) == name);
        CHECK(*uri::decodeParameter(uri::encode(name)) == name);
    }
    STRCMP_EQUAL("a-Z_0.~", uri::encode("a-Z_0.~").c_str());
    STRCMP_EQUAL("/x/%2E%2E?a=%26&b=1", uri::Target("/x").segment("..").parameter("a", "&").parameter("b", "1").text().c_str());
}

TEST(Uri, TextThatIsNoTargetIsRecognized)
{
    for (const char *text : {"", "x", "/a b", "/a#b", "/a%", "/a%4", "/a%4g", "/a%+1", "/a\"", "/\xc3\xa9", "/a\r\nb"}) {
        CHECK_TEXT(!uri::isTarget(text), text);
    }
    CHECK(uri::isTarget("/a/b%2F?c=d&e=%00"));
}

TEST_GROUP(PageCursor){};

TEST(PageCursor, PageStartsAfterTheLastName)
{
    store::PageCursor cursor;
    STRCMP_EQUAL("", cursor.after().c_str());
    CHECK(cursor.advance(pageOf({"a", "b%", ""})));
    STRCMP_EQUAL("b%", cursor.after().c_str());
}

TEST(PageCursor, RefusedPageIsHadFromAPlainName)
{
    store::PageCursor cursor;
    CHECK(cursor.advance(pageOf({"a", "b%", "c%"})));
    CHECK(cursor.retreat());
    STRCMP_EQUAL("a", cursor.after().c_str());
    CHECK(cursor.advance(pageOf({"b%", "c%", "d"})));
    STRCMP_EQUAL("d", cursor.after().c_str());
    CHECK(!cursor.retreat());
}

TEST(PageCursor, NoPageIsAskedForTwice)
{
    store::PageCursor cursor;
    CHECK(cursor.advance(pageOf({"b"})));
    CHECK(cursor.advance(pageOf({"a"}))); // the store sorts in its own way
    CHECK(!cursor.advance(pageOf({"b"})));
    CHECK(!cursor.advance(pageOf({"", ""})));
}

TEST(PageCursor, StartIsShortAndSortsAfterALongName)
{
    store::PageCursor cursor;
    const std::string name = std::string(store::maxPageStartBytes - 1, 'a') + "\u00e9" + std::string(9000, '%');
    CHECK(cursor.advance(pageOf({name})));
    CHECK(cursor.after() > name);
    CHECK(cursor.after().size() < store::maxPageStartBytes + 4);
    CHECK(json(cursor.after()).dump().size() > 0); // valid UTF-8
}

LOOP_GROUP(ForeignNames);

TEST(ForeignNames, ObjectsOfAnyNameAreWrittenReadListedAndRemoved)
{
    PagedPlatform fixture(loop());
    auto &api = fixture.client;
    for (const auto &name : unsafeNames) {
        CHECK_TEXT(ok(loop().run(api.put("k", name, 1, 0))), name.c_str());
        CHECK_TEXT(ok(loop().run(api.put("k", name, 2, std::nullopt))), name.c_str());
    }
    auto listed = loop().run(platform::listAll(api, "k"));
    CHECK(ok(listed));
    const auto &listing = std::get<store::Listing>(listed);
    CHECK(!listing.more);
    LONGS_EQUAL(unsafeNames.size(), listing.items.size());
    for (const auto &name : unsafeNames) {
        const auto read = loop().run(api.get("k", name, platform::Freshness::MayLag));
        CHECK_TEXT(ok(read), name.c_str());
        CHECK(std::get<store::Object>(read).name == name);
        LONGS_EQUAL(2, std::get<store::Object>(read).value.get<int>());
        CHECK_TEXT(ok(loop().run(api.remove("k", name, std::get<store::Object>(read).version))), name.c_str());
    }
    CHECK(std::get<store::Listing>(loop().run(platform::listAll(api, "k"))).items.empty());
}

TEST(ForeignNames, KindOfAnyNameIsAnotherKind)
{
    PagedPlatform fixture(loop());
    CHECK(ok(loop().run(fixture.client.put("k", "a", 1, 0))));
    CHECK(ok(loop().run(fixture.client.put("k/a?b", "a", 2, 0))));
    LONGS_EQUAL(1, std::get<store::Listing>(loop().run(platform::listAll(fixture.client, "k/a?b"))).items.size());
    LONGS_EQUAL(1, std::get<store::Object>(loop().run(fixture.client.get("k", "a", platform::Freshness::Current))).value.get<int>());
}

TEST(ForeignNames, CallOnAnObjectWithoutANameIsNotSent)
{
    PagedPlatform fixture(loop());
    CHECK(!ok(loop().run(fixture.client.get("k", "", platform::Freshness::Current))));
    CHECK(!ok(loop().run(fixture.client.put("k", "", 1, 0))));
    CHECK(!ok(loop().run(fixture.client.remove("k", "", std::nullopt))));
    LONGS_EQUAL(0, fixture.calls);
}

TEST(ForeignNames, EndpointsBehindEntriesOfAnyNameAreListed)
{
    for (const auto &name : unsafeNames) {
        PagedPlatform fixture(loop());
        CHECK(ok(loop().run(fixture.client.put(platform::ObjectCodec::endpointKind, "Z", {{"written", "by another"}}, 0))));
        CHECK(ok(loop().run(fixture.client.put(platform::ObjectCodec::endpointKind, name, {{"written", "by another"}}, 0))));
        for (const char *id : {"i-1", "i-2", "i-3"}) {
            CHECK(ok(loop().run(fixture.client.put(platform::ObjectCodec::endpointKind, id, endpointEntryAt("127.0.0.1:1"), 0))));
        }
        router::RoutingTable table;
        entry::Published published(table);
        entry::Control<platform::ObjectCodec> control(fixture.client, published);
        CHECK(loop().run(control.stepEndpoints()));
        CHECK_TEXT(published.endpointsKnown(), name.c_str());
        CHECK((endpointIds(table) == std::vector<std::string>{"i-1", "i-2", "i-3"}));
    }
}

TEST(ForeignNames, RequestThatANameWouldChangeIsNotSent)
{
    int calls = 0;
    FakeEndpoint server(loop(), [&calls](http::Exchange &ex) -> Task<void> {
        ++calls;
        co_await ex.reply(200, "");
    });
    http::Client client;
    http::CallOptions options;
    options.deadline = Clock::now() + Millis(3000);
    const http::Headers injected{{"Id", "a\r\nX-Injected: 1"}};
    const http::Headers control{{"Id", std::string("a\0", 2)}};
    for (const auto &request : {http::makeRequest("GET", "/a b"), http::makeRequest("GET", "/a\r\nX: 1"), http::makeRequest("GET", "/", "", injected),
                                http::makeRequest("GET", "/", "", control), http::makeRequest("GET", "/", "", {{"I d", "1"}})}) {
        const auto called = loop().run(client.call({"127.0.0.1", server.port}, request, options));
        CHECK(std::get<http::CallError>(called).stage == http::CallStage::Connect);
    }
    LONGS_EQUAL(0, calls);
}

TEST(ForeignNames, EntryWhoseNameCannotBeSentNamesNoEndpoint)
{
    Findings findings;
    for (const auto &name : {std::string("a\r\nX: 1"), std::string("a\0", 2), std::string(9000, 'a')}) {
        CHECK(!platform::ObjectCodec::endpoint(name, endpointEntryAt("127.0.0.1:1"), findings));
    }
    findings = {};
    CHECK(platform::ObjectCodec::endpoint("a02&b=", endpointEntryAt("127.0.0.1:1"), findings).has_value());
}

LOOP_GROUP(UnavailablePages);

TEST(UnavailablePages, EntriesBeforeARefusedPageAreInEffectAndItIsNotAskedForAtOnce)
{
    store::ObjectStore store;
    RefusingStore api(store);
    for (const char *name : {"a", "b", "c", "d"}) {
        store.put("k", name, 1, std::nullopt);
    }
    api.refused = {"b"};
    RecordingSink sink;
    Follower<RecordingSink> follower(api, "k", sink);
    CHECK(loop().run(follower.step()));
    LONGS_EQUAL(2, api.lists);
    CHECK((sink.updates == std::vector<std::string>{"page 2", "incomplete 2"}));
    store.put("k", "e", 1, std::nullopt);
    CHECK(loop().run(follower.step()));
    STRCMP_EQUAL("set e", sink.updates.back().c_str());
    LONGS_EQUAL(2, api.lists);
}

TEST(UnavailablePages, ListIsCompletedOnceItsPageCanBeHad)
{
    store::ObjectStore store;
    RefusingStore api(store);
    for (const char *name : {"a", "b", "c", "d"}) {
        store.put("k", name, 1, std::nullopt);
    }
    api.refused = {"b"};
    RecordingSink sink;
    FollowerOptions options;
    options.firstListRetryDelay = Millis(1);
    Follower<RecordingSink> follower(api, "k", sink, options);
    CHECK(loop().run(follower.step()));
    api.refused.clear();
    loop().run(trueAfterDelay(Millis(5)));
    CHECK(loop().run(follower.step()));
    STRCMP_EQUAL("listed 4", sink.updates.back().c_str());
}

TEST(UnavailablePages, PageThatAlwaysFailsDoesNotHideTheEntriesBeforeIt)
{
    store::ObjectStore store;
    RefusingStore api(store);
    for (const char *name : {"a", "b", "c"}) {
        store.put("k", name, 1, std::nullopt);
    }
    api.refused = {"b"};
    api.failure = store::Unavailable;
    RecordingSink sink;
    FollowerOptions options;
    options.maxPageFailures = 3;
    Follower<RecordingSink> follower(api, "k", sink, options);
    CHECK(!loop().run(follower.step()));
    CHECK(!loop().run(follower.step()));
    CHECK(loop().run(follower.step()));
    STRCMP_EQUAL("incomplete 2", sink.updates.back().c_str());
    LONGS_EQUAL(4, api.lists);
}

TEST(UnavailablePages, ConfigurationAndEvacuationsBehindARefusedPageAreReadByName)
{
    store::ObjectStore store;
    RefusingStore api(store);
    for (const char *kind : {platform::ObjectCodec::configurationKind, platform::ObjectCodec::endpointKind, platform::ObjectCodec::evacuationKind}) {
        store.put(kind, "a00%#", 1, std::nullopt);
        store.put(kind, "a01%#", 1, std::nullopt);
    }
    store.put(platform::ObjectCodec::configurationKind, platform::ObjectCodec::configurationName, entryConfiguration(1), std::nullopt);
    store.put(platform::ObjectCodec::evacuationKind, "zone-a", json::object(), std::nullopt);
    api.refused = {"a01%#"};
    router::RoutingTable table;
    entry::Published published(table, {true, 1.5, 5, {}});
    entry::Control<platform::ObjectCodec> control(api, published, {}, {"zone-a", "zone-b"});
    CHECK(loop().run(control.stepConfiguration()));
    CHECK(published.configuration() != nullptr);
    CHECK(loop().run(control.stepEvacuations()));
    CHECK(table.evacuated() == (std::set<std::string>{"a00%#", "a01%#", "zone-a"}));
    CHECK(loop().run(control.stepEndpoints()));
    CHECK(published.ready());
}

TEST(UnavailablePages, RouterAnnouncesItselfAndKeepsItsPeersBehindARefusedPage)
{
    store::ObjectStore store;
    RefusingStore api(store);
    const auto entry = [](uint16_t port) {
        return json{{"address", "127.0.0.1:" + std::to_string(port)}, {"failureDomain", "zone"}};
    };
    store.put(peers::routerKind, "front-2", entry(2), std::nullopt);
    peers::PeerDirectory directory(api, {"front-1", "zone", {"127.0.0.1", 1}, 0});
    CHECK(loop().run(directory.refresh()));
    LONGS_EQUAL(1, directory.domainPeers().size());
    store.put(peers::routerKind, "a00%#", 1, std::nullopt);
    store.put(peers::routerKind, "a01%#", 1, std::nullopt);
    api.refused = {"a01%#"};
    CHECK(loop().run(directory.refresh()));
    CHECK(directory.listsSelf());
    LONGS_EQUAL(1, directory.domainPeers().size());
}

TEST(UnavailablePages, ListOfAllPagesHoldsThoseBeforeARefusedOne)
{
    store::ObjectStore store;
    RefusingStore api(store);
    for (const char *name : {"a%", "b%", "c"}) {
        store.put("k", name, 1, std::nullopt);
    }
    api.refused = {"b%"};
    const auto listed = loop().run(platform::listAll(api, "k"));
    CHECK(ok(listed));
    CHECK(std::get<store::Listing>(listed).more);
    LONGS_EQUAL(2, std::get<store::Listing>(listed).items.size());
    api.failure = store::Unavailable;
    CHECK(!ok(loop().run(platform::listAll(api, "k"))));
}

TEST(UnavailablePages, EntriesWithoutReadableNamesDoNotMakeAListEndless)
{
    ScriptedStore store(loop());
    store.answer = R"({"items":[{"metadata":{"name":5},"spec":1},{"spec":2}],"has_more":true,"store_revision":9})";
    const auto listed = loop().run(platform::listAll(store.client, "k"));
    CHECK(ok(listed));
    CHECK(std::get<store::Listing>(listed).more);
    LONGS_EQUAL(1, store.endpoint.seen.size());
}
