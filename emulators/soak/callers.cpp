// The callers of a soak, and what must hold once all is calm.
#include "soak/fleet.h"
#include "soak/layout.h"

namespace yucca::soak
{

namespace
{

constexpr Millis callerPause{15}; ///< between a caller's requests
constexpr int calmRequests = 40;
constexpr double leastServedWhenCalm = 0.95; ///< an endpoint's last heartbeat may still be missing

std::string pathOf(Kind kind)
{
    switch (kind) {
    case Kind::Booking:
        return "/book/1";
    case Kind::Reminder:
        return "/remind/1";
    case Kind::Chat:
        return "/chat/1";
    case Kind::Single:
        return "/once/1";
    }
    return "/";
}

} // namespace

http::Headers callerHeaders(const std::string &id, const std::string &key)
{
    return {{"Host", "h.example"}, {"Yuccasaddle-Attempt-Id", id}, {"X-Api-Key", key}, {"Yuccasaddle-Deadline-Ms", std::to_string(callerPatience.count())}};
}

// One caller: one request after the other, at the routers in turn.
Task<void> SoakFleet::callLoop(int caller)
{
    ++m_callersUnderWay;
    while (!m_ending) {
        const int n = m_requests;
        const auto kind = kindNames[static_cast<std::size_t>(n) % kindNames.size()].first;
        const auto router = static_cast<std::size_t>(n / 4 + caller) % m_routers.size();
        const std::string id = requestId("q" + std::to_string(m_options.plan.seed), router);
        co_await request(id, kind, router, keyOf(m_acceptedVersion));
        co_await sleepFor(callerPause);
    }
    --m_callersUnderWay;
}

Task<void> SoakFleet::request(std::string id, Kind kind, std::size_t router, std::string key)
{
    http::CallOptions options;
    options.deadline = Clock::now() + callerPatience;
    options.reuse = http::Reuse::Kept;
    const http::Address to{"127.0.0.1", routerPort(router, 4)};
    const std::string sender = senderName(router);
    const auto sentAt = Clock::now();
    const std::string method = kind == Kind::Reminder ? "GET" : "POST";
    auto headers = callerHeaders(id, key);
    auto opened = co_await m_client.open(to, http::makeRequest(method, pathOf(kind), kind == Kind::Reminder ? "" : "{}", headers), options);
    Record record;
    record.kind = kind;
    if (auto *response = std::get_if<std::unique_ptr<http::Response>>(&opened)) {
        record.status = (*response)->status();
        noteLeavingWord(sender, **response, sentAt);
        record.authentic = !(*response)->header("Yuccasaddle-Response-Signature").empty();
        for (bool more = true; more;) {
            auto read = co_await(*response)->read();
            const auto *bytes = std::get_if<std::string>(&read);
            more = bytes && !bytes->empty();
            record.whole = bytes && bytes->empty();
            record.body += bytes ? *bytes : "";
        }
    }
    m_promises.note(id, std::move(record));
}

// A reminder past the proxies; 0 without an answer.
Task<unsigned> SoakFleet::ask(std::size_t router, std::string key)
{
    http::CallOptions options;
    options.deadline = Clock::now() + callerPatience;
    const http::Address to{"127.0.0.1", routerPort(router, 0)};
    const std::string id = requestId("calm", router);
    auto headers = callerHeaders(id, key);
    auto called = co_await m_client.call(to, http::makeRequest("GET", "/remind/1", "", headers), options);
    const auto *reply = std::get_if<http::Reply>(&called);
    co_return reply ? reply->status : 0;
}

// After the faults: the last accepted configuration is in force at every
// router, none older, and requests are served.
Task<void> SoakFleet::checkCalm()
{
    for (std::size_t n = 0; n < m_routers.size(); ++n) {
        const std::string who = "router " + std::to_string(n);
        const auto old = co_await ask(n, keyOf(m_acceptedVersion - 1));
        if (old != 401) {
            m_broken.push_back(who + " answers a key that was taken away with " + std::to_string(old));
        }
        int served = 0;
        for (int i = 0; i < calmRequests; ++i) {
            const auto status = co_await ask(n, keyOf(m_acceptedVersion));
            served += status == 200 ? 1 : 0;
        }
        if (served < leastServedWhenCalm * calmRequests) {
            m_broken.push_back(who + " serves " + std::to_string(served) + " of " + std::to_string(calmRequests) + " requests when all is calm");
        }
    }
}

} // namespace yucca::soak
