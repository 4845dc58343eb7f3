// Tests of evacuated failure domains, and of the limits on requests to cold endpoints after their
// return, which several routers enforce independently.
#include "control_fixture.h"

// CppUTest must be included last: its memory-leak macros redefine operator new.
#include "loop_group.h"

#include <algorithm>

using namespace yucca;
using namespace yucca::fixture;

namespace
{

const char *const evacuations = platform::ObjectCodec::evacuationKind;

} // namespace

LOOP_GROUP(Evacuation);

TEST(Evacuation, RouterIsNotReadyBeforeItKnowsTheEvacuationOrders)
{
    ControlFixture fixture;
    fixture.store.put(evacuations, "north", nlohmann::json::object(), std::nullopt);
    fixture.start(loop());
    CHECK(!fixture.published.ready());
    CHECK(loop().run(fixture.control.stepEvacuations()));
    CHECK(fixture.published.ready());
    CHECK((fixture.placementTargets() == std::set<std::string>{"i-south"}));
}

TEST(Evacuation, EvacuationOrdersCanBeWithdrawnAndRepeated)
{
    ControlFixture fixture;
    fixture.start(loop());
    CHECK(loop().run(fixture.control.stepEvacuations()));
    const std::set<std::string> both{"i-north", "i-south"};
    for (int round = 0; round < 2; ++round) {
        CHECK(fixture.placementTargets() == both);
        fixture.store.put(evacuations, "north", nlohmann::json::object(), std::nullopt);
        CHECK(loop().run(fixture.control.stepEvacuations()));
        CHECK((fixture.placementTargets() == std::set<std::string>{"i-south"}));
        fixture.store.put(evacuations, "south", nlohmann::json::object(), std::nullopt);
        CHECK(loop().run(fixture.control.stepEvacuations()));
        CHECK((fixture.placementTargets() == std::set<std::string>{""}));
        fixture.store.remove(evacuations, "north", std::nullopt);
        fixture.store.remove(evacuations, "south", std::nullopt);
        CHECK(loop().run(fixture.control.stepEvacuations()));
    }
    CHECK(fixture.placementTargets() == both);
}

TEST(Evacuation, MalformedOrderAppliesAndOrderForUnknownDomainHasNoEffect)
{
    ControlFixture fixture;
    fixture.store.put(evacuations, "north", nlohmann::json(), std::nullopt);
    fixture.store.put(evacuations, "nowhere", "?", std::nullopt);
    fixture.start(loop());
    CHECK(loop().run(fixture.control.stepEvacuations()));
    CHECK((fixture.placementTargets() == std::set<std::string>{"i-south"}));
}

TEST(Evacuation, LastOrdersApplyDuringAStoreOutageAndChangesFollow)
{
    ControlFixture fixture;
    fixture.store.put(evacuations, "north", nlohmann::json::object(), std::nullopt);
    fixture.start(loop());
    CHECK(loop().run(fixture.control.stepEvacuations()));
    fixture.api.outage = true;
    CHECK(!loop().run(fixture.control.stepEvacuations()));
    CHECK((fixture.placementTargets() == std::set<std::string>{"i-south"}));
    fixture.store.remove(evacuations, "north", std::nullopt);
    fixture.store.put(evacuations, "south", nlohmann::json::object(), std::nullopt);
    fixture.store.compact(); // the history of its changes is lost as well
    fixture.api.outage = false;
    CHECK(loop().run(fixture.control.stepEvacuations()));
    CHECK(loop().run(fixture.control.stepEvacuations()));
    CHECK((fixture.placementTargets() == std::set<std::string>{"i-north"}));
}

namespace
{

Task<void> answerOk(tcp::socket &socket, const ReceivedRequest &request)
{
    co_await sendBytes(socket, signedAnswer(request.header("Yuccasaddle-Attempt-Id"), "ok"));
}

// Lists endpoints of a service at a router; places maps ids to failure domain and port.
void listIn(EntryFixture &fixture, const std::string &service, const std::map<std::string, std::pair<std::string, uint16_t>> &places)
{
    std::map<std::string, Endpoint> listed;
    for (const auto &[id, place] : places) {
        auto e = endpointAt(id, place.second, service, EndpointKind::Service);
        e.zone = place.first;
        listed.emplace(id, e);
    }
    fixture.published.replaceEndpoints(listed);
}

} // namespace

TEST(Evacuation, EvacuationAppliesToKeepAliveConnectionsAndRetries)
{
    ScriptedEndpoint north(loop(), answerOk);
    ScriptedEndpoint south(loop(), [](tcp::socket &socket, const ReceivedRequest &) -> Task<void> {
        resetConnection(socket);
        co_return;
    });
    EntryFixture fixture(loop(), {});
    listIn(fixture, "s", {{"n", {"north", north.port}}, {"s", {"south", south.port}}});
    for (int n = 0; n < 8; ++n) {
        fixture.reply("GET", "/remind/1", "before-" + std::to_string(n));
    }
    CHECK(!north.seen.empty());
    const auto before = north.seen.size();
    fixture.published.setEvacuated("north", true);
    for (int n = 0; n < 8; ++n) {
        const auto reply = fixture.reply("GET", "/remind/1", "after-" + std::to_string(n));
        CHECK(reply.status != 200); // the only other endpoint resets every connection
    }
    LONGS_EQUAL(before, north.seen.size());
}

