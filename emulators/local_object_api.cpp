#include "local_object_api.h"

namespace yucca::platform
{

namespace
{

constexpr int pageLimit = 500; ///< objects per page

const Error outageError{store::Unavailable, "outage"};

} // namespace

LocalObjectApi::LocalObjectApi(store::ObjectStore &store)
    : m_store(store)
{
}

// Adds the epoch of the store to a result. All responses carry it, also failed ones.
template <typename T> Result<T> LocalObjectApi::withEpoch(Result<T> result)
{
    m_epoch = m_store.epoch();
    if constexpr (std::is_same_v<T, Object>) {
        if (ok(result)) {
            std::get<Object>(result).epoch = m_epoch;
        }
    }
    return result;
}

// Counts a write that took effect, and loses its response if that fault is on.
Result<Object> LocalObjectApi::countWrite(Result<Object> result)
{
    if (!ok(result)) {
        return result;
    }
    ++writeCount;
    if (loseResponses > 0) {
        --loseResponses;
        return Error{store::AnswerLost, "answer lost after the write"};
    }
    return result;
}

Task<Result<Object>> LocalObjectApi::get(std::string kind, std::string name, Freshness)
{
    if (outage) {
        co_return outageError;
    }
    co_return withEpoch(m_store.get(kind, name));
}

Task<Result<Listing>> LocalObjectApi::list(std::string kind, std::string after, Freshness)
{
    if (outage) {
        co_return outageError;
    }
    co_return withEpoch(Result<Listing>(m_store.list(kind, after, pageLimit)));
}

Task<Result<Object>> LocalObjectApi::put(std::string kind, std::string name, nlohmann::json value, std::optional<uint64_t> ifVersion)
{
    if (outage) {
        co_return outageError;
    }
    co_return withEpoch(countWrite(m_store.put(kind, name, value, ifVersion)));
}

Task<Result<Object>> LocalObjectApi::remove(std::string kind, std::string name, std::optional<uint64_t> ifVersion)
{
    if (outage) {
        co_return outageError;
    }
    co_return withEpoch(countWrite(m_store.remove(kind, name, ifVersion)));
}

Task<Result<WatchBatch>> LocalObjectApi::watch(std::string kind, uint64_t from, Millis, Freshness freshness, http::Cancellation *)
{
    currentWatchCount += freshness == Freshness::Current ? 1 : 0;
    if (outage) {
        co_return outageError;
    }
    if (freshness == Freshness::MayLag && replicaRevision) {
        co_return WatchBatch{*replicaRevision, {}, m_store.epoch()};
    }
    co_return withEpoch(m_store.since(from, {kind}));
}

Task<bool> LocalObjectApi::isReachable(std::string)
{
    if (!outage) {
        m_epoch = m_store.epoch();
    }
    co_return !outage;
}

} // namespace yucca::platform
