// What an endpoint reports about itself in its responses, that it is leaving or wants no requests
// for a while, applies to every later send of the router that received the response.
#include "background_tasks.h"
#include "entry_fixture.h"

// CppUTest must be included last: its memory-leak macros redefine operator new.
#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;

namespace
{

const std::string leavingHeader = "Server-Leaving: 1\r\n";

std::string idOf(const ReceivedRequest &request)
{
    return request.header("Yuccasaddle-Attempt-Id");
}

ScriptedEndpoint::Script respondingWith(const std::string &extra, const std::string &status = "200 OK")
{
    return [=](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        co_await sendBytes(socket, signedAnswer(idOf(request), "ok", status, extra));
    };
}

// Rejects requests while a flag is set, and answers them otherwise.
ScriptedEndpoint::Script sheddingWhile(const bool &sheds, const std::string &extra)
{
    return [&sheds, extra](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        if (sheds) {
            co_await sendBytes(socket, "HTTP/1.1 503 Service Unavailable\r\nYuccasaddle-Not-Executed: 1\r\n" + extra + "Content-Length: 0\r\n\r\n");
        } else {
            co_await sendBytes(socket, signedAnswer(idOf(request), "ok"));
        }
    };
}

void sendRequests(EntryFixture &fixture, int times, const char *target = "/remind/1")
{
    static int calls = 0;
    for (int i = 0; i < times; ++i) {
        fixture.reply("POST", target, "w" + std::to_string(++calls));
    }
}

} // namespace

LOOP_GROUP(EndpointSelfReport);

TEST(EndpointSelfReport, EndpointThatReportsLeavingGetsNoFurtherRequests)
{
    ScriptedEndpoint leaving(loop(), respondingWith(leavingHeader));
    ScriptedEndpoint stays(loop(), respondingWith(""));
    EntryFixture fixture(loop(), {{"e1", {"s", leaving.port}}, {"e2", {"s", stays.port}}});
    sendRequests(fixture, 8);
    LONGS_EQUAL(1, leaving.seen.size());
    LONGS_EQUAL(7, stays.seen.size());
}

TEST(EndpointSelfReport, EndpointThatRequestedBackOffGetsNoRequestsUntilItEnds)
{
    bool sheds = true;
    ScriptedEndpoint full(loop(), sheddingWhile(sheds, "Retry-After: 30\r\n"));
    ScriptedEndpoint free(loop(), respondingWith(""));
    EntryFixture fixture(loop(), {{"e1", {"s", full.port}}, {"e2", {"s", free.port}}});
    sendRequests(fixture, 8);
    sheds = false;
    sendRequests(fixture, 8);
    LONGS_EQUAL(1, full.seen.size());
    LONGS_EQUAL(16, free.seen.size());
}

namespace
{

// Sends another request's late response, with extra headers, before the requested one.
ScriptedEndpoint::Script respondingAfterLateResponse(const std::string &extra)
{
    return [=](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        const std::string late = signedAnswer("another", "late", "200 OK", extra);
        co_await sendBytes(socket, late + signedAnswer(idOf(request), "ok"));
    };
}

Endpoint engineAt(const std::string &id, int64_t startedAtMs = 1)
{
    Endpoint e{id, "127.0.0.1", 9000, "m"};
    e.startedAtMs = startedAtMs;
    return e;
}

bool acceptsRequests(router::RoutingTable &table, const std::string &id)
{
    for (uint64_t prompt = 0; prompt < 50; ++prompt) {
        const auto e = table.acquire("m", {prompt, prompt}, {}, Clock::now());
        if (e) {
            table.release(*e, Clock::now());
        }
        if (e && e->id == id) {
            return true;
        }
    }
    return false;
}

router::TableOptions homePolicy()
{
    router::TableOptions o;
    o.policy = Policy::Home;
    return o;
}

} // namespace

