// The platform's object API as the fleet sees it.
#pragma once

#include "http_client.h"
#include "store.h"
#include "task.h"
#include "yucca/types.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace yucca::platform
{

using store::Freshness;
using store::Listing;
using store::Object;
using store::WatchBatch;

/// The kind of the VM list's entries: live and leaving endpoints, as the
/// platform last heard of them. Read-only to the system.
inline constexpr const char *vmKind = "vm";

/// After a watch's wait, until its answer is given up: the store answers in 4 ms, links take 1 ms.
inline constexpr Millis watchMargin{700};

/// The object API. Errors use the codes of store.h: 404, 409, 410,
/// 429 (rate limited), 503 (unavailable: the call had no effect) and
/// 504 (answer lost: the call may have taken effect).
class ObjectApi
{
public:
    virtual ~ObjectApi() = default;
    virtual Task<Result<Object>> get(std::string kind, std::string name, Freshness freshness) = 0;
    /// One page of the objects of a kind, by name, those after a name.
    virtual Task<Result<Listing>> list(std::string kind, std::string after, Freshness freshness) = 0;
    /// Writes an object. ifVersion: absent = unconditional, 0 = create only, N = only at version N.
    virtual Task<Result<Object>> put(std::string kind, std::string name, nlohmann::json value, std::optional<uint64_t> ifVersion) = 0;
    virtual Task<Result<Object>> remove(std::string kind, std::string name, std::optional<uint64_t> ifVersion) = 0;
    /// Changes of a kind after revision from, waiting up to timeout for one.
    /// Fired, the cancellation ends the wait early with an error.
    virtual Task<Result<WatchBatch>> watch(std::string kind, uint64_t from, Millis timeout, Freshness freshness, http::Cancellation *cancellation) = 0;
    /// True when the store answers calls: the cheapest question it takes.
    virtual Task<bool> answers(std::string kind) = 0;
    /// The highest epoch that any answer told so far, failures included; from any thread.
    virtual store::Epoch epoch() const
    {
        return 0;
    }
};

/// Lists a kind whole, page by page. Its revision is the first page's, so a
/// watch from there misses no change made meanwhile.
Task<Result<Listing>> listAll(ObjectApi &api, std::string kind, Freshness freshness = Freshness::Current);

nlohmann::json toJson(const Endpoint &e);
/// Reads an endpoint as the VM list holds it; absent fields take defaults.
Endpoint endpointFromJson(const nlohmann::json &j);

} // namespace yucca::platform
