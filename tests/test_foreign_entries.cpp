// The store may hold entries of other writers under the endpoints' kind. Such an
// entry must not create an endpoint, must remove the endpoint whose valid entry it
// replaces, and must not affect the entries of other endpoints.
#include "codec.h"
#include "entry_fixture.h"
#include "object_store.h"
#include "response_parser.h"

#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;
using nlohmann::json;

namespace
{

json entryWith(const char *field, json value)
{
    auto entry = endpointEntryAt("127.0.0.1:80");
    entry[field] = std::move(value);
    return entry;
}

bool isValidEntry(const json &entry, const std::string &name = "i-1")
{
    Findings findings;
    return platform::ObjectCodec::endpoint(name, entry, findings).has_value();
}

// Returns an item of a listing; the spec is inserted byte by byte and may be invalid JSON.
std::string item(const std::string &name, const std::string &spec)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":7,"created_rev":1,"finalizers":[],"deleting":false},"spec":)" + spec + R"(,"status":null})";
}

const std::vector<std::string> invalidSpecs{
    "{\"service\":\"m\xff\xfe\"}", // invalid UTF-8
    "{\"service\":\"m\",\"slots\":1e999}", // number out of range
    "{\"service\":\"m\",\"slots\":-}",     "{\"service\":\"m\x01\"}", "tru", "{\"a\":{\"b\":[1,}]}",
};

} // namespace

TEST_GROUP(ForeignEntries){};

TEST(ForeignEntries, ValidEntryGivesAnEndpoint)
{
    CHECK(isValidEntry(endpointEntryAt("127.0.0.1:80")));
    auto leaving = entryWith("state", "draining");
    Findings findings;
    CHECK(platform::ObjectCodec::endpoint("i-1", leaving, findings)->state == EndpointState::Leaving);
    LONGS_EQUAL(1796260000000, platform::ObjectCodec::endpoint("i-1", leaving, findings)->startedAtMs);
    leaving.erase("born"); // written by an endpoint version without that field
    CHECK(isValidEntry(leaving));
}

TEST(ForeignEntries, EntryWithAMissingFieldOrAWrongTypeIsRejected)
{
    for (const char *field : {"service", "address", "zone", "version", "slots", "state", "cold_remaining_ms", "sequence"}) {
        auto missing = endpointEntryAt("127.0.0.1:80");
        missing.erase(field);
        CHECK_TEXT(!isValidEntry(missing), field);
        CHECK_TEXT(!isValidEntry(entryWith(field, json::array({1}))), field);
        CHECK_TEXT(!isValidEntry(entryWith(field, nullptr)), field);
    }
    CHECK(!isValidEntry(entryWith("slots", "64")));
    CHECK(!isValidEntry(entryWith("state", true)));
    CHECK(!isValidEntry(entryWith("born", 1.5)));
    CHECK(!isValidEntry(entryWith("born", "now")));
    CHECK(!isValidEntry(json::array()));
    CHECK(!isValidEntry(json("ready")));
    CHECK(!isValidEntry(endpointEntryAt("127.0.0.1:80"), ""));
}

TEST(ForeignEntries, EntryWithAnUnknownStateIsRejected)
{
    CHECK(!isValidEntry(entryWith("state", "resting")));
    CHECK(!isValidEntry(entryWith("state", "")));
}

TEST(ForeignEntries, InvalidJsonInOneEntryLeavesTheOtherEntriesReadable)
{
    for (const auto &spec : invalidSpecs) {
        const std::string text = R"({"items":[)" + item("a", endpointEntryAt("127.0.0.1:1").dump()) + "," + item("b", spec) + " , "
            + item("c", "{\"x\":\"]}\\\"\"}") + R"(],"store_revision":9})";
        const auto answer = platform::parseResponse(text);
        CHECK_TEXT(answer.is_object(), spec.c_str());
        LONGS_EQUAL(9, answer["store_revision"].get<int>());
        LONGS_EQUAL(3, answer["items"].size());
        CHECK(answer["items"][0]["spec"] == endpointEntryAt("127.0.0.1:1"));
        CHECK(answer["items"][1]["spec"].is_null());
        CHECK(answer["items"][1]["metadata"]["name"] == "b");
        CHECK(answer["items"][2]["spec"]["x"] == "]}\"");
    }
}

