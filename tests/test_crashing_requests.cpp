// Callers saw their streams break and their calls fail as one endpoint after
// the other ended, for a quarter of a minute at a time. Order of events: a
// request of one caller is sent, its endpoint begins to run it and ends, and
// with it all that it ran; the request comes again under a new id at another
// router, which knows nothing of it and sends it to the next endpoint.
#include "entry_rig.h"

#include "loop_group.h"

using namespace yucca;
using namespace yucca::rig;

namespace
{

/// Endings of endpoints under one request that are taken for chance, and
/// repeats that may still reach endpoints after them: what the users allow.
constexpr std::size_t endingsAllowed = 3;
constexpr std::size_t repeatsAllowed = 3;

constexpr const char *crashing = "{\"ends\": true}";

/// Endpoints of which each ends under a request with the crashing body.
class FragilePool
{
public:
    FragilePool(Loop &loop, std::size_t size, const std::string &service)
    {
        for (std::size_t n = 0; n < size; ++n) {
            m_endpoints.push_back(std::make_unique<RawEndpoint>(loop, [this, n](tcp::socket &socket, const SeenRequest &request) {
                return answer(n, socket, request);
            }));
            places["e" + std::to_string(n)] = {service, m_endpoints.back()->port};
        }
    }

    /// Requests with the crashing body that reached an endpoint.
    std::size_t reached = 0;
    /// Endpoints that have ended.
    std::size_t ended = 0;
    std::map<std::string, std::pair<std::string, uint16_t>> places; ///< service and port, by endpoint

private:
    Task<void> answer(std::size_t n, tcp::socket &socket, const SeenRequest &request)
    {
        const std::string id = request.header("Yuccasaddle-Attempt-Id");
        if (request.body != crashing) {
            co_await sendBytes(socket, signedAnswer(id, "ok"));
            co_return;
        }
        ++reached;
        ++ended;
        m_endpoints[n]->end();
        co_await sendBytes(socket, streamHead(id) + chunk(eventNumber(1)) + chunk("id: 2\nda"));
        resetConnection(socket);
    }

    std::vector<std::unique_ptr<RawEndpoint>> m_endpoints;
};

Task<bool> passed(Millis time)
{
    co_await sleepFor(time);
    co_return true;
}

} // namespace

LOOP_GROUP(CrashingRequest);

TEST(CrashingRequest, OneThatMayRunOnceIsNotSentOnAndOn)
{
    FragilePool pool(loop(), 12, "m");
    EntryRig rig(loop(), pool.places);
    for (std::size_t n = 0; n < pool.places.size(); ++n) {
        rig.call("POST", "/once/1", "a" + std::to_string(n), {}, crashing);
        loop().run(passed(Millis(50))); // a caller comes back after a while
    }
    CHECK_TEXT(pool.reached <= endingsAllowed + repeatsAllowed, StringFromFormat("%d reached endpoints", int(pool.reached)).asCharString());
}

TEST(CrashingRequest, OneThatMayBeRepeatedIsNotSentOnAndOn)
{
    FragilePool pool(loop(), 12, "m");
    EntryRig rig(loop(), pool.places);
    for (std::size_t n = 0; n < pool.places.size(); ++n) {
        rig.call("POST", "/chat/1", "a" + std::to_string(n), {}, crashing);
        loop().run(passed(Millis(50)));
    }
    CHECK_TEXT(pool.reached <= endingsAllowed + repeatsAllowed, StringFromFormat("%d reached endpoints", int(pool.reached)).asCharString());
}
