// What an endpoint reports about itself in its responses, that it is leaving or wants no requests
// for a while, applies to every later send of the router that received the response.
#include "duties.h"
#include "entry_rig.h"

// CppUTest must be included last: its memory-leak macros redefine operator new.
#include "loop_group.h"

using namespace yucca;
using namespace yucca::rig;

namespace
{

const std::string leavingHeader = "Server-Leaving: 1\r\n";

std::string idOf(const SeenRequest &request)
{
    return request.header("Yuccasaddle-Attempt-Id");
}

RawEndpoint::Script respondingWith(const std::string &extra, const std::string &status = "200 OK")
{
    return [=](tcp::socket &socket, const SeenRequest &request) -> Task<void> {
        co_await sendBytes(socket, signedAnswer(idOf(request), "ok", status, extra));
    };
}

// Rejects requests while a flag is set, and answers them otherwise.
RawEndpoint::Script sheddingWhile(const bool &sheds, const std::string &extra)
{
    return [&sheds, extra](tcp::socket &socket, const SeenRequest &request) -> Task<void> {
        if (sheds) {
            co_await sendBytes(socket, "HTTP/1.1 503 Service Unavailable\r\nYuccasaddle-Not-Executed: 1\r\n" + extra + "Content-Length: 0\r\n\r\n");
        } else {
            co_await sendBytes(socket, signedAnswer(idOf(request), "ok"));
        }
    };
}

void sendRequests(EntryRig &rig, int times, const char *target = "/remind/1")
{
    static int calls = 0;
    for (int i = 0; i < times; ++i) {
        rig.reply("POST", target, "w" + std::to_string(++calls));
    }
}

} // namespace

LOOP_GROUP(EndpointSelfReport);

TEST(EndpointSelfReport, EndpointThatReportsLeavingGetsNoFurtherRequests)
{
    RawEndpoint leaving(loop(), respondingWith(leavingHeader));
    RawEndpoint stays(loop(), respondingWith(""));
    EntryRig rig(loop(), {{"e1", {"s", leaving.port}}, {"e2", {"s", stays.port}}});
    sendRequests(rig, 8);
    LONGS_EQUAL(1, leaving.seen.size());
    LONGS_EQUAL(7, stays.seen.size());
}

TEST(EndpointSelfReport, EndpointThatRequestedBackOffGetsNoRequestsUntilItEnds)
{
    bool sheds = true;
    RawEndpoint full(loop(), sheddingWhile(sheds, "Retry-After: 30\r\n"));
    RawEndpoint free(loop(), respondingWith(""));
    EntryRig rig(loop(), {{"e1", {"s", full.port}}, {"e2", {"s", free.port}}});
    sendRequests(rig, 8);
    sheds = false;
    sendRequests(rig, 8);
    LONGS_EQUAL(1, full.seen.size());
    LONGS_EQUAL(16, free.seen.size());
}

