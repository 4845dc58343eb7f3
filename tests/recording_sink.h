// Helpers of the tests of followers: what a follower told, and waits.
#pragma once

#include "follower.h"

#include <string>
#include <vector>

namespace yucca::rig
{

/// Writes down what a follower tells.
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

/// True once a time has passed.
inline Task<bool> passed(Millis time)
{
    co_await sleepFor(time);
    co_return true;
}

/// True once a follower has been stopped.
inline Task<bool> ranToItsEnd(Follower<RecordingSink> &follower)
{
    co_await follower.run();
    co_return true;
}

} // namespace yucca::rig
