// Collects the problems of an input with their locations, to report them together.
#pragma once

#include <string>
#include <vector>

namespace yucca
{

/// One problem found while validating input.
struct Finding {
    std::string path; ///< JSON path of the problem, e.g. "/router/loadFactor"
    std::string message;
};

/// The problems of one input, in the order in which they were found.
class Findings
{
public:
    void add(std::string path, std::string message);
    bool empty() const
    {
        return m_items.empty();
    }
    const std::vector<Finding> &items() const
    {
        return m_items;
    }
    /// Returns all findings as text, one "path: message" per line; an empty path is written as "/".
    std::string report() const;

private:
    std::vector<Finding> m_items;
};

} // namespace yucca
