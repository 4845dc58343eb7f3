#include "platform_client.h"

namespace yucca::platform
{

namespace
{

constexpr int pageLimit = 500; ///< objects a page
constexpr std::size_t headBytes = 120; ///< estimate of a message's start line and headers

std::string objectTarget(const std::string &kind, const std::string &name, std::optional<uint64_t> ifVersion = std::nullopt)
{
    std::string target = "/v1/objects/" + kind + "/" + name;
    if (ifVersion) {
        target += "?ifVersion=" + std::to_string(*ifVersion);
    }
    return target;
}

const Error outageError{store::Unavailable, "outage"};

} // namespace

Task<Result<Listing>> listAll(ObjectApi &api, std::string kind)
{
    Listing whole;
    std::string after;
    for (bool first = true;; first = false) {
        auto listed = co_await api.list(kind, after);
        if (!ok(listed)) {
            co_return std::get<Error>(listed);
        }
        auto &page = std::get<Listing>(listed);
        if (first) {
            whole.revision = page.revision;
        }
        std::move(page.items.begin(), page.items.end(), std::back_inserter(whole.items));
        if (!page.more || page.items.empty()) {
            co_return whole;
        }
        after = whole.items.back().name;
    }
}

nlohmann::json toJson(const Endpoint &e)
{
    return {{"id", e.id},
            {"host", e.host},
            {"port", e.port},
            {"pool", e.pool},
            {"zone", e.zone},
            {"kind", nameOf(endpointKindNames, e.kind)},
            {"state", nameOf(endpointStateNames, e.state)}};
}

Endpoint endpointFromJson(const nlohmann::json &j)
{
    Endpoint e;
    e.id = j.value("id", "");
    e.host = j.value("host", "127.0.0.1");
    e.port = j.value("port", uint16_t{0});
    e.pool = j.value("pool", "");
    e.zone = j.value("zone", "");
    e.kind = parseName(endpointKindNames, j.value("kind", "engine")).value_or(EndpointKind::Engine);
    e.state = parseName(endpointStateNames, j.value("state", "live")).value_or(EndpointState::Live);
    return e;
}

HttpObjectApi::HttpObjectApi(http::Address address, Millis timeout)
    : m_address(std::move(address))
    , m_timeout(timeout)
{
}

// One call to the object API, its error mapped onto the store's codes.
Task<Result<nlohmann::json>> HttpObjectApi::request(std::string method, std::string target, std::string body, Millis timeout)
{
    const bool read = method == "GET";
    m_bytes.sent += target.size() + body.size() + headBytes;
    http::CallOptions options;
    options.deadline = Clock::now() + timeout;
    // Writes are conditional, and a lost answer is resolved by reading: they
    // may go over a kept connection like reads, but are not sent twice.
    options.reuse = read ? http::Reuse::KeptOrAgain : http::Reuse::Never;
    auto called = co_await m_client.call(m_address, http::makeRequest(method, target, std::move(body)), options);
    if (auto *err = std::get_if<http::CallError>(&called)) {
        const bool mayHaveRun = err->stage != http::CallStage::Connect && !read;
        co_return Error{mayHaveRun ? store::AnswerLost : store::Unavailable, "object API: " + err->message};
    }
    const auto &reply = std::get<http::Reply>(called);
    m_bytes.received += reply.body.size() + headBytes;
    auto j = nlohmann::json::parse(reply.body, nullptr, false);
    if (reply.status != 200) {
        std::string message = j.is_object() ? j.value("error", reply.body) : reply.body;
        co_return Error{static_cast<int>(reply.status), std::move(message)};
    }
    if (j.is_discarded()) {
        co_return Error{read ? store::Unavailable : store::AnswerLost, "object API answered no JSON"};
    }
    co_return std::move(j);
}

Task<Result<Object>> HttpObjectApi::objectRequest(std::string method, std::string target, std::string body)
{
    auto r = co_await request(std::move(method), std::move(target), std::move(body), m_timeout);
    if (!ok(r)) {
        co_return std::get<Error>(r);
    }
    co_return store::objectFromJson(std::get<nlohmann::json>(r));
}

Task<Result<Object>> HttpObjectApi::get(std::string kind, std::string name)
{
    co_return co_await objectRequest("GET", objectTarget(kind, name), "");
}

Task<Result<Object>> HttpObjectApi::put(std::string kind, std::string name, nlohmann::json value, std::optional<uint64_t> ifVersion)
{
    co_return co_await objectRequest("PUT", objectTarget(kind, name, ifVersion), value.dump());
}

Task<Result<Object>> HttpObjectApi::remove(std::string kind, std::string name, std::optional<uint64_t> ifVersion)
{
    co_return co_await objectRequest("DELETE", objectTarget(kind, name, ifVersion), "");
}

Task<Result<Listing>> HttpObjectApi::list(std::string kind, std::string after)
{
    auto r = co_await request("GET", "/v1/objects/" + kind + "?limit=" + std::to_string(pageLimit) + "&after=" + after, "", m_timeout);
    if (!ok(r)) {
        co_return std::get<Error>(r);
    }
    const auto &j = std::get<nlohmann::json>(r);
    Listing l;
    l.revision = j.value("revision", uint64_t{0});
    for (const auto &item : j.value("items", nlohmann::json::array())) {
        l.items.push_back(store::objectFromJson(item));
    }
    l.more = j.value("more", false);
    co_return l;
}

Task<Result<WatchBatch>> HttpObjectApi::watch(uint64_t from, Millis timeout, std::vector<std::string> kinds)
{
    std::string target = "/v1/watch?from=" + std::to_string(from) + "&timeoutMs=" + std::to_string(timeout.count());
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        target += (i == 0 ? "&kinds=" : ",") + kinds[i];
    }
    auto r = co_await request("GET", std::move(target), "", timeout + m_timeout);
    if (!ok(r)) {
        co_return std::get<Error>(r);
    }
    const auto &j = std::get<nlohmann::json>(r);
    WatchBatch b;
    b.revision = j.value("revision", uint64_t{0});
    for (const auto &e : j.value("events", nlohmann::json::array())) {
        b.events.push_back({e.value("deleted", false), e.value("revision", uint64_t{0}), store::objectFromJson(e["object"])});
    }
    co_return b;
}

