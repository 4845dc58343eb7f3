// Values that are nested deeply or have very many parts, at each interface of a router: they are refused, no process ends, and all
// sound entries and requests hold.
#include "idempotency.h"
#include "nested.h"
#include "scripted_store.h"

// CppUTest goes last: its memory-leak macros redefine operator new.
#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;
using nlohmann::json;

namespace
{

constexpr std::size_t levelsKept = 126; ///< within an entry's or a message's field: the bound is 128 levels in all
constexpr std::size_t largestValueBytes = 1000000; ///< of an object in the store, less its other fields
constexpr std::size_t largestChatBytes = 16 * 1024 * 1024 - 1024;

const std::vector<std::size_t> depths{2000, 60000, 150000};

std::vector<std::string> refusedValues(std::size_t largestBytes)
{
    std::vector<std::string> out;
    for (const auto &nesting : textNestings) {
        for (const auto levels : depths) {
            out.push_back(nesting.levels(levels));
        }
        out.push_back(nesting.bytes(largestBytes));
    }
    std::string many = "[[]";
    for (std::size_t bytes = 0; bytes < std::min(largestBytes, std::size_t(600000)); bytes += 3) {
        many += ",[]";
    }
    out.push_back(many + "]");
    return out;
}

// Returns an endpoint's entry with a further field.
std::string entryText(const std::string &address, const std::string &field, const std::string &value)
{
    auto text = endpointEntryAt(address).dump();
    text.pop_back();
    return text + ",\"" + field + "\":" + value + "}";
}

std::string configurationText(int version, const std::string &more)
{
    auto text = entryConfiguration(version).dump();
    text.pop_back();
    return text + ",\"more\":" + more + "}";
}

std::string chat(const std::string &content, const std::string &more = "1")
{
    return R"({"model":"m","messages":[{"role":"user","content":)" + content + R"(}],"more":)" + more + "}";
}

} // namespace

LOOP_GROUP(NestedValues);

TEST(NestedValues, EntryInTheStoreIsRefusedAndTheOthersHold)
{
    for (const auto &value : refusedValues(largestValueBytes)) {
        for (const char *field : {"zone", "unknown"}) {
            Loop ownLoop; // what is suspended in it ends with its fixtures
            ScriptedStore store(ownLoop);
            router::RoutingTable table;
            entry::Published published(table);
            entry::Control<platform::ObjectCodec> control(store.client, published);
            const auto sound = item("a", endpointEntryAt("127.0.0.1:1").dump());
            const auto foreign = item("x", entryText("127.0.0.1:9", field, value));
            store.answer = listingResponse(foreign + "," + sound);
            CHECK(ownLoop.run(control.stepEndpoints()));
            CHECK((endpointIds(table) == std::vector<std::string>{"a"}));
            const auto joins = item("b", endpointEntryAt("127.0.0.1:2").dump());
            store.answer = R"({"events":[)" + watchEvent(foreign) + "," + watchEvent(joins) + R"(],"store_revision":12})";
            CHECK(ownLoop.run(control.stepEndpoints()));
            CHECK((endpointIds(table) == std::vector<std::string>{"a", "b"}));
        }
    }
}

TEST(NestedValues, EntryAtTheBoundIsUsedAndOneBeyondItIsNot)
{
    for (const auto &nesting : textNestings) {
        const std::size_t perLevel = nesting.name == std::string("both") ? 2 : 1;
        ScriptedStore store(loop());
        router::RoutingTable table;
        entry::Published published(table);
        entry::Control<platform::ObjectCodec> control(store.client, published);
        const auto kept = item("a", entryText("127.0.0.1:1", "unknown", nesting.levels(levelsKept / perLevel)));
        const auto refused = item("b", entryText("127.0.0.1:2", "unknown", nesting.levels(levelsKept / perLevel + 2)));
        store.answer = listingResponse(refused + "," + kept);
        CHECK(loop().run(control.stepEndpoints()));
        CHECK((endpointIds(table) == std::vector<std::string>{"a"}));
    }
}

