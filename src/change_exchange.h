// Transfers changes of the store's objects between routers over HTTP: a router fetches a newer state from the peer that announced it.
#pragma once

#include "http_client.h"
#include "http_exchange.h"
#include "shared_replica.h"

#include <vector>

namespace yucca::replica
{

/// Limits of the transfers.
struct ChangeExchangeOptions {
    /// Maximum number of answers sent concurrently. A round of datagrams announces a change to eight routers; a router that is
    /// refused asks another one, or again.
    int maxConcurrent = 12;
    /// Maximum number of large answers sent concurrently, in addition to the regular ones. A configuration of 400 KB takes 0.16 s on a
    /// link of 20 Mbit/s, and each router that has received it sends it on: sent to few at a time, it reaches all of them sooner.
    int maxConcurrentLarge = 2;
    Millis fetchTimeout{400}; ///< a neighbour answers in 1 ms; a query to the store after this timeout still meets the time bound of a change
    Millis fetchLargeTimeout{2000}; ///< longer: the peer has answered that the changes are large
    Millis connectTimeout{200};
};

/// Counts the answers that a router sends concurrently.
class AnswerSlots
{
public:
    explicit AnswerSlots(ChangeExchangeOptions options = {})
        : m_options(options)
    {
    }
    /// Takes a slot for an answer of the given limit; returns false if all are taken.
    bool acquire(TransferLimit limit);
    void release(TransferLimit limit)
    {
        --active(limit);
    }

private:
    int &active(TransferLimit limit)
    {
        return limit == TransferLimit::Large ? m_large : m_regular;
    }
    ChangeExchangeOptions m_options;
    int m_regular = 0;
    int m_large = 0;
};

/// Answers other routers' requests for changes.
class ChangeServer
{
public:
    explicit ChangeServer(std::vector<SharedReplica *> replicas, ChangeExchangeOptions options = {});
    /// Answers one request: GET /changes/KIND?since=REVISION&epoch=EPOCH, with &whole=1 for TransferLimit::Large. Replies
    /// 404 for an unknown kind or a malformed query, PeerBusy if too many answers are being sent, and the codes of SharedReplica::changesSince().
    Task<void> handle(http::Exchange &ex);

private:
    std::vector<SharedReplica *> m_replicas;
    AnswerSlots m_slots;
};

/// Requests changes from other routers.
class ChangeClient : public ChangeSource
{
public:
    explicit ChangeClient(ChangeExchangeOptions options = {})
        : m_options(options)
    {
    }
    Task<Result<Changes>> fetch(http::Address from, std::string kind, Position since, TransferLimit limit) override;

private:
    ChangeExchangeOptions m_options;
    http::Client m_client;
};

} // namespace yucca::replica