TEST(EndpointSelfReport, LeavingReportInAFailureResponseIsApplied)
{
    ScriptedEndpoint leaving(loop(), respondingWith(leavingHeader, "500 Internal Server Error"));
    ScriptedEndpoint stays(loop(), respondingWith(""));
    EntryFixture fixture(loop(), {{"e1", {"s", leaving.port}}, {"e2", {"s", stays.port}}});
    sendRequests(fixture, 8);
    LONGS_EQUAL(1, leaving.seen.size());
}

TEST(EndpointSelfReport, LeavingReportInARejectionIsApplied)
{
    const bool sheds = true;
    ScriptedEndpoint leaving(loop(), sheddingWhile(sheds, leavingHeader));
    ScriptedEndpoint stays(loop(), respondingWith(""));
    EntryFixture fixture(loop(), {{"e1", {"s", leaving.port}}, {"e2", {"s", stays.port}}});
    sendRequests(fixture, 8);
    LONGS_EQUAL(1, leaving.seen.size());
}

TEST(EndpointSelfReport, LeavingReportInALateResponseToAnotherRequestIsApplied)
{
    ScriptedEndpoint leaving(loop(), respondingAfterLateResponse(leavingHeader));
    ScriptedEndpoint stays(loop(), respondingWith(""));
    EntryFixture fixture(loop(), {{"e1", {"s", leaving.port}}, {"e2", {"s", stays.port}}});
    sendRequests(fixture, 8);
    LONGS_EQUAL(1, leaving.seen.size());
}

TEST(EndpointSelfReport, BrokenStreamOfALeavingEndpointResumesElsewhere)
{
    ScriptedEndpoint leaving(loop(), [](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        std::string head = streamHead(idOf(request));
        head.insert(head.find("\r\n") + 2, leavingHeader);
        co_await sendBytes(socket, head + chunk(eventNumber(1)) + chunk("id: 2\nda"));
        resetConnection(socket);
    });
    ScriptedEndpoint stays(loop(), [](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        const bool resumed = request.header("Last-Event-Id") == "1";
        const std::string first = resumed ? std::string() : chunk(eventNumber(1));
        co_await sendBytes(socket, streamHead(idOf(request)) + first + chunk(eventNumber(2)) + "0\r\n\r\n");
    });
    EntryFixture fixture(loop(), {{"e1", {"m", leaving.port}}, {"e2", {"m", stays.port}}});
    for (int i = 0; i < 8; ++i) {
        const auto reply = fixture.reply("POST", "/chat/1", "c" + std::to_string(i));
        STRCMP_EQUAL((eventNumber(1) + eventNumber(2)).c_str(), reply.body.c_str());
    }
    LONGS_EQUAL(1, leaving.seen.size());
}

TEST(EndpointSelfReport, RequestIsRejectedAsNotRunWhenAllEndpointsAreLeaving)
{
    ScriptedEndpoint leaving(loop(), respondingWith(leavingHeader));
    EntryFixture fixture(loop(), {{"e1", {"s", leaving.port}}});
    sendRequests(fixture, 1);
    const auto reply = fixture.reply("POST", "/remind/1", "last");
    LONGS_EQUAL(503, reply.status);
    CHECK(!reply.header("Retry-After").empty());
    LONGS_EQUAL(1, leaving.seen.size());
}

TEST(EndpointSelfReport, ListingDoesNotReadmitAnIncarnationThatReportedLeaving)
{
    router::RoutingTable table(homePolicy());
    const auto now = Clock::now();
    table.setEndpoints({engineAt("a"), engineAt("b")}, now);
    CHECK(table.recordLeaving(engineAt("a"), true, now));
    table.setEndpoints({engineAt("b")}, now);
    table.setEndpoints({engineAt("a"), engineAt("b")}, now + std::chrono::seconds(60));
    CHECK(!acceptsRequests(table, "a"));
    CHECK(!table.acquireForResend(engineAt("a"), now));
}

