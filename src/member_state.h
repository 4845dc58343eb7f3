// How per-member state follows the members of a pool, and how members are
// ranked for a key.
#pragma once

#include "yucca/ring.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace yucca::placement
{

// Mixes a member's hash with a key: the member's rank in the key's
// rendezvous order (the finalizer of SplitMix64).
inline uint64_t rank(uint64_t member, uint64_t key)
{
    uint64_t x = member ^ (key * 0x9e3779b97f4a7c15ULL);
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

// Moves per-member state to the new order of the members: what stays keeps
// its state, what is new starts empty.
template <typename State>
std::vector<State> carryOver(const std::vector<std::string> &oldIds, const std::vector<State> &old, const std::vector<std::string> &newIds)
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

// The hashes that members are ranked by.
inline std::vector<uint64_t> hashesOf(const std::vector<std::string> &ids)
{
    std::vector<uint64_t> hashes(ids.size());
    std::transform(ids.begin(), ids.end(), hashes.begin(), [](const std::string &id) {
        return ring::hash(id);
    });
    return hashes;
}

} // namespace yucca::placement
