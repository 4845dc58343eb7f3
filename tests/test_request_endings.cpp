// Guards against requests that were read whole and end without a whole answer or a refusal beside changes of the configuration
// and of the list of endpoints. docs/design/request-endings.md lists all cases.
#include "endings_fixture.h"

// CppUTest goes last: its memory-leak macros redefine operator new.
#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;

namespace
{

constexpr int64_t earlierStart = 1796260000000; // Unix time in ms
constexpr int64_t start = earlierStart + 5000;
constexpr int64_t laterStart = start + 5000;

/// One request of each kind: at most once, repeatable, a resumable stream, a stream that is not.
constexpr std::array<const char *, 4> targets{"/book/1", "/remind/1", "/chat/1", "/once/1"};

// A configuration whose time limits do not end requests of these tests.
nlohmann::json patientConfiguration(int64_t version)
{
    auto configuration = entryConfiguration(version);
    for (auto &route : configuration["routes"]) {
        route["timeout_ms"] = 20000;
        route["target_latency_ms"] = 10000;
        if (route.contains("gap_aim_ms")) {
            route["gap_aim_ms"] = 5000;
        }
    }
    return configuration;
}

/// A router with one request of each kind under way at two gated engines: e1 of service s and e2 of service m.
struct RequestsUnderWay {
    explicit RequestsUnderWay(Loop &l)
        : loop(l)
        , plain(l)
        , model(l)
        , fixture(l, {})
    {
        fixture.configure(patientConfiguration(2));
        list({plainEntry(start), modelEntry(start)});
        int n = 0;
        for (const char *target : targets) {
            asio::co_spawn(loop.io, request(fixture, target, "a" + std::to_string(++n), received[target]), asio::detached);
        }
        require(becomesTrue(loop, [this] {
            const bool begun = received["/chat/1"].body == eventsUpTo(1) && received["/once/1"].body == eventsUpTo(1);
            return plain.endpoint.seen.size() == 2 && begun;
        }));
    }

    Endpoint plainEntry(int64_t startedAtMs) const
    {
        return entryOf("e1", plain, "s", startedAtMs);
    }
    Endpoint modelEntry(int64_t startedAtMs) const
    {
        return entryOf("e2", model, "m", startedAtMs);
    }
    static Endpoint entryOf(const std::string &id, const GatedEngine &engine, const std::string &service, int64_t startedAtMs)
    {
        auto entry = endpointAt(id, engine.endpoint.port, service, EndpointKind::Service);
        entry.startedAtMs = startedAtMs;
        return entry;
    }
    /// Replaces the list of endpoints, as the control thread does.
    void list(const std::vector<Endpoint> &endpoints)
    {
        std::map<std::string, Endpoint> listed;
        for (const auto &endpoint : endpoints) {
            listed.emplace(endpoint.id, endpoint);
        }
        fixture.published.replaceEndpoints(listed);
        fixture.gateway.cancelAttemptsAtRestarted();
    }
    /// Applies a configuration and its limits on callers, as the control thread does.
    void configure(const nlohmann::json &configuration)
    {
        fixture.configure(configuration);
        fixture.server.setLimits(fixture.published.configuration()->callerLimits);
    }
    /// Lets the engines complete their answers and waits for the ends of all requests.
    void complete()
    {
        plain.goOn();
        model.goOn();
        require(becomesTrue(
            loop,
            [this] {
                return std::all_of(received.begin(), received.end(), [](const auto &entry) {
                    return entry.second.ended;
                });
            },
            Millis(30000)));
    }

    Loop &loop;
    GatedEngine plain;
    GatedEngine model;
    EntryFixture fixture;
    std::map<std::string, Received> received; ///< by target
};

void checkAllWhole(RequestsUnderWay &requests)
{
    requests.complete();
    LONGS_EQUAL(2, requests.plain.endpoint.seen.size()); // none was sent twice
    LONGS_EQUAL(2, requests.model.endpoint.seen.size());
    for (const char *target : targets) {
        const auto &response = requests.received[target];
        const bool streams = std::string(target) == "/chat/1" || std::string(target) == "/once/1";
        LONGS_EQUAL_TEXT(200, response.status, target);
        CHECK_TEXT(response.complete, target);
        STRCMP_EQUAL_TEXT(streams ? eventsUpTo(2).c_str() : "ok", response.body.c_str(), target);
    }
}

int64_t inflightAt(const EntryFixture &fixture, const std::string &id)
{
    const auto status = fixture.table.status();
    const auto entry = std::find_if(status.begin(), status.end(), [&id](const auto &endpoint) {
        return endpoint["id"] == id;
    });
    return entry == status.end() ? -1 : (*entry)["inflight"].template get<int64_t>();
}

} // namespace

LOOP_GROUP(ConfigurationBesideRequests);

TEST(ConfigurationBesideRequests, RequestsUnderWayEndWholeWhenTheirRoutesAreDropped)
{
    RequestsUnderWay requests(loop());
    auto configuration = patientConfiguration(3);
    configuration["routes"] = nlohmann::json::array();
    requests.configure(configuration);
    checkAllWhole(requests);
}

