// Values from outside are bounded in depth and number where they are decoded, whatever their shape; what is within the bounds is
// decoded as the library does it.
#include "decode.h"
#include "explain.h"
#include "findings.h"
#include "nested.h"
#include "object_replica.h"
#include "peers/peer_message.h"
#include "prefix.h"
#include "response_parser.h"
#include "settings.h"

#include <sstream>

// CppUTest goes last: its memory-leak macros redefine operator new.
#include <CppUTest/TestHarness.h>

using namespace yucca;
using namespace yucca::fixture;
using nlohmann::json;

namespace
{

constexpr std::size_t largestBodyBytes = 16 * 1024 * 1024; ///< of a caller's request and of a store's response

int codeOf(const Result<json> &decoded)
{
    return ok(decoded) ? 200 : std::get<Error>(decoded).code;
}

std::size_t levelsOf(const Nesting &nesting)
{
    return nesting.name == std::string("both") ? 2 : 1;
}

const std::vector<std::size_t> tooDeep{decode::maxDepth + 1, decode::maxDepth + 2, 2000, 60000, 150000, 1000000};

} // namespace

TEST_GROUP(Decode){};

TEST(Decode, TextWithinTheBoundsIsDecodedAsTheLibraryDoesIt)
{
    const std::vector<std::string> texts{"null",
                                         "true",
                                         "-1",
                                         "18446744073709551615",
                                         "1.5e3",
                                         R"("a\u00e4\n")",
                                         "[]",
                                         "{}",
                                         R"({"a":1,"b":{"c":[1,[2,{}],{"d":null}]},"a":2})",
                                         "[[],[[]],{\"x\":[]}]",
                                         " [1 , 2 ] "};
    for (const auto &text : texts) {
        const auto decoded = decode::text(text);
        CHECK_TEXT(ok(decoded), text.c_str());
        CHECK_TEXT(std::get<json>(decoded) == json::parse(text), text.c_str());
        const auto fromCbor = decode::cbor(json::to_cbor(json::parse(text)));
        CHECK_TEXT(ok(fromCbor), text.c_str());
        CHECK_TEXT(std::get<json>(fromCbor) == json::parse(text), text.c_str());
    }
    const json binary = json::binary({1, 2, 3});
    CHECK(std::get<json>(decode::cbor(json::to_cbor(binary))) == binary);
}

TEST(Decode, MalformedInputIsRefused)
{
    for (const char *text : {"", " ", "[", "{", "[1,]", "{\"a\"}", "{\"a\":1,}", "[1] 2", "tru", "1e999", "\"\xff\"", "\"a", "[1]// c"}) {
        LONGS_EQUAL_TEXT(decode::Malformed, codeOf(decode::text(text)), text);
        CHECK(decode::textOrNull(text).is_null());
    }
    for (const std::string bytes :
         {"", "\x81", "\xa1\x01\x01", "\x9f", "\x5a\xff\xff\xff\xff", "\xbb\xff\xff\xff\xff\xff\xff\xff\xff", "\xc1\x01", "\x01\x01", "\xff"}) {
        LONGS_EQUAL(decode::Malformed, codeOf(decode::cbor(bytesOf(bytes))));
    }
    CHECK(ok(decode::text("[1] // c", decode::Comments::Ignored)));
}

TEST(Decode, DepthIsBoundedInTextAndCborForListsAndObjects)
{
    for (const auto &nesting : textNestings) {
        const std::size_t most = decode::maxDepth / levelsOf(nesting);
        CHECK_TEXT(ok(decode::text(nesting.levels(most))), nesting.name);
        for (const auto levels : tooDeep) {
            LONGS_EQUAL_TEXT(decode::OutOfBounds, codeOf(decode::text(nesting.levels(levels))), nesting.name);
            LONGS_EQUAL_TEXT(decode::OutOfBounds, codeOf(decode::text(nesting.levels(levels), decode::Comments::Ignored)), nesting.name);
        }
        LONGS_EQUAL_TEXT(decode::OutOfBounds, codeOf(decode::text(nesting.bytes(largestBodyBytes))), nesting.name);
        const auto unclosed = nesting.levels(200000).substr(0, 200000 * nesting.open.size());
        LONGS_EQUAL_TEXT(decode::OutOfBounds, codeOf(decode::text(unclosed)), nesting.name);
    }
    for (const auto &nesting : cborNestings) {
        CHECK_TEXT(ok(decode::cbor(bytesOf(nesting.levels(decode::maxDepth)))), nesting.name);
        for (const auto levels : tooDeep) {
            LONGS_EQUAL_TEXT(decode::OutOfBounds, codeOf(decode::cbor(bytesOf(nesting.levels(levels)))), nesting.name);
        }
        LONGS_EQUAL_TEXT(decode::OutOfBounds, codeOf(decode::cbor(bytesOf(nesting.bytes(largestBodyBytes)))), nesting.name);
    }
}

