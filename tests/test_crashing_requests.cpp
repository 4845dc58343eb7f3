// Guards against a request that crashes one endpoint after the other. The endpoint that runs the
// request crashes, and with it all its other streams and calls; the caller repeats the request
// under a new id at another router, which knows nothing of it and sends it to the next endpoint.
// This happens when crashes are counted by endpoint and request id only, because both change with
// each repeat.
#include "entry_fixture.h"

#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;

namespace
{

/// Crashes under one request that may be coincidence, and repeats that may still reach endpoints
/// after them. The users' requirements allow these numbers.
constexpr std::size_t maxCrashes = 3;
constexpr std::size_t maxRepeats = 3;

constexpr const char *crashingBody = "{\"ends\": true}";
constexpr const char *slowBody = "{\"slow\": true}";

/// Endpoints that each crash on a request with a given body.
class CrashingPool
{
public:
    CrashingPool(Loop &loop, std::size_t size, const std::string &service)
        : m_streams(service == "m")
    {
        for (std::size_t n = 0; n < size; ++n) {
            m_endpoints.push_back(std::make_unique<ScriptedEndpoint>(loop, [this, n](tcp::socket &socket, const ReceivedRequest &request) {
                return answer(n, socket, request);
            }));
            places["e" + std::to_string(n)] = {service, m_endpoints.back()->port};
        }
    }

    /// Selects the body that crashes endpoints from now on.
    void crashOn(const std::string &body)
    {
        m_crashingBody = body;
    }

    /// Number of requests with such a body that reached an endpoint.
    std::size_t received = 0;
    /// Number of endpoints that have crashed.
    std::size_t crashed = 0;
    /// Number of streams with the slow body in progress.
    int slowRunning = 0;
    std::map<std::string, std::pair<std::string, uint16_t>> places; ///< service and port, by endpoint id

private:
    Task<void> answer(std::size_t n, tcp::socket &socket, const ReceivedRequest &request)
    {
        const std::string id = request.header("Yuccasaddle-Attempt-Id");
        if (request.body == m_crashingBody) {
            ++received;
            ++crashed;
            m_crashed.insert(n);
            m_endpoints[n]->stopListening();
            if (m_streams) {
                co_await sendBytes(socket, streamHead(id) + chunk(eventNumber(1)) + chunk("id: 2\nda"));
            }
            resetConnection(socket);
        } else if (m_streams) {
            co_await stream(n, socket, request);
        } else {
            co_await sendBytes(socket, signedAnswer(id, "ok"));
        }
    }

    // Sends a stream, which breaks if its endpoint crashes. A slow one takes about 100 ms.
    Task<void> stream(std::size_t n, tcp::socket &socket, const ReceivedRequest &request)
    {
        constexpr int lastEvent = 10;
        const std::string resume = request.header("Last-Event-Id");
        co_await sendBytes(socket, streamHead(request.header("Yuccasaddle-Attempt-Id")));
        ++slowRunning;
        for (int event = resume == "(none)" ? 1 : std::stoi(resume) + 1; event <= lastEvent; ++event) {
            co_await sendBytes(socket, chunk(eventNumber(event)));
            co_await sleepFor(Millis(request.body == slowBody ? 10 : 0));
            if (m_crashed.count(n)) {
                --slowRunning;
                resetConnection(socket);
                co_return;
            }
        }
        --slowRunning;
        co_await sendBytes(socket, "0\r\n\r\n");
    }

    bool m_streams;
    std::string m_crashingBody = crashingBody;
    std::set<std::size_t> m_crashed;
    std::vector<std::unique_ptr<ScriptedEndpoint>> m_endpoints;
};

Task<bool> afterDelay(Millis time)
{
    co_await sleepFor(time);
    co_return true;
}

} // namespace

LOOP_GROUP(CrashingRequest);

TEST(CrashingRequest, NonRepeatableRequestThatCrashesEndpointsIsQuarantined)
{
    CrashingPool pool(loop(), 12, "m");
    EntryFixture fixture(loop(), pool.places);
    for (std::size_t n = 0; n < pool.places.size(); ++n) {
        fixture.call("POST", "/once/1", "a" + std::to_string(n), {}, crashingBody);
        loop().run(afterDelay(Millis(50))); // the caller repeats the request after a pause
    }
    CHECK_TEXT(pool.received <= maxCrashes + maxRepeats, StringFromFormat("%d reached endpoints", int(pool.received)).asCharString());
}

