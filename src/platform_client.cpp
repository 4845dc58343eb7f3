#include "platform_client.h"

namespace yucca::platform
{

nlohmann::json toJson(const Endpoint &e)
{
    return {{"id", e.id},
            {"host", e.host},
            {"port", e.port},
            {"pool", e.pool},
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
    e.kind = parseName(endpointKindNames, j.value("kind", "engine")).value_or(EndpointKind::Engine);
    e.state = parseName(endpointStateNames, j.value("state", "live")).value_or(EndpointState::Live);
    return e;
}

HttpObjectApi::HttpObjectApi(std::string host, uint16_t port, std::chrono::milliseconds timeout)
    : m_host(std::move(host))
    , m_port(port)
    , m_timeout(timeout)
{
}

// One call to the object API, its error mapped onto the store's codes.
Result<nlohmann::json> HttpObjectApi::request(std::string_view method, const std::string &target, const std::string &body, std::chrono::milliseconds timeout)
{
    m_bytes.sent += target.size() + body.size() + 80;
    auto r = http::call(m_host, m_port, method, target, body, timeout);
    if (auto *err = std::get_if<http::CallError>(&r)) {
        bool mayHaveRun = err->stage != http::CallStage::Connect && method != "GET";
        return Error{mayHaveRun ? store::AnswerLost : store::Unavailable, "object API: " + err->message};
    }
    auto &reply = std::get<http::Reply>(r);
    m_bytes.received += reply.body.size() + 120;
    if (reply.status != 200) {
        auto j = nlohmann::json::parse(reply.body, nullptr, false);
        std::string msg = j.is_object() ? j.value("error", reply.body) : reply.body;
        return Error{static_cast<int>(reply.status), msg};
    }
    auto j = nlohmann::json::parse(reply.body, nullptr, false);
    if (j.is_discarded()) {
        return Error{store::Unavailable, "object API answered no JSON"};
    }
    return j;
}

Result<Object> HttpObjectApi::get(const std::string &kind, const std::string &name)
{
    auto r = request("GET", "/v1/objects/" + kind + "/" + name, "", m_timeout);
    if (!ok(r)) {
        return std::get<Error>(r);
    }
    return store::objectFromJson(std::get<nlohmann::json>(r));
}

Result<Listing> HttpObjectApi::list(const std::string &kind)
{
    auto r = request("GET", "/v1/objects/" + kind, "", m_timeout);
    if (!ok(r)) {
        return std::get<Error>(r);
    }
    const auto &j = std::get<nlohmann::json>(r);
    Listing l;
    l.revision = j.value("revision", uint64_t{0});
    for (const auto &item : j.value("items", nlohmann::json::array())) {
        l.items.push_back(store::objectFromJson(item));
    }
    return l;
}

Result<Object> HttpObjectApi::put(const std::string &kind, const std::string &name, const nlohmann::json &value, std::optional<uint64_t> ifVersion)
{
    std::string target = "/v1/objects/" + kind + "/" + name;
    if (ifVersion) {
        target += "?ifVersion=" + std::to_string(*ifVersion);
    }
    auto r = request("PUT", target, value.dump(), m_timeout);
    if (!ok(r)) {
        return std::get<Error>(r);
    }
    return store::objectFromJson(std::get<nlohmann::json>(r));
}

Result<WatchBatch> HttpObjectApi::watch(uint64_t from, std::chrono::milliseconds timeout, const std::vector<std::string> &kinds)
{
    std::string target = "/v1/watch?from=" + std::to_string(from) + "&timeoutMs=" + std::to_string(timeout.count());
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        target += (i == 0 ? "&kinds=" : ",") + kinds[i];
    }
    auto r = request("GET", target, "", timeout + m_timeout);
    if (!ok(r)) {
        return std::get<Error>(r);
    }
    const auto &j = std::get<nlohmann::json>(r);
    WatchBatch b;
    b.revision = j.value("revision", uint64_t{0});
    for (const auto &e : j.value("events", nlohmann::json::array())) {
        b.events.push_back({e.value("deleted", false), e.value("revision", uint64_t{0}), store::objectFromJson(e["object"])});
    }
    return b;
}

// A conditional GET: while the list is unchanged the platform answers 304
// with no body, and the list held is returned again.
Result<std::vector<Endpoint>> HttpObjectApi::vms()
{
    http::Headers headers;
    if (!m_vmTag.empty()) {
        headers.emplace_back("If-None-Match", m_vmTag);
    }
    m_bytes.sent += 100 + m_vmTag.size();
    auto r = http::call(m_host, m_port, "GET", "/v1/vms", "", m_timeout, headers);
    if (auto *err = std::get_if<http::CallError>(&r)) {
        return Error{store::Unavailable, "object API: " + err->message};
    }
    const auto &reply = std::get<http::Reply>(r);
    m_bytes.received += reply.body.size() + 120;
    if (reply.status == 304) {
        return m_vmList;
    }
    if (reply.status != 200) {
        return Error{static_cast<int>(reply.status), "object API: VM list answered " + std::to_string(reply.status)};
    }
    auto j = nlohmann::json::parse(reply.body, nullptr, false);
    if (!j.is_object()) {
        return Error{store::Unavailable, "object API answered no JSON"};
    }
    std::vector<Endpoint> out;
    for (const auto &e : j.value("vms", nlohmann::json::array())) {
        out.push_back(endpointFromJson(e));
    }
    m_vmList = out;
    m_vmTag = reply.header("etag");
    return out;
}

LocalObjectApi::LocalObjectApi(store::ObjectStore &store)
    : m_store(store)
{
}

Result<Object> LocalObjectApi::get(const std::string &kind, const std::string &name)
{
    if (outage) {
        return Error{store::Unavailable, "outage"};
    }
    return m_store.get(kind, name);
}

Result<Listing> LocalObjectApi::list(const std::string &kind)
{
    if (outage) {
        return Error{store::Unavailable, "outage"};
    }
    return m_store.list(kind);
}

Result<Object> LocalObjectApi::put(const std::string &kind, const std::string &name, const nlohmann::json &value, std::optional<uint64_t> ifVersion)
{
    if (outage) {
        return Error{store::Unavailable, "outage"};
    }
    ++writes;
    auto r = m_store.put(kind, name, value, ifVersion);
    if (ok(r) && loseAnswers > 0) {
        --loseAnswers;
        return Error{store::AnswerLost, "answer lost after the write"};
    }
    return r;
}

Result<WatchBatch> LocalObjectApi::watch(uint64_t from, std::chrono::milliseconds, const std::vector<std::string> &kinds)
{
    if (outage) {
        return Error{store::Unavailable, "outage"};
    }
    return m_store.since(from, kinds);
}

Result<std::vector<Endpoint>> LocalObjectApi::vms()
{
    if (outage) {
        return Error{store::Unavailable, "outage"};
    }
    return vmList;
}

} // namespace yucca::platform
