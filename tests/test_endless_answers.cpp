// Guards against endpoints that send bytes without end, in a head or a body: a router must bound what it reads, refuse the request,
// close the connection and go on serving other requests.
#include "endings_fixture.h"

// CppUTest goes last: its memory-leak macros redefine operator new.
#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;

namespace
{

/// What a router may take from one answer: the longest body that it holds, and what the sockets' buffers hold.
constexpr std::size_t maxBytesTaken = 40 * 1024 * 1024;
constexpr Millis maxTimeTaken{4000}; ///< less than the timeout of the routes, 5 s

/// How an endpoint's output without end went.
struct Output {
    std::size_t bytes = 0;
    bool closed = false; ///< by the router
};

// Writes the beginning, then the repeated bytes until the connection ends.
Task<void> sendWithoutEnd(tcp::socket &socket, std::string beginning, std::string repeated, Output &output)
{
    boost::system::error_code ec;
    co_await asio::async_write(socket, asio::buffer(beginning), asio::redirect_error(asio::use_awaitable, ec));
    while (!ec) {
        output.bytes += co_await asio::async_write(socket, asio::buffer(repeated), asio::redirect_error(asio::use_awaitable, ec));
    }
    output.closed = true;
}

// Returns the end of the head of an answer to a request, without its signature.
std::string headOf(const std::string &id, const std::string &extra)
{
    return "HTTP/1.1 200 OK\r\nYuccasaddle-Attempt-Id: " + id + "\r\n" + extra + "\r\n";
}

std::string signatureOf(const std::string &id)
{
    return "Yuccasaddle-Response-Signature: sig-" + id + "\r\n";
}

std::string repeat(const std::string &text, std::size_t bytes)
{
    std::string out;
    while (out.size() < bytes) {
        out += text;
    }
    return out;
}

/// An answer without end: its beginning, given the request's id, and what is repeated.
struct EndlessAnswer {
    const char *name;
    const char *path;
    std::function<std::string(const std::string &id)> beginning;
    std::string repeated;
};

const std::string fill = std::string(64 * 1024, 'x');

const std::vector<EndlessAnswer> answers{
    {"a field of the head", "/remind/1",
     [](const std::string &) {
         return std::string("HTTP/1.1 200 OK\r\nX: ");
     },
     fill},
    {"fields of the head", "/remind/1",
     [](const std::string &) {
         return std::string("HTTP/1.1 200 OK\r\n");
     },
     repeat("X: y\r\n", 64 * 1024)},
    {"bytes that are no head", "/remind/1",
     [](const std::string &) {
         return std::string();
     },
     fill},
    {"interim responses", "/remind/1",
     [](const std::string &) {
         return std::string();
     },
     repeat("HTTP/1.1 100 Continue\r\n\r\n", 64 * 1024)},
    {"a body without a signature", "/remind/1",
     [](const std::string &id) {
         return headOf(id, "");
     },
     fill},
    {"the body of an answer to another request", "/remind/1",
     [](const std::string &) {
         return headOf("other", signatureOf("other"));
     },
     fill},
    {"a body", "/remind/1",
     [](const std::string &id) {
         return headOf(id, signatureOf(id));
     },
     fill},
    {"the head of a chunk", "/remind/1",
     [](const std::string &id) {
         return headOf(id, signatureOf(id) + "Transfer-Encoding: chunked\r\n") + "1;";
     },
     fill},
    {"a trailer", "/remind/1",
     [](const std::string &id) {
         return headOf(id, signatureOf(id) + "Transfer-Encoding: chunked\r\n") + "0\r\n";
     },
     repeat("X: y\r\n", 64 * 1024)},
    {"an event", "/chat/1",
     [](const std::string &id) {
         return streamHead(id);
     },
     chunk(fill)},
};

// Sends a request to an endpoint that answers without end, and others to a sound one meanwhile. Returns true if all went as it must.
bool isBounded(Loop &loop, const EndlessAnswer &answer)
{
    Output output;
    ScriptedEndpoint broken(loop, [&](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        const auto beginning = answer.beginning(idOf(request));
        co_await sendWithoutEnd(socket, beginning, answer.repeated, output);
        socket.close();
    });
    ScriptedEndpoint sound(loop, [](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        co_await sendBytes(socket, signedAnswer(idOf(request), "ok"));
    });
    EntryFixture fixture(loop, {{"e1", {"m", broken.port}}, {"e2", {"s", sound.port}}});
    auto configuration = entryConfiguration(2);
    configuration["routes"][1]["service"] = "m";
    configuration["routes"][1]["max_attempts"] = 1;
    configuration["routes"][2]["max_attempts"] = 1;
    fixture.configure(configuration);
    Received endless;
    asio::co_spawn(loop.io, request(fixture, answer.path, "a1", endless), asio::detached);
    Received other;
    asio::co_spawn(loop.io, request(fixture, "/book/1", "a2", other), asio::detached);
    const bool ended = becomesTrue(
        loop,
        [&] {
            return endless.ended && other.ended && output.closed;
        },
        maxTimeTaken);
    const bool refused = !endless.complete || endless.status >= 500;
    return ended && refused && output.bytes <= maxBytesTaken && other.complete && other.status == 200 && other.body == "ok";
}

} // namespace