TEST(Evacuation, StreamInFlightCompletesAfterEvacuation)
{
    ScriptedEndpoint north(loop(), [](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        co_await sendBytes(socket, streamHead(request.header("Yuccasaddle-Attempt-Id")));
        for (int event = 1; event <= 10; ++event) {
            co_await sleepFor(Millis(10));
            co_await sendBytes(socket, chunk(eventNumber(event)));
        }
        co_await sendBytes(socket, "0\r\n\r\n");
    });
    EntryFixture fixture(loop(), {});
    listIn(fixture, "m", {{"n", {"north", north.port}}});
    std::optional<http::CallResult<http::Reply>> answer;
    loop().start(fixture.send("POST", "/chat/1", EntryFixture::caller("c1"), "{}"), answer);
    loop().runUntil([&] {
        return !north.seen.empty();
    });
    fixture.published.setEvacuated("north", true);
    CHECK(!fixture.table.acquire("m", {1, 1}, {}, Clock::now()));
    loop().runUntil([&] {
        return answer.has_value();
    });
    const auto *reply = std::get_if<http::Reply>(&*answer);
    CHECK(reply && reply->status == 200 && reply->body.find("token10") != std::string::npos);
}

TEST(Evacuation, RequestIsRejectedAtOnceWhenAllDomainsAreEvacuated)
{
    ScriptedEndpoint north(loop(), answerOk);
    EntryFixture fixture(loop(), {});
    listIn(fixture, "s", {{"n", {"north", north.port}}});
    fixture.published.setEvacuated("north", true);
    const auto began = Clock::now();
    const auto reply = fixture.reply("POST", "/book/1", "b1");
    CHECK(Clock::now() - began < Millis(500));
    LONGS_EQUAL(503, reply.status);
    STRCMP_EQUAL("evacuated", reply.body.c_str());
    CHECK(north.seen.empty());
    fixture.published.setEvacuated("north", false);
    LONGS_EQUAL(200, fixture.reply("POST", "/book/1", "b2").status);
}

namespace
{

constexpr double coldPerSecond = 8.9;
constexpr double boundPerSecond = coldPerSecond * 1.5 + 5;

/// An endpoint that records the arrival times of requests, and a number of routers in front of it.
class ColdFleet
{
public:
    ColdFleet(Loop &loop, std::size_t routers)
        : m_loop(loop)
        , m_cold(loop, [this](tcp::socket &socket, const ReceivedRequest &request) {
            m_arrivals.push_back(Clock::now());
            return answerOk(socket, request);
        })
    {
        auto configuration = entryConfiguration(2);
        configuration["services"][0]["cold_start_s"] = 3.0;
        configuration["services"][0]["cold_per_s"] = coldPerSecond;
        for (std::size_t n = 0; n < routers; ++n) {
            m_routers.push_back(std::make_unique<EntryFixture>(loop, std::map<std::string, std::pair<std::string, uint16_t>>{{"n", {"s", m_cold.port}}}));
            m_routers.back()->configure(configuration);
        }
    }
    EntryFixture &operator[](std::size_t n)
    {
        return *m_routers[n];
    }
    // Makes all routers known to each other.
    void connectRouters()
    {
        for (std::size_t n = 0; n < m_routers.size(); ++n) {
            std::vector<std::string> others;
            for (std::size_t other = 0; other < m_routers.size(); ++other) {
                if (other != n) {
                    others.push_back("r" + std::to_string(other));
                }
            }
            m_routers[n]->table.setRouters("r" + std::to_string(n), others);
        }
    }
    void becomeCold()
    {
        for (auto &router : m_routers) {
            router->table.recordCold("n", Clock::now() + std::chrono::seconds(10));
        }
    }
    // Sends consecutive requests to each router for the given time.
    void load(Millis duration)
    {
        std::vector<std::optional<bool>> done(m_routers.size());
        for (std::size_t n = 0; n < m_routers.size(); ++n) {
            m_loop.start(callUntil(*m_routers[n], "r" + std::to_string(n), Clock::now() + duration), done[n]);
        }
        m_loop.runUntil([&] {
            return std::all_of(done.begin(), done.end(), [](const auto &d) {
                return d.has_value();
            });
        });
    }
    std::size_t maxInOneSecond() const
    {
        std::size_t most = 0;
        for (auto first = m_arrivals.begin(); first != m_arrivals.end(); ++first) {
            const auto last = std::find_if(first, m_arrivals.end(), [&](Clock::time_point at) {
                return at - *first >= std::chrono::seconds(1);
            });
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }
    std::size_t refused = 0;

private:
    Task<bool> callUntil(EntryFixture &router, std::string name, Clock::time_point end)
    {
        for (int n = 0; Clock::now() < end; ++n) {
            const auto reply = co_await router.send("POST", "/book/1", EntryFixture::caller(name + "-" + std::to_string(n)), "{}");
            const auto *answer = std::get_if<http::Reply>(&reply);
            refused += answer && answer->status == 503 && answer->body == "cold" ? 1 : 0;
            co_await sleepFor(Millis(5));
        }
        co_return true;
    }

    Loop &m_loop;
    std::vector<Clock::time_point> m_arrivals;
    ScriptedEndpoint m_cold;
    std::vector<std::unique_ptr<EntryFixture>> m_routers;
};

} // namespace

LOOP_GROUP(ColdEndpoint);

TEST(ColdEndpoint, ConnectedRoutersStayWithinTheColdLimitAndUseMostOfIt)
{
    ColdFleet fleet(loop(), 4);
    fleet.connectRouters();
    fleet.becomeCold();
    fleet.load(Millis(2200));
    CHECK(static_cast<double>(fleet.maxInOneSecond()) <= boundPerSecond);
    CHECK(fleet.maxInOneSecond() >= 6); // of the 8.9 requests that it can handle
    CHECK(fleet.refused > 0);
}

TEST(ColdEndpoint, RouterThatJustStartedSendsNothingToAColdEndpoint)
{
    ColdFleet fleet(loop(), 1);
    fleet.becomeCold();
    fleet.load(Millis(200));
    LONGS_EQUAL(0, fleet.maxInOneSecond());
    CHECK(fleet.refused > 0);
}
