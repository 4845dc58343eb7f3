// Regions: which failure domains lie in which, and where a request may go.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace yucca
{

/// The region of each failure domain.
using Regions = std::map<std::string, std::string>;

/// The regions whose endpoints may get a request: those that its route and its
/// workspace both allow, each of which may leave the choice open.
class RegionConstraint
{
public:
    /// An empty list leaves the choice open.
    void restrictTo(const std::vector<std::string> &regions)
    {
        if (regions.empty()) {
            return;
        }
        if (!m_bound) {
            m_bound = true;
            m_allowed = regions;
            return;
        }
        std::erase_if(m_allowed, [&regions](const std::string &region) {
            return std::find(regions.begin(), regions.end(), region) == regions.end();
        });
    }
    /// An endpoint whose region is not known is in none that a constraint allows.
    bool allows(const std::string &region) const
    {
        return !m_bound || std::find(m_allowed.begin(), m_allowed.end(), region) != m_allowed.end();
    }
    bool operator==(const RegionConstraint &) const = default;

private:
    bool m_bound = false;
    std::vector<std::string> m_allowed;
};

} // namespace yucca