LOOP_GROUP(EndlessAnswers);

TEST(EndlessAnswers, BytesWithoutEndAreBoundedRefusedAndHarmNoOtherRequest)
{
    for (const auto &answer : answers) {
        CHECK_TEXT(isBounded(loop(), answer), answer.name);
    }
}

// Guards against a store, a peer or an endpoint that answers a call of the router's own without end.
TEST(EndlessAnswers, ACallThatReadsTheWholeBodyIsBounded)
{
    Output output;
    ScriptedEndpoint broken(loop(), [&](tcp::socket &socket, const ReceivedRequest &) -> Task<void> {
        co_await sendWithoutEnd(socket, "HTTP/1.1 200 OK\r\n\r\n", fill, output);
        socket.close();
    });
    http::Client client;
    http::CallOptions options;
    options.deadline = Clock::now() + std::chrono::seconds(30);
    const http::Address to{"127.0.0.1", broken.port};
    auto request = http::makeRequest("GET", "/");
    const auto result = loop().run(client.call(to, std::move(request), options));
    CHECK(std::holds_alternative<http::CallError>(result));
    CHECK(becomesTrue(loop(), [&] {
        return output.closed;
    }));
    CHECK(output.bytes <= maxBytesTaken);
}

TEST_GROUP(ResponseMemory)
{
    entry::ResponseMemoryOptions options;
    void setup() override
    {
        options.uncounted = 10;
        options.perResponse = 100;
        options.total = 150;
    }
};

TEST(ResponseMemory, ReservationsAreBoundedEachAndTogetherAndReturnedAtTheirEnd)
{
    entry::ResponseMemory memory(options);
    {
        entry::ResponseMemory::Reservation first(memory);
        CHECK(first.growTo(10));
        LONGS_EQUAL(0, memory.used());
        CHECK(first.growTo(100));
        CHECK(first.growTo(50));
        LONGS_EQUAL(90, memory.used());
        CHECK(!first.growTo(101));
        entry::ResponseMemory::Reservation second(memory);
        CHECK(second.growTo(70));
        CHECK(!second.growTo(71));
        LONGS_EQUAL(150, memory.used());
        entry::ResponseMemory::Reservation third(memory);
        CHECK(third.growTo(10));
        CHECK(!third.growTo(11));
    }
    LONGS_EQUAL(0, memory.used());
}

LOOP_GROUP(LongAnswers);

namespace
{

// Answers with a body of a length that the head states; sends only a part of it if there is a cut.
ScriptedEndpoint::Script longAnswer(std::size_t bytes, std::size_t cut = 0)
{
    return [bytes, cut](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        const auto head = headOf(idOf(request), signatureOf(idOf(request)) + "Content-Length: " + std::to_string(bytes) + "\r\n");
        co_await sendBytes(socket, head + std::string(bytes - cut, 'x'));
        if (cut > 0) {
            resetConnection(socket);
        }
    };
}

constexpr std::size_t longBytes = 5 * 1024 * 1024;

} // namespace

