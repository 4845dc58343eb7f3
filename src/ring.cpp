#include "yucca/ring.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace yucca::ring
{

uint64_t hash(std::string_view bytes, uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

BoundedRing::BoundedRing(int virtualNodes, double loadFactor)
    : m_virtualNodes(virtualNodes)
    , m_loadFactor(loadFactor)
{
}

void BoundedRing::setMembers(std::vector<std::string> ids)
{
    std::sort(ids.begin(), ids.end());
    m_members = std::move(ids);
    m_points.clear();
    m_points.reserve(m_members.size() * m_virtualNodes);
    for (uint32_t m = 0; m < m_members.size(); ++m) {
        for (int v = 0; v < m_virtualNodes; ++v) {
            m_points.push_back({hash(m_members[m], static_cast<uint64_t>(v)), m});
        }
    }
    std::sort(m_points.begin(), m_points.end(), [](const Point &a, const Point &b) {
        return a.hash < b.hash;
    });
}

int64_t BoundedRing::bound(int64_t totalLoad, std::size_t members, double c)
{
    if (members == 0) {
        return 0;
    }
    return static_cast<int64_t>(std::ceil(c * static_cast<double>(totalLoad + 1) / static_cast<double>(members)));
}

std::optional<std::size_t> BoundedRing::pick(uint64_t key, const std::vector<int64_t> &loads) const
{
    if (m_members.empty()) {
        return std::nullopt;
    }
    int64_t total = 0;
    std::size_t usable = 0;
    for (auto l : loads) {
        total += l == unavailable ? 0 : l;
        usable += l == unavailable ? 0 : 1;
    }
    if (usable == 0) {
        return std::nullopt;
    }
    const int64_t limit = bound(total, usable, m_loadFactor);
    auto it = std::lower_bound(m_points.begin(), m_points.end(), key, [](const Point &p, uint64_t k) {
        return p.hash < k;
    });
    // Walk clockwise. By the bound, at least one member has room, so the walk ends within one turn of the ring.
    for (std::size_t step = 0; step < m_points.size(); ++step, ++it) {
        if (it == m_points.end()) {
            it = m_points.begin();
        }
        const int64_t load = loads[it->member];
        if (load != unavailable && load + 1 <= limit) {
            return it->member;
        }
    }
    return std::nullopt;
}

} // namespace yucca::ring
