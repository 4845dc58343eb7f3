// The store may hold entries of other writers under the endpoints' kind. Such an
// entry must not create an endpoint, must remove the endpoint whose valid entry it
// replaces, and must not affect the entries of other endpoints.
#include "codec.h"
#include "decode.h"
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

// Guards against entries of other writers that requests are sent to: what no endpoint can mean names none.
TEST(ForeignEntries, EntryWithANumberThatNoEndpointCanMeanIsRejected)
{
    const std::string digits(40, '9');
    for (const char *field : {"slots", "sequence", "cold_remaining_ms", "born"}) {
        const auto text = endpointEntryAt("127.0.0.1:80").dump();
        const auto from = text.find(std::string("\"") + field + "\":") + std::string(field).size() + 3;
        const auto to = text.find_first_of(",}", from);
        for (const std::string &number : {std::string("-1"), std::string("0.5"), std::string("1e-400"), std::string("9223372036854775808"),
                                          std::string("18446744073709551616"), std::string("1000000000000000000"), std::string("-9223372036854775809"),
                                          std::string("1e18"), std::string("1e19"), std::string("null"), std::string("true"), digits}) {
            const auto odd = decode::textOrNull(text.substr(0, from) + number + text.substr(to));
            CHECK_TEXT(odd.is_object(), number.c_str());
            CHECK_TEXT(!isValidEntry(odd), (std::string(field) + " " + number).c_str());
        }
    }
    CHECK(!isValidEntry(entryWith("slots", 0)));
    CHECK(isValidEntry(entryWith("slots", 1)));
    CHECK(isValidEntry(entryWith("sequence", 0)));
    CHECK(isValidEntry(entryWith("cold_remaining_ms", 60000)));
}

TEST(ForeignEntries, EntryWithAnAddressThatNoConnectionCanBeOpenedToIsRejected)
{
    for (const char *address : {"127.0.0.1:0", "host.invalid:9", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:", "127.0.0.1", ":9", "", "127.0.0.1:9x",
                                "999.1.1.1:9", "127.0.0.1:9\r\nX: 1", "127.0.0.1 :9", "localhost:9"}) {
        CHECK_TEXT(!isValidEntry(endpointEntryAt(address)), address);
    }
    CHECK(isValidEntry(endpointEntryAt("127.0.0.1:9")));
    CHECK(isValidEntry(endpointEntryAt("::1:9")));
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

// Guards against an odd entry under the id of a sound endpoint, or a thousand of them, costing the others or the sound entry's return.
TEST(ForeignEntriesInTheStore, OddEntriesAmongManyCostThemselvesAlone)
{
    ScriptedStore store(loop());
    router::RoutingTable table;
    entry::Published published(table);
    entry::Control<platform::ObjectCodec> control(store.client, published);
    const auto a = item("a", endpointEntryAt("127.0.0.1:1").dump());
    const auto b = item("b", endpointEntryAt("127.0.0.1:2").dump());
    std::string odd;
    for (int i = 0; i < 1000; ++i) {
        auto entry = endpointEntryAt("127.0.0.1:9");
        entry[i % 2 ? "slots" : "sequence"] = -1 - i;
        odd += "," + item("x-" + std::to_string(i), entry.dump());
    }
    store.answer = listingResponse(a + odd + "," + b);
    CHECK(loop().run(control.stepEndpoints()));
    CHECK((endpointIds(table) == std::vector<std::string>{"a", "b"}));
    store.answer = R"({"events":[)" + watchEvent(item("a", entryWith("slots", -1).dump())) + R"(],"store_revision":12})";
    CHECK(loop().run(control.stepEndpoints()));
    CHECK((endpointIds(table) == std::vector<std::string>{"b"}));
    store.answer = R"({"events":[)" + watchEvent(a) + R"(],"store_revision":13})";
    CHECK(loop().run(control.stepEndpoints()));
    CHECK((endpointIds(table) == std::vector<std::string>{"a", "b"}));
    // Odd metadata and status beside a sound spec.
    const std::string nested = std::string(150000, '[') + std::string(150000, ']');
    std::string withStatus = item("c", endpointEntryAt("127.0.0.1:3").dump());
    withStatus.replace(withStatus.find("\"status\":null"), 13, "\"status\":" + nested);
    store.answer = R"({"events":[)" + watchEvent(withStatus) + R"(],"store_revision":14})";
    CHECK(loop().run(control.stepEndpoints()));
    CHECK((endpointIds(table) == std::vector<std::string>{"a", "b", "c"}));
    for (const char *metadata : {R"({"name":"d","revision":-1})", R"({"name":"d","revision":1e999})", R"({"name":"d","revision":99999999999999999999999})",
                                 R"({"name":"d","revision":null,"finalizers":7,"deleting":"no"})", R"({"name":["d"]})", R"({"name":""})", "7", "null"}) {
        store.answer = R"({"events":[)" + watchEvent(std::string(R"({"metadata":)") + metadata + R"(,"spec":)" + endpointEntryAt("127.0.0.1:4").dump() + "}")
            + R"(],"store_revision":15})";
        CHECK_TEXT(loop().run(control.stepEndpoints()), metadata);
        const auto ids = endpointIds(table);
        CHECK_TEXT((std::vector<std::string>{"a", "b", "c"} == std::vector<std::string>(ids.begin(), ids.begin() + 3)), metadata);
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
