// Heads of responses: the one rule by which they are accepted, at endpoints, through tunnels, at the store and between routers; and
// answers that end while their request is still being written.
#include "change_exchange.h"
#include "endings_fixture.h"
#include "object_store.h"
#include "relay_fixture.h"
#include "response_head.h"

// CppUTest goes last: its memory-leak macros redefine operator new.
#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;
using http::HeadProblem;

namespace
{

struct RefusedHead {
    std::string head; ///< without its last, empty line
    HeadProblem problem;
};

const std::string statusLine = "HTTP/1.1 200 OK\r\n";

const std::vector<RefusedHead> refusedHeads{
    {"HTTP/1.1 000 X\r\n", HeadProblem::Status},
    {"HTTP/1.1 001 X\r\n", HeadProblem::Status},
    {"HTTP/1.1 099 X\r\n", HeadProblem::Status},
    {"HTTP/1.1 101 X\r\n", HeadProblem::Status},
    {"HTTP/1.1 600 X\r\n", HeadProblem::Status},
    {"HTTP/1.1 999 X\r\n", HeadProblem::Status},
    {"HTTP/1.1 20 X\r\n", HeadProblem::StatusLine},
    {"HTTP/1.1 2000 X\r\n", HeadProblem::StatusLine},
    {"HTTP/1.1 +20 X\r\n", HeadProblem::StatusLine},
    {"HTTP/1.1 200\r\n", HeadProblem::StatusLine},
    {"HTTP/1.1  200 X\r\n", HeadProblem::StatusLine},
    {"HTTP/2.0 200 OK\r\n", HeadProblem::StatusLine},
    {"HTTP/1.2 200 OK\r\n", HeadProblem::StatusLine},
    {"http/1.1 200 OK\r\n", HeadProblem::StatusLine},
    {"\r\nHTTP/1.1 200 OK\r\n", HeadProblem::StatusLine},
    {"HTTP/1.1 200 O\x01K\r\n", HeadProblem::StatusLine},
    {statusLine + "X Odd: 1\r\n", HeadProblem::FieldName},
    {statusLine + "X-Odd : 1\r\n", HeadProblem::FieldName},
    {statusLine + "X\x01Odd: 1\r\n", HeadProblem::FieldName},
    {statusLine + std::string("X\0Odd: 1\r\n", 10), HeadProblem::FieldName},
    {statusLine + "X\xe9Odd: 1\r\n", HeadProblem::FieldName},
    {statusLine + ": 1\r\n", HeadProblem::FieldName},
    {statusLine + "X-Odd\r\n", HeadProblem::FieldName},
    {statusLine + "X-Odd: 1\r\n folded: 2\r\n", HeadProblem::FoldedLine},
    {statusLine + "X-Odd: 1\r\n\t\r\n", HeadProblem::FoldedLine},
    {statusLine + " X-Odd: 1\r\n", HeadProblem::FoldedLine},
    {statusLine + std::string("X-Odd: a\0b\r\n", 12), HeadProblem::FieldValue},
    {statusLine + "X-Odd: a\rb\r\n", HeadProblem::FieldValue},
    {statusLine + "X-Odd: a\x7f\r\n", HeadProblem::FieldValue},
    {statusLine + "X-Odd: 1\nY: 2\r\n", HeadProblem::LineEnd},
    {"HTTP/1.1 200 OK\nX: 1\n", HeadProblem::LineEnd},
    {statusLine + "Content-Length: 12\r\nContent-Length: 3\r\n", HeadProblem::Framing},
    {statusLine + "Content-Length: 12\r\nContent-Length: 12\r\n", HeadProblem::Framing},
    {statusLine + "Content-Length: 12, 12\r\n", HeadProblem::Framing},
    {statusLine + "Content-Length: +12\r\n", HeadProblem::Framing},
    {statusLine + "Content-Length: -1\r\n", HeadProblem::Framing},
    {statusLine + "Content-Length: 99999999999999999999\r\n", HeadProblem::Framing},
    {statusLine + "Content-Length:\r\n", HeadProblem::Framing},
    {statusLine + "Content-Length: 12\r\nTransfer-Encoding: chunked\r\n", HeadProblem::Framing},
    {statusLine + "Transfer-Encoding: gzip, chunked\r\n", HeadProblem::Framing},
    {statusLine + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", HeadProblem::Framing},
    {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", HeadProblem::Framing},
    {"HTTP/1.1 103 X\r\nContent-Length: 3\r\n", HeadProblem::Framing},
    {statusLine + "X: " + std::string(http::maxResponseHeadBytes, 'x') + "\r\n", HeadProblem::TooLong},
};

const std::vector<std::string> acceptedHeads{
    statusLine,
    "HTTP/1.0 599 \r\n",
    "HTTP/1.1 100 Continue\r\n",
    statusLine + "X:\r\nY: \t a b\t\xc3\xa9 \r\n!#$%&'*+-.^_`|~09aZ: 1\r\n",
    statusLine + "Content-Length: 0012\r\n",
    statusLine + "transfer-encoding: Chunked \r\n",
};

// Checks a head that arrives in parts of the given size; returns the last result.
http::ResponseHeadCheck::Result checkInParts(const std::string &bytes, std::size_t part)
{
    http::ResponseHeadCheck check;
    http::ResponseHeadCheck::Result result;
    for (std::size_t end = 0; std::holds_alternative<http::ResponseHeadCheck::MoreNeeded>(result) && end < bytes.size();) {
        end = std::min(end + part, bytes.size());
        result = check.check(std::string_view(bytes).substr(0, end));
    }
    return result;
}

// Answers each request with a head and a body that the request's id and signature make acceptable otherwise.
std::string answerWith(const std::string &head, const std::string &id)
{
    const bool framed = head.find("Content-Length") != std::string::npos || head.find("Transfer-Encoding") != std::string::npos;
    return head + "Yuccasaddle-Attempt-Id: " + id + "\r\nYuccasaddle-Response-Signature: sig-" + id + "\r\n" + (framed ? "" : "Content-Length: 12\r\n")
        + "\r\nthe engine's";
}

std::string withBody(const std::string &head, const std::string &body)
{
    const bool framed = head.find("Content-Length") != std::string::npos || head.find("Transfer-Encoding") != std::string::npos;
    return head + (framed ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

/// A server that answers a request once it has read its head, and then ends the connection.
class EarlyServer
{
public:
    EarlyServer(Loop &loop, std::string answer, Millis wait)
        : m_answer(std::move(answer))
        , m_wait(wait)
        , m_acceptor(loop.io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , port(m_acceptor.local_endpoint().port())
    {
        asio::co_spawn(loop.io, accept(), asio::detached);
    }

private:
    Task<void> accept()
    {
        for (;;) {
            boost::system::error_code ec;
            auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
            if (ec) {
                co_return;
            }
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }
    Task<void> serve(tcp::socket socket)
    {
        char buffer[1024];
        boost::system::error_code ec;
        co_await socket.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, ec));
        co_await sendBytes(socket, m_answer);
        if (m_wait > Millis(0)) {
            co_await sleepFor(m_wait);
        }
        resetConnection(socket);
    }

    std::string m_answer;
    Millis m_wait;
    tcp::acceptor m_acceptor;

public:
    uint16_t port;
};

constexpr std::size_t uploadBytes = 4 * 1024 * 1024;
constexpr int earlyTries = 40;

// Returns how many of some uploads got a whole answer.
int wholeAnswersToUploads(Loop &loop, http::Address to, std::optional<http::TunnelRequest> tunnel)
{
    http::Client client;
    int whole = 0;
    for (int i = 0; i < earlyTries; ++i) {
        http::CallOptions options;
        options.deadline = Clock::now() + std::chrono::seconds(10);
        options.tunnel = tunnel;
        const auto called = loop.run(client.call(to, http::makeRequest("POST", "/x", std::string(uploadBytes, 'u')), options));
        whole += std::holds_alternative<http::Reply>(called) ? 1 : 0;
    }
    return whole;
}

} // namespace

TEST_GROUP(ResponseHead){};

TEST(ResponseHead, MalformedHeadIsRefusedInWhateverPartsItArrives)
{
    for (const auto &[head, problem] : refusedHeads) {
        for (const std::size_t part : {std::size_t(1), std::size_t(7), std::size_t(200000)}) {
            const auto result = checkInParts(head + "\r\n", part);
            CHECK_TEXT(std::holds_alternative<HeadProblem>(result), head.substr(0, 80).c_str());
            CHECK_TEXT(std::get<HeadProblem>(result) == problem, head.substr(0, 80).c_str());
        }
    }
}

TEST(ResponseHead, WellFormedHeadEndsWithItsEmptyLine)
{
    for (const auto &head : acceptedHeads) {
        const std::string bytes = head + "\r\n";
        http::ResponseHeadCheck check;
        const auto result = check.check(bytes + "body\r\n\r\n");
        CHECK_TEXT(std::holds_alternative<std::size_t>(result), head.c_str());
        LONGS_EQUAL(bytes.size(), std::get<std::size_t>(result));
        CHECK(std::holds_alternative<std::size_t>(checkInParts(bytes, 1)));
    }
}

TEST(ResponseHead, AnotherProtocolIsAcceptedOnlyIfItWasRequested)
{
    const std::string head = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: yucca-relay\r\n\r\n";
    CHECK(std::holds_alternative<HeadProblem>(http::ResponseHeadCheck().check(head)));
    CHECK(std::holds_alternative<std::size_t>(http::ResponseHeadCheck(http::Upgrade::Requested).check(head)));
}

TEST(ResponseHead, BytesThatAreNoHeadAreRefusedBeforeTheirLineEnds)
{
    CHECK(std::holds_alternative<HeadProblem>(http::ResponseHeadCheck().check("HTTQ")));
    CHECK(std::holds_alternative<http::ResponseHeadCheck::MoreNeeded>(http::ResponseHeadCheck().check("HTTP")));
}

LOOP_GROUP(AcceptedAnswers);

TEST(AcceptedAnswers, CallerGetsNoAnswerWithAMalformedHeadDirectlyOrThroughATunnel)
{
    for (const bool tunnel : {false, true}) {
        std::string head;
        ScriptedEndpoint endpoint(loop(), [&head](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
            co_await sendBytes(socket, answerWith(head, idOf(request)));
            socket.close();
        });
        PeerRouter peer(loop(), {{"e1", {"s", endpoint.port}}});
        EntryFixture fixture(loop(), {{"e1", {"s", tunnel ? closedPort(loop()) : endpoint.port}}});
        usePeers(fixture, {peer.address});
        head = statusLine;
        LONGS_EQUAL(200, fixture.reply("POST", "/book/1", "a0").status);
        for (const auto &refused : refusedHeads) {
            head = refused.head;
            const auto seen = endpoint.seen.size();
            LONGS_EQUAL_TEXT(502, fixture.reply("POST", "/book/1", "a1").status, head.substr(0, 80).c_str());
            LONGS_EQUAL(seen + 1, endpoint.seen.size());
        }
    }
}

TEST(AcceptedAnswers, StoreAndPeersAreNotBelievedWithAMalformedHead)
{
    std::string head;
    std::string body;
    ScriptedEndpoint server(loop(), [&](tcp::socket &socket, const ReceivedRequest &) -> Task<void> {
        co_await sendBytes(socket, withBody(head, body));
        socket.close();
    });
    const http::Address address{"127.0.0.1", server.port};
    platform::StoreClient store(address);
    replica::ChangeClient changes;
    const auto encoded = replica::encode({});
    const std::string noChanges(encoded.begin(), encoded.end());
    const auto readFromBoth = [&](const std::string &sent) {
        head = sent;
        body = R"({"items":[],"store_revision":1})";
        const bool listed = yucca::ok(loop().run(store.list("k", "", platform::Freshness::Current)));
        body = noChanges;
        const bool fetched = yucca::ok(loop().run(changes.fetch(address, "k", {}, replica::TransferLimit::Regular)));
        return std::pair(listed, fetched);
    };
    CHECK(readFromBoth(statusLine) == std::pair(true, true));
    for (const auto &refused : refusedHeads) {
        CHECK_TEXT(readFromBoth(refused.head) == std::pair(false, false), refused.head.substr(0, 80).c_str());
    }
}

TEST(AcceptedAnswers, TunnelIsNotOpenedByAMalformedHead)
{
    for (const char *head : {"HTTP/1.1 101 X\r\nRelay-Framing : cbor-seq\r\n\r\n", "HTTP/1.1 101 X\r\nA: 1\r\n Relay-Framing: cbor-seq\r\n\r\n",
                             "HTTP/1.1 101 X\nRelay-Framing: cbor-seq\n\n", "HTTP/1.1 101 X\r\nContent-Length: 3\r\n\r\n", "nonsense\r\n\r\n"}) {
        ScriptedEndpoint peer(loop(), [head](tcp::socket &socket, const ReceivedRequest &) -> Task<void> {
            co_await sendBytes(socket, head);
        });
        http::Client client;
        const auto status = loop().run(client.tryTunnel({{"127.0.0.1", peer.port}, "e1#0", Millis(1000)}, Millis(1000)));
        CHECK_TEXT(status.has_value(), head);
    }
}

TEST(AcceptedAnswers, AnswerWithoutALengthThatIsResetDuringAnUploadIsNotWhole)
{
    for (const auto wait : {Millis(0), Millis(5)}) {
        EarlyServer server(loop(), statusLine + "\r\n" + std::string(1000, 'p'), wait);
        LONGS_EQUAL(0, wholeAnswersToUploads(loop(), {"127.0.0.1", server.port}, std::nullopt));
    }
}

TEST(AcceptedAnswers, AnswerWithoutALengthThatIsResetDuringAnUploadThroughATunnelIsNotWhole)
{
    for (const auto wait : {Millis(0), Millis(5)}) {
        EarlyServer server(loop(), statusLine + "\r\n" + std::string(1000, 'p'), wait);
        PeerRouter peer(loop(), {{"e1", {"s", server.port}}});
        const http::TunnelRequest tunnel{peer.address, incarnationKey(peer.table.endpoints()[0]), Millis(10000)};
        LONGS_EQUAL(0, wholeAnswersToUploads(loop(), peer.address, tunnel));
    }
}

// The endpoint ends its answer, and reads the rest of the request.
TEST(AcceptedAnswers, AnswerWithoutALengthThatEndsInOrderDuringAnUploadIsWhole)
{
    tcp::acceptor acceptor(loop().io, {asio::ip::make_address("127.0.0.1"), 0});
    const auto serve = [](tcp::acceptor &listening) -> Task<bool> {
        auto socket = co_await listening.async_accept(asio::use_awaitable);
        co_await sendBytes(socket, statusLine + "\r\npart and whole");
        socket.shutdown(tcp::socket::shutdown_send);
        std::vector<char> buffer(65536);
        boost::system::error_code ec;
        while (!ec) {
            co_await socket.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, ec));
        }
        co_return true;
    };
    std::optional<bool> served;
    loop().start(serve(acceptor), served);
    http::Client client;
    http::CallOptions options;
    options.deadline = Clock::now() + std::chrono::seconds(10);
    const http::Address to{"127.0.0.1", acceptor.local_endpoint().port()};
    const auto called = loop().run(client.call(to, http::makeRequest("POST", "/x", std::string(uploadBytes, 'u')), options));
    CHECK(std::holds_alternative<http::Reply>(called));
    STRCMP_EQUAL("part and whole", std::get<http::Reply>(called).body.c_str());
}

LOOP_GROUP(BrokenAnswers);

namespace
{

const std::vector<std::string> headsToBreak{statusLine + "Content-Length: 12\r\n", statusLine + "Transfer-Encoding: chunked\r\n", statusLine,
                                            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + statusLine, statusLine + "Content-Length: 0\r\n"};

Task<void> sendPart(tcp::socket &socket, std::string bytes, bool reset)
{
    co_await sendBytes(socket, std::move(bytes));
    if (reset) {
        co_await sleepFor(Millis(2)); // the bytes must arrive before the reset
        resetConnection(socket);
    } else {
        socket.close();
    }
}

} // namespace

// Guards against a success with an empty or short body, framed as whole, made of a head that broke off.
TEST(BrokenAnswers, HeadThatBreaksOffAtAnyByteIsNoSuccessDirectlyOrThroughATunnel)
{
    constexpr std::size_t step = 5;
    for (const bool tunnel : {false, true}) {
        std::string bytes;
        bool reset = false;
        ScriptedEndpoint endpoint(loop(), [&](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
            auto head = bytes;
            if (const auto at = head.find("ID"); at != std::string::npos) {
                head.replace(at, 2, idOf(request));
            }
            co_await sendPart(socket, std::move(head), reset);
        });
        PeerRouter peer(loop(), {{"e1", {"s", endpoint.port}}});
        EntryFixture fixture(loop(), {{"e1", {"s", tunnel ? closedPort(loop()) : endpoint.port}}});
        usePeers(fixture, {peer.address});
        for (const auto &head : headsToBreak) {
            const auto whole = head + "Yuccasaddle-Attempt-Id: ID\r\nYuccasaddle-Response-Signature: s\r\n\r\n";
            for (std::size_t length = 0; length < whole.size(); length += step) {
                bytes = whole.substr(0, length);
                reset = length % 2 == 0;
                const auto seen = endpoint.seen.size();
                const auto reply = fixture.reply("POST", "/book/1", "a1");
                LONGS_EQUAL_TEXT(502, reply.status, bytes.c_str());
                LONGS_EQUAL_TEXT(seen + 1, endpoint.seen.size(), bytes.c_str()); // a call that may run once is not sent again
            }
        }
    }
}

// Guards against half a list, or half of the changes that a router hands on, being taken for all of it.
TEST(BrokenAnswers, PartOfAListOrOfChangesIsNotUsed)
{
    std::string bytes;
    bool reset = false;
    ScriptedEndpoint server(loop(), [&](tcp::socket &socket, const ReceivedRequest &) {
        return sendPart(socket, bytes, reset);
    });
    const http::Address address{"127.0.0.1", server.port};
    platform::StoreClient store(address);
    replica::ChangeClient changes;
    replica::Changes handedOn;
    handedOn.revision = 7;
    for (int i = 0; i < 5; ++i) {
        handedOn.objects.push_back({"e" + std::to_string(i), 3, nlohmann::json{{"slots", i}}});
    }
    const auto encoded = replica::encode(handedOn);
    const std::string list =
        R"({"items":[{"metadata":{"name":"a","revision":1},"spec":{"x":1}},{"metadata":{"name":"b","revision":2},"spec":{}}],"has_more":false,"store_revision":9})";
    for (const auto &body : {list, std::string(encoded.begin(), encoded.end())}) {
        for (const auto &framing : {"Content-Length: " + std::to_string(body.size()) + "\r\n", std::string()}) {
            const auto whole = statusLine + framing + "\r\n" + body;
            const auto isRead = [&](std::size_t length) {
                bytes = whole.substr(0, length);
                reset = length % 3 == 0;
                if (body == list) {
                    return yucca::ok(loop().run(store.list("k", "", platform::Freshness::Current)));
                }
                return yucca::ok(loop().run(changes.fetch(address, "k", {}, replica::TransferLimit::Regular)));
            };
            for (std::size_t length = 0; length < whole.size(); length += 7) {
                CHECK_TEXT(!isRead(length), bytes.c_str());
            }
            bytes = whole;
            CHECK(isRead(whole.size()) || whole.size() % 3 == 0);
        }
    }
}

// Guards against a sound answer being refused because its head comes in pieces.
TEST(BrokenAnswers, HeadThatComesInPiecesOrPausesIsRead)
{
    for (const bool tunnel : {false, true}) {
        std::size_t part = 1;
        Millis pause{0};
        ScriptedEndpoint endpoint(loop(), [&](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
            socket.set_option(tcp::no_delay(true));
            const auto answer = answerWith(statusLine, idOf(request));
            for (std::size_t at = 0; at < answer.size(); at += part) {
                co_await sendBytes(socket, answer.substr(at, part));
                co_await sleepFor(pause);
            }
            socket.close();
        });
        PeerRouter peer(loop(), {{"e1", {"s", endpoint.port}}});
        EntryFixture fixture(loop(), {{"e1", {"s", tunnel ? closedPort(loop()) : endpoint.port}}});
        usePeers(fixture, {peer.address});
        LONGS_EQUAL(200, fixture.reply("POST", "/book/1", "a1").status);
        part = 40;
        pause = Millis(300);
        LONGS_EQUAL(200, fixture.reply("POST", "/book/1", "a2").status);
    }
}
