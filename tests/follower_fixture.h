// Test fixture: a follower with a neighbour that follows the same store.
#pragma once

#include "change_exchange.h"
#include "fixture.h"
#include "follower.h"
#include "local_object_api.h"
#include "recording_sink.h"

#include <map>
#include <memory>
#include <optional>

namespace yucca::fixture
{

/// Serves the changes of another replica, or fails if peer is null.
class ReplicaSource : public replica::ChangeSource
{
public:
    Task<Result<replica::Changes>> fetch(http::Address from, std::string, replica::Position since, replica::TransferLimit limit) override
    {
        ++fetches;
        lastFrom = from;
        co_await sleepFor(Millis(1));
        if (const auto failure = failures.find(from.host); failure != failures.end()) {
            co_return Error{failure->second, "refused"};
        }
        if (!peer) {
            co_return Error{503, "no answer"};
        }
        co_return peer->changesSince(since, limit);
    }
    const replica::SharedReplica *peer = nullptr;
    std::map<std::string, int> failures; ///< error codes by the host of the peer that is asked
    int fetches = 0;
    http::Address lastFrom;
};

/// An object API that counts a follower's calls.
class CountingApi : public platform::LocalObjectApi
{
public:
    using LocalObjectApi::LocalObjectApi;
    Task<Result<platform::Listing>> list(std::string kind, std::string after, platform::Freshness freshness) override
    {
        ++lists;
        lastListFreshness = freshness;
        co_return co_await LocalObjectApi::list(kind, after, freshness);
    }
    Task<Result<platform::WatchBatch>> watch(std::string kind, uint64_t from, Millis timeout, platform::Freshness freshness,
                                             http::Cancellation *cancellation) override
    {
        ++watches;
        lastWait = timeout;
        co_await sleepFor(watchLatency);
        co_return co_await LocalObjectApi::watch(kind, from, timeout, freshness, cancellation);
    }
    int lists = 0;
    platform::Freshness lastListFreshness = platform::Freshness::Current;
    int watches = 0;
    Millis lastWait{};
    Millis watchLatency{1}; ///< time before a watch is passed to the store
};

inline const http::Address neighbour{"10.0.0.2", 7000};

/// A follower whose router has rank 5 among its neighbours, and one neighbour that follows the same store.
struct FollowerFixture {
    FollowerFixture()
    {
        source.peer = &other;
        options.sharedReplica = &own;
        follower = std::make_unique<Follower<RecordingSink>>(api, "k", sink, options);
    }
    // Runs one step of the neighbour's follower, and a second one if the store has not confirmed its state yet.
    void neighbourQueriesStore(Loop &loop)
    {
        if (!neighbourFollower) {
            FollowerOptions neighbourOptions;
            neighbourOptions.sharedReplica = &other;
            neighbourFollower = std::make_unique<Follower<RecordingSink>>(neighbourApi, "k", neighbourSink, neighbourOptions);
        }
        require(loop.run(neighbourFollower->step()));
        if (!other.isConfirmed()) {
            require(loop.run(neighbourFollower->step()));
        }
    }
    // Lets this router list the objects, and confirms the listing.
    void start(Loop &loop)
    {
        require(loop.run(follower->step()));
        own.recordConfirmation(own.watchFrom(Clock::now()), Clock::now(), false);
    }
    void receiveNeighbourConfirmation()
    {
        own.receiveConfirmation(*other.currentConfirmation(), neighbour, Clock::now());
    }

    store::ObjectStore store;
    CountingApi api{store};
    CountingApi neighbourApi{store};
    RecordingSink sink;
    RecordingSink neighbourSink;
    ReplicaSource source;
    std::optional<std::size_t> rank = 5;
    replica::SharedReplica own{"k",
                               [this](Clock::time_point) {
                                   return rank;
                               },
                               source};
    replica::SharedReplica other{"k",
                                 [](Clock::time_point) {
                                     return std::optional<std::size_t>(0);
                                 },
                                 source};
    FollowerOptions options;
    std::unique_ptr<Follower<RecordingSink>> follower;
    std::unique_ptr<Follower<RecordingSink>> neighbourFollower;
};

} // namespace yucca::fixture