TEST(CrashingRequest, RepeatableRequestThatCrashesEndpointsIsQuarantined)
{
    CrashingPool pool(loop(), 12, "m");
    EntryFixture fixture(loop(), pool.places);
    for (std::size_t n = 0; n < pool.places.size(); ++n) {
        fixture.call("POST", "/chat/1", "a" + std::to_string(n), {}, crashingBody);
        loop().run(afterDelay(Millis(50)));
    }
    CHECK_TEXT(pool.received <= maxCrashes + maxRepeats, StringFromFormat("%d reached endpoints", int(pool.received)).asCharString());
}

namespace
{

/// Entry routers that exchange what they know of crashes; the test triggers each exchange.
class PeerRouters
{
public:
    PeerRouters(Loop &loop, std::size_t size, const CrashingPool &pool)
    {
        for (std::size_t n = 0; n < size; ++n) {
            m_routers.push_back(std::make_unique<EntryFixture>(loop, pool.places));
        }
    }
    EntryFixture &operator[](std::size_t n)
    {
        return *m_routers[n % m_routers.size()];
    }
    void exchangeNews()
    {
        const auto now = Clock::now();
        for (auto &from : m_routers) {
            const auto updates = from->quarantine.takeUpdates(100);
            for (auto &to : m_routers) {
                for (const auto &record : updates.records) {
                    to->quarantine.merge(record, now);
                }
                for (const auto &suspicion : updates.suspicions) {
                    to->quarantine.merge(suspicion, now);
                }
                for (const auto &answer : updates.answers) {
                    to->quarantine.merge(answer);
                }
            }
        }
    }

private:
    std::vector<std::unique_ptr<EntryFixture>> m_routers;
};

} // namespace

// A keep-alive connection that breaks before the first byte of the response looks like one that was
// idle for too long, so the request is sent again on a new connection. That connection is refused,
// which says nothing of the first send.
TEST(CrashingRequest, CrashesOnKeepAliveConnectionsQuarantineAfterThreeEndpoints)
{
    CrashingPool pool(loop(), 12, "s");
    EntryFixture fixture(loop(), pool.places);
    for (std::size_t n = 0; n < 40; ++n) {
        fixture.reply("POST", "/remind/warm" + std::to_string(n), "w" + std::to_string(n), {}, "{}");
    }
    for (std::size_t n = 0; n < 12; ++n) {
        fixture.call("POST", "/remind/1", "a" + std::to_string(n), {}, crashingBody);
        loop().run(afterDelay(Millis(20)));
    }
    LONGS_EQUAL(maxCrashes, pool.crashed);
}

TEST(CrashingRequest, CrashesSeenByDifferentRoutersQuarantineAfterThreeEndpoints)
{
    std::vector<std::unique_ptr<CrashingPool>> pools; // kept alive: their routers still watch endpoints
    std::vector<std::unique_ptr<PeerRouters>> fleets;
    for (const std::string path : {"/book/1", "/remind/1", "/chat/1", "/once/1", "/book/deep/1"}) {
        const bool streams = path.starts_with("/chat") || path.starts_with("/once");
        pools.push_back(std::make_unique<CrashingPool>(loop(), 12, streams ? "m" : "s"));
        fleets.push_back(std::make_unique<PeerRouters>(loop(), 4, *pools.back()));
        auto &routers = *fleets.back();
        http::Reply last;
        for (std::size_t n = 0; n < 16; ++n) {
            last = routers[n].reply("POST", path, "a" + std::to_string(n), {}, crashingBody);
            loop().run(afterDelay(Millis(20)));
            routers.exchangeNews();
        }
        CHECK_TEXT(pools.back()->crashed == maxCrashes, (path + ": " + std::to_string(pools.back()->crashed) + " crashed").c_str());
        LONGS_EQUAL(503, last.status);
        STRCMP_EQUAL("quarantined", last.body.c_str());
        CHECK(std::stod(last.header("Retry-After")) > 3000); // seconds until the quarantine ends
    }
}

