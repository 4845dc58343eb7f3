// Tests of the entry router's state: configurations, endpoints and their expiry, outlier detection,
// and followers of the store. The time is passed in, or the tests run on one event loop.
#include "codec.h"
#include "entry/entry_metrics.h"
#include "entry/entry_settings.h"
#include "entry/log_rate_limiter.h"
#include "entry/outlier_detector.h"
#include "entry_fixture.h"
#include "local_object_api.h"
#include "recording_sink.h"

#include <fstream>
#include <sstream>

#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;

TEST_GROUP(OutlierDetector)
{
    Clock::time_point now{std::chrono::hours(1)};
    entry::OutlierDetector detector;
    std::optional<entry::Ejection> last;

    // Sends requests to n endpoints in turn, and returns the number of ejections. The endpoints
    // before firstSound fail every second request, the others every tenth.
    int ejectionsOf(int endpoints, int firstHealthy, int requests)
    {
        int ejections = 0;
        for (int i = 0; i < requests; ++i) {
            now += std::chrono::milliseconds(50);
            const int e = i % endpoints;
            const bool failed = e < firstHealthy ? (i / endpoints) % 2 == 0 : (i / endpoints) % 10 == 0;
            if (auto ejection = detector.record("e" + std::to_string(e), failed, static_cast<std::size_t>(endpoints), now)) {
                last = ejection;
                ++ejections;
                CHECK(e < firstHealthy);
            }
        }
        return ejections;
    }
};

TEST(OutlierDetector, EndpointThatFailsHalfOfItsRequestsIsEjected)
{
    CHECK(ejectionsOf(4, 1, 200) > 0);
    CHECK(last->until > now - std::chrono::seconds(8));
    CHECK(last->rate >= 0.35);
}

TEST(OutlierDetector, NoEndpointIsEjectedWhenAllFailAlike)
{
    for (int i = 0; i < 400; ++i) {
        now += std::chrono::milliseconds(20);
        const bool failed = (i / 4) % 2 == 0;
        CHECK(!detector.record("e" + std::to_string(i % 4), failed, 4, now).has_value());
    }
}

TEST(OutlierDetector, AtMostAThirdOfAServiceIsEjected)
{
    int out = 0;
    for (int round = 0; round < 12; ++round) {
        for (int e = 0; e < 9; ++e) {
            now += std::chrono::milliseconds(2);
            const bool failing = e < 6;
            out += detector.record("e" + std::to_string(e), failing, 9, now) ? 1 : 0;
        }
    }
    CHECK(out <= 3);
    CHECK(!detector.record("alone", true, 1, now).has_value());
}

TEST(OutlierDetector, EjectionTimeDoublesUntilItIsReset)
{
    const auto failUntilEjected = [&] {
        for (int i = 0; i < 100; ++i) {
            now += std::chrono::milliseconds(10);
            detector.record("good", false, 3, now);
            if (const auto ejection = detector.record("bad", true, 3, now)) {
                const auto pause = ejection->until - now;
                now = ejection->until + std::chrono::milliseconds(1);
                return pause;
            }
        }
        return Clock::duration::zero();
    };
    const auto first = failUntilEjected();
    const auto second = failUntilEjected();
    CHECK(first > Clock::duration::zero());
    CHECK(second == 2 * first);
    now += std::chrono::seconds(20);
    CHECK(failUntilEjected() == first);
}

TEST_GROUP(EntryPublished)
{
    router::RoutingTable table;
    entry::Published published{table};

    static Endpoint endpoint(const std::string &id, EndpointState state = EndpointState::Live)
    {
        auto e = endpointAt(id, 80, "s", EndpointKind::Service);
        e.state = state;
        return e;
    }
    static std::map<std::string, Endpoint> listing(std::initializer_list<std::string> ids)
    {
        std::map<std::string, Endpoint> out;
        for (const auto &id : ids) {
            out.emplace(id, endpoint(id));
        }
        return out;
    }
};

TEST(EntryPublished, EndpointsThatExpiredInAnOutageAreRetained)
{
    published.replaceEndpoints(listing({"a", "b"}));
    const auto back = Clock::now();
    published.onStoreRecovered(std::chrono::seconds(8), back);
    published.replaceEndpoints(listing({"c"}));
    LONGS_EQUAL(3, table.endpoints().size());
    published.setEndpoint(endpoint("a")); // its entry has been written again
    published.publishEndpoints();
    published.endExpiredRetention(back + std::chrono::milliseconds(100));
    LONGS_EQUAL(3, table.endpoints().size());
}