TEST(LongAnswers, AnswerThatIsNotReadWholeIsRelayedInPartsAndWhole)
{
    ScriptedEndpoint endpoint(loop(), longAnswer(longBytes));
    EntryFixture fixture(loop(), {{"e1", {"s", endpoint.port}}});
    for (const char *path : {"/book/1", "/remind/1"}) {
        const auto reply = fixture.reply("POST", path, "a1");
        LONGS_EQUAL(200, reply.status);
        LONGS_EQUAL(longBytes, reply.body.size());
        STRCMP_EQUAL("sig-a1", reply.header("Yuccasaddle-Response-Signature").c_str());
    }
    LONGS_EQUAL(2, endpoint.seen.size());
    LONGS_EQUAL(0, fixture.gateway.bufferedResponseBytes());
}

TEST(LongAnswers, TruncatedAnswerThatIsRelayedInPartsDoesNotLookWholeAndIsNotContinued)
{
    ScriptedEndpoint endpoint(loop(), longAnswer(longBytes, 1));
    EntryFixture fixture(loop(), {{"e1", {"s", endpoint.port}}, {"e2", {"s", endpoint.port}}});
    CHECK(std::holds_alternative<http::CallError>(fixture.call("POST", "/remind/1", "a1")));
    LONGS_EQUAL(1, endpoint.seen.size());
}

TEST(LongAnswers, LongFailureOfARepeatableRequestIsTriedElsewhere)
{
    ScriptedEndpoint failing(loop(), [](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        const auto head = "HTTP/1.1 500 X\r\nYuccasaddle-Attempt-Id: " + idOf(request) + "\r\n" + signatureOf(idOf(request));
        co_await sendBytes(socket, head + "Content-Length: " + std::to_string(longBytes) + "\r\n\r\n" + std::string(longBytes, 'x'));
    });
    EntryFixture fixture(loop(), {{"e1", {"s", failing.port}}, {"e2", {"s", failing.port}}});
    LONGS_EQUAL(502, fixture.reply("POST", "/remind/1", "a1").status);
    LONGS_EQUAL(2, failing.seen.size());
}

// The callers of the answers without end read nothing.
TEST(LongAnswers, ManyAnswersWithoutEndHoldNoMoreThanTheirLimitTogether)
{
    constexpr int count = 60;
    std::vector<Output> outputs(count);
    std::size_t begun = 0;
    ScriptedEndpoint broken(loop(), [&](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        auto &output = outputs[begun++];
        const auto head = headOf(idOf(request), signatureOf(idOf(request)));
        co_await sendWithoutEnd(socket, head, fill, output);
        socket.close();
    });
    ScriptedEndpoint sound(loop(), longAnswer(longBytes));
    EntryFixture fixture(loop(), {{"e1", {"m", broken.port}}, {"e2", {"s", sound.port}}});
    auto configuration = entryConfiguration(2);
    configuration["routes"][1]["service"] = "m";
    configuration["routes"][1]["max_attempts"] = 1;
    fixture.configure(configuration);
    std::vector<std::unique_ptr<tcp::socket>> deaf;
    for (int n = 0; n < count; ++n) {
        deaf.push_back(std::make_unique<tcp::socket>(loop().io));
        deaf.back()->connect({asio::ip::make_address("127.0.0.1"), fixture.port});
        asio::write(*deaf.back(), asio::buffer(requestBytes("POST", "/remind/1", "a" + std::to_string(n))));
    }
    std::size_t peak = 0;
    CHECK(becomesTrue(loop(), [&] {
        peak = std::max(peak, fixture.gateway.bufferedResponseBytes());
        return begun == count;
    }));
    const auto reply = fixture.reply("POST", "/book/1", "sound");
    LONGS_EQUAL(200, reply.status);
    LONGS_EQUAL(longBytes, reply.body.size());
    becomesTrue(
        loop(),
        [&] {
            peak = std::max(peak, fixture.gateway.bufferedResponseBytes());
            return false;
        },
        Millis(300));
    CHECK(peak > 0);
    CHECK(peak <= entry::ResponseMemoryOptions{}.total);
    deaf.clear();
    CHECK(becomesTrue(loop(), [&] { // what is suspended in the loop refers to the fixture
        return fixture.server.inflight() == 0;
    }));
}
