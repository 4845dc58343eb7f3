// The object API in process, over a store in memory: for tests.
#pragma once

#include "memory_store.h"
#include "object_api.h"

namespace yucca::platform
{

/// The object API in process, over an ObjectStore, with faults a test can
/// switch: an outage, and answers lost after the write took effect.
class LocalObjectApi : public ObjectApi
{
public:
    explicit LocalObjectApi(store::ObjectStore &store);

    Task<Result<Object>> get(std::string kind, std::string name, Freshness freshness) override;
    Task<Result<Listing>> list(std::string kind, std::string after, Freshness freshness) override;
    Task<Result<Object>> put(std::string kind, std::string name, nlohmann::json value, std::optional<uint64_t> ifVersion) override;
    Task<Result<Object>> remove(std::string kind, std::string name, std::optional<uint64_t> ifVersion) override;
    /// Answers at once, also when nothing has changed.
    Task<Result<WatchBatch>> watch(std::string kind, uint64_t from, Millis timeout, Freshness freshness, http::Cancellation *cancellation) override;
    Task<bool> answers(std::string kind) override;
    store::Epoch epoch() const override
    {
        return m_epoch;
    }

    bool outage = false;
    int loseAnswers = 0; ///< the next N writes take effect, then report AnswerLost
    int writes = 0; ///< writes that took effect
    std::optional<uint64_t> replicaAt; ///< watches that may lag are answered as of this revision
    int currentWatches = 0;

private:
    template <typename T> Result<T> answered(Result<T> result);
    Result<Object> written(Result<Object> result);

    store::ObjectStore &m_store;
    store::Epoch m_epoch = 0; ///< that an answer told
};

} // namespace yucca::platform