TEST(Decode, NumberOfValuesIsBounded)
{
    const auto listOf = [](std::size_t count, const std::string &value) {
        std::string out = "[";
        for (std::size_t i = 0; i < count; ++i) {
            out += (i == 0 ? "" : ",") + value;
        }
        return out + "]";
    };
    CHECK(ok(decode::text(listOf(decode::maxValues - 1, "1"))));
    CHECK(ok(decode::text(listOf((decode::maxValues - 1) / 2, "{\"a\":1}"))));
    for (const char *value : {"1", "[]", "{}", "\"\"", "null", "{\"a\":1}"}) {
        LONGS_EQUAL_TEXT(decode::OutOfBounds, codeOf(decode::text(listOf(decode::maxValues, value))), value);
        LONGS_EQUAL_TEXT(decode::OutOfBounds, codeOf(decode::text(listOf(2 * 1024 * 1024, value))), value);
    }
    LONGS_EQUAL(decode::OutOfBounds, codeOf(decode::cbor(bytesOf("\x9f" + std::string(1024 * 1024, '\x80') + "\xff"))));
}

TEST(Decode, FieldOfAnotherTypeOrRangeOrOfNoObjectGivesTheFallback)
{
    const auto value = json::parse(R"({"s":"x","n":-3,"u":70000,"b":true,"f":1.5,"z":null})");
    STRCMP_EQUAL("x", decode::fieldOr<std::string>(value, "s", "y").c_str());
    STRCMP_EQUAL("y", decode::fieldOr<std::string>(value, "n", "y").c_str());
    LONGS_EQUAL(-3, decode::fieldOr<int64_t>(value, "n", 1));
    LONGS_EQUAL(1, decode::fieldOr<uint64_t>(value, "n", 1));
    LONGS_EQUAL(1, decode::fieldOr<uint16_t>(value, "u", 1));
    LONGS_EQUAL(70000, decode::fieldOr<unsigned>(value, "u", 1));
    LONGS_EQUAL(1, decode::fieldOr<int64_t>(value, "f", 1));
    CHECK(decode::fieldOr(value, "b", false));
    CHECK(!decode::fieldOr(value, "s", false));
    for (const char *key : {"z", "absent"}) {
        LONGS_EQUAL(7, decode::fieldOr<int64_t>(value, key, 7));
    }
    for (const auto &other : std::vector<json>{json(), json(5), json("s"), json::array({1})}) {
        LONGS_EQUAL(7, decode::fieldOr<int64_t>(other, "n", 7));
    }
}

TEST_GROUP(DecodeCallers){};

TEST(DecodeCallers, DeepValueOfAStoreResponseIsAProblemOfItsEntryAlone)
{
    for (const auto &nesting : textNestings) {
        for (const auto levels : tooDeep) {
            const std::string text = R"({"items":[{"metadata":{"name":"a"},"spec":{"x":)" + nesting.levels(levels)
                + R"(}},{"metadata":{"name":"b"},"spec":{"x":1}}],"store_revision":9})";
            Findings problems;
            const auto answer = platform::parseResponse(text, problems);
            CHECK(answer["items"][0]["spec"].is_null());
            STRCMP_EQUAL("a", answer["items"][0]["metadata"]["name"].get<std::string>().c_str());
            LONGS_EQUAL(1, answer["items"][1]["spec"]["x"].get<int>());
            LONGS_EQUAL(1, problems.items().size());
            STRCMP_CONTAINS("nested deeper than 128 levels", problems.messageAt("/items/0/spec").c_str());
        }
    }
}

TEST(DecodeCallers, ValueAtTheBoundIsKeptWhereverItStandsInAResponse)
{
    const auto value = textNestings[0].levels(decode::maxDepth);
    Findings problems;
    const auto listed = platform::parseResponse(R"({"items":[{"spec":)" + value + "}]}", problems);
    const auto watched = platform::parseResponse(R"({"events":[{"object":{"spec":)" + value + "}}]}", problems);
    const auto got = platform::parseResponse(R"({"spec":)" + value + "}", problems);
    CHECK(listed["items"][0]["spec"] == got["spec"] && watched["events"][0]["object"]["spec"] == got["spec"] && got["spec"].is_array());
    CHECK(problems.empty());
}