LocalObjectApi::LocalObjectApi(store::ObjectStore &store)
    : m_store(store)
{
}

// Counts a write that took effect, and loses its answer when told to.
Result<Object> LocalObjectApi::written(Result<Object> result)
{
    if (!ok(result)) {
        return result;
    }
    ++writes;
    if (loseAnswers > 0) {
        --loseAnswers;
        return Error{store::AnswerLost, "answer lost after the write"};
    }
    return result;
}

Task<Result<Object>> LocalObjectApi::get(std::string kind, std::string name)
{
    if (outage) {
        co_return outageError;
    }
    co_return m_store.get(kind, name);
}

Task<Result<Listing>> LocalObjectApi::list(std::string kind, std::string after)
{
    if (outage) {
        co_return outageError;
    }
    co_return m_store.list(kind, after, pageLimit);
}

Task<Result<Object>> LocalObjectApi::put(std::string kind, std::string name, nlohmann::json value, std::optional<uint64_t> ifVersion)
{
    if (outage) {
        co_return outageError;
    }
    co_return written(m_store.put(kind, name, value, ifVersion));
}

Task<Result<Object>> LocalObjectApi::remove(std::string kind, std::string name, std::optional<uint64_t> ifVersion)
{
    if (outage) {
        co_return outageError;
    }
    co_return written(m_store.remove(kind, name, ifVersion));
}

Task<Result<WatchBatch>> LocalObjectApi::watch(uint64_t from, Millis, std::vector<std::string> kinds)
{
    if (outage) {
        co_return outageError;
    }
    co_return m_store.since(from, kinds);
}

} // namespace yucca::platform
