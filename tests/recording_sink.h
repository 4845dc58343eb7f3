// Helpers for tests of followers: a recording sink and waiting coroutines.
#pragma once

#include "follower.h"

#include <string>
#include <vector>

namespace yucca::fixture
{

/// Records the updates of a follower.
struct RecordingSink {
    std::vector<std::string> updates;
    void onListing(const platform::Listing &listing, platform::Freshness)
    {
        updates.push_back("listed " + std::to_string(listing.items.size()));
    }
    void onPartialListing(const platform::Listing &listing)
    {
        updates.push_back("page " + std::to_string(listing.items.size()));
    }
    void onIncompleteListing(const platform::Listing &listing)
    {
        updates.push_back("incomplete " + std::to_string(listing.items.size()));
    }
    void onChange(const platform::Object &object, bool deleted)
    {
        updates.push_back((deleted ? "gone " : "set ") + object.name);
    }
    void onBatchEnd()
    {
    }
    void onStoreRecovered(Clock::duration)
    {
        updates.push_back("regained");
    }
    void onStoreRestored()
    {
        updates.push_back("restored");
    }
};

/// Returns true after the given time.
inline Task<bool> trueAfterDelay(Millis time)
{
    co_await sleepFor(time);
    co_return true;
}

/// Runs a follower and returns true once it has been stopped.
inline Task<bool> runUntilStopped(Follower<RecordingSink> &follower)
{
    co_await follower.run();
    co_return true;
}

} // namespace yucca::fixture
