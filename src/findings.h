// Findings: problems collected with their place, reported together.
#pragma once

#include <string>
#include <vector>

namespace yucca
{

/// One problem found while checking input, with the JSON path where it sits.
struct Finding {
    std::string path; ///< e.g. "/router/loadFactor"
    std::string message;
};

/// Collects findings so that every problem of an input is reported at once.
class Findings
{
public:
    /// Records one problem at a place.
    void add(std::string path, std::string message);
    bool empty() const
    {
        return m_items.empty();
    }
    const std::vector<Finding> &items() const
    {
        return m_items;
    }
    /// All findings, one per line, as "path: message".
    std::string report() const;

private:
    std::vector<Finding> m_items;
};

} // namespace yucca
