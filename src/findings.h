// Collects the problems of an input with their locations, to report them together.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace yucca
{

/// One problem found while validating input.
struct Finding {
    std::string path; ///< JSON path of the problem, e.g. "/router/loadFactor"
    std::string message;
};

inline constexpr std::size_t maxFindings = 100; ///< of one input; further ones are counted

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
    /// Returns the message of the first finding at a path; empty if there is none.
    std::string messageAt(const std::string &path) const;
    /// Returns all findings as text, one "path: message" per line; an empty path is written as "/".
    std::string report() const;

private:
    std::vector<Finding> m_items;
    std::size_t m_uncollected = 0; ///< beyond maxFindings
};

} // namespace yucca
