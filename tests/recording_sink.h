// Helpers for tests of followers: a recording sink and waiting coroutines.
#pragma once

#include "follower.h"

#include <string>
#include <vector>

namespace yucca::rig
{

/// Records the updates of a follower.
struct RecordingSink {
    std::vector<std::string> news;
    void listed(const platform::Listing &listing, platform::Freshness)
    {
        news.push_back("listed " + std::to_string(listing.items.size()));
    }
    void listedSoFar(const platform::Listing &listing)
    {
        news.push_back("so far " + std::to_string(listing.items.size()));
    }
    void changed(const platform::Object &object, bool deleted)
    {
        news.push_back((deleted ? "gone " : "set ") + object.name);
    }
    void batchEnded()
    {
    }
    void regained(Clock::duration)
    {
        news.push_back("regained");
    }
    void restored()
    {
        news.push_back("restored");
    }
};

/// Returns true after the given time.
inline Task<bool> passed(Millis time)
{
    co_await sleepFor(time);
    co_return true;
}

/// Runs a follower and returns true once it has been stopped.
inline Task<bool> ranToItsEnd(Follower<RecordingSink> &follower)
{
    co_await follower.run();
    co_return true;
}

} // namespace yucca::rig