TEST(CrashingRequest, OtherContentOfTheSameWorkspaceIsServed)
{
    CrashingPool pool(loop(), 8, "m");
    EntryFixture fixture(loop(), pool.places);
    for (int n = 0; n < 5; ++n) {
        fixture.call("POST", "/once/1", "a" + std::to_string(n), {}, crashingBody);
        loop().run(afterDelay(Millis(20)));
    }
    LONGS_EQUAL(503, fixture.reply("POST", "/once/1", "b1", {}, crashingBody).status);
    const auto before = pool.received;
    fixture.call("POST", "/once/2", "b2", {}, crashingBody); // another path is another request, which may crash endpoints as well
    LONGS_EQUAL(before + 1, pool.received);
    LONGS_EQUAL(200, fixture.reply("POST", "/once/1", "b3", {}, "{}").status);
    LONGS_EQUAL(200, fixture.reply("POST", "/chat/1", "b4", {}, "{}").status);
}

// A repeat may have other headers and another spelling of the host; workspace and content are the
// same.
TEST(CrashingRequest, RepeatWithOtherHeadersIsRecognizedByItsContent)
{
    CrashingPool pool(loop(), 8, "m");
    EntryFixture fixture(loop(), pool.places);
    for (int n = 0; n < 3; ++n) {
        const std::string id = "a" + std::to_string(n);
        fixture.call("POST", "/once/1", id, {{"Yuccasaddle-Deadline-Ms", std::to_string(3000 + n)}, {"X-Trace", id}}, crashingBody);
        loop().run(afterDelay(Millis(20)));
    }
    auto headers = EntryFixture::caller("b1");
    headers[0].second = "H.example:80";
    const auto reply = loop().run(fixture.send("POST", "/once/1", headers, crashingBody));
    LONGS_EQUAL(503, std::get<http::Reply>(reply).status);
    headers[2].second = "key-s"; // another workspace, whose requests have crashed nothing
    loop().run(fixture.send("POST", "/once/1", headers, crashingBody));
    LONGS_EQUAL(4, pool.received);
}

TEST(CrashingRequest, BrokenConnectionToALiveEndpointDoesNotQuarantine)
{
    std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints;
    std::map<std::string, std::pair<std::string, uint16_t>> places;
    std::size_t received = 0;
    for (int n = 0; n < 4; ++n) {
        endpoints.push_back(std::make_unique<ScriptedEndpoint>(loop(), [&](tcp::socket &socket, const ReceivedRequest &) -> Task<void> {
            ++received;
            resetConnection(socket);
            co_return;
        }));
        places["e" + std::to_string(n)] = {"s", endpoints.back()->port};
    }
    EntryFixture fixture(loop(), places);
    for (int n = 0; n < 8; ++n) {
        LONGS_EQUAL(502, fixture.reply("POST", "/book/1", "a" + std::to_string(n)).status);
        loop().run(afterDelay(Millis(200))); // enough time to detect that the endpoint is alive
    }
    LONGS_EQUAL(8, received);
    LONGS_EQUAL(0, fixture.quarantine.quarantinedCount(Clock::now()));
}

// The cost for a harmless request: after three broken responses in a row, it waits until the router
// knows whether the endpoints are alive.
TEST(CrashingRequest, ThreeBrokenResponsesInARowDelayTheRequestUntilTheCauseIsKnown)
{
    std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints;
    std::map<std::string, std::pair<std::string, uint16_t>> places;
    bool breaks = true;
    for (int n = 0; n < 4; ++n) {
        endpoints.push_back(std::make_unique<ScriptedEndpoint>(loop(), [&](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
            if (breaks) {
                resetConnection(socket);
                co_return;
            }
            co_await sendBytes(socket, signedAnswer(request.header("Yuccasaddle-Attempt-Id"), "ok"));
        }));
        places["e" + std::to_string(n)] = {"s", endpoints.back()->port};
    }
    EntryFixture fixture(loop(), places);
    http::Reply last;
    for (int n = 0; n < 20 && last.status != 503; ++n) {
        last = fixture.reply("POST", "/remind/1", "a" + std::to_string(n));
    }
    LONGS_EQUAL(503, last.status);
    CHECK(std::stod(last.header("Retry-After")) <= 0.5); // seconds
    breaks = false;
    loop().run(afterDelay(Millis(500)));
    LONGS_EQUAL(200, fixture.reply("POST", "/remind/1", "b").status);
}

