// Keeps state per pool member across changes of the membership, and ranks members for a key.
#pragma once

#include "yucca/ring.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <string>
#include <utility>
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

// A change of a sorted member list, by positions: some members are removed and others are inserted. Per-member state is changed in one
// pass that moves what stays, without comparing ids.
struct MemberEdit {
    struct Insertion {
        std::size_t before = 0; ///< position in the old list
        std::size_t index = 0; ///< of the member in the list of added ones
    };
    std::vector<std::size_t> removed; ///< positions in the old list, ascending
    std::vector<Insertion> inserted; ///< by position, ascending

    // Both lists must be sorted. An id that is in both loses its state. Ids to add that are held, and to remove that are not, are ignored.
    static MemberEdit of(const std::vector<std::string> &ids, const std::vector<std::string> &added, const std::vector<std::string> &dropped)
    {
        MemberEdit edit;
        const auto find = [&ids](const std::string &id) {
            const auto at = std::lower_bound(ids.begin(), ids.end(), id);
            return std::pair(static_cast<std::size_t>(at - ids.begin()), at != ids.end() && *at == id);
        };
        for (const auto &id : dropped) {
            if (const auto [position, held] = find(id); held) {
                edit.removed.push_back(position);
            }
        }
        for (std::size_t i = 0; i < added.size(); ++i) {
            const auto [position, held] = find(added[i]);
            if (!held || std::binary_search(dropped.begin(), dropped.end(), added[i])) {
                edit.inserted.push_back({position, i});
            }
        }
        return edit;
    }
    bool empty() const
    {
        return removed.empty() && inserted.empty();
    }
    // Returns the edited list; makeState returns the state of the added member with an index.
    template <typename State, typename MakeState> std::vector<State> apply(std::vector<State> old, MakeState makeState) const
    {
        std::vector<State> out;
        out.reserve(old.size() - removed.size() + inserted.size());
        std::size_t done = 0;
        const auto keepUntil = [&](std::size_t end) {
            std::move(old.begin() + static_cast<std::ptrdiff_t>(done), old.begin() + static_cast<std::ptrdiff_t>(end), std::back_inserter(out));
            done = end;
        };
        auto gone = removed.begin();
        for (const auto &insertion : inserted) {
            for (; gone != removed.end() && *gone < insertion.before; ++gone) {
                keepUntil(*gone);
                ++done;
            }
            keepUntil(insertion.before);
            out.push_back(makeState(insertion.index));
        }
        for (; gone != removed.end(); ++gone) {
            keepUntil(*gone);
            ++done;
        }
        keepUntil(old.size());
        return out;
    }
};

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
