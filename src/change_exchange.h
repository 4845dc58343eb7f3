// Routers hand changes of the store's objects on to each other over HTTP: who
// hears of something newer gets it from the router that told of it.
#pragma once

#include "http_client.h"
#include "http_exchange.h"
#include "shared_replica.h"

#include <vector>

namespace yucca::replica
{

/// Bounds of what one router hands on at a time.
struct HandOnOptions {
    /// Answers being sent at once. A round of datagrams tells eight routers of
    /// a change; who finds all places taken asks the store.
    int mostAtOnce = 12;
    /// Of these, answers to routers that the store turns away. A configuration
    /// of 400 KB is 0.16 s of a link of 20 Mbit/s.
    int mostWholeAtOnce = 2;
    Millis fetchTimeout{400}; ///< a neighbour answers in 1 ms; the store is asked next, still within the bound of a change
    Millis fetchWholeTimeout{2000}; ///< nobody else has it
    Millis connectTimeout{200};
};

/// Answers other routers' questions for changes.
class ChangeServer
{
public:
    explicit ChangeServer(std::vector<SharedReplica *> replicas, HandOnOptions options = {});
    /// Answers one request: GET /changes/KIND?since=REVISION&epoch=EPOCH, with &whole=1 of a
    /// router that the store turns away.
    Task<void> answer(http::Exchange &ex);

private:
    std::vector<SharedReplica *> m_replicas;
    HandOnOptions m_options;
    int m_answering = 0;
    int m_answeringWhole = 0;
};

/// Asks other routers for changes.
class ChangeClient : public ChangeSource
{
public:
    explicit ChangeClient(HandOnOptions options = {})
        : m_options(options)
    {
    }
    Task<Result<Changes>> fetch(http::Address from, std::string kind, Position since, HandOn handOn) override;

private:
    HandOnOptions m_options;
    http::Client m_client;
};

} // namespace yucca::replica