TEST(ConfigurationBesideRequests, RequestsUnderWayEndWholeWhenTheirServicesAreDropped)
{
    RequestsUnderWay requests(loop());
    auto configuration = patientConfiguration(3);
    configuration["routes"] = nlohmann::json::array();
    configuration["services"] = nlohmann::json::array();
    requests.configure(configuration);
    checkAllWhole(requests);
}

TEST(ConfigurationBesideRequests, RequestsUnderWayEndWholeWhenTheirRoutesMoveToAnotherService)
{
    RequestsUnderWay requests(loop());
    auto configuration = patientConfiguration(3);
    configuration["services"].push_back({{"name", "other"}, {"max_conns", 1}});
    for (auto &route : configuration["routes"]) {
        route["service"] = "other";
    }
    requests.configure(configuration);
    checkAllWhole(requests);
}

TEST(ConfigurationBesideRequests, RequestsUnderWayEndWholeWhenTheirServicesBecomeModelEnginesOrCeaseToBe)
{
    RequestsUnderWay requests(loop());
    auto configuration = patientConfiguration(3);
    configuration["services"][0]["engine"] = configuration["services"][1]["engine"];
    configuration["services"][1].erase("engine");
    requests.configure(configuration);
    checkAllWhole(requests);
}

TEST(ConfigurationBesideRequests, RequestsUnderWayEndWholeWhenTheirKeyIsRevoked)
{
    RequestsUnderWay requests(loop());
    auto configuration = patientConfiguration(3);
    configuration["tenants"][0]["api_keys"] = nlohmann::json::array();
    requests.configure(configuration);
    checkAllWhole(requests);
    LONGS_EQUAL(401, requests.fixture.reply("POST", "/book/1", "b1").status);
}

TEST(ConfigurationBesideRequests, RequestsUnderWayKeepTheTimeLimitsOfTheirArrival)
{
    RequestsUnderWay requests(loop());
    auto configuration = patientConfiguration(3);
    for (auto &route : configuration["routes"]) {
        route["timeout_ms"] = 1;
        route["target_latency_ms"] = 1;
        route["gap_aim_ms"] = 1;
        route["max_attempts"] = 1;
        route["resumable"] = false;
    }
    requests.configure(configuration);
    letPass(loop(), Millis(20));
    checkAllWhole(requests);
}

TEST(ConfigurationBesideRequests, RequestsUnderWayEndWholeWhenTheLimitsOnCallersShrink)
{
    RequestsUnderWay requests(loop());
    auto configuration = patientConfiguration(3);
    configuration["limits"] = {{"max_header_bytes", 1}, {"max_body_bytes", 1}, {"header_timeout_ms", 1}, {"idle_timeout_ms", 1}};
    requests.configure(configuration);
    letPass(loop(), Millis(20));
    checkAllWhole(requests);
}

TEST(ConfigurationBesideRequests, BrokenRequestIsSentAgainAfterItsRouteWasDropped)
{
    Signal dropped;
    ScriptedEndpoint breaking(loop(), [&dropped](tcp::socket &socket, const ReceivedRequest &) -> Task<void> {
        co_await dropped.wait();
        resetConnection(socket);
    });
    GatedEngine sound(loop());
    sound.goOn();
    EntryFixture fixture(loop(), {{"e1", {"s", breaking.port}}});
    fixture.configure(patientConfiguration(2));
    std::optional<http::CallResult<http::Reply>> result;
    loop().start(fixture.send("POST", "/remind/1", EntryFixture::caller("a1"), ""), result);
    CHECK(becomesTrue(loop(), [&] {
        return breaking.seen.size() == 1;
    }));
    auto configuration = patientConfiguration(3);
    configuration["routes"] = nlohmann::json::array();
    configuration["services"] = nlohmann::json::array();
    fixture.configure(configuration);
    fixture.published.replaceEndpoints(
        {{"e1", endpointAt("e1", breaking.port, "s", EndpointKind::Service)}, {"e3", endpointAt("e3", sound.endpoint.port, "s", EndpointKind::Service)}});
    dropped.fire();
    loop().runUntil([&] {
        return result.has_value();
    });
    CHECK(std::holds_alternative<http::Reply>(*result));
    LONGS_EQUAL(200, std::get<http::Reply>(*result).status);
}

LOOP_GROUP(ListingBesideRequests);

TEST(ListingBesideRequests, AnswersOfUnlistedEndpointsArriveWhole)
{
    RequestsUnderWay requests(loop());
    requests.list({});
    checkAllWhole(requests);
}

TEST(ListingBesideRequests, AnswersOfEndpointsThatAreUnlistedAndListedAgainArriveWhole)
{
    RequestsUnderWay requests(loop());
    requests.list({});
    requests.list({requests.plainEntry(start), requests.modelEntry(start)});
    checkAllWhole(requests);
    LONGS_EQUAL(0, inflightAt(requests.fixture, "e1"));
    LONGS_EQUAL(0, inflightAt(requests.fixture, "e2"));
}