TEST(EndpointSelfReport, LeavingReportOfAnUnlistedEndpointIsRemembered)
{
    router::RoutingTable table(homePolicy());
    const auto now = Clock::now();
    table.setEndpoints({engineAt("b")}, now);
    CHECK(table.recordLeaving(engineAt("a"), true, now));
    table.setEndpoints({engineAt("a"), engineAt("b")}, now);
    CHECK(!acceptsRequests(table, "a"));
}

TEST(EndpointSelfReport, RestartedEndpointIsNotBoundByTheLeavingReportOfItsPredecessor)
{
    router::RoutingTable table(homePolicy());
    const auto now = Clock::now();
    table.setEndpoints({engineAt("a"), engineAt("b")}, now);
    table.recordLeaving(engineAt("a"), true, now);
    table.setEndpoints({engineAt("a", 2), engineAt("b")}, now);
    CHECK(acceptsRequests(table, "a"));
}

TEST(EndpointSelfReport, PromptIsNotFetchedFromAnEndpointThatReportedLeaving)
{
    constexpr uint64_t prompt = 7;
    router::RoutingTable table(homePolicy());
    const auto now = Clock::now();
    table.setEndpoints({engineAt("a"), engineAt("b"), engineAt("c")}, now);
    table.recordPromptHolder(prompt, engineAt("a"), now);
    const auto before = table.estimatePrompt(prompt, engineAt("b"), now);
    STRCMP_EQUAL("a", before.source ? before.source->id.c_str() : "");
    table.recordLeaving(engineAt("a"), true, now);
    const auto after = table.estimatePrompt(prompt, engineAt("b"), now);
    CHECK(!after.source || after.source->id != "a");
}

TEST(EndpointSelfReport, OnlyUndrainOrderIsSentToAnEngineThatReportedLeaving)
{
    int orders = 0;
    FakeEndpoint engine(loop(), [&](http::Exchange &ex) {
        ++orders;
        return ex.reply(200, "{}", {{"x-engine-draining", "true"}});
    });
    RouterFixture fixture(loop(), {endpointAt("e", engine.port, "p", EndpointKind::Engine)});
    const auto send = background::makeHttpOrderSender(fixture.client, fixture.control, fixture.table, "router-1");
    CHECK(loop().run(send({"e", "load_model", "counsel-v2", "load.1"}, 1)) == orders::SendResult::Applied);
    CHECK(loop().run(send({"e", "load_model", "counsel-v3", "load.2"}, 1)) == orders::SendResult::NotSent);
    CHECK(loop().run(send({"e", "undrain", "", "undrain.1"}, 1)) == orders::SendResult::Applied);
    LONGS_EQUAL(2, orders);
}

