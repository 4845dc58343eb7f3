// Tests of endpoints that restart under the same id. A restarted endpoint holds no state, so
// nothing that was learned of its earlier incarnation may apply to it.
#include "entry_fixture.h"

#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;

namespace
{

constexpr int64_t firstStart = 1796260000000; // Unix time in ms
constexpr int64_t secondStart = firstStart + 5000;

Endpoint engine(const std::string &id, uint16_t port, int64_t startedAtMs)
{
    auto e = endpointAt(id, port, "m", EndpointKind::Engine);
    e.startedAtMs = startedAtMs;
    return e;
}

router::TableOptions leastLoaded()
{
    router::TableOptions options;
    options.policy = Policy::LeastLoaded;
    return options;
}

} // namespace

TEST_GROUP(Incarnation)
{
    router::RoutingTable table{leastLoaded()};
    Clock::time_point now{std::chrono::hours(1)};

    void list(int64_t bornOfA)
    {
        table.setEndpoints({engine("a", 1, bornOfA), engine("b", 2, firstStart)}, now);
    }
    uint64_t promptWithHome(const std::string &id)
    {
        uint64_t prompt = 1;
        while (table.homeOf("m", prompt)->id != id) {
            ++prompt;
        }
        return prompt;
    }
    std::string chosen()
    {
        const auto e = table.acquire("m", {1, 1}, {}, now);
        table.release(*e, now);
        return e->id;
    }
};

TEST(Incarnation, LoadReportsAreDiscardedAtARestart)
{
    list(firstStart);
    table.recordLoadReport("a", 40, now);
    table.recordLoadReport("b", 5, now);
    STRCMP_EQUAL("b", chosen().c_str());
    now += std::chrono::seconds(1);
    list(secondStart);
    STRCMP_EQUAL("a", chosen().c_str());
    CHECK(table.joinedAt("a") == now);
    CHECK(table.joinedAt("b") == Clock::time_point{});
    LONGS_EQUAL(1, table.restartCount());
}

TEST(Incarnation, PeerReportOnTheEarlierIncarnationIsIgnored)
{
    list(firstStart);
    const auto receivedAt = now;
    now += std::chrono::seconds(1);
    list(secondStart);
    table.recordLoadReport("b", 5, now);
    table.mergePeerReport({"a", 40, receivedAt}, now);
    STRCMP_EQUAL("a", chosen().c_str());
    table.mergePeerReport({"a", 40, now}, now); // a report on the current incarnation
    STRCMP_EQUAL("b", chosen().c_str());
}

TEST(Incarnation, EjectionAndSuspicionEndAtARestart)
{
    list(firstStart);
    table.eject("a", now + std::chrono::seconds(8));
    table.suspect("a", now);
    table.recordLoadReport("b", 5, now);
    STRCMP_EQUAL("b", chosen().c_str());
    list(secondStart);
    STRCMP_EQUAL("a", chosen().c_str());
}

TEST(Incarnation, RequestOfTheEarlierIncarnationDoesNotChangeInflightCount)
{
    list(firstStart);
    table.recordLoadReport("b", 50, now);
    const auto before = table.acquire("m", {1, 1}, {}, now);
    STRCMP_EQUAL("a", before->id.c_str());
    list(secondStart);
    table.recordLoadReport("b", 50, now);
    const auto after = table.acquire("m", {1, 1}, {}, now);
    STRCMP_EQUAL("a", after->id.c_str());
    table.release(*before, now);
    const auto status = table.status();
    LONGS_EQUAL(1, status[0]["inflight"].get<int>());
    CHECK(!table.isCurrentIncarnation(*before));
    CHECK(table.isCurrentIncarnation(*after));
}

