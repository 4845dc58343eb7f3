// Guards against requests with idempotency keys that end without an answer while their claims wait, or whose claims stay behind.
// docs/design/request-endings.md lists all cases.
#include "endings_fixture.h"
#include "idempotency.h"
#include "local_object_api.h"

// CppUTest goes last: its memory-leak macros redefine operator new.
#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;

namespace
{

/// The platform's dialect with idempotency keys.
struct KeyedDialect : platform::PlatformDialect {
    static std::variant<entry::RequestProfile, entry::Rejection> identify(const http::Exchange &ex, const entry::ConfigurationPtr &configuration,
                                                                          Clock::time_point now)
    {
        auto identified = PlatformDialect::identify(ex, configuration, now);
        if (auto *profile = std::get_if<entry::RequestProfile>(&identified)) {
            profile->idempotencyKey = ex.header("Idempotency-Key");
        }
        return identified;
    }
};

/// An object API whose writes wait until they are let go on.
class GatedApi : public platform::LocalObjectApi
{
public:
    using LocalObjectApi::LocalObjectApi;
    Task<Result<platform::Object>> put(std::string kind, std::string name, nlohmann::json value, std::optional<uint64_t> ifVersion) override
    {
        ++waiting;
        co_await gate.wait();
        auto written = co_await LocalObjectApi::put(std::move(kind), std::move(name), std::move(value), ifVersion);
        co_return std::move(written);
    }
    Signal gate;
    int waiting = 0;
};

struct KeyedRouter {
    KeyedRouter(Loop &loop, std::map<std::string, std::pair<std::string, uint16_t>> endpoints)
        : fixture(loop, std::move(endpoints))
    {
        fixture.port = std::get<uint16_t>(server.start());
    }
    EntryFixture fixture;
    store::ObjectStore store;
    GatedApi api{store};
    idempotency::Guard guard{api, "router-1"};
    entry::Gateway<KeyedDialect> gateway{entry::GatewayParts{fixture.published, fixture.table, fixture.admission, fixture.quarantine, &guard}};
    http::Server server{{&fixture.loop.io}, "127.0.0.1", 0, [this](http::Exchange &ex) {
                            return gateway.handle(ex);
                        }};
};

} // namespace

LOOP_GROUP(ClaimEndings);

TEST(ClaimEndings, RequestWhoseClaimWaitsIsAnsweredAfterItsRouteWasDropped)
{
    GatedEngine engine(loop());
    engine.goOn();
    KeyedRouter router(loop(), {{"e1", {"s", engine.endpoint.port}}});
    std::optional<http::CallResult<http::Reply>> result;
    loop().start(router.fixture.send("POST", "/book/1", EntryFixture::caller("a1", {{"Idempotency-Key", "k"}}), ""), result);
    CHECK(becomesTrue(loop(), [&] {
        return router.api.waiting == 1;
    }));
    auto configuration = entryConfiguration(2);
    configuration["routes"] = nlohmann::json::array();
    configuration["services"] = nlohmann::json::array();
    configuration["tenants"] = nlohmann::json::array();
    router.fixture.configure(configuration);
    router.fixture.published.replaceEndpoints({{"e1", endpointAt("e1", engine.endpoint.port, "s", EndpointKind::Service)}});
    router.api.gate.fire();
    loop().runUntil([&] {
        return result.has_value();
    });
    CHECK(std::holds_alternative<http::Reply>(*result));
    LONGS_EQUAL(200, std::get<http::Reply>(*result).status);
}

TEST(ClaimEndings, KeyOfARequestThatWasRefusedBeforeItWasSentMayBeUsedAgain)
{
    GatedEngine engine(loop());
    engine.goOn();
    KeyedRouter router(loop(), {});
    router.api.gate.fire();
    const http::Headers key{{"Idempotency-Key", "k"}};
    LONGS_EQUAL(503, router.fixture.reply("POST", "/chat/1", "a1", {{"Idempotency-Key", "k"}, {"Last-Event-Id", "1"}, {"Resumes", "unknown"}}).status);
    router.fixture.published.replaceEndpoints({{"e1", endpointAt("e1", engine.endpoint.port, "m", EndpointKind::Service)}});
    LONGS_EQUAL(200, router.fixture.reply("POST", "/chat/1", "a2", key).status);
}
