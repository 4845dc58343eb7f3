// Guards against streams whose events come from engines of two software versions: within a response, and over the
// attempts of a caller that takes a stream up at any router.
#include "entry_fixture.h"

#include "loop_group.h"

using namespace yucca;
using namespace yucca::fixture;

namespace
{

constexpr int lastEvent = 5;

/// An engine of one version, whose streams break after a number of events while it is told so.
class VersionedEngine
{
public:
    VersionedEngine(Loop &loop, std::string id, std::string version)
        : endpoint(loop,
                   [this](tcp::socket &socket, const ReceivedRequest &request) {
                       return stream(socket, request);
                   })
        , m_id(std::move(id))
        , m_version(std::move(version))
    {
    }

    Endpoint entry() const
    {
        auto entry = endpointAt(m_id, endpoint.port, "m", EndpointKind::Service);
        entry.version = m_version;
        return entry;
    }

    ScriptedEndpoint endpoint;
    int breakAfter = -1; ///< event after which streams break; -1: none breaks
    bool misdirected = false; ///< another engine has the address: requests get 421

private:
    Task<void> stream(tcp::socket &socket, const ReceivedRequest &request)
    {
        const std::string id = request.header("Yuccasaddle-Attempt-Id");
        if (misdirected) {
            co_await sendBytes(socket, "HTTP/1.1 421 Misdirected Request\r\nYuccasaddle-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            co_return;
        }
        const std::string resume = request.header("Last-Event-Id");
        co_await sendBytes(socket, streamHead(id));
        for (int event = resume == "(none)" ? 1 : std::stoi(resume) + 1; event <= lastEvent; ++event) {
            if (breakAfter >= 0 && event > breakAfter) {
                resetConnection(socket);
                co_return;
            }
            co_await sendBytes(socket, chunk("id: " + std::to_string(event) + "\ndata: " + m_version + "\n\n"));
        }
        co_await sendBytes(socket, "0\r\n\r\n");
    }

    std::string m_id;
    std::string m_version;
};

void list(EntryFixture &router, const std::vector<const VersionedEngine *> &engines)
{
    std::map<std::string, Endpoint> listed;
    for (const auto *engine : engines) {
        listed.emplace(engine->entry().id, engine->entry());
    }
    router.published.replaceEndpoints(listed);
}

http::Headers resumption(const std::string &first, int received)
{
    return {{"Resumes", first}, {"Last-Event-Id", std::to_string(received)}};
}

// The bytes of a response, also if it broke.
Task<std::string> receivedBytes(EntryFixture &router, std::string id, http::Headers extra)
{
    http::CallOptions options;
    options.deadline = Clock::now() + std::chrono::seconds(30);
    const http::Address to{"127.0.0.1", router.port};
    auto headers = EntryFixture::caller(id, std::move(extra));
    auto opened = co_await router.client.open(to, http::makeRequest("POST", "/chat/1", "", headers), options);
    std::string bytes;
    if (auto *response = std::get_if<std::unique_ptr<http::Response>>(&opened)) {
        for (bool more = true; more;) {
            auto part = co_await(*response)->read();
            const auto *read = std::get_if<std::string>(&part);
            more = read && !read->empty();
            bytes += read ? *read : "";
        }
    }
    co_return bytes;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

LOOP_GROUP(StreamVersions);

TEST(StreamVersions, BrokenStreamContinuesOnlyAtTheVersionThatBeganIt)
{
    VersionedEngine old(loop(), "e1", "v1");
    VersionedEngine fresh(loop(), "e2", "v2");
    old.breakAfter = 2;
    fresh.breakAfter = 4;
    EntryFixture router(loop(), {});
    list(router, {&old, &fresh});
    for (int n = 0; n < 12; ++n) {
        const auto bytes = loop().run(receivedBytes(router, "a" + std::to_string(n), {}));
        CHECK_FALSE(contains(bytes, "v1") && contains(bytes, "v2"));
    }
}

TEST(StreamVersions, BrokenStreamGoesOnAtAnotherEngineOfItsVersion)
{
    VersionedEngine breaking(loop(), "e1", "v1");
    VersionedEngine other(loop(), "e2", "v2");
    VersionedEngine same(loop(), "e3", "v1");
    breaking.breakAfter = 2;
    EntryFixture router(loop(), {});
    list(router, {&breaking, &other, &same});
    for (int n = 0; n < 30; ++n) {
        const auto reply = router.reply("POST", "/chat/1", "a" + std::to_string(n));
        LONGS_EQUAL(200, reply.status);
        CHECK_FALSE(contains(reply.body, "v1") && contains(reply.body, "v2"));
    }
    CHECK(breaking.endpoint.seen.size() > 0);
}

TEST(StreamVersions, CallerThatTakesAStreamUpGetsTheVersionThatBeganIt)
{
    VersionedEngine old(loop(), "e1", "v1");
    VersionedEngine fresh(loop(), "e2", "v2");
    for (int n = 0; n < 12; ++n) {
        EntryFixture router(loop(), {}); // a new one each time: engines that fail too often are ejected
        const std::string first = "a" + std::to_string(n);
        old.breakAfter = fresh.breakAfter = 2;
        list(router, {&old, &fresh});
        const auto begun = loop().run(receivedBytes(router, first, {}));
        old.breakAfter = fresh.breakAfter = -1;
        const std::string version = contains(begun, "v1") ? "v1" : "v2";
        const auto reply = router.reply("POST", "/chat/1", "b" + std::to_string(n), resumption(first, 2));
        LONGS_EQUAL(200, reply.status);
        CHECK(contains(reply.body, version));
        CHECK_FALSE(contains(reply.body, version == "v1" ? "v2" : "v1"));
    }
}

TEST(StreamVersions, StreamThatNobodyKnowsIsRefusedAtOnce)
{
    VersionedEngine old(loop(), "e1", "v1");
    VersionedEngine fresh(loop(), "e2", "v2");
    EntryFixture router(loop(), {});
    list(router, {&old, &fresh});
    const auto reply = router.reply("POST", "/chat/1", "b1", resumption("a1", 2));
    LONGS_EQUAL(503, reply.status);
    CHECK(!reply.header("Retry-After").empty());
    LONGS_EQUAL(0, old.endpoint.seen.size() + fresh.endpoint.seen.size());
}

TEST(StreamVersions, StreamWhoseVersionHasLeftIsRefusedAtOnce)
{
    VersionedEngine old(loop(), "e1", "v1");
    VersionedEngine fresh(loop(), "e2", "v2");
    old.breakAfter = 2;
    EntryFixture router(loop(), {});
    list(router, {&old});
    CHECK(contains(loop().run(receivedBytes(router, "a1", {})), "v1"));
    list(router, {&fresh});
    const auto reply = router.reply("POST", "/chat/1", "b1", resumption("a1", 2));
    LONGS_EQUAL(503, reply.status);
    LONGS_EQUAL(0, fresh.endpoint.seen.size());
}

TEST(StreamVersions, EngineThatBroughtTheFirstEventCountsNotTheOneThatWasAskedFirst)
{
    VersionedEngine moved(loop(), "e1", "v1");
    VersionedEngine fresh(loop(), "e2", "v2");
    moved.misdirected = true;
    EntryFixture router(loop(), {});
    for (int n = 0; n < 6; ++n) {
        list(router, {&moved, &fresh});
        const auto reply = router.reply("POST", "/chat/1", "a" + std::to_string(n));
        LONGS_EQUAL(200, reply.status);
        CHECK(contains(reply.body, "v2"));
        const auto again = router.reply("POST", "/chat/1", "b" + std::to_string(n), resumption("a" + std::to_string(n), 2));
        LONGS_EQUAL(200, again.status);
        CHECK(contains(again.body, "v2"));
    }
}

TEST(StreamVersions, StreamBegunAnewMayRunAtAnyVersion)
{
    VersionedEngine old(loop(), "e1", "v1");
    EntryFixture router(loop(), {});
    list(router, {&old});
    const auto reply = router.reply("POST", "/chat/1", "b1", resumption("a1", 0));
    LONGS_EQUAL(200, reply.status);
    CHECK(contains(reply.body, "v1"));
}