// Guards against a change of one endpoint that costs a small VM time in proportion to all endpoints.
TEST(EntryPublished, APublicationPassesOnTheChangedEndpointsAlone)
{
    for (const int count : {90, 2950, 9815, 19630}) {
        router::RoutingTable largeTable;
        entry::Published large(largeTable);
        std::map<std::string, Endpoint> all;
        for (int n = 0; n < count; ++n) {
            const auto id = "e" + std::to_string(100000 + n);
            all.emplace(id, endpoint(id));
        }
        large.replaceEndpoints(all);
        LONGS_EQUAL(count, largeTable.liveCount());
        const auto before = large.publishedRecords();
        auto leaving = endpoint("e100007");
        leaving.state = EndpointState::Leaving;
        large.setEndpoint(leaving);
        large.removeEndpoint("e100008");
        large.publishEndpoints();
        LONGS_EQUAL(2, large.publishedRecords() - before);
        LONGS_EQUAL(count - 2, largeTable.liveCount());
        large.publishEndpoints();
        LONGS_EQUAL(2, large.publishedRecords() - before);
    }
}

// Guards against a first listing that takes time with the square of its length: each page passes on its own endpoints alone.
TEST(EntryPublished, APageOfAFirstListingIsPublishedOnce)
{
    constexpr int pageSize = 200;
    for (const int count : {90, 2950, 9815, 19630}) {
        router::RoutingTable largeTable;
        entry::Published large(largeTable);
        for (int read = 0; read < count; read += pageSize) {
            std::map<std::string, Endpoint> page;
            for (int n = read; n < std::min(count, read + pageSize); ++n) {
                const auto id = "e" + std::to_string(100000 + n);
                page.emplace(id, endpoint(id));
            }
            large.applyPartialListing(page);
            LONGS_EQUAL(std::min(count, read + pageSize), largeTable.liveCount());
        }
        LONGS_EQUAL(count, large.publishedRecords());
    }
}

TEST(EntryPublished, EndpointsMissingAfterTheRetentionAreRemoved)
{
    published.replaceEndpoints(listing({"a", "b"}));
    // The outage ended so long ago that the retention period is over.
    const auto back = Clock::now() - std::chrono::seconds(5);
    published.onStoreRecovered(std::chrono::seconds(8), back);
    published.replaceEndpoints(listing({"a"}));
    LONGS_EQUAL(1, table.endpoints().size());
}

TEST(EntryPublished, ShortOutageRetainsNoMissingEndpointAndLeavingAppliesAtOnce)
{
    published.replaceEndpoints(listing({"a", "b"}));
    published.onStoreRecovered(std::chrono::milliseconds(500), Clock::now());
    published.removeEndpoint("a");
    published.publishEndpoints();
    LONGS_EQUAL(1, table.endpoints().size());
    published.onStoreRecovered(std::chrono::seconds(8), Clock::now());
    published.setEndpoint(endpoint("b", EndpointState::Leaving));
    published.publishEndpoints();
    LONGS_EQUAL(0, table.endpoints().size());
    CHECK(table.find("b", Clock::now()).has_value()); // a prompt can still be fetched from it
}

TEST(EntryPublished, EndpointsListedBeforeTheConfigurationUseItsPlacement)
{
    router::TableOptions options;
    options.policy = Policy::Home;
    options.servicePolicy = Policy::LeastLoaded;
    router::RoutingTable placing(options);
    entry::Published late(placing);
    std::map<std::string, Endpoint> engines;
    for (int i = 0; i < 9; ++i) {
        const std::string id = "m" + std::to_string(i);
        engines.emplace(id, endpointAt(id, 80, "m", EndpointKind::Service));
    }
    late.replaceEndpoints(engines);
    Findings findings;
    late.apply(*platform::ObjectCodec::configuration(entryConfiguration(), findings));
    for (uint64_t prompt = 1; prompt < 20; ++prompt) {
        const auto home = placing.homeOf("m", prompt);
        const auto placed = placing.acquire("m", {prompt, prompt}, {}, Clock::now());
        STRCMP_EQUAL(home->id.c_str(), placed->id.c_str());
        placing.release(*placed, Clock::now());
    }
}

TEST_GROUP(EntrySettings){};

