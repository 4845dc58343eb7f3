// An answer reads over a tunnel as it does over a connection of the router's own: in each framing, cut at each byte, in each way
// that an endpoint, a tunnel or a peer ends, and at peers of a release without frames. No byte of a router appears in it.
#include "endings_fixture.h"
#include "relay_fixture.h"
#include "tunnel_frames.h"

// CppUTest goes last: its memory-leak macros redefine operator new.
#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;

namespace
{

/// An answer's bytes on the wire, whole.
struct Answer {
    const char *name;
    std::string bytes;
    bool ownEnd; ///< its end can be told without that of the connection
    std::string body;
    const char *method = "POST";
    std::size_t late = 0; ///< answers to earlier requests before it
};

const std::string content = "the endpoint's bytes, 0123456789abcdef0123456789abcdef";
const std::string plainHead = "HTTP/1.1 200 OK\r\nServer: e\r\n";
const std::string lengthHead = plainHead + "Content-Length: " + std::to_string(content.size()) + "\r\n\r\n";
const std::string chunks = chunk(content.substr(0, 20)) + chunk(content.substr(20)) + "0\r\n\r\n";

const std::vector<Answer> answers{
    {"length", lengthHead + content, true, content},
    {"no body", plainHead + "Content-Length: 0\r\n\r\n", true, ""},
    {"chunks", plainHead + "Transfer-Encoding: chunked\r\n\r\n" + chunks, true, content},
    {"chunks and a trailer", plainHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(content) + "0\r\nX: y\r\n\r\n", true, content},
    {"until the connection ends", plainHead + "\r\n" + content, false, content},
    {"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n" + content, false, content},
    {"HEAD with a length", lengthHead, true, "", "HEAD"},
    {"HEAD without a length", plainHead + "\r\n", true, "", "HEAD"},
    {"no content", "HTTP/1.1 204 No Content\r\nServer: e\r\n\r\n", true, ""},
    {"after interim answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + lengthHead + content, true, content},
    {"after a late answer", lengthHead + "late" + content.substr(4) + lengthHead + content, true, content, "POST", 1},
    {"after a late answer in chunks, until the connection ends", plainHead + "Transfer-Encoding: chunked\r\n\r\n" + chunks + plainHead + "\r\n" + content,
     false, content, "POST", 1},
};

enum class Ends { Closed, Reset, KeptOpen };

/// What a router has read of an answer.
struct ReadAnswer {
    bool whole = false;
    unsigned status = 0; ///< 0: no head
    std::string body;
    bool operator==(const ReadAnswer &) const = default;
};

Task<ReadAnswer> readAnswer(http::Client &client, http::Address to, std::string method, std::size_t late, std::optional<http::TunnelRequest> tunnel)
{
    http::CallOptions options;
    options.deadline = Clock::now() + std::chrono::seconds(10);
    options.tunnel = std::move(tunnel);
    ReadAnswer out;
    auto opened = co_await client.open(to, http::makeRequest(method, "/x"), options);
    auto *response = std::get_if<std::unique_ptr<http::Response>>(&opened);
    if (!response) {
        co_return out;
    }
    for (std::size_t i = 0; i < late; ++i) {
        const auto failed = co_await(*response)->skipToNextResponse();
        if (failed) {
            co_return out;
        }
    }
    out.status = (*response)->status();
    for (;;) {
        auto part = co_await(*response)->read();
        const auto *bytes = std::get_if<std::string>(&part);
        out.whole = bytes && bytes->empty();
        if (!bytes || bytes->empty()) {
            co_return out;
        }
        out.body += *bytes;
    }
}

Task<void> sendAndEnd(tcp::socket &socket, std::string bytes, Ends ends)
{
    co_await sendBytes(socket, bytes);
    if (ends == Ends::Reset) {
        co_await sleepFor(Millis(3)); // the bytes must arrive before the reset
        resetConnection(socket);
    } else if (ends == Ends::Closed) {
        socket.close();
    }
}

std::string framed(const std::string &bytes)
{
    const auto head = http::dataFrameHead(bytes.size());
    return bytes.empty() ? "" : std::string(head.begin(), head.end()) + bytes;
}

const std::string tunnelHead = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: yucca-relay\r\n";

const std::string framingField = "Relay-Framing: cbor-seq\r\n";

/// Reads answers directly, through a peer, and through a scripted peer that opens a tunnel with a head and sends bytes through it.
class Reader
{
public:
    explicit Reader(Loop &loop)
        : m_loop(loop)
        , m_endpoint(loop,
                     [this](tcp::socket &socket, const ReceivedRequest &request) {
                         return sendAndEnd(socket, m_bytes, m_ends);
                     })
        , m_scriptedPeer(loop,
                         [this](tcp::socket &socket, const ReceivedRequest &request) {
                             const bool asksForTunnel = request.head.starts_with("GET /relay ");
                             return sendAndEnd(socket, asksForTunnel ? tunnelHead + m_headFields + "\r\n" : m_bytes, asksForTunnel ? Ends::KeptOpen : m_ends);
                         })
        , m_peer(loop, {{"e1", {"s", m_endpoint.port}}})
    {
    }
    ReadAnswer direct(const Answer &answer, const std::string &bytes, Ends ends)
    {
        m_bytes = bytes;
        m_ends = ends;
        return m_loop.run(readAnswer(m_client, {"127.0.0.1", m_endpoint.port}, answer.method, answer.late, std::nullopt));
    }
    ReadAnswer relayed(const Answer &answer, const std::string &bytes, Ends ends)
    {
        m_bytes = bytes;
        m_ends = ends;
        const auto before = m_peer.relay.counters().accepted.load();
        const auto read = through(answer, m_peer.address, incarnationKey(m_peer.table.endpoints()[0]));
        LONGS_EQUAL(before + 1, m_peer.relay.counters().accepted);
        CHECK(becomesTrue(m_loop, [this] {
            return m_peer.relay.counters().open == 0;
        }));
        return read;
    }
    ReadAnswer byPeer(const Answer &answer, const std::string &headFields, const std::string &bytes, Ends ends)
    {
        m_headFields = headFields;
        m_bytes = bytes;
        m_ends = ends;
        return through(answer, {"127.0.0.1", m_scriptedPeer.port}, "e1#0");
    }

private:
    ReadAnswer through(const Answer &answer, http::Address peer, std::string endpoint)
    {
        const http::TunnelRequest tunnel{peer, std::move(endpoint), Millis(10000)};
        return m_loop.run(readAnswer(m_client, peer, answer.method, answer.late, tunnel));
    }

    Loop &m_loop;
    std::string m_headFields;
    std::string m_bytes;
    Ends m_ends = Ends::Closed;
    ScriptedEndpoint m_endpoint;
    ScriptedEndpoint m_scriptedPeer;
    PeerRouter m_peer;
    http::Client m_client;
};

void checkSame(const ReadAnswer &expected, const ReadAnswer &actual, const Answer &answer, std::size_t bytes)
{
    const std::string where = std::string(answer.name) + ", " + std::to_string(bytes) + " bytes";
    CHECK_EQUAL_TEXT(expected.whole, actual.whole, where.c_str());
    LONGS_EQUAL_TEXT(expected.status, actual.status, where.c_str());
    STRCMP_EQUAL_TEXT(expected.body.c_str(), actual.body.c_str(), where.c_str());
}

// Checks that a broken answer is not whole and has no byte that the endpoint has not sent.
void checkBroken(const ReadAnswer &read, const Answer &answer, std::size_t bytes)
{
    const std::string where = std::string(answer.name) + ", " + std::to_string(bytes) + " bytes";
    CHECK_TEXT(!read.whole, where.c_str());
    CHECK_TEXT(answer.body.starts_with(read.body), where.c_str());
}

} // namespace

LOOP_GROUP(RelayedAnswers);

TEST(RelayedAnswers, WholeAnswerIsReadInEachFraming)
{
    Reader reader(loop());
    for (const auto &answer : answers) {
        const ReadAnswer whole{true, answer.bytes.starts_with("HTTP/1.1 204") ? 204U : 200U, answer.body};
        checkSame(whole, reader.relayed(answer, answer.bytes, Ends::Closed), answer, answer.bytes.size());
        if (answer.ownEnd) {
            checkSame(whole, reader.relayed(answer, answer.bytes, Ends::KeptOpen), answer, answer.bytes.size());
        }
    }
}

TEST(RelayedAnswers, AnswerThatIsCutAtAnyByteReadsAsItDoesDirectly)
{
    Reader reader(loop());
    for (const auto &answer : answers) {
        for (std::size_t bytes = 0; bytes < answer.bytes.size(); ++bytes) {
            const auto cut = answer.bytes.substr(0, bytes);
            const auto relayed = reader.relayed(answer, cut, Ends::Closed);
            checkSame(reader.direct(answer, cut, Ends::Closed), relayed, answer, bytes);
            CHECK(!relayed.whole || !answer.ownEnd);
        }
    }
}

TEST(RelayedAnswers, ResetOfTheEndpointBreaksAnAnswerAsItDoesDirectly)
{
    constexpr std::size_t step = 11;
    Reader reader(loop());
    for (const auto &answer : answers) {
        const std::size_t last = answer.ownEnd ? answer.bytes.size() - 1 : answer.bytes.size();
        for (std::size_t bytes = last % step; bytes <= last; bytes += step) {
            const auto cut = answer.bytes.substr(0, bytes);
            const auto relayed = reader.relayed(answer, cut, Ends::Reset);
            checkBroken(relayed, answer, bytes);
            checkSame(reader.direct(answer, cut, Ends::Reset), relayed, answer, bytes);
        }
        if (answer.ownEnd) {
            checkSame(reader.direct(answer, answer.bytes, Ends::Reset), reader.relayed(answer, answer.bytes, Ends::Reset), answer, answer.bytes.size());
        }
    }
}

TEST(RelayedAnswers, PeerThatEndsWithoutStatingTheEndBreaksWhatHasNoEndOfItsOwn)
{
    constexpr std::size_t step = 7;
    Reader reader(loop());
    for (const auto &answer : answers) {
        for (const auto ends : {Ends::Closed, Ends::Reset}) {
            const std::size_t last = answer.ownEnd ? answer.bytes.size() - 1 : answer.bytes.size();
            for (std::size_t bytes = last % step; bytes <= last; bytes += step) {
                checkBroken(reader.byPeer(answer, framingField, framed(answer.bytes.substr(0, bytes)), ends), answer, bytes);
            }
        }
        if (answer.ownEnd) {
            CHECK(reader.byPeer(answer, framingField, framed(answer.bytes), Ends::Closed).whole);
        }
    }
}

TEST(RelayedAnswers, PeerThatEndsInsideAFrameOrSendsNoFramesBreaksTheAnswer)
{
    Reader reader(loop());
    const std::string orderly(1, '\0');
    for (const auto &answer : answers) {
        const auto whole = framed(answer.bytes) + orderly;
        for (const std::size_t cut : {std::size_t(1), std::size_t(2), whole.size() / 2, whole.size() - 2}) {
            checkBroken(reader.byPeer(answer, framingField, whole.substr(0, cut), Ends::Closed), answer, cut);
        }
        const auto half = answer.bytes.substr(0, answer.bytes.size() / 2);
        for (const std::string other : {"\x01", "\x02", "\x03", "\xff", "x"}) {
            checkBroken(reader.byPeer(answer, framingField, framed(half) + other + whole, Ends::Closed), answer, half.size());
        }
        checkBroken(reader.byPeer(answer, framingField, answer.bytes, Ends::Closed), answer, 0); // the answer without frames
        CHECK(reader.byPeer(answer, framingField, whole, Ends::Closed).whole);
    }
}

TEST(RelayedAnswers, FramesMayArriveByteByByte)
{
    ScriptedEndpoint peer(loop(), [](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        if (request.head.starts_with("GET /relay ")) {
            co_await sendBytes(socket, tunnelHead + framingField + "\r\n");
            co_return;
        }
        socket.set_option(tcp::no_delay(true));
        for (const char byte : framed(answers[2].bytes.substr(0, 70)) + framed(answers[2].bytes.substr(70))) {
            co_await sendBytes(socket, std::string(1, byte));
            co_await sleepFor(Millis(0));
        }
    });
    http::Client client;
    const http::Address address{"127.0.0.1", peer.port};
    const http::TunnelRequest tunnel{address, "e1#0", Millis(10000)};
    checkSame({true, 200, content}, loop().run(readAnswer(client, address, "POST", 0, tunnel)), answers[2], answers[2].bytes.size());
}

TEST(RelayedAnswers, PeerOfAReleaseWithoutFramesRelaysAnswersWithAnEndOfTheirOwnOnly)
{
    Reader reader(loop());
    for (const auto &answer : answers) {
        const auto whole = reader.byPeer(answer, "", answer.bytes, Ends::Closed);
        CHECK_EQUAL_TEXT(answer.ownEnd, whole.whole, answer.name);
        STRCMP_EQUAL_TEXT(answer.body.c_str(), whole.status == 0 ? answer.body.c_str() : whole.body.c_str(), answer.name);
        for (std::size_t bytes = 0; bytes < answer.bytes.size(); bytes += 5) {
            checkBroken(reader.byPeer(answer, "", answer.bytes.substr(0, bytes), Ends::Closed), answer, bytes);
        }
    }
}

TEST(RelayedAnswers, PeerThatConfirmsAnotherFramingIsNotUsed)
{
    Reader reader(loop());
    LONGS_EQUAL(0, reader.byPeer(answers[0], "Relay-Framing: other\r\n", framed(answers[0].bytes), Ends::Closed).status);
}

TEST(RelayedAnswers, RouterOfAReleaseWithoutFramesGetsTheEndpointsBytesAndNoOthers)
{
    for (const auto ends : {Ends::Closed, Ends::Reset}) {
        Loop ownLoop; // what is suspended in it ends with its fixtures
        ScriptedEndpoint endpoint(ownLoop, [ends](tcp::socket &socket, const ReceivedRequest &) {
            return sendAndEnd(socket, lengthHead + content.substr(0, 20), ends);
        });
        PeerRouter peer(ownLoop, {{"e1", {"s", endpoint.port}}});
        RawCaller older(ownLoop, peer.address.port);
        older.send("GET /relay HTTP/1.1\r\nHost: peer\r\nConnection: Upgrade\r\nUpgrade: yucca-relay\r\nRelay-Endpoint: e1#0\r\nRelay-Lifetime-Ms: 5000\r\n"
                   "Relay-End-Marker: 0123456789abcdef0123456789abcdef\r\n\r\n");
        CHECK(becomesTrue(ownLoop, [&] {
            return older.received().ends_with("\r\n\r\n");
        }));
        const auto head = older.received();
        CHECK(head.find("Relay-Framing") == std::string::npos);
        older.send(requestBytes("POST", "/x", "a1"));
        CHECK(becomesTrue(ownLoop, [&] {
            return older.ended();
        }));
        STRCMP_EQUAL((head + lengthHead + content.substr(0, 20)).c_str(), older.received().c_str());
        older.close();
        CHECK(becomesTrue(ownLoop, [&] {
            return peer.relay.counters().open == 0;
        }));
    }
}

TEST(RelayedAnswers, EarlyAnswerArrivesThoughTheEndpointReadsNoMoreOfTheRequest)
{
    tcp::acceptor acceptor(loop().io, {asio::ip::make_address("127.0.0.1"), 0});
    asio::co_spawn(
        loop().io,
        [&]() -> Task<void> {
            auto socket = co_await acceptor.async_accept(asio::use_awaitable);
            char bytes[1024];
            co_await socket.async_read_some(asio::buffer(bytes), asio::use_awaitable);
            co_await sendBytes(socket, "HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\n");
            co_await sleepFor(Millis(30)); // the router goes on writing
            co_await sendBytes(socket, "no\n");
            co_await sleepFor(Millis(30));
        },
        asio::detached);
    PeerRouter peer(loop(), {{"e1", {"s", acceptor.local_endpoint().port()}}});
    http::Client client;
    http::CallOptions options;
    options.deadline = Clock::now() + std::chrono::seconds(10);
    options.tunnel = http::TunnelRequest{peer.address, incarnationKey(peer.table.endpoints()[0]), Millis(10000)};
    const auto result = loop().run(client.call(peer.address, http::makeRequest("POST", "/x", std::string(8 * 1024 * 1024, 'x')), options));
    CHECK(std::holds_alternative<http::Reply>(result));
    LONGS_EQUAL(413, std::get<http::Reply>(result).status);
    STRCMP_EQUAL("no\n", std::get<http::Reply>(result).body.c_str());
    CHECK(becomesTrue(loop(), [&] {
        return peer.relay.counters().open == 0;
    }));
}