TEST(ListingBesideRequests, AnswersOfDrainingEndpointsArriveWhole)
{
    RequestsUnderWay requests(loop());
    auto plain = requests.plainEntry(start);
    auto model = requests.modelEntry(start);
    plain.state = model.state = EndpointState::Leaving;
    requests.list({plain, model});
    checkAllWhole(requests);
}

TEST(ListingBesideRequests, AnswersOfEndpointsListedWithOtherFieldsArriveWhole)
{
    RequestsUnderWay requests(loop());
    auto plain = requests.plainEntry(start);
    auto model = requests.modelEntry(start);
    for (auto *entry : {&plain, &model}) {
        entry->zone = "zone-far";
        entry->version = "v2";
        entry->host = "127.0.0.9";
        entry->port = 1;
        entry->coldRemainingMs = 60000;
    }
    requests.list({plain, model});
    checkAllWhole(requests);
}

TEST(ListingBesideRequests, AnswersOfEndpointsThatChangeTheirServiceArriveWhole)
{
    RequestsUnderWay requests(loop());
    auto plain = requests.plainEntry(start);
    auto model = requests.modelEntry(start);
    std::swap(plain.pool, model.pool);
    requests.list({plain, model});
    checkAllWhole(requests);
}

TEST(ListingBesideRequests, AnswersOfEndpointsInEvacuatedDomainsArriveWhole)
{
    RequestsUnderWay requests(loop());
    requests.fixture.published.replaceEvacuated({""}); // the endpoints have no domain
    requests.fixture.gateway.cancelAttemptsAtRestarted();
    checkAllWhole(requests);
}

TEST(ListingBesideRequests, RequestsOfARestartedEndpointAreSentElsewhereOrRefusedAndCutOnlyIfAStreamMayNotGoOn)
{
    RequestsUnderWay requests(loop());
    GatedEngine otherPlain(loop());
    GatedEngine otherModel(loop());
    otherPlain.goOn();
    otherModel.goOn();
    requests.list({requests.plainEntry(laterStart), requests.modelEntry(laterStart), RequestsUnderWay::entryOf("e3", otherPlain, "s", start),
                   RequestsUnderWay::entryOf("e4", otherModel, "m", start)});
    requests.complete();
    LONGS_EQUAL(502, requests.received["/book/1"].status); // it may have run
    LONGS_EQUAL(200, requests.received["/remind/1"].status);
    CHECK(requests.received["/chat/1"].complete);
    STRCMP_EQUAL(eventsUpTo(2).c_str(), requests.received["/chat/1"].body.c_str());
    CHECK(!requests.received["/once/1"].complete);
    STRCMP_EQUAL(eventsUpTo(1).c_str(), requests.received["/once/1"].body.c_str());
    LONGS_EQUAL(1, otherPlain.endpoint.seen.size());
    LONGS_EQUAL(1, otherModel.endpoint.seen.size());
}

TEST(ListingBesideRequests, AnswersAreNotCutByAListingOfAnEarlierIncarnation)
{
    RequestsUnderWay requests(loop());
    requests.list({requests.plainEntry(earlierStart), requests.modelEntry(earlierStart)});
    checkAllWhole(requests);
}

TEST(ListingBesideRequests, AnswerIsNotCutWhenARestoredStoreListsTheEarlierIncarnation)
{
    GatedEngine engine(loop());
    EntryFixture fixture(loop(), {});
    fixture.configure(patientConfiguration(2));
    store::ObjectStore store;
    platform::LocalObjectApi api{store};
    entry::Control<platform::ObjectCodec> control{api, fixture.published};
    auto entry = endpointEntryAt("127.0.0.1:" + std::to_string(engine.endpoint.port));
    entry["born"] = earlierStart;
    store.put(platform::ObjectCodec::endpointKind, "e1", entry, std::nullopt);
    CHECK(loop().run(control.stepEndpoints()));
    const auto backup = store.backup();
    entry["born"] = start; // the engine has restarted since the backup
    store.put(platform::ObjectCodec::endpointKind, "e1", entry, std::nullopt);
    CHECK(loop().run(control.stepEndpoints()));
    LONGS_EQUAL(start, fixture.table.endpoints()[0].startedAtMs);
    Received received;
    asio::co_spawn(loop().io, request(fixture, "/once/1", "a1", received), asio::detached);
    CHECK(becomesTrue(loop(), [&] {
        return received.body == eventsUpTo(1);
    }));
    store.restore(backup);
    for (int step = 0; step < 4; ++step) { // a watch, a listing, and each once more
        loop().run(control.stepEndpoints());
        fixture.gateway.cancelAttemptsAtRestarted();
    }
    engine.goOn();
    loop().runUntil([&] {
        return received.ended;
    });
    CHECK(received.complete);
    STRCMP_EQUAL(eventsUpTo(2).c_str(), received.body.c_str());
}