namespace
{

// Sends another request's late response, with extra headers, before the requested one.
RawEndpoint::Script respondingAfterLateResponse(const std::string &extra)
{
    return [=](tcp::socket &socket, const SeenRequest &request) -> Task<void> {
        const std::string late = signedAnswer("another", "late", "200 OK", extra);
        co_await sendBytes(socket, late + signedAnswer(idOf(request), "ok"));
    };
}

Endpoint engineAt(const std::string &id, int64_t born = 1)
{
    Endpoint e{id, "127.0.0.1", 9000, "m"};
    e.born = born;
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
    RawEndpoint leaving(loop(), respondingWith(leavingHeader, "500 Internal Server Error"));
    RawEndpoint stays(loop(), respondingWith(""));
    EntryRig rig(loop(), {{"e1", {"s", leaving.port}}, {"e2", {"s", stays.port}}});
    sendRequests(rig, 8);
    LONGS_EQUAL(1, leaving.seen.size());
}

TEST(EndpointSelfReport, LeavingReportInARejectionIsApplied)
{
    const bool sheds = true;
    RawEndpoint leaving(loop(), sheddingWhile(sheds, leavingHeader));
    RawEndpoint stays(loop(), respondingWith(""));
    EntryRig rig(loop(), {{"e1", {"s", leaving.port}}, {"e2", {"s", stays.port}}});
    sendRequests(rig, 8);
    LONGS_EQUAL(1, leaving.seen.size());
}

TEST(EndpointSelfReport, LeavingReportInALateResponseToAnotherRequestIsApplied)
{
    RawEndpoint leaving(loop(), respondingAfterLateResponse(leavingHeader));
    RawEndpoint stays(loop(), respondingWith(""));
    EntryRig rig(loop(), {{"e1", {"s", leaving.port}}, {"e2", {"s", stays.port}}});
    sendRequests(rig, 8);
    LONGS_EQUAL(1, leaving.seen.size());
}

TEST(EndpointSelfReport, BrokenStreamOfALeavingEndpointResumesElsewhere)
{
    RawEndpoint leaving(loop(), [](tcp::socket &socket, const SeenRequest &request) -> Task<void> {
        std::string head = streamHead(idOf(request));
        head.insert(head.find("\r\n") + 2, leavingHeader);
        co_await sendBytes(socket, head + chunk(eventNumber(1)) + chunk("id: 2\nda"));
        resetConnection(socket);
    });
    RawEndpoint stays(loop(), [](tcp::socket &socket, const SeenRequest &request) -> Task<void> {
        const bool resumed = request.header("Last-Event-Id") == "1";
        const std::string first = resumed ? std::string() : chunk(eventNumber(1));
        co_await sendBytes(socket, streamHead(idOf(request)) + first + chunk(eventNumber(2)) + "0\r\n\r\n");
    });
    EntryRig rig(loop(), {{"e1", {"m", leaving.port}}, {"e2", {"m", stays.port}}});
    for (int i = 0; i < 8; ++i) {
        const auto reply = rig.reply("POST", "/chat/1", "c" + std::to_string(i));
        STRCMP_EQUAL((eventNumber(1) + eventNumber(2)).c_str(), reply.body.c_str());
    }
    LONGS_EQUAL(1, leaving.seen.size());
}

TEST(EndpointSelfReport, RequestIsRejectedAsNotRunWhenAllEndpointsAreLeaving)
{
    RawEndpoint leaving(loop(), respondingWith(leavingHeader));
    EntryRig rig(loop(), {{"e1", {"s", leaving.port}}});
    sendRequests(rig, 1);
    const auto reply = rig.reply("POST", "/remind/1", "last");
    LONGS_EQUAL(503, reply.status);
    CHECK(!reply.header("Retry-After").empty());
    LONGS_EQUAL(1, leaving.seen.size());
}

TEST(EndpointSelfReport, ListingDoesNotReadmitAnIncarnationThatReportedLeaving)
{
    router::RoutingTable table(homePolicy());
    const auto now = Clock::now();
    table.setEndpoints({engineAt("a"), engineAt("b")}, now);
    CHECK(table.noteLeaving(engineAt("a"), true, now));
    table.setEndpoints({engineAt("b")}, now);
    table.setEndpoints({engineAt("a"), engineAt("b")}, now + std::chrono::seconds(60));
    CHECK(!acceptsRequests(table, "a"));
    CHECK(!table.acquireAgain(engineAt("a"), now));
}

TEST(EndpointSelfReport, LeavingReportOfAnUnlistedEndpointIsRemembered)
{
    router::RoutingTable table(homePolicy());
    const auto now = Clock::now();
    table.setEndpoints({engineAt("b")}, now);
    CHECK(table.noteLeaving(engineAt("a"), true, now));
    table.setEndpoints({engineAt("a"), engineAt("b")}, now);
    CHECK(!acceptsRequests(table, "a"));
}

TEST(EndpointSelfReport, RestartedEndpointIsNotBoundByTheLeavingReportOfItsPredecessor)
{
    router::RoutingTable table(homePolicy());
    const auto now = Clock::now();
    table.setEndpoints({engineAt("a"), engineAt("b")}, now);
    table.noteLeaving(engineAt("a"), true, now);
    table.setEndpoints({engineAt("a", 2), engineAt("b")}, now);
    CHECK(acceptsRequests(table, "a"));
}

TEST(EndpointSelfReport, PromptIsNotFetchedFromAnEndpointThatReportedLeaving)
{
    constexpr uint64_t prompt = 7;
    router::RoutingTable table(homePolicy());
    const auto now = Clock::now();
    table.setEndpoints({engineAt("a"), engineAt("b"), engineAt("c")}, now);
    table.tookPrompt(prompt, engineAt("a"), now);
    const auto before = table.beliefOf(prompt, engineAt("b"), now);
    STRCMP_EQUAL("a", before.source ? before.source->id.c_str() : "");
    table.noteLeaving(engineAt("a"), true, now);
    const auto after = table.beliefOf(prompt, engineAt("b"), now);
    CHECK(!after.source || after.source->id != "a");
}

TEST(EndpointSelfReport, OnlyUndrainOrderIsSentToAnEngineThatReportedLeaving)
{
    int orders = 0;
    FakeEndpoint engine(loop(), [&](http::Exchange &ex) {
        ++orders;
        return ex.reply(200, "{}", {{"x-engine-draining", "true"}});
    });
    RouterRig rig(loop(), {endpointAt("e", engine.port, "p", EndpointKind::Engine)});
    const auto send = duties::httpSender(rig.client, rig.control, rig.table, "router-1");
    CHECK(loop().run(send({"e", "load_model", "counsel-v2", "load.1"}, 1)) == orders::Ack::Applied);
    CHECK(loop().run(send({"e", "load_model", "counsel-v3", "load.2"}, 1)) == orders::Ack::NotSent);
    CHECK(loop().run(send({"e", "undrain", "", "undrain.1"}, 1)) == orders::Ack::Applied);
    LONGS_EQUAL(2, orders);
}

TEST(EndpointSelfReport, BackOffHeaderIsParsedInSecondsAndLimitedToOneHour)
{
    const auto asked = [](unsigned status, const char *text) {
        const auto wait = http::backOffAskedFor(status, text);
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
    RawEndpoint first(loop(), sheddingWhile(sheds, "Retry-After: 2\r\n"));
    RawEndpoint second(loop(), sheddingWhile(sheds, "Retry-After: 60\r\n"));
    EntryRig rig(loop(), {{"e1", {"s", first.port}}, {"e2", {"s", second.port}}});
    sendRequests(rig, 1);
    const auto reply = rig.reply("POST", "/remind/1", "last", {{"Yuccasaddle-Deadline-Ms", "4000"}});
    LONGS_EQUAL(503, reply.status);
    const double wait = std::stod(reply.header("Retry-After"));
    CHECK(wait > 1 && wait <= 2);
    LONGS_EQUAL(1, first.seen.size());
    LONGS_EQUAL(1, second.seen.size());
}

TEST(EndpointSelfReport, RetryAfterIsShortWhenBackOffOutlastsTheDeadline)
{
    const bool sheds = true;
    RawEndpoint full(loop(), sheddingWhile(sheds, "Retry-After: 60\r\n"));
    EntryRig rig(loop(), {{"e1", {"s", full.port}}});
    const auto reply = rig.reply("POST", "/remind/1", "one", {{"Yuccasaddle-Deadline-Ms", "4000"}});
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
    table.tookPrompt(prompt, engineAt("a"), now);
    CHECK(table.acquireAgain(engineAt("a"), now));
    table.backOff(engineAt("a"), now + std::chrono::seconds(3));
    CHECK(!table.acquireAgain(engineAt("a"), now));
    const auto belief = table.beliefOf(prompt, engineAt("b"), now);
    CHECK(!belief.source || belief.source->id != "a");
}

TEST(EndpointSelfReport, OrderIsNotSentToAnEngineThatRequestedBackOff)
{
    int orders = 0;
    FakeEndpoint engine(loop(), [&](http::Exchange &ex) {
        ++orders;
        return ex.reply(503, "{}", {{"Retry-After", "30"}});
    });
    RouterRig rig(loop(), {endpointAt("e", engine.port, "p", EndpointKind::Engine)});
    const auto send = duties::httpSender(rig.client, rig.control, rig.table, "router-1");
    CHECK(loop().run(send({"e", "load_model", "counsel-v2", "load.1"}, 1)) == orders::Ack::Unknown);
    CHECK(loop().run(send({"e", "undrain", "", "undrain.1"}, 1)) == orders::Ack::NotSent);
    LONGS_EQUAL(1, orders);
}