TEST(CrashingRequest, CrashOfALeavingEndpointDoesNotQuarantine)
{
    CrashingPool pool(loop(), 6, "s");
    EntryFixture fixture(loop(), pool.places);
    for (int n = 0; n < 6; ++n) {
        // Each endpoint is listed as leaving while it runs its last request.
        std::optional<http::CallResult<http::Reply>> answered;
        loop().start(fixture.send("POST", "/book/1", EntryFixture::caller("a" + std::to_string(n)), crashingBody), answered);
        loop().runUntil([&] {
            return pool.received == static_cast<std::size_t>(n + 1) || answered;
        });
        for (const auto &endpoint : fixture.table.endpoints()) {
            fixture.table.recordLeaving(endpoint, true, Clock::now());
        }
        loop().runUntil([&] {
            return answered.has_value();
        });
        loop().run(afterDelay(Millis(10)));
        for (const auto &endpoint : fixture.table.endpoints()) {
            fixture.table.recordLeaving(endpoint, false, Clock::now());
        }
    }
    LONGS_EQUAL(0, fixture.quarantine.quarantinedCount(Clock::now()));
}

// The cost for a harmless request: three endpoints that crash under it in a row, without a complete
// response in between, quarantine it. A complete response within the last minute prevents that.
TEST(CrashingRequest, RecentlyAnsweredContentIsServedWhenManyEndpointsCrashAtOnce)
{
    CrashingPool pool(loop(), 14, "s");
    EntryFixture fixture(loop(), pool.places);
    LONGS_EQUAL(200, fixture.reply("POST", "/remind/1", "before", {}, "{}").status);
    for (std::size_t n = 0; n < 5; ++n) {
        pool.crashOn("{}");
        fixture.call("POST", "/remind/1", "a" + std::to_string(n), {}, "{}");
        loop().run(afterDelay(Millis(20)));
    }
    pool.crashOn(crashingBody);
    CHECK(pool.crashed >= 4);
    LONGS_EQUAL(200, fixture.reply("POST", "/remind/1", "after", {}, "{}").status);
}

TEST(CrashingRequest, ConcurrentRequestResumesElsewhereAndIsNotQuarantined)
{
    CrashingPool pool(loop(), 8, "m");
    EntryFixture fixture(loop(), pool.places);
    for (int n = 0; n < 4; ++n) {
        std::optional<http::CallResult<http::Reply>> beside;
        loop().start(fixture.send("POST", "/chat/9", EntryFixture::caller("b" + std::to_string(n)), slowBody), beside);
        loop().runUntil([&] {
            return pool.slowRunning > 0;
        });
        fixture.call("POST", "/once/1", "a" + std::to_string(n), {}, crashingBody);
        loop().runUntil([&] {
            return beside.has_value();
        });
        CHECK(std::holds_alternative<http::Reply>(*beside));
        LONGS_EQUAL(200, std::get<http::Reply>(*beside).status);
        loop().run(afterDelay(Millis(20)));
    }
    CHECK(pool.crashed >= maxCrashes);
    LONGS_EQUAL(1, fixture.quarantine.quarantinedCount(Clock::now())); // only the request that crashes endpoints
}

LOOP_GROUP(CrashingChat);

// The router's native interface uses the same pipeline; there, routers share crash records through the
// store.
TEST(CrashingChat, ThreeCrashedEnginesQuarantineAChat)
{
    std::size_t received = 0;
    std::vector<std::unique_ptr<ScriptedEndpoint>> engines;
    std::vector<Endpoint> listed;
    for (std::size_t n = 0; n < 8; ++n) {
        engines.push_back(std::make_unique<ScriptedEndpoint>(loop(), [&, n](tcp::socket &socket, const ReceivedRequest &) -> Task<void> {
            ++received;
            engines[n]->stopListening();
            resetConnection(socket);
            co_return;
        }));
        listed.push_back(endpointAt("e" + std::to_string(n), engines.back()->port, "p", EndpointKind::Engine));
    }
    RouterFixture fixture(loop(), listed);
    http::CallResult<http::Reply> last;
    for (int n = 0; n < 6; ++n) {
        last = fixture.chat(streamBody);
        loop().run(afterDelay(Millis(20)));
    }
    CHECK(received <= maxCrashes + 1);
    const auto &reply = std::get<http::Reply>(last);
    LONGS_EQUAL(503, reply.status);
    STRCMP_EQUAL("not_run", outcomeOf(reply).c_str());
}