TEST(DecodeCallers, DeepFieldsBesideTheValueLeaveTheOthersReadable)
{
    const auto deep = textNestings[1].levels(150000);
    Findings problems;
    const auto answer =
        platform::parseResponse(R"({"more":)" + deep + R"(,"items":[{"metadata":)" + deep + R"(,"spec":1},{"spec":2,"status":)" + deep + "}]}", problems);
    CHECK(answer["items"][0]["metadata"].is_null() || answer["items"][0]["metadata"].is_object());
    LONGS_EQUAL(1, answer["items"][0]["spec"].get<int>());
    LONGS_EQUAL(2, answer["items"][1]["spec"].get<int>());
}

TEST(DecodeCallers, DeepValueOfANeighboursChangesIsAProblemOfItsObjectAlone)
{
    for (const auto &nesting : cborNestings) {
        for (const auto levels : tooDeep) {
            json objects = json::array();
            objects.push_back(json::array({"deep", 4, json::binary(bytesOf(nesting.levels(levels)))}));
            objects.push_back(json::array({"sound", 5, json::binary(json::to_cbor(json{{"x", 1}}))}));
            const json changes = json::array({7, 8, objects, json::array(), 0, false});
            const auto decoded = replica::decode(json::to_cbor(changes));
            CHECK_TEXT(ok(decoded), nesting.name);
            const auto &read = std::get<replica::Changes>(decoded).objects;
            LONGS_EQUAL(2, read.size());
            CHECK(read[0].value.is_null());
            STRCMP_CONTAINS("nested deeper", read[0].problem.c_str());
            LONGS_EQUAL(1, read[1].value["x"].get<int>());
            CHECK(!ok(replica::decode(bytesOf(nesting.levels(levels)))));
        }
    }
}

TEST(DecodeCallers, DeepDatagramIsRefused)
{
    for (const auto &nesting : cborNestings) {
        for (const auto levels : {decode::maxDepth, decode::maxDepth + 1, std::size_t(2000), std::size_t(60000)}) {
            const auto decoded = peers::decode(bytesOf(nesting.levels(levels)), Clock::time_point(std::chrono::hours(1)));
            if (const auto *message = std::get_if<peers::PeerMessage>(&decoded)) {
                peers::PeerMessage nothing;
                nothing.unreadable = 1; // the one item of the outermost list
                CHECK(levels <= decode::maxDepth && *message == nothing);
            }
        }
    }
}

TEST(DecodeCallers, DeepSettingsFileIsAFinding)
{
    for (const auto &nesting : textNestings) {
        for (const auto levels : tooDeep) {
            Findings findings;
            const auto document = settings::parseText("{\"id\": " + nesting.levels(levels) + "} // settings", findings);
            CHECK(document.is_object() && document.empty());
            LONGS_EQUAL(1, findings.items().size());
            STRCMP_CONTAINS("nested deeper", findings.report().c_str());
        }
    }
}

TEST(DecodeCallers, DeepLogLineIsSkipped)
{
    explain::TimelineBuilder timeline("q1");
    std::string log = R"({"at_ms":1,"name":"RequestFinished","id":"q1","end":"delivered"})"
                      "\n";
    for (const auto &nesting : textNestings) {
        log += R"({"at_ms":2,"name":"RequestFinished","id":)" + nesting.levels(150000) + "}\n";
    }
    std::istringstream in(log);
    timeline.read(in, "router-1");
    const auto read = timeline.finish();
    LONGS_EQUAL(1, read.entries.size());
    LONGS_EQUAL(textNestings.size(), read.skippedLines);
}

TEST(DecodeCallers, FindingsOfOneInputAreBoundedAndTheRestIsCounted)
{
    Findings findings;
    for (std::size_t i = 0; i < maxFindings + 7; ++i) {
        findings.add("/" + std::to_string(i), "wrong");
    }
    LONGS_EQUAL(maxFindings, findings.items().size());
    STRCMP_CONTAINS("and 7 more", findings.report().c_str());
    STRCMP_EQUAL("wrong", findings.messageAt("/3").c_str());
    STRCMP_EQUAL("", findings.messageAt("/x").c_str());
}
