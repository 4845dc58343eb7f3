// Regions: the region of each failure domain, and the regions that a request may go to.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace yucca
{

/// Maps each failure domain to its region.
using Regions = std::map<std::string, std::string>;

/// The regions whose endpoints may receive a request: those allowed by both its route and its workspace. Either one may
/// allow all regions.
class RegionConstraint
{
public:
    /// Restricts the allowed regions to those in the list. An empty list restricts nothing.
    void restrictTo(const std::vector<std::string> &regions)
    {
        if (regions.empty()) {
            return;
        }
        if (!m_restricted) {
            m_restricted = true;
            m_allowed = regions;
            return;
        }
        std::erase_if(m_allowed, [&regions](const std::string &region) {
            return std::find(regions.begin(), regions.end(), region) == regions.end();
        });
    }
    /// True if an endpoint in the region may receive the request. An unknown (empty) region is allowed only without a
    /// restriction.
    bool allows(const std::string &region) const
    {
        return !m_restricted || std::find(m_allowed.begin(), m_allowed.end(), region) != m_allowed.end();
    }
    bool operator==(const RegionConstraint &) const = default;

private:
    bool m_restricted = false;
    std::vector<std::string> m_allowed;
};

} // namespace yucca
