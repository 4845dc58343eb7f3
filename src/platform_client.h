// The platform's object API and VM list as the fleet sees them: one
// interface, an HTTP client for it, and an in-process one over a store.
#pragma once

#include "http.h"
#include "objstore.h"
#include "yucca/types.h"

#include <atomic>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace yucca::platform
{

using store::Listing;
using store::Object;
using store::WatchBatch;

/// The object API. Errors use the codes of objstore.h: 404, 409, 410,
/// 429 (rate limited), 503 (unavailable: the call had no effect) and
/// 504 (answer lost: the call may have taken effect).
class ObjectApi
{
public:
    virtual ~ObjectApi() = default;
    virtual Result<Object> get(const std::string &kind, const std::string &name) = 0;
    virtual Result<Listing> list(const std::string &kind) = 0;
    virtual Result<Object> put(const std::string &kind, const std::string &name, const nlohmann::json &value, std::optional<uint64_t> ifVersion) = 0;
    /// Changes after revision from, of the given kinds (all when empty),
    /// waiting up to timeout for one.
    virtual Result<WatchBatch> watch(uint64_t from, std::chrono::milliseconds timeout, const std::vector<std::string> &kinds = {}) = 0;
    /// The VM list: live and leaving endpoints, as of a lag.
    virtual Result<std::vector<Endpoint>> vms() = 0;
};

nlohmann::json toJson(const Endpoint &e);
/// Parses an endpoint; problems go to findings under path.
Endpoint endpointFromJson(const nlohmann::json &j);

/// The object API over HTTP (the platform's published protocol; served here
/// by yucca-platform). Counts the bytes it moves as control traffic.
class HttpObjectApi : public ObjectApi
{
public:
    HttpObjectApi(std::string host, uint16_t port, std::chrono::milliseconds timeout = std::chrono::milliseconds(2000));

    Result<Object> get(const std::string &kind, const std::string &name) override;
    Result<Listing> list(const std::string &kind) override;
    Result<Object> put(const std::string &kind, const std::string &name, const nlohmann::json &value, std::optional<uint64_t> ifVersion) override;
    Result<WatchBatch> watch(uint64_t from, std::chrono::milliseconds timeout, const std::vector<std::string> &kinds = {}) override;
    Result<std::vector<Endpoint>> vms() override;

    const http::ByteCounter &bytes() const
    {
        return m_bytes;
    }

private:
    Result<nlohmann::json> request(std::string_view method, const std::string &target, const std::string &body, std::chrono::milliseconds timeout);

    std::string m_host;
    uint16_t m_port;
    std::chrono::milliseconds m_timeout;
    http::ByteCounter m_bytes;
    std::string m_vmTag; ///< entity tag of the VM list held
    std::vector<Endpoint> m_vmList;
};

/// The object API in process, over an ObjectStore, with faults a test can
/// switch: an outage, and answers lost after the write took effect.
class LocalObjectApi : public ObjectApi
{
public:
    explicit LocalObjectApi(store::ObjectStore &store);

    Result<Object> get(const std::string &kind, const std::string &name) override;
    Result<Listing> list(const std::string &kind) override;
    Result<Object> put(const std::string &kind, const std::string &name, const nlohmann::json &value, std::optional<uint64_t> ifVersion) override;
    Result<WatchBatch> watch(uint64_t from, std::chrono::milliseconds timeout, const std::vector<std::string> &kinds = {}) override;
    Result<std::vector<Endpoint>> vms() override;

    std::atomic<bool> outage{false};
    std::atomic<int> loseAnswers{0}; ///< the next N writes take effect, then report AnswerLost
    std::vector<Endpoint> vmList;
    std::atomic<int> writes{0};

private:
    store::ObjectStore &m_store;
};

} // namespace yucca::platform
