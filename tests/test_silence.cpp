// Guards against requests that end without a whole response because a sound endpoint fell silent for a while, and
// against verdicts on such an endpoint.
#include "entry/endpoint_activity.h"
#include "entry_fixture.h"

#include <deque>

#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;

namespace
{

constexpr Millis pauseTime{700}; ///< longer than the silence after which a router looks for another endpoint, shorter than one that counts as a failure
constexpr Millis noticedPause{200}; ///< silence from which on a test's endpoint is at fault
constexpr int lastEvent = 4;
constexpr int pausedAfter = 2; ///< event of a stream after which its endpoint falls silent

/// An endpoint that falls silent before its response or in the middle of a stream, and goes on.
class PausingEndpoint
{
public:
    explicit PausingEndpoint(Loop &loop, std::string version = "v1")
        : endpoint(loop,
                   [this](tcp::socket &socket, const ReceivedRequest &request) {
                       return respond(socket, request);
                   })
        , m_version(std::move(version))
    {
    }

    Endpoint entry(const std::string &id, const std::string &service) const
    {
        auto entry = endpointAt(id, endpoint.port, service, EndpointKind::Service);
        entry.version = m_version;
        return entry;
    }

    ScriptedEndpoint endpoint;
    Millis pause{0};
    bool sheds = false; ///< rejects all requests
    Signal paused; ///< the first pause has begun

private:
    Task<void> respond(tcp::socket &socket, const ReceivedRequest &request)
    {
        const std::string id = request.header("Yuccasaddle-Attempt-Id");
        if (paused.fired()) {
            co_await fallSilent();
        }
        if (sheds) {
            co_await sendBytes(socket, "HTTP/1.1 503 Full\r\nYuccasaddle-Attempt-Id: " + id + "\r\nYuccasaddle-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            co_return;
        }
        if (request.head.find(" /chat/") == std::string::npos) {
            co_await fallSilent();
            co_await sendBytes(socket, signedAnswer(id, "whole"));
            co_return;
        }
        const std::string resume = request.header("Last-Event-Id");
        co_await sendBytes(socket, streamHead(id));
        for (int event = resume == "(none)" ? 1 : std::stoi(resume) + 1; event <= lastEvent; ++event) {
            if (event == pausedAfter + 1 || paused.fired()) {
                co_await fallSilent();
            }
            co_await sendBytes(socket, chunk(eventNumber(event)));
        }
        co_await sendBytes(socket, "0\r\n\r\n");
    }

    // Holds this response, and all others meanwhile, until the only pause of the endpoint has ended.
    Task<void> fallSilent()
    {
        if (pause == Millis(0)) {
            co_return;
        }
        if (!paused.fired()) {
            m_resumesAt = Clock::now() + pause;
            paused.fire();
        }
        co_await sleepFor(std::max(Clock::duration::zero(), m_resumesAt - Clock::now()));
    }

    Clock::time_point m_resumesAt{};
    std::string m_version;
};

std::string wholeStream()
{
    std::string events;
    for (int event = 1; event <= lastEvent; ++event) {
        events += eventNumber(event);
    }
    return events;
}

entry::GatewayOptions withMaxPause(Millis maxPause)
{
    entry::GatewayOptions options;
    options.maxEndpointPause = maxPause;
    return options;
}

/// Listens, and answers no connection.
class FullBacklog
{
public:
    explicit FullBacklog(Loop &loop)
        : m_acceptor(loop.io)
    {
        m_acceptor.open(tcp::v4());
        m_acceptor.bind(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        m_acceptor.listen(0);
        for (int i = 0; i < 4; ++i) {
            m_waiting.emplace_back(loop.io);
            m_waiting.back().async_connect(m_acceptor.local_endpoint(), [](const boost::system::error_code &) {});
        }
    }
    uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

private:
    tcp::acceptor m_acceptor;
    std::deque<tcp::socket> m_waiting;
};

// A router before the given endpoints "i-0", "i-1", ..., which looks for another endpoint of a stream after 200 ms of silence.
struct SilenceFixture : EntryFixture {
    SilenceFixture(Loop &loop, std::vector<PausingEndpoint *> endpoints, const std::string &service, int64_t retrySlack = 1000, Millis maxPause = noticedPause)
        : EntryFixture(loop, {}, retrySlack, withMaxPause(maxPause))
    {
        auto written = entryConfiguration(2);
        for (auto &route : written["routes"]) {
            route["gap_aim_ms"] = 100;
        }
        configure(written);
        std::map<std::string, Endpoint> listed;
        for (std::size_t i = 0; i < endpoints.size(); ++i) {
            const std::string id = "i-" + std::to_string(i);
            listed.emplace(id, endpoints[i]->entry(id, service));
        }
        published.replaceEndpoints(listed);
    }
};

const http::Headers sharedPrompt{{"Yuccasaddle-Prompt-Prefix", "a1:100,b2:20"}};
constexpr uint64_t sharedPart = 0xa1;

} // namespace

LOOP_GROUP(StreamSilence);

TEST(StreamSilence, PauseOfTheOnlyEndpointDoesNotCutItsStream)
{
    PausingEndpoint first(loop());
    first.pause = pauseTime;
    SilenceFixture router(loop(), {&first}, "m");

    const auto reply = router.reply("POST", "/chat/1", "a1");

    STRCMP_EQUAL(wholeStream().c_str(), reply.body.c_str());
    LONGS_EQUAL(1, first.endpoint.seen.size());
}

TEST(StreamSilence, PauseOfTheOnlyEndpointOfAVersionDoesNotCutItsStream)
{
    PausingEndpoint first(loop());
    PausingEndpoint other(loop(), "v2");
    first.pause = other.pause = pauseTime;
    SilenceFixture router(loop(), {&first, &other}, "m");

    const auto reply = router.reply("POST", "/chat/1", "a1");

    STRCMP_EQUAL(wholeStream().c_str(), reply.body.c_str());
}

TEST(StreamSilence, PauseDoesNotCutAStreamThatMayNotBeRetried)
{
    PausingEndpoint first(loop());
    PausingEndpoint other(loop());
    first.pause = other.pause = pauseTime;
    SilenceFixture router(loop(), {&first, &other}, "m", 0);

    const auto reply = router.reply("POST", "/chat/1", "a1");

    STRCMP_EQUAL(wholeStream().c_str(), reply.body.c_str());
}

TEST(StreamSilence, PauseDoesNotCutAStreamWhoseContentIsWithheld)
{
    PausingEndpoint first(loop());
    PausingEndpoint other(loop());
    first.pause = other.pause = pauseTime;
    SilenceFixture router(loop(), {&first, &other}, "m");
    std::optional<http::CallResult<http::Reply>> result;
    loop().start(router.send("POST", "/chat/1", EntryFixture::caller("a1", sharedPrompt), ""), result);
    loop().runUntil([&] {
        return first.paused.fired() || other.paused.fired();
    });
    for (uint64_t crashed = 1; crashed <= 3; ++crashed) {
        router.quarantine.recordCrash(entry::partKey({sharedPart, 100}), crashed, Clock::now());
    }
    loop().runUntil([&] {
        return result.has_value();
    });

    CHECK(std::holds_alternative<http::Reply>(*result));
    STRCMP_EQUAL(wholeStream().c_str(), std::get<http::Reply>(*result).body.c_str());
}

TEST(StreamSilence, PauseDoesNotCutAStreamWhoseOtherEndpointRefusesConnections)
{
    PausingEndpoint first(loop());
    PausingEndpoint other(loop());
    first.pause = pauseTime;
    SilenceFixture router(loop(), {&first}, "m");
    std::optional<http::CallResult<http::Reply>> result;
    loop().start(router.send("POST", "/chat/1", EntryFixture::caller("a1"), ""), result);
    loop().runUntil([&] {
        return first.paused.fired();
    });
    other.endpoint.stopListening();
    router.published.replaceEndpoints({{"i-0", first.entry("i-0", "m")}, {"i-1", other.entry("i-1", "m")}});
    loop().runUntil([&] {
        return result.has_value();
    });

    CHECK(std::holds_alternative<http::Reply>(*result));
    STRCMP_EQUAL(wholeStream().c_str(), std::get<http::Reply>(*result).body.c_str());
}

TEST(StreamSilence, EndpointThatStaysSilentIsReplaced)
{
    PausingEndpoint first(loop());
    PausingEndpoint other(loop());
    first.pause = std::chrono::seconds(60);
    SilenceFixture router(loop(), {&first}, "m");
    std::optional<http::CallResult<http::Reply>> result;
    loop().start(router.send("POST", "/chat/1", EntryFixture::caller("a1"), ""), result);
    loop().runUntil([&] {
        return first.paused.fired();
    });
    router.published.replaceEndpoints({{"i-0", first.entry("i-0", "m")}, {"i-1", other.entry("i-1", "m")}});
    loop().runUntil([&] {
        return result.has_value();
    });

    CHECK(std::holds_alternative<http::Reply>(*result));
    STRCMP_EQUAL(wholeStream().c_str(), std::get<http::Reply>(*result).body.c_str());
    LONGS_EQUAL(1, other.endpoint.seen.size());
    STRCMP_EQUAL("2", other.endpoint.seen[0].header("Last-Event-Id").c_str());
}

TEST(StreamSilence, StreamStaysAtASilentEndpointWhoseSuccessorMayRejectIt)
{
    PausingEndpoint first(loop());
    PausingEndpoint other(loop());
    first.pause = pauseTime;
    SilenceFixture router(loop(), {&first}, "m", 100); // one retry
    std::optional<http::CallResult<http::Reply>> result;
    loop().start(router.send("POST", "/chat/1", EntryFixture::caller("a1"), ""), result);
    loop().runUntil([&] {
        return first.paused.fired();
    });
    other.sheds = true;
    router.published.replaceEndpoints({{"i-0", first.entry("i-0", "m")}, {"i-1", other.entry("i-1", "m")}});
    loop().runUntil([&] {
        return result.has_value();
    });

    CHECK(std::holds_alternative<http::Reply>(*result));
    STRCMP_EQUAL(wholeStream().c_str(), std::get<http::Reply>(*result).body.c_str());
    LONGS_EQUAL(0, other.endpoint.seen.size());
}

TEST(StreamSilence, StreamThatIsRejectedElsewhereReturnsToItsEndpoint)
{
    PausingEndpoint first(loop());
    PausingEndpoint other(loop());
    first.pause = pauseTime;
    SilenceFixture router(loop(), {&first}, "m", 200); // two retries
    std::optional<http::CallResult<http::Reply>> result;
    loop().start(router.send("POST", "/chat/1", EntryFixture::caller("a1"), ""), result);
    loop().runUntil([&] {
        return first.paused.fired();
    });
    other.sheds = true;
    router.published.replaceEndpoints({{"i-0", first.entry("i-0", "m")}, {"i-1", other.entry("i-1", "m")}});
    loop().runUntil([&] {
        return result.has_value();
    });

    CHECK(std::holds_alternative<http::Reply>(*result));
    STRCMP_EQUAL(wholeStream().c_str(), std::get<http::Reply>(*result).body.c_str());
    LONGS_EQUAL(1, other.endpoint.seen.size());
}

TEST(StreamSilence, PauseOfASoundEndpointMovesNoStream)
{
    PausingEndpoint first(loop());
    PausingEndpoint other(loop());
    first.pause = pauseTime;
    SilenceFixture router(loop(), {&first}, "m", 1000, entry::GatewayOptions().maxEndpointPause);
    std::optional<http::CallResult<http::Reply>> result;
    loop().start(router.send("POST", "/chat/1", EntryFixture::caller("a1"), ""), result);
    loop().runUntil([&] {
        return first.paused.fired();
    });
    router.published.replaceEndpoints({{"i-0", first.entry("i-0", "m")}, {"i-1", other.entry("i-1", "m")}});
    loop().runUntil([&] {
        return result.has_value();
    });

    STRCMP_EQUAL(wholeStream().c_str(), std::get<http::Reply>(*result).body.c_str());
    LONGS_EQUAL(0, other.endpoint.seen.size());
}

LOOP_GROUP(HeadSilence);

TEST(HeadSilence, ResponseThatBeginsWhileAnotherEndpointDoesNotAnswerIsNotCancelled)
{
    ScriptedEndpoint slow(loop(), [](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        const std::string answer = signedAnswer(request.header("Yuccasaddle-Attempt-Id"), "whole");
        const std::string head = answer.substr(0, answer.size() - 2);
        co_await sleepFor(Millis(400)); // the search for another endpoint begins after 300 ms
        co_await sendBytes(socket, head);
        co_await sleepFor(Millis(800));
        co_await sendBytes(socket, answer.substr(head.size()));
    });
    FullBacklog full(loop());
    PausingEndpoint third(loop());
    SilenceFixture router(loop(), {}, "s");
    const auto slowEntry = endpointAt("i-0", slow.port, "s", EndpointKind::Service);
    router.published.replaceEndpoints({{"i-0", slowEntry}});
    std::optional<http::CallResult<http::Reply>> result;
    loop().start(router.send("GET", "/remind/1", EntryFixture::caller("a1"), ""), result);
    loop().runUntil([&] {
        return !slow.seen.empty();
    });
    const auto fullEntry = endpointAt("i-1", full.port(), "s", EndpointKind::Service);
    router.published.replaceEndpoints({{"i-0", slowEntry}, {"i-1", fullEntry}});
    asio::steady_timer later(loop().io, Millis(450));
    later.async_wait([&](const boost::system::error_code &) {
        router.published.replaceEndpoints({{"i-0", slowEntry}, {"i-1", fullEntry}, {"i-2", third.entry("i-2", "s")}});
    });
    loop().runUntil([&] {
        return result.has_value();
    });

    CHECK(std::holds_alternative<http::Reply>(*result));
    STRCMP_EQUAL("whole", std::get<http::Reply>(*result).body.c_str());
    LONGS_EQUAL(0, third.endpoint.seen.size());
}

TEST(HeadSilence, PauseOfTheOnlyEndpointDoesNotFailARepeatableRequest)
{
    PausingEndpoint first(loop());
    first.pause = pauseTime;
    SilenceFixture router(loop(), {&first}, "s");

    const auto reply = router.reply("GET", "/remind/1", "a1");

    LONGS_EQUAL(200, reply.status);
    LONGS_EQUAL(1, first.endpoint.seen.size());
}

TEST(HeadSilence, PauseDoesNotFailARepeatableRequestThatMayNotBeRetried)
{
    PausingEndpoint first(loop());
    PausingEndpoint other(loop());
    first.pause = other.pause = pauseTime;
    SilenceFixture router(loop(), {&first, &other}, "s", 0);

    const auto reply = router.reply("GET", "/remind/1", "a1");

    LONGS_EQUAL(200, reply.status);
}

TEST(HeadSilence, RepeatableRequestReturnsToASilentEndpointWhenTheOtherRejectsIt)
{
    PausingEndpoint first(loop());
    PausingEndpoint other(loop());
    first.pause = pauseTime;
    SilenceFixture router(loop(), {&first}, "s");
    std::optional<http::CallResult<http::Reply>> result;
    loop().start(router.send("GET", "/remind/1", EntryFixture::caller("a1"), ""), result);
    loop().runUntil([&] {
        return first.paused.fired();
    });
    other.sheds = true;
    router.published.replaceEndpoints({{"i-0", first.entry("i-0", "s")}, {"i-1", other.entry("i-1", "s")}});
    loop().runUntil([&] {
        return result.has_value();
    });

    CHECK(std::holds_alternative<http::Reply>(*result));
    LONGS_EQUAL(200, std::get<http::Reply>(*result).status);
}

LOOP_GROUP(SilenceVerdict);

TEST(SilenceVerdict, PausedEndpointIsNotEjected)
{
    PausingEndpoint first(loop());
    PausingEndpoint second(loop());
    PausingEndpoint third(loop());
    constexpr int requests = 24;
    first.pause = pauseTime;
    second.pause = third.pause = Millis(50);
    SilenceFixture router(loop(), {&first, &second, &third}, "s", 1000, entry::GatewayOptions().maxEndpointPause);
    std::array<std::optional<http::CallResult<http::Reply>>, requests> results;
    for (int i = 0; i < requests; ++i) {
        loop().start(router.send("GET", "/remind/1", EntryFixture::caller("a" + std::to_string(i)), ""), results[static_cast<std::size_t>(i)]);
    }
    loop().runUntil([&] {
        return std::all_of(results.begin(), results.end(), [](const auto &result) {
            return result.has_value();
        });
    });

    CHECK(first.endpoint.seen.size() >= 4);
    LONGS_EQUAL(0, router.gateway.metrics().ejections);
}

TEST(SilenceVerdict, RequestsOfPausedEndpointsAreNotWithheld)
{
    PausingEndpoint first(loop());
    PausingEndpoint second(loop());
    PausingEndpoint third(loop());
    first.pause = second.pause = third.pause = pauseTime;
    SilenceFixture router(loop(), {&first, &second, &third}, "m", 1000, entry::GatewayOptions().maxEndpointPause);
    std::array<std::optional<http::CallResult<http::Reply>>, 6> results;
    for (std::size_t i = 0; i < results.size(); ++i) {
        loop().start(router.send("POST", "/chat/1", EntryFixture::caller("a" + std::to_string(i), sharedPrompt), ""), results[i]);
    }
    std::size_t suspicions = 0;
    loop().runUntil([&] {
        suspicions += router.quarantine.takeUpdates(100).suspicions.size();
        return std::all_of(results.begin(), results.end(), [](const auto &result) {
            return result.has_value();
        });
    });

    LONGS_EQUAL(0, suspicions);
    for (const auto &result : results) {
        CHECK(std::holds_alternative<http::Reply>(*result));
        STRCMP_EQUAL(wholeStream().c_str(), std::get<http::Reply>(*result).body.c_str());
    }
}

TEST_GROUP(EndpointActivity){};

namespace
{

const Clock::time_point begin = Clock::time_point(std::chrono::hours(1));
Clock::time_point at(int ms)
{
    return begin + Millis(ms);
}

} // namespace

TEST(EndpointActivity, SilenceOfAnEndpointThatAnswersOthersIsAFault)
{
    entry::EndpointActivity activity(Millis(2000));
    activity.recordSent("i-1", at(0));
    activity.recordReceived("i-1", at(100));
    activity.recordSent("i-1", at(150));
    activity.recordReceived("i-1", at(290));
    CHECK(activity.isFault("i-1", at(0), at(300)));
}

TEST(EndpointActivity, SilenceShorterThanAPauseIsNoFault)
{
    entry::EndpointActivity activity(Millis(2000));
    activity.recordSent("i-1", at(0));
    CHECK_FALSE(activity.isFault("i-1", at(0), at(300)));
    CHECK_FALSE(activity.isFault("i-2", at(0), at(300)));
}

TEST(EndpointActivity, RequestThatWaitsWhenAPauseEndsIsNoFault)
{
    entry::EndpointActivity activity(Millis(2000));
    activity.recordSent("i-1", at(0));
    activity.recordSent("i-1", at(100));
    activity.recordReceived("i-1", at(1100));
    CHECK_FALSE(activity.isFault("i-1", at(100), at(1200)));
}

TEST(EndpointActivity, SilenceLongerThanAPauseIsAFaultOfEachRequest)
{
    entry::EndpointActivity activity(Millis(2000));
    activity.recordSent("i-1", at(0));
    activity.recordSent("i-1", at(1900));
    CHECK(activity.isFault("i-1", at(0), at(2000)));
    CHECK(activity.isFault("i-1", at(1900), at(2200)));
}

TEST(EndpointActivity, PausesThatAreFarApartAreNoFault)
{
    entry::EndpointActivity activity(Millis(2000));
    activity.recordSent("i-1", at(0));
    activity.recordEnded("i-1", at(400)); // sent elsewhere
    activity.recordSent("i-1", at(30000));
    CHECK_FALSE(activity.isFault("i-1", at(30000), at(30500)));
}

TEST(EndpointActivity, RequestsThatLeaveOneAfterTheOtherShowALongSilence)
{
    entry::EndpointActivity activity(Millis(2000));
    for (int ms = 0; ms <= 2000; ms += 400) {
        activity.recordSent("i-1", at(ms));
        activity.recordEnded("i-1", at(ms + 300));
    }
    CHECK(activity.isFault("i-1", at(2000), at(2300)));
    CHECK(activity.silentSince("i-1", at(0)));
}