TEST(NestedValues, ConfigurationThatIsRefusedKeepsTheOneInForce)
{
    for (const auto &value : refusedValues(largestValueBytes - 2000)) {
        Loop ownLoop;
        ScriptedStore store(ownLoop);
        router::RoutingTable table;
        entry::Published published(table);
        entry::Control<platform::ObjectCodec> control(store.client, published);
        store.answer = listingResponse(item("main", entryConfiguration(1).dump()) + "," + item("other", value));
        CHECK(ownLoop.run(control.stepConfiguration()));
        LONGS_EQUAL(1, published.configuration()->version);
        store.answer = R"({"events":[)" + watchEvent(item("main", configurationText(2, value))) + R"(],"store_revision":12})";
        CHECK(ownLoop.run(control.stepConfiguration()));
        LONGS_EQUAL(1, published.configuration()->version);
        store.answer = R"({"events":[)" + watchEvent(item("main", configurationText(3, "[]"))) + R"(],"store_revision":13})";
        CHECK(ownLoop.run(control.stepConfiguration()));
        LONGS_EQUAL(3, published.configuration()->version);
    }
}

TEST(NestedValues, CallersChatIsRefusedAndTheNextOneIsServed)
{
    std::size_t received = 0;
    FakeEndpoint engine(loop(), [&](http::Exchange &ex) {
        ++received;
        return ex.reply(200, R"({"choices":[]})", requestIdHeaders(ex));
    });
    RouterFixture router(loop(), {endpointAt("e1", engine.port, "p", EndpointKind::Engine)});
    const auto statusOf = [&](const std::string &body) {
        const auto reply = router.chat(body);
        CHECK(std::holds_alternative<http::Reply>(reply));
        return std::get<http::Reply>(reply).status;
    };
    for (const auto &value : refusedValues(largestChatBytes)) {
        LONGS_EQUAL(400, statusOf(chat(value)));
        LONGS_EQUAL(400, statusOf(chat("\"x\"", value)));
        LONGS_EQUAL(400, statusOf(R"({"more":)" + value + R"(,"messages":[{"role":"user","content":"x"}]})"));
        LONGS_EQUAL(400, statusOf(value));
    }
    LONGS_EQUAL(0, received);
    LONGS_EQUAL(200, statusOf(chat("\"x\"")));
    LONGS_EQUAL(200, statusOf(chat(textNestings[0].levels(125))));
    LONGS_EQUAL(400, statusOf(chat(textNestings[0].levels(126))));
    LONGS_EQUAL(200, statusOf(chat("\"x\"", textNestings[1].levels(127))));
    LONGS_EQUAL(400, statusOf(chat("\"x\"", textNestings[1].levels(128))));
    LONGS_EQUAL(3, received);
}

TEST(NestedValues, RecordOfAKeyThatAnotherWriterReplacedIsNotRunAgain)
{
    std::size_t runs = 0;
    FakeEndpoint service(loop(), [&](http::Exchange &ex) {
        ++runs;
        return ex.reply(200, "{}", requestIdHeaders(ex));
    });
    RouterFixture router(loop(), {endpointAt("s1", service.port, "s", EndpointKind::Service)});
    for (const auto &foreign : std::vector<json>{json(), json("text"), json::array({1}), json(5)}) {
        router.store.put(idempotency::recordKind, idempotency::Guard::recordName("sched", "k1"), foreign, std::nullopt);
        CHECK(router.book("k1").status >= 400);
    }
    LONGS_EQUAL(0, runs);
    LONGS_EQUAL(200, router.book("k2").status);
}

TEST(NestedValues, EndpointEntryWithFieldsOfOtherTypesLeavesTheOthersListed)
{
    FakeEndpoint engine(loop(), [&](http::Exchange &ex) {
        return ex.reply(200, R"({"choices":[]})", requestIdHeaders(ex));
    });
    RouterFixture router(loop(), {endpointAt("e1", engine.port, "p", EndpointKind::Engine)});
    router.store.put(platform::vmKind, "foreign", json::parse(R"({"host":5,"port":"x","pool":[],"zone":{},"kind":1,"state":null,"born":-1.5})"), std::nullopt);
    CHECK(loop().run(router.control.step()));
    const auto reply = router.chat(chat("\"x\""));
    LONGS_EQUAL(200, std::get<http::Reply>(reply).status);
}
