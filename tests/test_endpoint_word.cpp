// What an endpoint's answers say of itself binds every later send of the router
// that got them: it leaves, or wants no requests for a while.
#include "entry_rig.h"

// CppUTest goes last: its memory-leak macros redefine operator new.
#include "loop_group.h"

using namespace yucca;
using namespace yucca::rig;

namespace
{

const std::string leavingHeader = "Server-Leaving: 1\r\n";

std::string idOf(const SeenRequest &request)
{
    return request.header("Yuccasaddle-Attempt-Id");
}

RawEndpoint::Script answering(const std::string &extra)
{
    return [=](tcp::socket &socket, const SeenRequest &request) -> Task<void> {
        co_await sendBytes(socket, signedAnswer(idOf(request), "ok", "200 OK", extra));
    };
}

// Turns requests away for as long as a flag holds; answers them otherwise.
RawEndpoint::Script sheddingWhile(const bool &sheds, const std::string &extra)
{
    return [&sheds, extra](tcp::socket &socket, const SeenRequest &request) -> Task<void> {
        if (sheds) {
            co_await sendBytes(socket, "HTTP/1.1 503 Service Unavailable\r\nYuccasaddle-Not-Executed: 1\r\n" + extra + "Content-Length: 0\r\n\r\n");
        } else {
            co_await sendBytes(socket, signedAnswer(idOf(request), "ok"));
        }
    };
}

void callTimes(EntryRig &rig, int times, const char *target = "/remind/1")
{
    static int calls = 0;
    for (int i = 0; i < times; ++i) {
        rig.reply("POST", target, "w" + std::to_string(++calls));
    }
}

std::size_t seenAfter(const RawEndpoint &endpoint, std::size_t before)
{
    return endpoint.seen.size() - before;
}

} // namespace

LOOP_GROUP(EndpointWord);

TEST(EndpointWord, AnEndpointWhoseAnswerSaysItLeavesGetsNoRequestFromThisRouterAgain)
{
    RawEndpoint leaving(loop(), answering(leavingHeader));
    RawEndpoint stays(loop(), answering(""));
    EntryRig rig(loop(), {{"e1", {"s", leaving.port}}, {"e2", {"s", stays.port}}});
    callTimes(rig, 8);
    LONGS_EQUAL(1, leaving.seen.size());
    LONGS_EQUAL(7, stays.seen.size());
}

TEST(EndpointWord, AnEndpointThatAskedForRestGetsNoRequestFromThisRouterUntilItEnds)
{
    bool sheds = true;
    RawEndpoint full(loop(), sheddingWhile(sheds, "Retry-After: 30\r\n"));
    RawEndpoint free(loop(), answering(""));
    EntryRig rig(loop(), {{"e1", {"s", full.port}}, {"e2", {"s", free.port}}});
    callTimes(rig, 8);
    sheds = false;
    callTimes(rig, 8);
    LONGS_EQUAL(1, full.seen.size());
    LONGS_EQUAL(16, free.seen.size());
}