TEST(ForeignEntries, ResponseThatCannotBeSplitIntoEntriesGivesNoItems)
{
    for (const char *text : {"", "{", "{\"items\":[{]}", "{\"items\":[\"a}", "[1,2", "nonsense"}) {
        CHECK_TEXT(!platform::parseResponse(text).is_object() || platform::parseResponse(text)["items"].is_null(), text);
    }
}

LOOP_GROUP(ForeignEntriesInTheStore);

namespace
{

// A store that responds to each call with the bytes that the test has set.
struct ScriptedStore {
    explicit ScriptedStore(Loop &loop)
        : endpoint(loop,
                   [this](tcp::socket &socket, const ReceivedRequest &) -> Task<void> {
                       std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(answer.size()) + "\r\n\r\n" + answer;
                       co_await sendBytes(socket, std::move(bytes));
                   })
        , client({"127.0.0.1", endpoint.port})
    {
    }
    std::string answer;
    ScriptedEndpoint endpoint;
    platform::StoreClient client;
};

std::string listingResponse(const std::string &items)
{
    return R"({"items":[)" + items + R"(],"has_more":false,"store_revision":9})";
}

std::string watchEvent(const std::string &object)
{
    return R"({"deleted":false,"object":)" + object + "}";
}

std::vector<std::string> endpointIds(const router::RoutingTable &table)
{
    std::vector<std::string> ids;
    for (const auto &e : table.endpoints()) {
        ids.push_back(e.id);
    }
    return ids;
}

} // namespace

TEST(ForeignEntriesInTheStore, InvalidEntryInAListingOrAWatchLeavesTheOtherEndpointsListed)
{
    for (const auto &spec : invalidSpecs) {
        ScriptedStore store(loop());
        router::RoutingTable table;
        entry::Published published(table);
        entry::Control<platform::ObjectCodec> control(store.client, published);
        const auto a = item("a", endpointEntryAt("127.0.0.1:1").dump());
        const auto b = item("b", endpointEntryAt("127.0.0.1:2").dump());
        store.answer = listingResponse(a + "," + b + "," + item("c", spec));
        CHECK(loop().run(control.stepEndpoints()));
        CHECK((endpointIds(table) == std::vector<std::string>{"a", "b"}));
        // An invalid entry replaces the valid one of "a", and a later event adds "d".
        const auto d = item("d", endpointEntryAt("127.0.0.1:4").dump());
        store.answer = R"({"events":[)" + watchEvent(item("a", spec)) + ",7," + watchEvent("null") + "," + watchEvent(d) + R"(],"store_revision":12})";
        CHECK(loop().run(control.stepEndpoints()));
        CHECK((endpointIds(table) == std::vector<std::string>{"b", "d"}));
        // Endpoint "a" writes a valid entry again.
        store.answer = R"({"events":[)" + watchEvent(a) + R"(],"store_revision":13})";
        CHECK(loop().run(control.stepEndpoints()));
        CHECK((endpointIds(table) == std::vector<std::string>{"a", "b", "d"}));
    }
}

TEST(ForeignEntriesInTheStore, ItemWithInvalidMetadataIsSkipped)
{
    ScriptedStore store(loop());
    router::RoutingTable table;
    entry::Published published(table);
    entry::Control<platform::ObjectCodec> control(store.client, published);
    const auto good = item("b", endpointEntryAt("127.0.0.1:2").dump());
    store.answer = listingResponse(R"({"metadata":{"name":5,"revision":"x"},"spec":)" + endpointEntryAt("127.0.0.1:1").dump() + "},7,null," + good);
    CHECK(loop().run(control.stepEndpoints()));
    CHECK((endpointIds(table) == std::vector<std::string>{"b"}));
}
