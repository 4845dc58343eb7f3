// Consistent hashing with bounded loads over the members of one pool.
#pragma once

#include <atomic>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yucca::ring
{

/// The load of a member that must not be picked. It does not count toward the total load.
inline constexpr int64_t unavailable = -1;

/// 64-bit xxHash (XXH3) of a byte string.
uint64_t hash(std::string_view bytes, uint64_t seed = 0);

/// A policy that picks a member index from an affinity key and the in-flight load of each member, in member order.
/// Returns nothing if the pool is empty.
template <typename P> concept Picker = requires(P p, uint64_t key, const std::vector<int64_t> &loads)
{
    {
        p.pick(key, loads)
        } -> std::same_as<std::optional<std::size_t>>;
};

/// Consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, SODA 2018). Each member owns virtualNodes
/// points on a 64-bit ring. A key goes to the first member clockwise whose load, including this request, is at most
/// ceil(c * (total + 1) / n), where c is the load factor, total is the load of all available members and n is their
/// number.
class BoundedRing
{
public:
    BoundedRing(int virtualNodes = 64, double loadFactor = 1.25);

    /// Replaces the members. Keys keep their member if that member stays.
    void setMembers(std::vector<std::string> ids);
    const std::vector<std::string> &members() const
    {
        return m_members;
    }
    /// Picks the member for a key. Returns nothing if the pool is empty or every member is unavailable.
    std::optional<std::size_t> pick(uint64_t key, const std::vector<int64_t> &loads) const;
    /// The maximum load of one member once one more request is placed, for load factor c.
    static int64_t bound(int64_t totalLoad, std::size_t members, double c);

private:
    struct Point {
        uint64_t hash;
        uint32_t member;
    };
    std::vector<Point> m_points;
    std::vector<std::string> m_members;
    int m_virtualNodes;
    double m_loadFactor;
};

static_assert(Picker<BoundedRing>);

} // namespace yucca::ring
