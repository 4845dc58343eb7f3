// Keeps state per pool member across changes of the membership, and ranks members for a key.
#pragma once

#include "yucca/ring.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace yucca::placement
{

// Returns the member's score for a key in rendezvous hashing; the highest score ranks first. Mixes both with the finalizer of SplitMix64.
inline uint64_t rendezvousScore(uint64_t member, uint64_t key)
{
    uint64_t x = member ^ (key * 0x9e3779b97f4a7c15ULL);
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

// Maps per-member state to a new sorted member list: remaining members keep their state, new members get a default-constructed one.
template <typename State>
std::vector<State> remapMemberState(const std::vector<std::string> &oldIds, const std::vector<State> &old, const std::vector<std::string> &newIds)
{
    std::vector<State> out(newIds.size());
    for (std::size_t i = 0; i < newIds.size(); ++i) {
        const auto at = std::lower_bound(oldIds.begin(), oldIds.end(), newIds[i]);
        if (at != oldIds.end() && *at == newIds[i]) {
            out[i] = old[static_cast<std::size_t>(at - oldIds.begin())];
        }
    }
    return out;
}

// Returns the hashes by which rendezvousScore() scores members, in the order of the ids.
inline std::vector<uint64_t> memberHashes(const std::vector<std::string> &ids)
{
    std::vector<uint64_t> hashes(ids.size());
    std::transform(ids.begin(), ids.end(), hashes.begin(), [](const std::string &id) {
        return ring::hash(id);
    });
    return hashes;
}

} // namespace yucca::placement
