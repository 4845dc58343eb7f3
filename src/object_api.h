// The interface of the platform's object store.
#pragma once

#include "http_client.h"
#include "store.h"
#include "store_usage.h"
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

/// The kind of the VM list's entries: live and leaving endpoints as the platform last reported them. Read-only for the fleet.
inline constexpr const char *vmKind = "vm";

/// Time allowed for a watch's answer after its timeout: the store answers in 4 ms, links take 1 ms.
inline constexpr Millis watchResponseMargin{700};

/// The object API. Calls fail with the codes of store.h: 404, 409, 410, 429 (rate limited), 503 (unavailable: the call had no
/// effect) and 504 (answer lost: the call may have taken effect).
class ObjectApi
{
public:
    virtual ~ObjectApi() = default;
    virtual Task<Result<Object>> get(std::string kind, std::string name, Freshness freshness) = 0;
    /// Returns one page of the objects of a kind, sorted by name, starting after the given name.
    virtual Task<Result<Listing>> list(std::string kind, std::string after, Freshness freshness) = 0;
    /// Writes an object. ifVersion: absent = unconditional, 0 = create only, N = only at version N. Returns the object written.
    virtual Task<Result<Object>> put(std::string kind, std::string name, nlohmann::json value, std::optional<uint64_t> ifVersion) = 0;
    virtual Task<Result<Object>> remove(std::string kind, std::string name, std::optional<uint64_t> ifVersion) = 0;
    /// Returns the changes of a kind after the revision from, waiting up to timeout for the first one. Cancellation ends the wait
    /// with an error.
    virtual Task<Result<WatchBatch>> watch(std::string kind, uint64_t from, Millis timeout, Freshness freshness, http::Cancellation *cancellation) = 0;
    /// Returns true if the store answers calls, using the cheapest call it offers.
    virtual Task<bool> isReachable(std::string kind) = 0;
    /// Returns the highest epoch seen in any answer, including failed calls; callable from any thread.
    virtual store::Epoch epoch() const
    {
        return 0;
    }
    /// Returns the calls so far, if the implementation counts them; callable from any thread.
    virtual store::UsageCounts usage() const
    {
        return {};
    }
};

/// Lists all objects of a kind, page by page; an object may be in the result more than once. The result has the revision of the first
/// page, so that a watch from there misses no change made while later pages were read. If the store refuses a later page, the result
/// holds the entries before it, and more is true. Fails with the error of the first other failed call.
Task<Result<Listing>> listAll(ObjectApi &api, std::string kind, Freshness freshness = Freshness::Current);
/// Logs that the rest of a list cannot be had.
void logIncompleteList(const std::string &kind, std::size_t entries, const std::string &why);

nlohmann::json toJson(const Endpoint &e);
/// Reads an endpoint from an entry of the VM list. Absent fields and unknown names take defaults.
Endpoint endpointFromJson(const nlohmann::json &j);

} // namespace yucca::platform
