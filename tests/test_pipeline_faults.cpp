// Guards against requests that end without an answer, and against attempts that stay behind, when a step of the pipeline throws.
// docs/design/request-endings.md lists all cases.
#include "endings_fixture.h"

#include <set>
#include <stdexcept>

// CppUTest goes last: its memory-leak macros redefine operator new.
#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;

namespace
{

/// The steps of the pipeline at which a ThrowingDialect throws.
enum class Step { Identify, MakeRequest, ReadHead, ResponseHeaders, Rejection };

/// The platform's dialect, which throws at some steps.
struct ThrowingDialect : platform::PlatformDialect {
    std::shared_ptr<std::set<Step>> throwing = std::make_shared<std::set<Step>>();

    void pass(Step step) const
    {
        if (throwing->count(step)) {
            throw std::runtime_error("a fault of the router");
        }
    }
    std::variant<entry::RequestProfile, entry::Rejection> identify(const http::Exchange &ex, const entry::ConfigurationPtr &configuration,
                                                                   Clock::time_point now) const
    {
        pass(Step::Identify);
        return PlatformDialect::identify(ex, configuration, now);
    }
    http::Request makeForwardedRequest(const http::Exchange &ex, const entry::RequestProfile &profile, const entry::ForwardOptions &options) const
    {
        pass(Step::MakeRequest);
        return PlatformDialect::makeForwardedRequest(ex, profile, options);
    }
    entry::ResponseHead readHead(const http::Response &response, const entry::RequestProfile &profile) const
    {
        pass(Step::ReadHead);
        return PlatformDialect::readHead(response, profile);
    }
    http::Headers responseHeaders(const http::Response &response, const entry::RequestProfile &profile, const Endpoint &endpoint) const
    {
        pass(Step::ResponseHeaders);
        return PlatformDialect::responseHeaders(response, profile, endpoint);
    }
    entry::RejectionResponse rejection(entry::Rejection why, Millis retryAfter) const
    {
        pass(Step::Rejection);
        return PlatformDialect::rejection(why, retryAfter);
    }
};

/// A router whose dialect throws, before the endpoints of an entry router.
struct ThrowingRouter {
    ThrowingRouter(Loop &loop, std::map<std::string, std::pair<std::string, uint16_t>> endpoints)
        : fixture(loop, std::move(endpoints))
        , gateway(entry::GatewayParts{fixture.published, fixture.table, fixture.admission, fixture.quarantine}, {}, dialect)
    {
        fixture.port = std::get<uint16_t>(server.start());
    }
    EntryFixture fixture;
    ThrowingDialect dialect;
    entry::Gateway<ThrowingDialect> gateway;
    http::Server server{{&fixture.loop.io}, "127.0.0.1", 0, [this](http::Exchange &ex) {
                            return gateway.handle(ex);
                        }};
};

} // namespace

LOOP_GROUP(PipelineFault);

TEST(PipelineFault, FaultBeforeTheResponseIsAnsweredWithAnErrorAndLeavesNoAttemptBehind)
{
    for (const auto step : {Step::Identify, Step::MakeRequest, Step::ReadHead, Step::ResponseHeaders, Step::Rejection}) {
        CHECK(holdsInOwnProcess([step](Loop &loop) {
            GatedEngine engine(loop);
            engine.goOn();
            ThrowingRouter router(loop, {{"e1", {"s", engine.endpoint.port}}});
            RawCaller caller(loop, router.fixture.port);
            *router.dialect.throwing = {step};
            caller.send(requestBytes("POST", step == Step::Rejection ? "/nowhere" : "/book/1", "a1"));
            const bool answered = becomesTrue(loop, [&] {
                return caller.received().starts_with("HTTP/1.1 50");
            });
            router.dialect.throwing->clear();
            const bool released = router.fixture.table.status()[0]["inflight"] == 0;
            restart(router.fixture, router.gateway, "s", engine.endpoint.port);
            RawCaller next(loop, router.fixture.port);
            auto &sender = caller.ended() ? next : caller;
            sender.send(requestBytes("POST", "/book/1", "a2"));
            const bool nextAnswered = becomesTrue(loop, [&] {
                return sender.received().find("sig-a2") != std::string::npos;
            });
            return answered && released && nextAnswered;
        }));
    }
}

TEST(PipelineFault, FaultBeforeTheHeadOfAStreamIsAnsweredWithAnErrorOrAnAbort)
{
    GatedEngine engine(loop());
    engine.goOn();
    ThrowingRouter router(loop(), {{"e1", {"m", engine.endpoint.port}}});
    RawCaller caller(loop(), router.fixture.port);
    *router.dialect.throwing = {Step::ResponseHeaders};
    caller.send(requestBytes("POST", "/once/1", "a1"));
    CHECK(becomesTrue(loop(), [&] {
        return caller.responses() == 1 || caller.ended();
    }));
    CHECK(caller.ended() || caller.received().starts_with("HTTP/1.1 50"));
}

TEST(PipelineFault, FaultAfterTheHeadOfAStreamEndsTheConnectionWithoutTheEndOfTheStream)
{
    Signal armed;
    ScriptedEndpoint breaking(loop(), [&armed](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        const std::string first = streamHead(idOf(request)) + chunk(eventNumber(1));
        co_await sendBytes(socket, first);
        co_await armed.wait();
        resetConnection(socket);
    });
    ThrowingRouter router(loop(), {{"e1", {"m", breaking.port}}, {"e2", {"m", breaking.port}}});
    RawCaller caller(loop(), router.fixture.port);
    caller.send(requestBytes("POST", "/chat/1", "a1"));
    CHECK(becomesTrue(loop(), [&] {
        return caller.received().find("token1") != std::string::npos;
    }));
    *router.dialect.throwing = {Step::MakeRequest}; // for the second endpoint
    armed.fire();
    const bool ended = becomesTrue(loop(), [&] {
        return caller.ended();
    });
    CHECK(ended);
    CHECK(!caller.received().ends_with("0\r\n\r\n"));
    LONGS_EQUAL(1, caller.responses());
}

TEST(PipelineFault, TraceRequestWithABodyIsAnsweredAndLeavesNoAttemptBehind)
{
    CHECK(holdsInOwnProcess([](Loop &loop) {
        GatedEngine engine(loop);
        engine.goOn();
        EntryFixture fixture(loop, {{"e1", {"s", engine.endpoint.port}}});
        RawCaller caller(loop, fixture.port);
        caller.send(requestBytes("TRACE", "/book/1", "a1", "{}"));
        const bool answered = becomesTrue(loop, [&] {
            return caller.responses() == 1;
        });
        restart(fixture, fixture.gateway, "s", engine.endpoint.port);
        caller.send(requestBytes("POST", "/book/1", "a2"));
        const bool nextAnswered = becomesTrue(loop, [&] {
            return caller.received().find("sig-a2") != std::string::npos;
        });
        return answered && nextAnswered;
    }));
}
