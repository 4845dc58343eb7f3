// Guards against requests that were read whole and end without a whole answer or a refusal because of what callers do on their
// connections. docs/design/request-endings.md lists all cases.
#include "endings_fixture.h"

// CppUTest goes last: its memory-leak macros redefine operator new.
#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;

LOOP_GROUP(CallerEndings);

TEST(CallerEndings, RequestPipelinedBehindAWaitingOneIsAnsweredToo)
{
    GatedEngine engine(loop());
    EntryFixture fixture(loop(), {{"e1", {"s", engine.endpoint.port}}});
    RawCaller caller(loop(), fixture.port);
    caller.send(requestBytes("POST", "/book/1", "a1", "{}"));
    CHECK(becomesTrue(loop(), [&] {
        return engine.endpoint.seen.size() == 1;
    }));
    caller.send(requestBytes("POST", "/book/1", "a2", "{}"));
    letPass(loop(), Millis(20));
    engine.goOn();
    CHECK(becomesTrue(loop(), [&] {
        return caller.responses() == 2;
    }));
    LONGS_EQUAL(2, engine.endpoint.seen.size());
    CHECK(caller.received().find("sig-a1") < caller.received().find("sig-a2"));
    LONGS_EQUAL(2, fixture.gateway.metrics().ended(entry::RequestEnd::Delivered));
}

TEST(CallerEndings, RequestsSentInOneSegmentAreAllAnswered)
{
    GatedEngine engine(loop());
    EntryFixture fixture(loop(), {{"e1", {"s", engine.endpoint.port}}});
    RawCaller caller(loop(), fixture.port);
    caller.send(requestBytes("POST", "/book/1", "a1", "{}") + requestBytes("POST", "/nowhere", "a2") + requestBytes("POST", "/book/1", "a3"));
    engine.goOn();
    CHECK(becomesTrue(loop(), [&] {
        return caller.responses() == 3;
    }));
    LONGS_EQUAL(2, engine.endpoint.seen.size());
}

// A half-closed connection can't be told from a closed one before bytes are written to it.
TEST(CallerEndings, CallerThatHalfClosesCountsAsGoneAndFreesTheEndpoint)
{
    GatedEngine engine(loop());
    EntryFixture fixture(loop(), {{"e1", {"s", engine.endpoint.port}}});
    RawCaller caller(loop(), fixture.port);
    caller.send(requestBytes("POST", "/book/1", "a1"));
    CHECK(becomesTrue(loop(), [&] {
        return engine.endpoint.seen.size() == 1;
    }));
    caller.halfClose();
    CHECK(becomesTrue(loop(), [&] {
        return caller.ended();
    }));
    STRCMP_EQUAL("", caller.received().c_str());
    LONGS_EQUAL(1, fixture.gateway.metrics().ended(entry::RequestEnd::CallerGone));
    LONGS_EQUAL(0, fixture.gateway.metrics().ended(entry::RequestEnd::GivenUp));
    engine.goOn();
    LONGS_EQUAL(200, fixture.reply("POST", "/book/1", "a2").status);
}

TEST(CallerEndings, CallerThatClosesDuringANonRepeatableRequestLeavesNothingBehind)
{
    GatedEngine engine(loop());
    EntryFixture fixture(loop(), {{"e1", {"s", engine.endpoint.port}}});
    RawCaller caller(loop(), fixture.port);
    caller.send(requestBytes("POST", "/book/1", "a1"));
    CHECK(becomesTrue(loop(), [&] {
        return engine.endpoint.seen.size() == 1;
    }));
    caller.close();
    CHECK(becomesTrue(loop(), [&] {
        return fixture.gateway.metrics().ended(entry::RequestEnd::CallerGone) == 1 && fixture.server.inflight() == 0;
    }));
    LONGS_EQUAL(1, engine.endpoint.seen.size()); // not sent again
    restart(fixture, fixture.gateway, "s", engine.endpoint.port);
    engine.goOn();
    LONGS_EQUAL(200, fixture.reply("POST", "/book/1", "a2").status);
    LONGS_EQUAL(0, fixture.gateway.metrics().ended(entry::RequestEnd::GivenUp));
}

// The bytes of the request and the stop reach the event loop together.
TEST(CallerEndings, RequestReadAtTheMomentOfAStopIsAnsweredOrNotSentOn)
{
    GatedEngine engine(loop());
    engine.goOn();
    EntryFixture fixture(loop(), {{"e1", {"s", engine.endpoint.port}}});
    RawCaller caller(loop(), fixture.port);
    caller.send(requestBytes("POST", "/book/1", "a1"));
    CHECK(becomesTrue(loop(), [&] {
        return caller.responses() == 1;
    }));
    caller.send(requestBytes("POST", "/book/1", "a2"));
    asio::post(loop().io, [&fixture] {
        fixture.server.stopAccepting();
    });
    CHECK(becomesTrue(loop(), [&] {
        return caller.ended();
    }));
    letPass(loop(), Millis(20));
    LONGS_EQUAL(caller.responses(), engine.endpoint.seen.size());
}

TEST(CallerEndings, FieldThatIsTooLongForTheHttpLibraryIsRefusedAndEndsNoOtherRequest)
{
    CHECK(holdsInOwnProcess([](Loop &loop) {
        GatedEngine engine(loop);
        EntryFixture fixture(loop, {{"e1", {"s", engine.endpoint.port}}});
        http::ServerLimits limits;
        limits.headerBytes = 256 * 1024; // Beast holds at most 64 KiB in a field
        fixture.server.setLimits(limits);
        RawCaller other(loop, fixture.port);
        other.send(requestBytes("POST", "/book/1", "a1"));
        const bool sent = becomesTrue(loop, [&] {
            return engine.endpoint.seen.size() == 1;
        });
        RawCaller caller(loop, fixture.port);
        caller.send("POST /book/1 HTTP/1.1\r\nHost: h.example\r\nX-Long: " + std::string(70000, 'x') + "\r\nContent-Length: 0\r\n\r\n");
        const bool refused = becomesTrue(loop, [&] {
            return caller.received().starts_with("HTTP/1.1 431 ");
        });
        engine.goOn();
        const bool answered = becomesTrue(loop, [&] {
            return other.received().find("sig-a1") != std::string::npos;
        });
        return sent && refused && answered;
    }));
}

TEST(CallerEndings, RequestPipelinedBehindTheLastOneOfAConnectionIsNotSentOn)
{
    GatedEngine engine(loop());
    engine.goOn();
    EntryFixture fixture(loop(), {{"e1", {"s", engine.endpoint.port}}});
    RawCaller caller(loop(), fixture.port);
    auto last = requestBytes("POST", "/book/1", "a1");
    last.insert(last.find("\r\n") + 2, "Connection: close\r\n");
    caller.send(last + requestBytes("POST", "/book/1", "a2"));
    CHECK(becomesTrue(loop(), [&] {
        return caller.ended();
    }));
    letPass(loop(), Millis(20));
    LONGS_EQUAL(1, caller.responses());
    LONGS_EQUAL(1, engine.endpoint.seen.size());
}