TEST(EntrySettings, EveryProblemIsReportedWithItsPath)
{
    Findings findings;
    entry::parseSettings(nlohmann::json::parse(R"({"traffic": "nowhere", "retryRatio": 7, "stopGraceS": "long", "colour": "red"})"), findings);
    LONGS_EQUAL(4, findings.items().size());
    const auto report = findings.report();
    for (const char *place : {"/traffic", "/retryRatio", "/stopGraceS", "/colour"}) {
        CHECK(report.find(place) != std::string::npos);
    }
}

namespace
{

// Expands the sections of the template for a deployment that states all values, by removing the
// section tags, or none of them, by removing the sections with their content.
std::string withoutSections(std::string text, bool stated)
{
    for (auto from = text.find("{{#"); from != std::string::npos; from = text.find("{{#")) {
        const auto tagEnd = text.find("}}", from) + 2;
        const std::string name = text.substr(from + 3, tagEnd - from - 5);
        const std::string closing = "{{/" + name + "}}";
        const auto end = text.find(closing);
        CHECK(end != std::string::npos);
        const std::string inside = text.substr(tagEnd, end - tagEnd);
        text.replace(from, end + closing.size() - from, stated ? inside : "");
    }
    return text;
}

std::string templateText()
{
    std::ifstream file("deploy/router.json.template");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

TEST(EntrySettings, UnstatedDeploymentValuesKeepTheirDefaults)
{
    std::string filled = withoutSections(templateText(), false);
    for (auto at = filled.find("{{"); at != std::string::npos; at = filled.find("{{")) {
        filled.replace(at, filled.find("}}", at) + 2 - at, "1"); // addresses become "1:1"
    }
    for (auto at = filled.find("\"1\""); at != std::string::npos; at = filled.find("\"1\"")) {
        filled.replace(at, 3, "\"1:1\"");
    }
    Findings findings;
    const auto settings = entry::parseSettings(nlohmann::json::parse(filled, nullptr, true, true), findings);
    STRCMP_EQUAL("", findings.report().c_str());
    LONGS_EQUAL(entry::Settings().stopGraceMs, settings.stopGraceMs);
    DOUBLES_EQUAL(entry::Settings().loadFactor, settings.loadFactor, 0);
}

TEST(EntrySettings, ExpandedDeploymentTemplateParses)
{
    std::string filled = withoutSections(templateText(), true);
    const std::vector<std::pair<std::string, std::string>> values{
        {"{{node}}", "front-1"},
        {"{{zone}}", "z"},
        {"{{ip}}", "10.1.0.4"},
        {"{{internal_ports.0}}", "7340"},
        {"{{internal_ports.1}}", "7355"},
        {"{{listen.front}}", "10.1.0.4:8227"},
        {"{{listen.ready}}", "10.1.0.4:8220"},
        {"{{platform.address}}", "10.200.1.7:8223"},
        {"{{bounds.retry_budget_ratio|json}}", "0.2"},
        {"{{bounds.retry_budget_slack|json}}", "54.5"},
        {"{{bounds.budget_window_s|json}}", "12"},
        {"{{bounds.cap_x|json}}", "2"},
        {"{{bounds.grace_s|json}}", "7.5"},
        {"{{bounds.config_apply_ms|json}}", "4000"},
        {"{{bounds.drain_ms|json}}", "2500.5"},
        {"{{bounds.evacuate_ms|json}}", "5000"},
        {"{{bounds.cold_overshoot|json}}", "1.5"},
        {"{{bounds.cold_slack|json}}", "5"},
        {"{{@}}", "z"},
        {"{{.}}", "r"},
        {"{{,}}", ""},
    };
    for (const auto &[placeholder, value] : values) {
        std::size_t at = filled.find(placeholder);
        CHECK(at != std::string::npos);
        for (; at != std::string::npos; at = filled.find(placeholder)) {
            filled.replace(at, placeholder.size(), value);
        }
    }
    CHECK(filled.find("{{") == std::string::npos);
    Findings findings;
    const auto settings = entry::parseSettings(nlohmann::json::parse(filled, nullptr, true, true), findings);
    STRCMP_EQUAL("", findings.report().c_str());
    LONGS_EQUAL(7500, settings.stopGraceMs);
    LONGS_EQUAL(4000, settings.configurationBoundMs);
    LONGS_EQUAL(2500, settings.drainBoundMs);
    LONGS_EQUAL(5000, settings.evacuationBoundMs);
    DOUBLES_EQUAL(1.5, settings.coldOvershoot, 0);
    DOUBLES_EQUAL(5, settings.coldSlack, 0);
    CHECK((settings.regions == Regions{{"z", "r"}}));
    DOUBLES_EQUAL(54.5, settings.retrySlack, 0);
    DOUBLES_EQUAL(12, settings.retryWindowS, 0);
    LONGS_EQUAL(8227, settings.traffic.port);
    LONGS_EQUAL(7340, settings.metrics.port);
    LONGS_EQUAL(7355, settings.peers.port);
}

TEST_GROUP(EntryMetrics){};

TEST(EntryMetrics, TextContainsExpectedSeriesAndCumulativeBuckets)
{
    entry::Metrics metrics;
    metrics.requestEnded(entry::RequestKind::Stream, entry::RequestEnd::Delivered, 0.4, 0.04);
    metrics.requestEnded(entry::RequestKind::Stream, entry::RequestEnd::Cut, 20, -1);
    metrics.rejected(entry::Rejection::UnknownKey);
    entry::Gauges gauges;
    gauges.configurationVersion = 7;
    const std::string text = metrics.text(gauges);
    for (const char *line :
         {"yucca_requests_total{kind=\"streaming\",end=\"delivered\"} 1\n", "yucca_request_seconds_bucket{kind=\"streaming\",le=\"0.3\"} 0\n",
          "yucca_request_seconds_bucket{kind=\"streaming\",le=\"0.5\"} 1\n", "yucca_request_seconds_bucket{kind=\"streaming\",le=\"+Inf\"} 2\n",
          "yucca_request_seconds_count{kind=\"streaming\"} 2\n", "yucca_first_byte_seconds_count{kind=\"streaming\"} 1\n",
          "yucca_rejections_total{why=\"unknown_key\"} 1\n", "yucca_configuration_version 7\n"}) {
        CHECK(text.find(line) != std::string::npos);
    }
}

TEST_GROUP(EntryLogRateLimiter){};

TEST(EntryLogRateLimiter, SuccessesDoNotUseTheBudgetOfFailures)
{
    entry::LogRateLimiter budget(10);
    const auto now = Clock::now();
    int successes = 0;
    for (int i = 0; i < 100; ++i) {
        successes += budget.tryTake(false, now) ? 1 : 0;
    }
    CHECK(successes >= 10 && successes <= 11);
    CHECK(budget.tryTake(true, now));
}

TEST_GROUP(PlatformCodec){};

TEST(PlatformCodec, ConfigurationWithUnknownKeysIsParsedCompletely)
{
    auto written = entryConfiguration(12);
    written["news"] = 1;
    written["routes"][0]["split"] = nlohmann::json::parse(R"([{"service": "s", "weight": 90}, {"service": "m", "weight": 10}])");
    Findings findings;
    const auto parsed = platform::ObjectCodec::configuration(written, findings);
    CHECK(parsed.has_value());
    LONGS_EQUAL(12, parsed->version);
    LONGS_EQUAL(2, parsed->routes[0].destinations.size());
    CHECK(parsed->routes[2].resumable && parsed->routes[2].hasPrompt);
    CHECK(parsed->service("m")->engine.has_value() && !parsed->service("s")->engine.has_value());
    LONGS_EQUAL(15000, parsed->callerLimits.idleTimeout.count());
    CHECK(parsed->workspaceFor("key-s") && !parsed->workspaceFor("key-s")->priority.has_value());
}

TEST(PlatformCodec, MalformedValuesAreReportedWithTheirPath)
{
    auto written = entryConfiguration(12);
    written["routes"][1]["kind"] = "sometimes";
    written["routes"][2].erase("host");
    written["tenants"][0]["api_keys"][0] = 5;
    Findings findings;
    CHECK(!platform::ObjectCodec::configuration(written, findings).has_value());
    const auto report = findings.report();
    for (const char *place : {"/routes/1/kind", "/routes/2/host", "/tenants/0/api_keys/0"}) {
        CHECK(report.find(place) != std::string::npos);
    }
    CHECK(!platform::ObjectCodec::endpoint("i-1", nlohmann::json::parse(R"({"service": "s", "address": "here"})"), findings).has_value());
}

TEST(PlatformCodec, PromptPartsAreParsedInOrder)
{
    const auto parts = platform::parsePromptParts("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    LONGS_EQUAL(3, parts->size());
    CHECK((*parts)[1].id == 0x91bd3f06 && (*parts)[1].tokens == 410);
    for (const char *wrong : {"xyz:1", "12:", "12", "12:-3", ":5"}) {
        CHECK(!platform::parsePromptParts(wrong).has_value());
    }
    CHECK(platform::parsePromptParts("")->empty());
}

LOOP_GROUP(EntryFollower);

TEST(EntryFollower, LostHistoryCausesANewListing)
{
    store::ObjectStore store(2);
    platform::LocalObjectApi api(store);
    RecordingSink sink;
    Follower<RecordingSink> follower(api, "k", sink);
    store.put("k", "a", 1, std::nullopt);
    CHECK(loop().run(follower.step()));
    store.put("k", "b", 1, std::nullopt);
    store.put("other", "x", 1, std::nullopt);
    store.remove("k", "a", std::nullopt);
    CHECK(loop().run(follower.step())); // three changes, of which the store keeps two: the history is lost
    CHECK(loop().run(follower.step()));
    store.put("k", "c", 1, std::nullopt);
    CHECK(loop().run(follower.step()));
    const std::vector<std::string> expected{"listed 1", "listed 1", "set c"};
    CHECK(sink.updates == expected);
}

namespace
{

// A store that returns listings in pages of two entries, one of which may fail.
class PagedStore : public platform::LocalObjectApi
{
public:
    explicit PagedStore(store::ObjectStore &store)
        : LocalObjectApi(store)
        , m_objects(store)
    {
    }
    Task<Result<platform::Listing>> list(std::string kind, std::string after, platform::Freshness) override
    {
        asked.push_back(after);
        if (static_cast<int>(asked.size()) == failing) {
            co_return Error{store::Unavailable, "timed out"};
        }
        co_return m_objects.list(kind, after, 2);
    }
    std::vector<std::string> asked; ///< for each page requested, the name after which it starts
    int failing = 0; ///< number of the call that fails; 0: none

private:
    store::ObjectStore &m_objects;
};

} // namespace

// Guards against listings that never complete: many routers that list a large fleet at once share
// the store's link, and a page that times out must not discard the pages before it.
TEST(EntryFollower, ListingResumesAtThePageThatFailed)
{
    store::ObjectStore store;
    PagedStore api(store);
    api.failing = 3;
    for (const char *name : {"a", "b", "c", "d", "e"}) {
        store.put("k", name, 1, std::nullopt);
    }
    RecordingSink sink;
    Follower<RecordingSink> follower(api, "k", sink);
    CHECK(!loop().run(follower.step()));
    store.put("k", "a", 2, std::nullopt); // changes after the first page was read
    CHECK(loop().run(follower.step()));
    const std::vector<std::string> pages{"", "b", "d", "d"};
    CHECK(api.asked == pages);
    CHECK(loop().run(follower.step()));
    const std::vector<std::string> expected{"page 2", "page 2", "regained", "listed 5", "set a"};
    CHECK(sink.updates == expected);
}

TEST(EntryFollower, EndpointsOfFirstPagesAreUsedBeforeTheListingIsComplete)
{
    store::ObjectStore store;
    PagedStore api(store);
    api.failing = 3;
    for (const char *name : {"i-a", "i-b", "i-c", "i-d", "i-e"}) {
        store.put(platform::ObjectCodec::endpointKind, name, endpointEntryAt("127.0.0.1:80"), std::nullopt);
    }
    router::RoutingTable table;
    entry::Published published(table);
    entry::Control<platform::ObjectCodec> control(api, published);
    Findings findings;
    published.apply(std::move(*platform::ObjectCodec::configuration(entryConfiguration(1), findings)));
    CHECK(!published.ready());
    CHECK(!loop().run(control.stepEndpoints()));
    CHECK(published.ready());
    CHECK(!published.endpointsKnown());
    LONGS_EQUAL(4, published.endpointCount());
    CHECK(loop().run(control.stepEndpoints()));
    CHECK(published.endpointsKnown());
    LONGS_EQUAL(5, published.endpointCount());
}

TEST(EntryFollower, FollowerContinuesAfterAnOutage)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    RecordingSink sink;
    Follower<RecordingSink> follower(api, "k", sink);
    CHECK(loop().run(follower.step()));
    api.outage = true;
    CHECK(!loop().run(follower.step()));
    store.put("k", "a", 1, std::nullopt);
    api.outage = false;
    CHECK(loop().run(follower.step()));
    const std::vector<std::string> expected{"listed 0", "regained", "set a"};
    CHECK(sink.updates == expected);
}

namespace
{

// A store whose watches wait until they are cancelled, as they do when their responses are lost.
class SilentWatches : public platform::LocalObjectApi
{
public:
    using LocalObjectApi::LocalObjectApi;
    Task<Result<platform::WatchBatch>> watch(std::string kind, uint64_t from, Millis timeout, platform::Freshness freshness,
                                             http::Cancellation *cancellation) override
    {
        ++watches;
        co_await sleepFor(Millis(1)); // lets the test's event loop go on while a watch has no changes
        while (silent && !cancellation->isCancelled()) {
            co_await sleepFor(Millis(1));
        }
        if (cancellation->isCancelled()) {
            co_return Error{store::Unavailable, "cancelled"};
        }
        co_return co_await LocalObjectApi::watch(kind, from, timeout, freshness, cancellation);
    }
    bool silent = true;
    int watches = 0;
};

} // namespace

TEST(EntryFollower, WatchLostInAnOutageIsRestartedWhenTheStoreAnswers)
{
    store::ObjectStore store;
    SilentWatches api(store);
    router::RoutingTable table;
    entry::Published published(table);
    store.put("config", "main", entryConfiguration(1), std::nullopt);
    entry::Control<platform::ObjectCodec> control(api, published);
    asio::co_spawn(loop().io, control.followConfiguration(), asio::detached);
    asio::co_spawn(loop().io, control.watchStore(), asio::detached);
    loop().runUntil([&] {
        return api.watches == 1;
    });
    api.outage = true; // long enough for a poll to fail
    const auto asked = Clock::now();
    loop().runUntil([&] {
        return Clock::now() - asked > entry::storePollInterval + entry::storeRetryInterval;
    });
    store.put("config", "main", entryConfiguration(2), std::nullopt);
    api.outage = false;
    loop().runUntil([&] {
        api.silent = api.silent && api.watches == 1;
        return published.configuration() && published.configuration()->version == 2;
    });
    LONGS_EQUAL(2, published.configuration()->version);
    control.stop();
    loop().runUntil([&] {
        return Clock::now() - asked > std::chrono::seconds(4) || api.watches > 2;
    });
}

TEST(EntryFollower, SilentWatchTimesOutBeforeAChangeIsTooLate)
{
    // With longer waits, a new configuration stayed out of force for seconds after the store had
    // dropped its history without ending the watches.
    const FollowerOptions options;
    CHECK(options.watchTimeout + platform::watchResponseMargin < std::chrono::seconds(3));
}

TEST(EntryFollower, RestartWatchEndsThePauseAfterAFailedCall)
{
    store::ObjectStore store;
    SilentWatches api(store);
    api.silent = false;
    RecordingSink sink;
    FollowerOptions options;
    options.initialRetryDelay = Millis(60000);
    options.maxRetryDelay = Millis(60000);
    Follower<RecordingSink> follower(api, "k", sink, options);
    CHECK(loop().run(follower.step()));
    api.outage = true;
    std::optional<bool> ended;
    loop().start(runUntilStopped(follower), ended);
    std::optional<bool> waited;
    loop().run(trueAfterDelay(Millis(50)));
    LONGS_EQUAL(1, api.watches); // no further watch before the follower is notified
    api.outage = false;
    store.put("k", "a", 1, std::nullopt);
    follower.restartWatch();
    loop().start(trueAfterDelay(Millis(5000)), waited);
    loop().runUntil([&] {
        return waited.has_value() || sink.updates.size() == 3;
    });
    const std::vector<std::string> expected{"listed 0", "regained", "set a"};
    CHECK(sink.updates == expected);
    follower.stop();
    loop().runUntil([&] {
        return ended.has_value();
    });
    CHECK(ended.has_value());
}

TEST(EntryFollower, EveryWatchIsCurrent)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    RecordingSink sink;
    Follower<RecordingSink> follower(api, "k", sink);
    CHECK(loop().run(follower.step()));
    for (int i = 1; i <= 20; ++i) {
        CHECK(loop().run(follower.step()));
        LONGS_EQUAL(i, api.currentWatchCount);
    }
}

TEST(EntryFollower, ALaggingReplicaHidesNoChange)
{
    store::ObjectStore store;
    platform::LocalObjectApi api(store);
    RecordingSink sink;
    Follower<RecordingSink> first(api, "k", sink);
    Follower<RecordingSink> second(api, "other", sink);
    CHECK(loop().run(first.step()));
    CHECK(loop().run(second.step()));
    api.replicaRevision = store.list("k", "", 1).revision;
    store.put("k", "a", 1, std::nullopt);
    CHECK(loop().run(first.step()));
    store.put("other", "b", 1, std::nullopt);
    CHECK(loop().run(second.step()));
    const std::vector<std::string> expected{"listed 0", "listed 0", "set a", "set b"};
    CHECK(sink.updates == expected);
}

TEST(EntryFollower, EveryWatchIsCurrentAfterStoreTrouble)
{
    store::ObjectStore store(1);
    platform::LocalObjectApi api(store);
    RecordingSink sink;
    Follower<RecordingSink> follower(api, "k", sink);
    CHECK(loop().run(follower.step()));
    store.put("k", "a", 1, std::nullopt);
    store.put("k", "b", 1, std::nullopt);
    CHECK(loop().run(follower.step())); // the history is lost
    LONGS_EQUAL(1, api.currentWatchCount);
    CHECK(loop().run(follower.step())); // a listing
    CHECK(loop().run(follower.step()));
    LONGS_EQUAL(2, api.currentWatchCount);
}

namespace
{

// A store in which an object changes whenever a watch starts; it counts the watches.
class BusyStore : public platform::LocalObjectApi
{
public:
    explicit BusyStore(store::ObjectStore &store)
        : LocalObjectApi(store)
        , m_objects(store)
    {
    }
    Task<Result<platform::WatchBatch>> watch(std::string kind, uint64_t from, Millis timeout, platform::Freshness freshness,
                                             http::Cancellation *cancellation) override
    {
        m_objects.put(kind, "a", ++watches, std::nullopt);
        co_return co_await LocalObjectApi::watch(kind, from, timeout, freshness, cancellation);
    }
    int watches = 0;

private:
    store::ObjectStore &m_objects;
};

} // namespace

TEST(EntryFollower, SuccessiveChangesArriveInOneResponse)
{
    store::ObjectStore store;
    BusyStore api(store);
    RecordingSink sink;
    FollowerOptions options;
    options.changeCoalescingDelay = Millis(60000); // only a restart ends the pause in this test
    Follower<RecordingSink> follower(api, "k", sink, options);
    std::optional<bool> ended;
    loop().start(runUntilStopped(follower), ended);
    loop().runUntil([&] {
        return sink.updates.size() == 2;
    });
    std::optional<bool> waited;
    loop().start(trueAfterDelay(Millis(30)), waited);
    loop().runUntil([&] {
        return waited.has_value();
    });
    LONGS_EQUAL(1, api.watches); // without the pause, the store would be asked continuously
    follower.restartWatch(); // the store is available again: it is asked at once
    loop().runUntil([&] {
        return api.watches == 2;
    });
    follower.stop();
    loop().runUntil([&] {
        return ended.has_value();
    });
}

LOOP_GROUP(EntryHealth);

TEST(EntryHealth, EndpointThatFailsHalfOfItsRequestsGetsFewRequests)
{
    int asked = 0;
    ScriptedEndpoint failingHalf(loop(), [&](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        const std::string status = ++asked % 2 == 0 ? "200 OK" : "500 Internal Server Error";
        co_await sendBytes(socket, signedAnswer(request.header("Yuccasaddle-Attempt-Id"), "x", status));
    });
    const ScriptedEndpoint::Script healthy = [](tcp::socket &socket, const ReceivedRequest &request) -> Task<void> {
        co_await sendBytes(socket, signedAnswer(request.header("Yuccasaddle-Attempt-Id"), "x"));
    };
    ScriptedEndpoint a(loop(), healthy);
    ScriptedEndpoint b(loop(), healthy);
    EntryFixture fixture(loop(), {{"grey", {"s", failingHalf.port}}, {"a", {"s", a.port}}, {"b", {"s", b.port}}});
    for (int i = 0; i < 120; ++i) {
        fixture.reply("POST", "/book/1", "a" + std::to_string(i));
    }
    CHECK(failingHalf.seen.size() < 25); // an equal share would be 40
    CHECK(failingHalf.seen.size() >= 4);
}
