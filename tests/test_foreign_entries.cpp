// The store may hold entries of other writers under the endpoints' kind. Such an
// entry must not create an endpoint, must remove the endpoint whose valid entry it
// replaces, and must not affect the entries of other endpoints.
#include "codec.h"
#include "response_parser.h"
#include "scripted_store.h"

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
        Findings problems;
        const auto answer = platform::parseResponse(text, problems);
        CHECK_TEXT(answer.is_object(), spec.c_str());
        LONGS_EQUAL(9, answer["store_revision"].get<int>());
        LONGS_EQUAL(3, answer["items"].size());
        CHECK(answer["items"][0]["spec"] == endpointEntryAt("127.0.0.1:1"));
        CHECK(answer["items"][1]["spec"].is_null());
        CHECK(!problems.messageAt("/items/1/spec").empty());
        LONGS_EQUAL(1, problems.items().size());
        CHECK(answer["items"][1]["metadata"]["name"] == "b");
        CHECK(answer["items"][2]["spec"]["x"] == "]}\"");
    }
}

TEST(ForeignEntries, ResponseThatCannotBeSplitIntoEntriesGivesNoItems)
{
    for (const char *text : {"", "{", "{\"items\":[{]}", "{\"items\":[\"a}", "[1,2", "nonsense"}) {
        Findings problems;
        const auto answer = platform::parseResponse(text, problems);
        CHECK_TEXT(!answer.is_object() || answer["items"].is_null(), text);
    }
}

LOOP_GROUP(ForeignEntriesInTheStore);

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
