// Entries that other writers left among the endpoints': they name no endpoint,
// also where a good entry stood before, and take none of the others with them.
#include "answer_text.h"
#include "codec.h"
#include "entry_rig.h"
#include "object_store.h"

#include "loop_group.h"

using namespace yucca;
using namespace yucca::rig;
using nlohmann::json;

namespace
{

json with(const char *field, json value)
{
    auto entry = entryAt("127.0.0.1:80");
    entry[field] = std::move(value);
    return entry;
}

bool readable(const json &entry, const std::string &name = "i-1")
{
    Findings findings;
    return platform::ObjectCodec::endpoint(name, entry, findings).has_value();
}

// An item of a listing, its spec as given, byte by byte.
std::string item(const std::string &name, const std::string &spec)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":7,"created_rev":1,"finalizers":[],"deleting":false},"spec":)" + spec + R"(,"status":null})";
}

const std::vector<std::string> unreadable{
    "{\"service\":\"m\xff\xfe\"}", // not UTF-8
    "{\"service\":\"m\",\"slots\":1e999}", // beyond range
    "{\"service\":\"m\",\"slots\":-}",     "{\"service\":\"m\x01\"}", "tru", "{\"a\":{\"b\":[1,}]}",
};

} // namespace

TEST_GROUP(ForeignEntries){};

TEST(ForeignEntries, AnEndpointsOwnEntryIsRead)
{
    CHECK(readable(entryAt("127.0.0.1:80")));
    auto leaving = with("state", "draining");
    Findings findings;
    CHECK(platform::ObjectCodec::endpoint("i-1", leaving, findings)->state == EndpointState::Leaving);
    LONGS_EQUAL(1796260000000, platform::ObjectCodec::endpoint("i-1", leaving, findings)->born);
    leaving.erase("born"); // an endpoint of before that field
    CHECK(readable(leaving));
}

TEST(ForeignEntries, AMissingFieldOrOneOfAnotherTypeNamesNoEndpoint)
{
    for (const char *field : {"service", "address", "zone", "version", "slots", "state", "cold_remaining_ms", "sequence"}) {
        auto missing = entryAt("127.0.0.1:80");
        missing.erase(field);
        CHECK_TEXT(!readable(missing), field);
        CHECK_TEXT(!readable(with(field, json::array({1}))), field);
        CHECK_TEXT(!readable(with(field, nullptr)), field);
    }
    CHECK(!readable(with("slots", "64")));
    CHECK(!readable(with("state", true)));
    CHECK(!readable(with("born", 1.5)));
    CHECK(!readable(with("born", "now")));
    CHECK(!readable(json::array()));
    CHECK(!readable(json("ready")));
    CHECK(!readable(entryAt("127.0.0.1:80"), ""));
}

TEST(ForeignEntries, AStateThatIsNotNamedIsNoEndpoints)
{
    CHECK(!readable(with("state", "resting")));
    CHECK(!readable(with("state", "")));
}

TEST(ForeignEntries, BytesThatCannotBeReadSpoilOnlyTheirEntry)
{
    for (const auto &spec : unreadable) {
        const std::string text = R"({"items":[)" + item("a", entryAt("127.0.0.1:1").dump()) + "," + item("b", spec) + " , " + item("c", "{\"x\":\"]}\\\"\"}")
            + R"(],"store_revision":9})";
        const auto answer = platform::readAnswer(text);
        CHECK_TEXT(answer.is_object(), spec.c_str());
        LONGS_EQUAL(9, answer["store_revision"].get<int>());
        LONGS_EQUAL(3, answer["items"].size());
        CHECK(answer["items"][0]["spec"] == entryAt("127.0.0.1:1"));
        CHECK(answer["items"][1]["spec"].is_null());
        CHECK(answer["items"][1]["metadata"]["name"] == "b");
        CHECK(answer["items"][2]["spec"]["x"] == "]}\"");
    }
}

TEST(ForeignEntries, AnAnswerWhoseEntriesCannotBeToldApartIsNone)
{
    for (const char *text : {"", "{", "{\"items\":[{]}", "{\"items\":[\"a}", "[1,2", "nonsense"}) {
        CHECK_TEXT(!platform::readAnswer(text).is_object() || platform::readAnswer(text)["items"].is_null(), text);
    }
}

LOOP_GROUP(ForeignEntriesInTheStore);

namespace
{

// A store whose next answers are the test's own bytes.
struct ScriptedStore {
    explicit ScriptedStore(Loop &loop)
        : endpoint(loop,
                   [this](tcp::socket &socket, const SeenRequest &) -> Task<void> {
                       std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(answer.size()) + "\r\n\r\n" + answer;
                       co_await sendBytes(socket, std::move(bytes));
                   })
        , client({"127.0.0.1", endpoint.port})
    {
    }
    std::string answer;
    RawEndpoint endpoint;
    platform::StoreClient client;
};

std::string listingOf(const std::string &items)
{
    return R"({"items":[)" + items + R"(],"has_more":false,"store_revision":9})";
}

std::string event(const std::string &object)
{
    return R"({"deleted":false,"object":)" + object + "}";
}

std::vector<std::string> listedIds(const router::RoutingTable &table)
{
    std::vector<std::string> ids;
    for (const auto &e : table.endpoints()) {
        ids.push_back(e.id);
    }
    return ids;
}

} // namespace

TEST(ForeignEntriesInTheStore, TheOthersHoldInAListingAndInAWatch)
{
    for (const auto &spec : unreadable) {
        ScriptedStore store(loop());
        router::RoutingTable table;
        entry::Published published(table);
        entry::Control<platform::ObjectCodec> control(store.client, published);
        const auto a = item("a", entryAt("127.0.0.1:1").dump());
        const auto b = item("b", entryAt("127.0.0.1:2").dump());
        store.answer = listingOf(a + "," + b + "," + item("c", spec));
        CHECK(loop().run(control.stepEndpoints()));
        CHECK((listedIds(table) == std::vector<std::string>{"a", "b"}));
        // A good entry gives way to one that can't be read, and one more joins behind it.
        const auto d = item("d", entryAt("127.0.0.1:4").dump());
        store.answer = R"({"events":[)" + event(item("a", spec)) + ",7," + event("null") + "," + event(d) + R"(],"store_revision":12})";
        CHECK(loop().run(control.stepEndpoints()));
        CHECK((listedIds(table) == std::vector<std::string>{"b", "d"}));
        // The endpoint writes its entry again.
        store.answer = R"({"events":[)" + event(a) + R"(],"store_revision":13})";
        CHECK(loop().run(control.stepEndpoints()));
        CHECK((listedIds(table) == std::vector<std::string>{"a", "b", "d"}));
    }
}

TEST(ForeignEntriesInTheStore, MetadataOfAnotherTypeIsNobodys)
{
    ScriptedStore store(loop());
    router::RoutingTable table;
    entry::Published published(table);
    entry::Control<platform::ObjectCodec> control(store.client, published);
    const auto good = item("b", entryAt("127.0.0.1:2").dump());
    store.answer = listingOf(R"({"metadata":{"name":5,"revision":"x"},"spec":)" + entryAt("127.0.0.1:1").dump() + "},7,null," + good);
    CHECK(loop().run(control.stepEndpoints()));
    CHECK((listedIds(table) == std::vector<std::string>{"b"}));
}