TEST(Incarnation, RestartedEndpointIsNotAHolderOfEarlierPrompts)
{
    list(firstStart);
    const auto a = engine("a", 1, firstStart);
    const auto b = engine("b", 2, firstStart);
    const uint64_t prompt = promptWithHome("b"); // so that no other endpoint would be asked to fetch it from "a"
    table.recordPromptHolder(prompt, a, now);
    STRCMP_EQUAL("a", table.estimatePrompt(prompt, b, now).source->id.c_str());
    now += std::chrono::seconds(1);
    list(secondStart);
    CHECK(!table.estimatePrompt(prompt, b, now).source.has_value());
    table.recordPromptHolder(prompt, a, now); // a late response of the earlier incarnation
    CHECK(!table.estimatePrompt(prompt, b, now).source.has_value());
}

LOOP_GROUP(IncarnationTraffic);

namespace
{

// Sends events up to the one numbered last, then nothing more, and keeps the connection open: a
// hung engine.
ScriptedEndpoint::Script hanging(int last)
{
    return [=](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        co_await sendBytes(socket, streamHead(request.header("Yuccasaddle-Attempt-Id")));
        for (int i = 1; i <= last; ++i) {
            co_await sendBytes(socket, chunk(eventNumber(i)));
        }
        asio::steady_timer forever(socket.get_executor(), std::chrono::hours(1));
        boost::system::error_code ec;
        co_await forever.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    };
}

ScriptedEndpoint::Script streaming(int last)
{
    return [=](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        const std::string resume = request.header("Last-Event-Id");
        co_await sendBytes(socket, streamHead(request.header("Yuccasaddle-Attempt-Id")));
        for (int i = resume == "(none)" ? 1 : std::stoi(resume) + 1; i <= last; ++i) {
            co_await sendBytes(socket, chunk(eventNumber(i)));
        }
        co_await sendBytes(socket, "0\r\n\r\n");
    };
}

std::string eventsUpTo(int last)
{
    std::string out;
    for (int i = 1; i <= last; ++i) {
        out += eventNumber(i);
    }
    return out;
}

} // namespace

TEST(IncarnationTraffic, StreamOfAHungEngineResumesElsewhereAfterItsRestart)
{
    ScriptedEndpoint hung(loop(), hanging(2));
    ScriptedEndpoint healthy(loop(), streaming(4));
    EntryFixture fixture(loop(), {});
    fixture.published.replaceEndpoints({{"a", engine("a", hung.port, firstStart)}});
    std::optional<http::CallResult<http::Reply>> result;
    asio::co_spawn(loop().io, fixture.send("POST", "/chat/1", EntryFixture::caller("q1"), ""), [&](std::exception_ptr, http::CallResult<http::Reply> r) {
        result = std::move(r);
    });
    loop().runUntil([&] {
        return !hung.seen.empty();
    });
    fixture.published.replaceEndpoints({{"a", engine("a", hung.port, secondStart)}, {"b", engine("b", healthy.port, firstStart)}});
    fixture.gateway.cancelAttemptsAtRestarted();
    loop().runUntil([&] {
        return result.has_value();
    });
    CHECK(std::holds_alternative<http::Reply>(*result));
    STRCMP_EQUAL(eventsUpTo(4).c_str(), std::get<http::Reply>(*result).body.c_str());
    LONGS_EQUAL(1, healthy.seen.size());
}

TEST(IncarnationTraffic, KeepAliveConnectionsOfTheEarlierIncarnationAreNotReused)
{
    ScriptedEndpoint a(loop(), streaming(1));
    EntryFixture fixture(loop(), {});
    fixture.published.replaceEndpoints({{"a", engine("a", a.port, firstStart)}});
    fixture.reply("POST", "/chat/1", "q1");
    fixture.reply("POST", "/chat/1", "q2");
    LONGS_EQUAL(1, a.connections);
    fixture.published.replaceEndpoints({{"a", engine("a", a.port, secondStart)}});
    fixture.reply("POST", "/chat/1", "q3");
    LONGS_EQUAL(2, a.connections);
}
