// An in-process object API over an in-memory store, for tests.
#pragma once

#include "memory_store.h"
#include "object_api.h"

namespace yucca::platform
{

/// An in-process object API over an ObjectStore. Tests can switch faults on: an outage, and responses lost after the
/// write took effect.
class LocalObjectApi : public ObjectApi
{
public:
    /// The store must outlive the API.
    explicit LocalObjectApi(store::ObjectStore &store);

    Task<Result<Object>> get(std::string kind, std::string name, Freshness freshness) override;
    Task<Result<Listing>> list(std::string kind, std::string after, Freshness freshness) override;
    Task<Result<Object>> put(std::string kind, std::string name, nlohmann::json value, std::optional<uint64_t> ifVersion) override;
    Task<Result<Object>> remove(std::string kind, std::string name, std::optional<uint64_t> ifVersion) override;
    /// Returns at once, even if nothing has changed: timeout and cancellation have no effect.
    Task<Result<WatchBatch>> watch(std::string kind, uint64_t from, Millis timeout, Freshness freshness, http::Cancellation *cancellation) override;
    Task<bool> isReachable(std::string kind) override;
    store::Epoch epoch() const override
    {
        return m_epoch;
    }

    bool outage = false; ///< all calls fail with Unavailable
    int loseResponses = 0; ///< the next N writes take effect and fail with AnswerLost
    int writeCount = 0; ///< writes that took effect
    std::optional<uint64_t> replicaRevision; ///< if set, watches that may lag return this revision without changes
    int currentWatchCount = 0; ///< watches that asked for the current state

private:
    template <typename T> Result<T> withEpoch(Result<T> result);
    Result<Object> countWrite(Result<Object> result);

    store::ObjectStore &m_store;
    store::Epoch m_epoch = 0; ///< epoch of the last response
};

} // namespace yucca::platform
