// Tests of the entry router with scripted endpoints. There are no timing assertions: every wait is
// for an event.
#include "entry_rig.h"

#include "loop_group.h"

using namespace yucca;
using namespace yucca::rig;

namespace
{

// Returns the id of a request, which the endpoint echoes.
std::string idOf(const SeenRequest &request)
{
    return request.header("Yuccasaddle-Attempt-Id");
}

RawEndpoint::Script respondingWith(const std::string &body, const std::string &status = "200 OK", const std::string &extra = {})
{
    return [=](tcp::socket &socket, const SeenRequest &request) -> Task<void> {
        co_await sendBytes(socket, signedAnswer(idOf(request), body, status, extra));
    };
}

RawEndpoint::Script shedding()
{
    return [](tcp::socket &socket, const SeenRequest &) -> Task<void> {
        co_await sendBytes(socket, "HTTP/1.1 503 Service Unavailable\r\nYuccasaddle-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    };
}

RawEndpoint::Script resetting()
{
    return [](tcp::socket &socket, const SeenRequest &) -> Task<void> {
        resetConnection(socket);
        co_return;
    };
}

// Streams events from the one after the caller's last event up to the event numbered last; resets
// the connection in the middle of the event after cutAfter.
RawEndpoint::Script streaming(int last, int cutAfter = 1000)
{
    return [=](tcp::socket &socket, const SeenRequest &request) -> Task<void> {
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
    RawEndpoint engine(loop(), respondingWith("ok"));
    EntryRig rig(loop(), {{"e1", {"s", engine.port}}});
    const auto reply =
        rig.reply("POST", "/book/2f?x=1&y=%20", "a1", {{"X-Trace", "one"}, {"X-Trace", "two"}, {"Yuccasaddle-Deadline-Ms", "3000"}}, "{\"a\":1}");
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
    RawEndpoint engine(loop(), respondingWith("ok"));
    EntryRig rig(loop(), {{"e1", {"s", engine.port}}});
    const http::Headers forged{{"Yuccasaddle-Tenant", "south"}, {"Yuccasaddle-Expected-Instance", "other"}, {"Yuccasaddle-Hold", "h"},
                               {"Yuccasaddle-Pin-Ms", "9"},     {"Yuccasaddle-Kv-Backup", "1.2.3.4:5"},     {"Kv-From", "1.2.3.4:5/6"},
                               {"Kv-Fetch", "1.2.3.4:5"},       {"Yuccasaddle-Request-Priority", "0"}};
    rig.reply("POST", "/book/1", "a1", forged);
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
    RawEndpoint engine(loop(), respondingWith("ok", "200 OK", "Connection: X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n"));
    EntryRig rig(loop(), {{"e1", {"s", engine.port}}});
    const auto reply = rig.reply("POST", "/book/1", "a1", {{"Connection", "X-Private"}, {"X-Private", "1"}, {"TE", "trailers"}});
    STRCMP_EQUAL("(none)", engine.seen[0].header("X-Private").c_str());
    STRCMP_EQUAL("(none)", engine.seen[0].header("TE").c_str());
    STRCMP_EQUAL("", reply.header("X-Hop").c_str());
    STRCMP_EQUAL("2", reply.header("X-Kept").c_str());
}

TEST(EntryForwarding, ForwardedDeadlineIsTheRemainingTime)
{
    RawEndpoint engine(loop(), respondingWith("ok"));
    EntryRig rig(loop(), {{"e1", {"s", engine.port}}});
    rig.reply("POST", "/book/1", "a1", {{"Yuccasaddle-Deadline-Ms", "700"}});
    rig.reply("POST", "/book/1", "a2", {{"Yuccasaddle-Deadline-Ms", "90000"}});
    const int left = std::stoi(engine.seen[0].header("Yuccasaddle-Deadline-Ms"));
    CHECK(left > 0 && left <= 700);
    const int routeTimeout = std::stoi(engine.seen[1].header("Yuccasaddle-Deadline-Ms"));
    CHECK(routeTimeout > 700 && routeTimeout <= 5000);
}

TEST(EntryForwarding, KeepAliveConnectionIsReused)
{
    RawEndpoint engine(loop(), respondingWith("ok", "200 OK", "Keep-Alive: timeout=5\r\n"));
    EntryRig rig(loop(), {{"e1", {"s", engine.port}}});
    rig.reply("POST", "/book/1", "a1");
    rig.reply("POST", "/book/1", "a2");
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
    EntryRig rig(loop(), {{"e1", {"s", acceptor.local_endpoint().port()}}});
    http::ServerLimits limits;
    limits.bodyBytes = 64 * 1024 * 1024;
    rig.server.setLimits(limits);
    const std::string body(32 * 1024 * 1024, 'x');
    LONGS_EQUAL(413, rig.reply("POST", "/book/1", "big", {}, body).status);
    LONGS_EQUAL(413, rig.reply("POST", "/book/1", "big", {}, body).status);
    LONGS_EQUAL(2, connections);
}

LOOP_GROUP(EntryIdentify);

TEST(EntryIdentify, LongestMatchingPrefixOfTheHostSelectsTheRoute)
{
    RawEndpoint engine(loop(), respondingWith("ok"));
    EntryRig rig(loop(), {{"e1", {"s", engine.port}}});
    LONGS_EQUAL(404, rig.reply("GET", "/elsewhere/1", "a1").status);
    LONGS_EQUAL(404, rig.reply("GET", "/book", "a2").status);
    LONGS_EQUAL(0, engine.seen.size());
    LONGS_EQUAL(200, rig.reply("GET", "/book/deep/1", "a3").status);
    LONGS_EQUAL(404, std::get<http::Reply>(loop().run(rig.send("GET", "/book/1", {{"Host", "other.example"}, {"X-Api-Key", "key-n"}}, ""))).status);
}

TEST(EntryIdentify, UnknownKeyIsRejectedUnlessTheRouteIsPublic)
{
    RawEndpoint engine(loop(), respondingWith("ok"));
    EntryRig rig(loop(), {{"e1", {"s", engine.port}}});
    const auto status = [&](const std::string &target, http::Headers headers) {
        headers.emplace_back("Host", "H.example:8080");
        headers.emplace_back("Yuccasaddle-Attempt-Id", "a1");
        return std::get<http::Reply>(loop().run(rig.send("POST", target, headers, ""))).status;
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
    RawEndpoint engine(loop(), respondingWith("ok"));
    EntryRig rig(loop(), {{"e1", {"s", engine.port}}});
    LONGS_EQUAL(200, rig.reply("POST", "/book/1", "a1").status);
    auto revoked = entryConfiguration(7);
    revoked["tenants"][0]["api_keys"] = nlohmann::json::array();
    rig.configure(revoked);
    LONGS_EQUAL(401, rig.reply("POST", "/book/1", "a2").status);
    rig.configure(entryConfiguration(3));
    LONGS_EQUAL(401, rig.reply("POST", "/book/1", "a3").status);
}

TEST(EntryIdentify, UnknownRouteOrKeyIsRetryableWhileTheStoreIsSilent)
{
    EntryRig rig(loop(), {});
    const auto unknownKey = [&](const std::string &id) {
        http::Headers headers{{"Host", "h.example"}, {"Yuccasaddle-Attempt-Id", id}, {"X-Api-Key", "key-new"}};
        return std::get<http::Reply>(loop().run(rig.send("GET", "/remind/1", headers, "")));
    };
    LONGS_EQUAL(401, unknownKey("a1").status);
    LONGS_EQUAL(404, rig.reply("GET", "/nowhere/", "a2").status);
    rig.published.noteContact(Clock::now() - std::chrono::seconds(4));
    const auto asked = unknownKey("a3");
    LONGS_EQUAL(503, asked.status);
    CHECK(!asked.header("Retry-After").empty());
    LONGS_EQUAL(503, rig.reply("GET", "/nowhere/", "a4").status);
    rig.published.noteContact(Clock::now());
    LONGS_EQUAL(401, unknownKey("a5").status);
}

TEST(EntryIdentify, RequestWithoutAConfigurationGetsRetryAfter)
{
    router::RoutingTable table;
    entry::Published published(table);
    limits::Admission admission;
    quarantine::RequestQuarantine quarantine;
    entry::Gateway<platform::CallerDialect> gateway(entry::GatewayParts{published, table, admission, quarantine});
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
    RawEndpoint engine(loop(), [](tcp::socket &socket, const SeenRequest &request) -> Task<void> {
        co_await sendBytes(socket, signedAnswer("somebody", "not yours") + signedAnswer(idOf(request), "mine"));
    });
    EntryRig rig(loop(), {{"e1", {"s", engine.port}}});
    const auto reply = rig.reply("POST", "/book/1", "a1");
    STRCMP_EQUAL("mine", reply.body.c_str());
    rig.reply("POST", "/book/1", "a2");
    LONGS_EQUAL(2, engine.connections); // a connection that delivered another request's response is not reused
}

TEST(EntryResponse, BytesAfterACompleteResponseAreDiscarded)
{
    RawEndpoint engine(loop(), [](tcp::socket &socket, const SeenRequest &request) -> Task<void> {
        co_await sendBytes(socket, signedAnswer(idOf(request), "mine") + signedAnswer(idOf(request), "again"));
    });
    EntryRig rig(loop(), {{"e1", {"s", engine.port}}});
    STRCMP_EQUAL("mine", rig.reply("POST", "/book/1", "a1").body.c_str());
    STRCMP_EQUAL("mine", rig.reply("POST", "/book/1", "a2").body.c_str());
    LONGS_EQUAL(2, engine.connections);
}

TEST(EntryResponse, UnsignedOrEncodedSuccessIsNotRelayed)
{
    int answers = 0;
    RawEndpoint engine(loop(), [&](tcp::socket &socket, const SeenRequest &request) -> Task<void> {
        const std::string head = "HTTP/1.1 200 OK\r\nYuccasaddle-Attempt-Id: " + idOf(request) + "\r\nContent-Length: 2\r\n";
        std::string answer = head + "\r\nhi";
        if (++answers == 2) {
            answer = head + "Yuccasaddle-Response-Signature: s\r\nContent-Encoding: gzip\r\n\r\nhi";
        }
        co_await sendBytes(socket, answer);
    });
    EntryRig rig(loop(), {{"e1", {"s", engine.port}}});
    LONGS_EQUAL(502, rig.reply("POST", "/book/1", "a1").status);
    LONGS_EQUAL(502, rig.reply("POST", "/book/1", "a2").status);
}

TEST(EntryResponse, TruncatedResponseIsNotRelayedAsComplete)
{
    RawEndpoint engine(loop(), [](tcp::socket &socket, const SeenRequest &request) -> Task<void> {
        std::string answer = signedAnswer(idOf(request), "a whole answer");
        co_await sendBytes(socket, answer.substr(0, answer.size() - 4));
        socket.close();
    });
    EntryRig rig(loop(), {{"e1", {"s", engine.port}}});
    LONGS_EQUAL(502, rig.reply("POST", "/book/1", "a1").status);
    LONGS_EQUAL(1, engine.seen.size());
}

TEST(EntryResponse, ResponseWithoutLengthEndsAtConnectionCloseButNotAtReset)
{
    bool reset = false;
    RawEndpoint engine(loop(), [&](tcp::socket &socket, const SeenRequest &request) -> Task<void> {
        co_await sendBytes(socket, "HTTP/1.1 200 OK\r\nYuccasaddle-Response-Signature: s\r\nYuccasaddle-Attempt-Id: " + idOf(request) + "\r\n\r\nall of it");
        if (reset) {
            co_await sleepFor(Millis(20)); // the bytes must arrive before the reset
            resetConnection(socket);
        } else {
            socket.close();
        }
    });
    EntryRig rig(loop(), {{"e1", {"s", engine.port}}});
    const auto whole = rig.reply("POST", "/book/1", "a1");
    LONGS_EQUAL(200, whole.status);
    STRCMP_EQUAL("all of it", whole.body.c_str());
    reset = true;
    LONGS_EQUAL(502, rig.reply("POST", "/book/1", "a2").status);
}

TEST(EntryResponse, FailureResponseOfAnEngineIsRelayedUnchanged)
{
    RawEndpoint engine(loop(), respondingWith("it broke", "500 Internal Server Error"));
    EntryRig rig(loop(), {{"e1", {"s", engine.port}}});
    const auto reply = rig.reply("POST", "/book/1", "a1");
    LONGS_EQUAL(500, reply.status);
    STRCMP_EQUAL("it broke", reply.body.c_str());
    STRCMP_EQUAL("sig-a1", reply.header("Yuccasaddle-Response-Signature").c_str());
}

LOOP_GROUP(EntryAtMostOnce);

TEST(EntryAtMostOnce, NonIdempotentRequestIsNotRetriedAfterItMayHaveRun)
{
    RawEndpoint first(loop(), resetting());
    RawEndpoint second(loop(), resetting());
    EntryRig rig(loop(), {{"e1", {"s", first.port}}, {"e2", {"s", second.port}}});
    LONGS_EQUAL(502, rig.reply("POST", "/book/1", "a1").status); // 502 makes no promise about execution
    LONGS_EQUAL(1, first.seen.size() + second.seen.size());
}

TEST(EntryAtMostOnce, NonIdempotentRequestIsNotRetriedWhenItsKeepAliveConnectionBreaks)
{
    int answered = 0;
    const auto once = [&](tcp::socket &socket, const SeenRequest &request) -> Task<void> {
        if (++answered == 1) {
            co_await sendBytes(socket, signedAnswer(idOf(request), "ok"));
        } else {
            resetConnection(socket);
        }
    };
    RawEndpoint engine(loop(), once);
    EntryRig rig(loop(), {{"e1", {"s", engine.port}}});
    LONGS_EQUAL(200, rig.reply("POST", "/book/1", "a1").status);
    LONGS_EQUAL(502, rig.reply("POST", "/book/1", "a2").status);
    LONGS_EQUAL(2, engine.seen.size());
}

TEST(EntryAtMostOnce, NonIdempotentRequestsUseNewConnectionsAfterAKeepAliveConnectionBroke)
{
    // An endpoint that drops its idle connections: the second request on each connection is reset.
    std::map<std::string, int> onConnection;
    RawEndpoint engine(loop(), [&](tcp::socket &socket, const SeenRequest &request) -> Task<void> {
        if (++onConnection[request.connection] == 1) {
            co_await sendBytes(socket, signedAnswer(idOf(request), "ok"));
        } else {
            resetConnection(socket);
        }
    });
    EntryRig rig(loop(), {{"e1", {"s", engine.port}}});
    LONGS_EQUAL(200, rig.reply("GET", "/remind/1", "a1").status);
    LONGS_EQUAL(200, rig.reply("GET", "/remind/1", "a2").status); // sent again on a new connection
    LONGS_EQUAL(200, rig.reply("POST", "/book/1", "a3").status);
    LONGS_EQUAL(200, rig.reply("POST", "/book/1", "a4").status);
}

TEST(EntryAtMostOnce, ShedRequestIsRetriedElsewhereBeforeItIsRejected)
{
    RawEndpoint full(loop(), shedding());
    RawEndpoint other(loop(), respondingWith("done"));
    EntryRig rig(loop(), {{"e1", {"s", full.port}}, {"e2", {"s", other.port}}});
    for (int i = 0; i < 6; ++i) {
        LONGS_EQUAL(200, rig.reply("POST", "/book/1", "a" + std::to_string(i)).status);
    }
    EntryRig alone(loop(), {{"e1", {"s", full.port}}});
    const auto refused = alone.reply("POST", "/book/1", "b1");
    LONGS_EQUAL(503, refused.status);
    CHECK(std::stod(refused.header("Retry-After")) > 0);
}

TEST(EntryAtMostOnce, RequestIsRetriedWhenAnotherInstanceHasTheAddress)
{
    RawEndpoint reused(loop(), [](tcp::socket &socket, const SeenRequest &) -> Task<void> {
        co_await sendBytes(socket, "HTTP/1.1 421 Misdirected Request\r\nYuccasaddle-Instance-Id: new\r\nContent-Length: 0\r\n\r\n");
    });
    RawEndpoint engine(loop(), respondingWith("done"));
    EntryRig rig(loop(), {{"e1", {"s", reused.port}}, {"e2", {"s", engine.port}}});
    for (int i = 0; i < 4; ++i) {
        LONGS_EQUAL(200, rig.reply("POST", "/book/1", "a" + std::to_string(i)).status);
    }
    CHECK(reused.seen.size() <= 1); // the endpoint gets no further requests
}

TEST(EntryAtMostOnce, FailedIdempotentRequestIsRetriedElsewhereUpToMaxAttempts)
{
    RawEndpoint failing(loop(), respondingWith("it broke", "500 Internal Server Error"));
    RawEndpoint resettingEndpoint(loop(), resetting());
    RawEndpoint healthy(loop(), respondingWith("done"));
    EntryRig rig(loop(), {{"e1", {"s", failing.port}}, {"e2", {"s", healthy.port}}});
    for (int i = 0; i < 6; ++i) {
        LONGS_EQUAL(200, rig.reply("GET", "/remind/1", "a" + std::to_string(i)).status);
    }
    EntryRig allFailing(
        loop(), {{"e1", {"s", failing.port}}, {"e2", {"s", resettingEndpoint.port}}, {"e3", {"s", failing.port}}, {"e4", {"s", resettingEndpoint.port}}});
    const auto before = failing.seen.size() + resettingEndpoint.seen.size();
    allFailing.reply("GET", "/remind/1", "b1");
    CHECK(failing.seen.size() + resettingEndpoint.seen.size() - before <= 2); // max_attempts
}

// Guards against a false promise to the caller: the request was sent on a keep-alive connection
// that broke, and the new connection was refused. The request may have run on the first one.
TEST(EntryAtMostOnce, RequestLostOnAKeepAliveConnectionIsNotReportedAsNotRun)
{
    RawEndpoint *self = nullptr;
    RawEndpoint endpoint(loop(), [&](tcp::socket &socket, const SeenRequest &request) -> Task<void> {
        if (self->seen.size() == 1) {
            co_await sendBytes(socket, signedAnswer(idOf(request), "ok"));
            co_return;
        }
        self->stopListening();
        resetConnection(socket);
    });
    self = &endpoint;
    EntryRig rig(loop(), {{"e1", {"s", endpoint.port}}});
    LONGS_EQUAL(200, rig.reply("GET", "/remind/1", "a1").status);
    LONGS_EQUAL(502, rig.reply("GET", "/remind/2", "a2").status);
    LONGS_EQUAL(2, endpoint.seen.size());
}

TEST(EntryAtMostOnce, RetriesStayWithinTheRetryBudget)
{
    RawEndpoint failing(loop(), respondingWith("it broke", "500 Internal Server Error"));
    EntryRig rig(loop(), {{"e1", {"s", failing.port}}, {"e2", {"s", failing.port}}}, 208);
    const int requests = 100;
    for (int i = 0; i < requests; ++i) {
        rig.reply("GET", "/remind/1", "a" + std::to_string(i));
    }
    // The minimum reserve of each router must fit into the slack of a deployment of 84 routers (208
    // extra arrivals).
    const double allowed = rig.settings.retryRatio * requests + 208.0 / 84;
    CHECK(static_cast<double>(failing.seen.size()) <= requests + allowed);
}

LOOP_GROUP(EntryStreams);

TEST(EntryStreams, EventsArriveInOrderAndComplete)
{
    RawEndpoint engine(loop(), streaming(5));
    EntryRig rig(loop(), {{"e1", {"m", engine.port}}});
    const auto reply = rig.reply("POST", "/chat/1", "a1");
    LONGS_EQUAL(200, reply.status);
    STRCMP_EQUAL(events(5).c_str(), reply.body.c_str());
    STRCMP_EQUAL("sig-a1", reply.header("Yuccasaddle-Response-Signature").c_str());
}

TEST(EntryStreams, ResumableStreamContinuesElsewhereAfterTheLastCompleteEvent)
{
    RawEndpoint cutting(loop(), streaming(5, 2));
    RawEndpoint healthy(loop(), streaming(5));
    EntryRig rig(loop(), {{"e1", {"m", cutting.port}}, {"e2", {"m", healthy.port}}});
    for (int i = 0; i < 6; ++i) {
        const auto reply = rig.reply("POST", "/chat/1", "a" + std::to_string(i));
        STRCMP_EQUAL(events(5).c_str(), reply.body.c_str());
    }
    CHECK(!cutting.seen.empty());
    const bool resumed = std::any_of(healthy.seen.begin(), healthy.seen.end(), [](const SeenRequest &r) {
        return r.header("Last-Event-Id") == "2";
    });
    CHECK(resumed);
}

TEST(EntryStreams, BrokenNonResumableStreamDoesNotLookComplete)
{
    RawEndpoint cutting(loop(), streaming(5, 2));
    EntryRig rig(loop(), {{"e1", {"m", cutting.port}}, {"e2", {"m", cutting.port}}});
    const auto result = rig.call("POST", "/once/1", "a1");
    CHECK(std::holds_alternative<http::CallError>(result));
    LONGS_EQUAL(1, cutting.seen.size());
}

TEST(EntryStreams, LastEventIdOfTheCallerIsForwarded)
{
    RawEndpoint engine(loop(), streaming(5));
    EntryRig rig(loop(), {{"e1", {"m", engine.port}}});
    const auto reply = rig.reply("POST", "/chat/1", "a1", {{"Last-Event-Id", "3"}});
    STRCMP_EQUAL("3", engine.seen[0].header("Last-Event-Id").c_str());
    STRCMP_EQUAL((eventNumber(4) + eventNumber(5)).c_str(), reply.body.c_str());
}

TEST(EntryStreams, DisconnectOfTheCallerClosesTheEngineConnection)
{
    Signal connectionClosed;
    RawEndpoint engine(loop(), [&](tcp::socket &socket, const SeenRequest &request) -> Task<void> {
        co_await sendBytes(socket, streamHead(idOf(request)) + chunk(eventNumber(1)));
        char byte;
        boost::system::error_code ec;
        co_await socket.async_read_some(asio::buffer(&byte, 1), asio::redirect_error(asio::use_awaitable, ec));
        CHECK(ec.failed());
        connectionClosed.fire();
    });
    EntryRig rig(loop(), {{"e1", {"m", engine.port}}});
    tcp::socket caller(loop().io);
    caller.connect({asio::ip::make_address("127.0.0.1"), rig.port});
    auto request = http::makeRequest("POST", "/chat/1", "", EntryRig::caller("a1"));
    http::bhttp::write(caller, request);
    loop().until([&] {
        return !engine.seen.empty();
    });
    caller.close();
    loop().until([&] {
        return connectionClosed.fired() && rig.server.inflight() == 0;
    });
    CHECK(connectionClosed.fired());
}

LOOP_GROUP(EntryPromptHome);

TEST(EntryPromptHome, RequestsWithASharedPromptGoToOneEngine)
{
    RawEndpoint a(loop(), streaming(1));
    RawEndpoint b(loop(), streaming(1));
    RawEndpoint c(loop(), streaming(1));
    EntryRig rig(loop(), {{"e1", {"m", a.port}}, {"e2", {"m", b.port}}, {"e3", {"m", c.port}}});
    for (int i = 0; i < 12; ++i) {
        const std::string own = "f" + std::to_string(i);
        rig.reply("POST", "/chat/1", "a" + std::to_string(i), {{"Yuccasaddle-Prompt-Prefix", "aa:500,beef:9000," + own + ":100"}});
    }
    const auto most = std::max({a.seen.size(), b.seen.size(), c.seen.size()});
    LONGS_EQUAL(12, most);
}

TEST(EntryPromptHome, EngineThatTakesOverAPromptIsToldItsHolder)
{
    RawEndpoint a(loop(), streaming(1));
    RawEndpoint b(loop(), streaming(1));
    EntryRig rig(loop(), {{"e1", {"m", a.port}}, {"e2", {"m", b.port}}});
    const http::Headers prompt{{"Yuccasaddle-Prompt-Prefix", "aa:500,beef:9000,f1:100"}};
    rig.reply("POST", "/chat/1", "a1", prompt);
    const bool homeIsA = !a.seen.empty();
    auto &home = homeIsA ? a : b;
    auto &other = homeIsA ? b : a;
    STRCMP_EQUAL("(none)", home.seen[0].header("Kv-Fetch").c_str());
    // The home endpoint starts to leave: it gets no more requests, but the prompt can still be
    // fetched from it.
    std::map<std::string, Endpoint> listed;
    for (const auto &e : rig.table.endpoints()) {
        Endpoint changed = e;
        changed.state = e.port == home.port ? EndpointState::Leaving : EndpointState::Live;
        listed.emplace(e.id, changed);
    }
    rig.published.replaceEndpoints(listed);
    rig.reply("POST", "/chat/1", "a2", prompt);
    LONGS_EQUAL(1, home.seen.size());
    LONGS_EQUAL(1, other.seen.size());
    STRCMP_EQUAL(("127.0.0.1:" + std::to_string(home.port)).c_str(), other.seen[0].header("Kv-Fetch").c_str());
}
