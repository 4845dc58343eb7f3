#include "findings.h"

#include <algorithm>

namespace yucca
{

void Findings::add(std::string path, std::string message)
{
    if (m_items.size() == maxFindings) {
        ++m_uncollected;
        return;
    }
    m_items.push_back({std::move(path), std::move(message)});
}

std::string Findings::messageAt(const std::string &path) const
{
    const auto found = std::find_if(m_items.begin(), m_items.end(), [&path](const Finding &finding) {
        return finding.path == path;
    });
    return found == m_items.end() ? std::string() : found->message;
}

std::string Findings::report() const
{
    std::string out;
    for (const auto &f : m_items) {
        out += (f.path.empty() ? std::string("/") : f.path) + ": " + f.message + "\n";
    }
    if (m_uncollected > 0) {
        out += "and " + std::to_string(m_uncollected) + " more\n";
    }
    return out;
}

} // namespace yucca
