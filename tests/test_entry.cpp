// Tests of the entry router with scripted endpoints. There are no timing assertions: every wait is
// for an event.
#include "entry_fixture.h"

#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;

namespace
{

// Returns the id of a request, which the endpoint echoes.
std::string idOf(const ReceivedRequest &request)
{
    return request.header("Yuccasaddle-Attempt-Id");
}

ScriptedEndpoint::Script respondingWith(const std::string &body, const std::string &status = "200 OK", const std::string &extra = {})
{
    return [=](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        co_await sendBytes(socket, signedAnswer(idOf(request), body, status, extra));
    };
}

ScriptedEndpoint::Script shedding()
{
    return [](tcp::socket &socket, const ReceivedRequest &) -> Task<void> {
        co_await sendBytes(socket, "HTTP/1.1 503 Service Unavailable\r\nYuccasaddle-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    };
}

ScriptedEndpoint::Script resetting()
{
    return [](tcp::socket &socket, const ReceivedRequest &) -> Task<void> {
        resetConnection(socket);
        co_return;
    };
}

// Streams events from the one after the caller's last event up to the event numbered last; resets
// the connection in the middle of the event after cutAfter.
ScriptedEndpoint::Script streaming(int last, int cutAfter = 1000)
{
    return [=](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        const std::string resume = request.header("Last-Event-Id");
        const int after = resume == "(none)" ? 0 : std::stoi(resume);
        co_await sendBytes(socket, streamHead(idOf(request)));
        for (int i = after + 1; i <= last; ++i) {
            if (i > cutAfter) {
                co_await sendBytes(socket, chunk("id: " + std::to_string(i) + "\nda"));
                resetConnection(socket);
                co_return;
            }
            co_await sendBytes(socket, chunk(eventNumber(i)));
        }
        co_await sendBytes(socket, "0\r\n\r\n");
    };
}

std::string events(int last)
{
    std::string out;
    for (int i = 1; i <= last; ++i) {
        out += eventNumber(i);
    }
    return out;
}

} // namespace

LOOP_GROUP(EntryForwarding);

TEST(EntryForwarding, RequestOfTheCallerArrivesUnchanged)
{
    ScriptedEndpoint engine(loop(), respondingWith("ok"));
    EntryFixture fixture(loop(), {{"e1", {"s", engine.port}}});
    const auto reply =
        fixture.reply("POST", "/book/2f?x=1&y=%20", "a1", {{"X-Trace", "one"}, {"X-Trace", "two"}, {"Yuccasaddle-Deadline-Ms", "3000"}}, "{\"a\":1}");
    LONGS_EQUAL(200, reply.status);
    STRCMP_EQUAL("ok", reply.body.c_str());
    STRCMP_EQUAL("sig-a1", reply.header("Yuccasaddle-Response-Signature").c_str());
    LONGS_EQUAL(1, engine.seen.size());
    const auto &seen = engine.seen[0];
    CHECK(seen.head.find("POST /book/2f?x=1&y=%20 HTTP/1.1\r\n") == 0);
    CHECK(seen.head.find("X-Trace: one\r\nX-Trace: two\r\n") != std::string::npos);
    STRCMP_EQUAL("{\"a\":1}", seen.body.c_str());
    STRCMP_EQUAL("h.example", seen.header("Host").c_str());
    STRCMP_EQUAL("a1", idOf(seen).c_str());
}

TEST(EntryForwarding, RouterHeadersSentByTheCallerAreReplaced)
{
    ScriptedEndpoint engine(loop(), respondingWith("ok"));
    EntryFixture fixture(loop(), {{"e1", {"s", engine.port}}});
    const http::Headers forged{{"Yuccasaddle-Tenant", "south"}, {"Yuccasaddle-Expected-Instance", "other"}, {"Yuccasaddle-Hold", "h"},
                               {"Yuccasaddle-Pin-Ms", "9"},     {"Yuccasaddle-Kv-Backup", "1.2.3.4:5"},     {"Kv-From", "1.2.3.4:5/6"},
                               {"Kv-Fetch", "1.2.3.4:5"},       {"Yuccasaddle-Request-Priority", "0"}};
    fixture.reply("POST", "/book/1", "a1", forged);
    LONGS_EQUAL(1, engine.seen.size());
    const auto &seen = engine.seen[0];
    STRCMP_EQUAL("north", seen.header("Yuccasaddle-Tenant").c_str());
    STRCMP_EQUAL("e1", seen.header("Yuccasaddle-Expected-Instance").c_str());
    for (const char *name : {"Yuccasaddle-Hold", "Yuccasaddle-Pin-Ms", "Yuccasaddle-Kv-Backup", "Kv-From", "Kv-Fetch", "X-Api-Key"}) {
        STRCMP_EQUAL("(none)", seen.header(name).c_str());
    }
}

TEST(EntryForwarding, HopByHopHeadersAreDroppedIncludingThoseNamedByConnection)
{
    ScriptedEndpoint engine(loop(), respondingWith("ok", "200 OK", "Connection: X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n"));
    EntryFixture fixture(loop(), {{"e1", {"s", engine.port}}});
    const auto reply = fixture.reply("POST", "/book/1", "a1", {{"Connection", "X-Private"}, {"X-Private", "1"}, {"TE", "trailers"}});
    STRCMP_EQUAL("(none)", engine.seen[0].header("X-Private").c_str());
    STRCMP_EQUAL("(none)", engine.seen[0].header("TE").c_str());
    STRCMP_EQUAL("", reply.header("X-Hop").c_str());
    STRCMP_EQUAL("2", reply.header("X-Kept").c_str());
}

TEST(EntryForwarding, ForwardedDeadlineIsTheRemainingTime)
{
    ScriptedEndpoint engine(loop(), respondingWith("ok"));
    EntryFixture fixture(loop(), {{"e1", {"s", engine.port}}});
    fixture.reply("POST", "/book/1", "a1", {{"Yuccasaddle-Deadline-Ms", "700"}});
    fixture.reply("POST", "/book/1", "a2", {{"Yuccasaddle-Deadline-Ms", "90000"}});
    const int left = std::stoi(engine.seen[0].header("Yuccasaddle-Deadline-Ms"));
    CHECK(left > 0 && left <= 700);
    const int routeTimeout = std::stoi(engine.seen[1].header("Yuccasaddle-Deadline-Ms"));
    CHECK(routeTimeout > 700 && routeTimeout <= 5000);
}

TEST(EntryForwarding, KeepAliveConnectionIsReused)
{
    ScriptedEndpoint engine(loop(), respondingWith("ok", "200 OK", "Keep-Alive: timeout=5\r\n"));
    EntryFixture fixture(loop(), {{"e1", {"s", engine.port}}});
    fixture.reply("POST", "/book/1", "a1");
    fixture.reply("POST", "/book/1", "a2");
    LONGS_EQUAL(2, engine.seen.size());
    LONGS_EQUAL(1, engine.connections);
}

TEST(EntryForwarding, EarlyResponseIsRelayedAndItsConnectionIsNotReused)
{
    // An endpoint that responds to the head of a request, whose body exceeds the socket buffers,
    // and reads none of the body.
    tcp::acceptor acceptor(loop().io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    int connections = 0;
    const auto serve = [&]() -> Task<void> {
        std::vector<std::shared_ptr<tcp::socket>> held;
        for (;;) {
            boost::system::error_code ec;
            auto socket = std::make_shared<tcp::socket>(co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec)));
            if (ec) {
                co_return;
            }
            ++connections;
            held.push_back(socket);
            char head[256];
            co_await socket->async_read_some(asio::buffer(head), asio::redirect_error(asio::use_awaitable, ec));
            co_await sendBytes(*socket,
                               "HTTP/1.1 413 Too Large\r\nYuccasaddle-Response-Signature: s\r\nYuccasaddle-Attempt-Id: big\r\nContent-Length: 2\r\n\r\nno");
        }
    };
    asio::co_spawn(loop().io, serve(), asio::detached);
    EntryFixture fixture(loop(), {{"e1", {"s", acceptor.local_endpoint().port()}}});
    http::ServerLimits limits;
    limits.bodyBytes = 64 * 1024 * 1024;
    fixture.server.setLimits(limits);
    const std::string body(32 * 1024 * 1024, 'x');
    LONGS_EQUAL(413, fixture.reply("POST", "/book/1", "big", {}, body).status);
    LONGS_EQUAL(413, fixture.reply("POST", "/book/1", "big", {}, body).status);
    LONGS_EQUAL(2, connections);
}

LOOP_GROUP(EntryIdentify);

TEST(EntryIdentify, LongestMatchingPrefixOfTheHostSelectsTheRoute)
{
    ScriptedEndpoint engine(loop(), respondingWith("ok"));
    EntryFixture fixture(loop(), {{"e1", {"s", engine.port}}});
    LONGS_EQUAL(404, fixture.reply("GET", "/elsewhere/1", "a1").status);
    LONGS_EQUAL(404, fixture.reply("GET", "/book", "a2").status);
    LONGS_EQUAL(0, engine.seen.size());
    LONGS_EQUAL(200, fixture.reply("GET", "/book/deep/1", "a3").status);
    LONGS_EQUAL(404, std::get<http::Reply>(loop().run(fixture.send("GET", "/book/1", {{"Host", "other.example"}, {"X-Api-Key", "key-n"}}, ""))).status);
}

TEST(EntryIdentify, UnknownKeyIsRejectedUnlessTheRouteIsPublic)
{
    ScriptedEndpoint engine(loop(), respondingWith("ok"));
    EntryFixture fixture(loop(), {{"e1", {"s", engine.port}}});
    const auto status = [&](const std::string &target, http::Headers headers) {
        headers.emplace_back("Host", "H.example:8080");
        headers.emplace_back("Yuccasaddle-Attempt-Id", "a1");
        return std::get<http::Reply>(loop().run(fixture.send("POST", target, headers, ""))).status;
    };
    LONGS_EQUAL(401, status("/book/1", {{"X-Api-Key", "key-x"}}));
    LONGS_EQUAL(401, status("/book/1", {}));
    LONGS_EQUAL(401, status("/book/1", {{"X-Api-Key", "key-n"}, {"X-Api-Key", "key-s"}}));
    LONGS_EQUAL(0, engine.seen.size());
    LONGS_EQUAL(200, status("/book/deep/1", {}));
    LONGS_EQUAL(200, status("/book/1", {{"X-Api-Key", "key-s"}}));
    STRCMP_EQUAL("south", engine.seen.back().header("Yuccasaddle-Tenant").c_str());
}

TEST(EntryIdentify, NewerConfigurationAppliesAtOnceAndAnOlderOneIsIgnored)
{
    ScriptedEndpoint engine(loop(), respondingWith("ok"));
    EntryFixture fixture(loop(), {{"e1", {"s", engine.port}}});
    LONGS_EQUAL(200, fixture.reply("POST", "/book/1", "a1").status);
    auto revoked = entryConfiguration(7);
    revoked["tenants"][0]["api_keys"] = nlohmann::json::array();
    fixture.configure(revoked);
    LONGS_EQUAL(401, fixture.reply("POST", "/book/1", "a2").status);
    fixture.configure(entryConfiguration(3));
    LONGS_EQUAL(401, fixture.reply("POST", "/book/1", "a3").status);
}

TEST(EntryIdentify, UnknownRouteOrKeyIsRetryableWhileTheStoreIsSilent)
{
    EntryFixture fixture(loop(), {});
    const auto unknownKey = [&](const std::string &id) {
        http::Headers headers{{"Host", "h.example"}, {"Yuccasaddle-Attempt-Id", id}, {"X-Api-Key", "key-new"}};
        return std::get<http::Reply>(loop().run(fixture.send("GET", "/remind/1", headers, "")));
    };
    LONGS_EQUAL(401, unknownKey("a1").status);
    LONGS_EQUAL(404, fixture.reply("GET", "/nowhere/", "a2").status);
    fixture.published.recordContact(Clock::now() - std::chrono::seconds(4));
    const auto asked = unknownKey("a3");
    LONGS_EQUAL(503, asked.status);
    CHECK(!asked.header("Retry-After").empty());
    LONGS_EQUAL(503, fixture.reply("GET", "/nowhere/", "a4").status);
    fixture.published.recordContact(Clock::now());
    LONGS_EQUAL(401, unknownKey("a5").status);
}

TEST(EntryIdentify, RequestWithoutAConfigurationGetsRetryAfter)
{
    router::RoutingTable table;
    entry::Published published(table);
    limits::Admission admission;
    quarantine::RequestQuarantine quarantine;
    entry::Gateway<platform::PlatformDialect> gateway(entry::GatewayParts{published, table, admission, quarantine});
    http::Server server({&loop().io}, "127.0.0.1", 0, [&](http::Exchange &ex) {
        return gateway.handle(ex);
    });
    const uint16_t port = std::get<uint16_t>(server.start());
    http::Client client;
    http::CallOptions options;
    options.deadline = Clock::now() + std::chrono::seconds(10);
    auto result = loop().run(client.call({"127.0.0.1", port}, http::makeRequest("GET", "/book/1"), options));
    LONGS_EQUAL(503, std::get<http::Reply>(result).status);
    CHECK(!std::get<http::Reply>(result).header("Retry-After").empty());
}

LOOP_GROUP(EntryResponse);

TEST(EntryResponse, LateResponseToAnotherRequestIsSkipped)
{
    ScriptedEndpoint engine(loop(), [](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        co_await sendBytes(socket, signedAnswer("somebody", "not yours") + signedAnswer(idOf(request), "mine"));
    });
    EntryFixture fixture(loop(), {{"e1", {"s", engine.port}}});
    const auto reply = fixture.reply("POST", "/book/1", "a1");
    STRCMP_EQUAL("mine", reply.body.c_str());
    fixture.reply("POST", "/book/1", "a2");
    LONGS_EQUAL(2, engine.connections); // a connection that delivered another request's response is not reused
}

TEST(EntryResponse, BytesAfterACompleteResponseAreDiscarded)
{
    ScriptedEndpoint engine(loop(), [](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        co_await sendBytes(socket, signedAnswer(idOf(request), "mine") + signedAnswer(idOf(request), "again"));
    });
    EntryFixture fixture(loop(), {{"e1", {"s", engine.port}}});
    STRCMP_EQUAL("mine", fixture.reply("POST", "/book/1", "a1").body.c_str());
    STRCMP_EQUAL("mine", fixture.reply("POST", "/book/1", "a2").body.c_str());
    LONGS_EQUAL(2, engine.connections);
}

TEST(EntryResponse, UnsignedOrEncodedSuccessIsNotRelayed)
{
    int answers = 0;
    ScriptedEndpoint engine(loop(), [&](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        const std::string head = "HTTP/1.1 200 OK\r\nYuccasaddle-Attempt-Id: " + idOf(request) + "\r\nContent-Length: 2\r\n";
        std::string answer = head + "\r\nhi";
        if (++answers == 2) {
            answer = head + "Yuccasaddle-Response-Signature: s\r\nContent-Encoding: gzip\r\n\r\nhi";
        }
        co_await sendBytes(socket, answer);
    });
    EntryFixture fixture(loop(), {{"e1", {"s", engine.port}}});
    LONGS_EQUAL(502, fixture.reply("POST", "/book/1", "a1").status);
    LONGS_EQUAL(502, fixture.reply("POST", "/book/1", "a2").status);
}

TEST(EntryResponse, TruncatedResponseIsNotRelayedAsComplete)
{
    ScriptedEndpoint engine(loop(), [](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        std::string answer = signedAnswer(idOf(request), "a whole answer");
        co_await sendBytes(socket, answer.substr(0, answer.size() - 4));
        socket.close();
    });
    EntryFixture fixture(loop(), {{"e1", {"s", engine.port}}});
    LONGS_EQUAL(502, fixture.reply("POST", "/book/1", "a1").status);
    LONGS_EQUAL(1, engine.seen.size());
}

TEST(EntryResponse, ResponseWithoutLengthEndsAtConnectionCloseButNotAtReset)
{
    bool reset = false;
    ScriptedEndpoint engine(loop(), [&](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        co_await sendBytes(socket, "HTTP/1.1 200 OK\r\nYuccasaddle-Response-Signature: s\r\nYuccasaddle-Attempt-Id: " + idOf(request) + "\r\n\r\nall of it");
        if (reset) {
            co_await sleepFor(Millis(20)); // the bytes must arrive before the reset
            resetConnection(socket);
        } else {
            socket.close();
        }
    });
    EntryFixture fixture(loop(), {{"e1", {"s", engine.port}}});
    const auto whole = fixture.reply("POST", "/book/1", "a1");
    LONGS_EQUAL(200, whole.status);
    STRCMP_EQUAL("all of it", whole.body.c_str());
    reset = true;
    LONGS_EQUAL(502, fixture.reply("POST", "/book/1", "a2").status);
}

TEST(EntryResponse, FailureResponseOfAnEngineIsRelayedUnchanged)
{
    ScriptedEndpoint engine(loop(), respondingWith("it broke", "500 Internal Server Error"));
    EntryFixture fixture(loop(), {{"e1", {"s", engine.port}}});
    const auto reply = fixture.reply("POST", "/book/1", "a1");
    LONGS_EQUAL(500, reply.status);
    STRCMP_EQUAL("it broke", reply.body.c_str());
    STRCMP_EQUAL("sig-a1", reply.header("Yuccasaddle-Response-Signature").c_str());
}

LOOP_GROUP(EntryAtMostOnce);

TEST(EntryAtMostOnce, NonIdempotentRequestIsNotRetriedAfterItMayHaveRun)
{
    ScriptedEndpoint first(loop(), resetting());
    ScriptedEndpoint second(loop(), resetting());
    EntryFixture fixture(loop(), {{"e1", {"s", first.port}}, {"e2", {"s", second.port}}});
    LONGS_EQUAL(502, fixture.reply("POST", "/book/1", "a1").status); // 502 makes no promise about execution
    LONGS_EQUAL(1, first.seen.size() + second.seen.size());
}

TEST(EntryAtMostOnce, NonIdempotentRequestIsNotRetriedWhenItsKeepAliveConnectionBreaks)
{
    int answered = 0;
    const auto once = [&](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        if (++answered == 1) {
            co_await sendBytes(socket, signedAnswer(idOf(request), "ok"));
        } else {
            resetConnection(socket);
        }
    };
    ScriptedEndpoint engine(loop(), once);
    EntryFixture fixture(loop(), {{"e1", {"s", engine.port}}});
    LONGS_EQUAL(200, fixture.reply("POST", "/book/1", "a1").status);
    LONGS_EQUAL(502, fixture.reply("POST", "/book/1", "a2").status);
    LONGS_EQUAL(2, engine.seen.size());
}

TEST(EntryAtMostOnce, NonIdempotentRequestsUseNewConnectionsAfterAKeepAliveConnectionBroke)
{
    // An endpoint that drops its idle connections: the second request on each connection is reset.
    std::map<std::string, int> onConnection;
    ScriptedEndpoint engine(loop(), [&](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        if (++onConnection[request.connection] == 1) {
            co_await sendBytes(socket, signedAnswer(idOf(request), "ok"));
        } else {
            resetConnection(socket);
        }
    });
    EntryFixture fixture(loop(), {{"e1", {"s", engine.port}}});
    LONGS_EQUAL(200, fixture.reply("GET", "/remind/1", "a1").status);
    LONGS_EQUAL(200, fixture.reply("GET", "/remind/1", "a2").status); // sent again on a new connection
    LONGS_EQUAL(200, fixture.reply("POST", "/book/1", "a3").status);
    LONGS_EQUAL(200, fixture.reply("POST", "/book/1", "a4").status);
}

TEST(EntryAtMostOnce, ShedRequestIsRetriedElsewhereBeforeItIsRejected)
{
    ScriptedEndpoint full(loop(), shedding());
    ScriptedEndpoint other(loop(), respondingWith("done"));
    EntryFixture fixture(loop(), {{"e1", {"s", full.port}}, {"e2", {"s", other.port}}});
    for (int i = 0; i < 6; ++i) {
        LONGS_EQUAL(200, fixture.reply("POST", "/book/1", "a" + std::to_string(i)).status);
    }
    EntryFixture alone(loop(), {{"e1", {"s", full.port}}});
    const auto refused = alone.reply("POST", "/book/1", "b1");
    LONGS_EQUAL(503, refused.status);
    CHECK(std::stod(refused.header("Retry-After")) > 0);
}

TEST(EntryAtMostOnce, RequestIsRetriedWhenAnotherInstanceHasTheAddress)
{
    ScriptedEndpoint reused(loop(), [](tcp::socket &socket, const ReceivedRequest &) -> Task<void> {
        co_await sendBytes(socket, "HTTP/1.1 421 Misdirected Request\r\nYuccasaddle-Instance-Id: new\r\nContent-Length: 0\r\n\r\n");
    });
    ScriptedEndpoint engine(loop(), respondingWith("done"));
    EntryFixture fixture(loop(), {{"e1", {"s", reused.port}}, {"e2", {"s", engine.port}}});
    for (int i = 0; i < 4; ++i) {
        LONGS_EQUAL(200, fixture.reply("POST", "/book/1", "a" + std::to_string(i)).status);
    }
    CHECK(reused.seen.size() <= 1); // the endpoint gets no further requests
}

TEST(EntryAtMostOnce, FailedIdempotentRequestIsRetriedElsewhereUpToMaxAttempts)
{
    ScriptedEndpoint failing(loop(), respondingWith("it broke", "500 Internal Server Error"));
    ScriptedEndpoint resettingEndpoint(loop(), resetting());
    ScriptedEndpoint healthy(loop(), respondingWith("done"));
    EntryFixture fixture(loop(), {{"e1", {"s", failing.port}}, {"e2", {"s", healthy.port}}});
    for (int i = 0; i < 6; ++i) {
        LONGS_EQUAL(200, fixture.reply("GET", "/remind/1", "a" + std::to_string(i)).status);
    }
    EntryFixture allFailing(
        loop(), {{"e1", {"s", failing.port}}, {"e2", {"s", resettingEndpoint.port}}, {"e3", {"s", failing.port}}, {"e4", {"s", resettingEndpoint.port}}});
    const auto before = failing.seen.size() + resettingEndpoint.seen.size();
    allFailing.reply("GET", "/remind/1", "b1");
    CHECK(failing.seen.size() + resettingEndpoint.seen.size() - before <= 2); // max_attempts
}

// Guards against a false promise to the caller: the request was sent on a keep-alive connection
// that broke, and the new connection was refused. The request may have run on the first one.
TEST(EntryAtMostOnce, RequestLostOnAKeepAliveConnectionIsNotReportedAsNotRun)
{
    ScriptedEndpoint *self = nullptr;
    ScriptedEndpoint endpoint(loop(), [&](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        if (self->seen.size() == 1) {
            co_await sendBytes(socket, signedAnswer(idOf(request), "ok"));
            co_return;
        }
        self->stopListening();
        resetConnection(socket);
    });
    self = &endpoint;
    EntryFixture fixture(loop(), {{"e1", {"s", endpoint.port}}});
    LONGS_EQUAL(200, fixture.reply("GET", "/remind/1", "a1").status);
    LONGS_EQUAL(502, fixture.reply("GET", "/remind/2", "a2").status);
    LONGS_EQUAL(2, endpoint.seen.size());
}

TEST(EntryAtMostOnce, RetriesStayWithinTheRetryBudget)
{
    ScriptedEndpoint failing(loop(), respondingWith("it broke", "500 Internal Server Error"));
    EntryFixture fixture(loop(), {{"e1", {"s", failing.port}}, {"e2", {"s", failing.port}}}, 208);
    const int requests = 100;
    for (int i = 0; i < requests; ++i) {
        fixture.reply("GET", "/remind/1", "a" + std::to_string(i));
    }
    // The minimum reserve of each router must fit into the slack of a deployment of 84 routers (208
    // extra arrivals).
    const double allowed = fixture.settings.retryRatio * requests + 208.0 / 84;
    CHECK(static_cast<double>(failing.seen.size()) <= requests + allowed);
}

TEST(EntryAtMostOnce, RetryBudgetOfEachServiceIsExported)
{
    ScriptedEndpoint failing(loop(), respondingWith("it broke", "500 Internal Server Error"));
    EntryFixture fixture(loop(), {{"e1", {"s", failing.port}}, {"e2", {"s", failing.port}}}, 200);
    fixture.reply("GET", "/remind/1", "a1");
    const std::string text = fixture.gateway.metricsText({});
    for (const char *line :
         {"yucca_retry_budget_spent{service=\"s\"} 1\n", "yucca_retry_budget_allowed{service=\"s\"} 2.1\n", "yucca_retry_budget_share{service=\"s\"} 2\n"}) {
        CHECK_TEXT(text.find(line) != std::string::npos, text.c_str());
    }
}

LOOP_GROUP(EntryStreams);

TEST(EntryStreams, EventsArriveInOrderAndComplete)
{
    ScriptedEndpoint engine(loop(), streaming(5));
    EntryFixture fixture(loop(), {{"e1", {"m", engine.port}}});
    const auto reply = fixture.reply("POST", "/chat/1", "a1");
    LONGS_EQUAL(200, reply.status);
    STRCMP_EQUAL(events(5).c_str(), reply.body.c_str());
    STRCMP_EQUAL("sig-a1", reply.header("Yuccasaddle-Response-Signature").c_str());
}

TEST(EntryStreams, ResumableStreamContinuesElsewhereAfterTheLastCompleteEvent)
{
    ScriptedEndpoint cutting(loop(), streaming(5, 2));
    ScriptedEndpoint healthy(loop(), streaming(5));
    EntryFixture fixture(loop(), {{"e1", {"m", cutting.port}}, {"e2", {"m", healthy.port}}});
    for (int i = 0; i < 6; ++i) {
        const auto reply = fixture.reply("POST", "/chat/1", "a" + std::to_string(i));
        STRCMP_EQUAL(events(5).c_str(), reply.body.c_str());
    }
    CHECK(!cutting.seen.empty());
    const bool resumed = std::any_of(healthy.seen.begin(), healthy.seen.end(), [](const ReceivedRequest &r) {
        return r.header("Last-Event-Id") == "2";
    });
    CHECK(resumed);
}

TEST(EntryStreams, BrokenNonResumableStreamDoesNotLookComplete)
{
    ScriptedEndpoint cutting(loop(), streaming(5, 2));
    EntryFixture fixture(loop(), {{"e1", {"m", cutting.port}}, {"e2", {"m", cutting.port}}});
    const auto result = fixture.call("POST", "/once/1", "a1");
    CHECK(std::holds_alternative<http::CallError>(result));
    LONGS_EQUAL(1, cutting.seen.size());
}

namespace
{

// Sends a stream with neither a length nor chunks, which ends with its connection.
ScriptedEndpoint::Script unframedStream(std::string bytes)
{
    return [bytes](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        const std::string id = request.header("Yuccasaddle-Attempt-Id");
        co_await sendBytes(socket,
                           "HTTP/1.1 200 OK\r\nYuccasaddle-Attempt-Id: " + id + "\r\nYuccasaddle-Response-Signature: sig-" + id
                               + "\r\nContent-Type: text/event-stream\r\n\r\n" + bytes);
        boost::system::error_code ec;
        socket.shutdown(tcp::socket::shutdown_send, ec);
        socket.close(ec);
    };
}

} // namespace

TEST(EntryStreams, StreamThatEndsWithItsConnectionIsComplete)
{
    ScriptedEndpoint engine(loop(), unframedStream(events(5)));
    EntryFixture fixture(loop(), {{"e1", {"m", engine.port}}});
    const auto reply = fixture.reply("POST", "/chat/1", "a1");
    LONGS_EQUAL(200, reply.status);
    STRCMP_EQUAL(events(5).c_str(), reply.body.c_str());
}

TEST(EntryStreams, StreamWhoseConnectionEndsInsideAnEventIsResumed)
{
    ScriptedEndpoint cutting(loop(), unframedStream(events(2) + "id: 3\ndat"));
    ScriptedEndpoint healthy(loop(), streaming(5));
    EntryFixture fixture(loop(), {{"e1", {"m", cutting.port}}, {"e2", {"m", healthy.port}}});
    for (int i = 0; i < 6; ++i) {
        const auto reply = fixture.reply("POST", "/chat/1", "a" + std::to_string(i));
        STRCMP_EQUAL(events(5).c_str(), reply.body.c_str());
    }
    CHECK(!cutting.seen.empty());
}

TEST(EntryStreams, NonResumableStreamWhoseConnectionEndsInsideAnEventDoesNotLookComplete)
{
    ScriptedEndpoint cutting(loop(), unframedStream(events(2) + "id: 3\ndat"));
    EntryFixture fixture(loop(), {{"e1", {"m", cutting.port}}});
    const auto result = fixture.call("POST", "/once/1", "a1");
    CHECK(std::holds_alternative<http::CallError>(result));
}

TEST(EntryStreams, LastEventIdOfTheCallerIsForwarded)
{
    ScriptedEndpoint engine(loop(), streaming(5));
    EntryFixture fixture(loop(), {{"e1", {"m", engine.port}}});
    const auto reply = fixture.reply("POST", "/chat/1", "a1", {{"Last-Event-Id", "3"}});
    STRCMP_EQUAL("3", engine.seen[0].header("Last-Event-Id").c_str());
    STRCMP_EQUAL((eventNumber(4) + eventNumber(5)).c_str(), reply.body.c_str());
}

TEST(EntryStreams, DisconnectOfTheCallerClosesTheEngineConnection)
{
    Signal connectionClosed;
    ScriptedEndpoint engine(loop(), [&](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        co_await sendBytes(socket, streamHead(idOf(request)) + chunk(eventNumber(1)));
        char byte;
        boost::system::error_code ec;
        co_await socket.async_read_some(asio::buffer(&byte, 1), asio::redirect_error(asio::use_awaitable, ec));
        CHECK(ec.failed());
        connectionClosed.fire();
    });
    EntryFixture fixture(loop(), {{"e1", {"m", engine.port}}});
    tcp::socket caller(loop().io);
    caller.connect({asio::ip::make_address("127.0.0.1"), fixture.port});
    auto request = http::makeRequest("POST", "/chat/1", "", EntryFixture::caller("a1"));
    http::bhttp::write(caller, request);
    loop().runUntil([&] {
        return !engine.seen.empty();
    });
    caller.close();
    loop().runUntil([&] {
        return connectionClosed.fired() && fixture.server.inflight() == 0;
    });
    CHECK(connectionClosed.fired());
}

LOOP_GROUP(EntryPromptHome);

TEST(EntryPromptHome, RequestsWithASharedPromptGoToOneEngine)
{
    ScriptedEndpoint a(loop(), streaming(1));
    ScriptedEndpoint b(loop(), streaming(1));
    ScriptedEndpoint c(loop(), streaming(1));
    EntryFixture fixture(loop(), {{"e1", {"m", a.port}}, {"e2", {"m", b.port}}, {"e3", {"m", c.port}}});
    for (int i = 0; i < 12; ++i) {
        const std::string own = "f" + std::to_string(i);
        fixture.reply("POST", "/chat/1", "a" + std::to_string(i), {{"Yuccasaddle-Prompt-Prefix", "aa:500,beef:9000," + own + ":100"}});
    }
    const auto most = std::max({a.seen.size(), b.seen.size(), c.seen.size()});
    LONGS_EQUAL(12, most);
}

TEST(EntryPromptHome, EngineThatTakesOverAPromptIsToldItsHolder)
{
    ScriptedEndpoint a(loop(), streaming(1));
    ScriptedEndpoint b(loop(), streaming(1));
    EntryFixture fixture(loop(), {{"e1", {"m", a.port}}, {"e2", {"m", b.port}}});
    const http::Headers prompt{{"Yuccasaddle-Prompt-Prefix", "aa:500,beef:9000,f1:100"}};
    fixture.reply("POST", "/chat/1", "a1", prompt);
    const bool homeIsA = !a.seen.empty();
    auto &home = homeIsA ? a : b;
    auto &other = homeIsA ? b : a;
    STRCMP_EQUAL("(none)", home.seen[0].header("Kv-Fetch").c_str());
    // The home endpoint starts to leave: it gets no more requests, but the prompt can still be
    // fetched from it.
    std::map<std::string, Endpoint> listed;
    for (const auto &e : fixture.table.endpoints()) {
        Endpoint changed = e;
        changed.state = e.port == home.port ? EndpointState::Leaving : EndpointState::Live;
        listed.emplace(e.id, changed);
    }
    fixture.published.replaceEndpoints(listed);
    fixture.reply("POST", "/chat/1", "a2", prompt);
    LONGS_EQUAL(1, home.seen.size());
    LONGS_EQUAL(1, other.seen.size());
    STRCMP_EQUAL(("127.0.0.1:" + std::to_string(home.port)).c_str(), other.seen[0].header("Kv-Fetch").c_str());
}