TEST(EndpointSelfReport, BackOffHeaderIsParsedInSecondsAndLimitedToOneHour)
{
    const auto asked = [](unsigned status, const char *text) {
        const auto wait = http::requestedBackOff(status, text);
        return wait ? wait->count() : int64_t{-1};
    };
    LONGS_EQUAL(3000, asked(503, "3"));
    LONGS_EQUAL(1500, asked(503, "1.5"));
    LONGS_EQUAL(250, asked(429, "0.25"));
    LONGS_EQUAL(3600000, asked(503, "1e12"));
    for (const char *text : {"", "0", "-1", "nan", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        LONGS_EQUAL(-1, asked(503, text));
    }
    LONGS_EQUAL(-1, asked(500, "3"));
    LONGS_EQUAL(-1, asked(200, "3"));
}

TEST(EndpointSelfReport, RetryAfterIsTheEarliestBackOffEndWhenAllEndpointsBackOff)
{
    const bool sheds = true;
    ScriptedEndpoint first(loop(), sheddingWhile(sheds, "Retry-After: 2\r\n"));
    ScriptedEndpoint second(loop(), sheddingWhile(sheds, "Retry-After: 60\r\n"));
    EntryFixture fixture(loop(), {{"e1", {"s", first.port}}, {"e2", {"s", second.port}}});
    sendRequests(fixture, 1);
    const auto reply = fixture.reply("POST", "/remind/1", "last", {{"Yuccasaddle-Deadline-Ms", "4000"}});
    LONGS_EQUAL(503, reply.status);
    const double wait = std::stod(reply.header("Retry-After"));
    CHECK(wait > 1 && wait <= 2);
    LONGS_EQUAL(1, first.seen.size());
    LONGS_EQUAL(1, second.seen.size());
}

TEST(EndpointSelfReport, RetryAfterIsShortWhenBackOffOutlastsTheDeadline)
{
    const bool sheds = true;
    ScriptedEndpoint full(loop(), sheddingWhile(sheds, "Retry-After: 60\r\n"));
    EntryFixture fixture(loop(), {{"e1", {"s", full.port}}});
    const auto reply = fixture.reply("POST", "/remind/1", "one", {{"Yuccasaddle-Deadline-Ms", "4000"}});
    LONGS_EQUAL(503, reply.status);
    CHECK(std::stod(reply.header("Retry-After")) < 1);
}

TEST(EndpointSelfReport, BackOffEndsAfterItsTime)
{
    router::RoutingTable table(homePolicy());
    const auto now = Clock::now();
    table.setEndpoints({engineAt("a")}, now);
    CHECK(table.backOff(engineAt("a"), now + std::chrono::seconds(3)));
    CHECK(!table.backOff(engineAt("a"), now + std::chrono::seconds(1))); // a shorter back-off does not replace a longer one
    CHECK(!table.acquire("m", {1, 1}, {}, now + std::chrono::milliseconds(2999)));
    CHECK(table.acquire("m", {1, 1}, {}, now + std::chrono::milliseconds(3000)).has_value());
}

TEST(EndpointSelfReport, BackOffOutlastsAMissingListingAndARestart)
{
    router::RoutingTable table(homePolicy());
    const auto now = Clock::now();
    table.setEndpoints({engineAt("a"), engineAt("b")}, now);
    table.backOff(engineAt("a"), now + std::chrono::seconds(3));
    table.setEndpoints({engineAt("b")}, now);
    table.setEndpoints({engineAt("a", 2), engineAt("b")}, now);
    for (uint64_t prompt = 0; prompt < 50; ++prompt) {
        const auto e = table.acquire("m", {prompt, prompt}, {}, now);
        STRCMP_EQUAL("b", e ? e->id.c_str() : "");
    }
}

TEST(EndpointSelfReport, BackOffAppliesToSecondSendsAndPromptFetches)
{
    constexpr uint64_t prompt = 7;
    router::RoutingTable table(homePolicy());
    const auto now = Clock::now();
    table.setEndpoints({engineAt("a"), engineAt("b"), engineAt("c")}, now);
    table.recordPromptHolder(prompt, engineAt("a"), now);
    CHECK(table.acquireForResend(engineAt("a"), now));
    table.backOff(engineAt("a"), now + std::chrono::seconds(3));
    CHECK(!table.acquireForResend(engineAt("a"), now));
    const auto promptEstimate = table.estimatePrompt(prompt, engineAt("b"), now);
    CHECK(!promptEstimate.source || promptEstimate.source->id != "a");
}

TEST(EndpointSelfReport, OrderIsNotSentToAnEngineThatRequestedBackOff)
{
    int orders = 0;
    FakeEndpoint engine(loop(), [&](http::Exchange &ex) {
        ++orders;
        return ex.reply(503, "{}", {{"Retry-After", "30"}});
    });
    RouterFixture fixture(loop(), {endpointAt("e", engine.port, "p", EndpointKind::Engine)});
    const auto send = background::makeHttpOrderSender(fixture.client, fixture.control, fixture.table, "router-1");
    CHECK(loop().run(send({"e", "load_model", "counsel-v2", "load.1"}, 1)) == orders::SendResult::Unknown);
    CHECK(loop().run(send({"e", "undrain", "", "undrain.1"}, 1)) == orders::SendResult::NotSent);
    LONGS_EQUAL(1, orders);
}
