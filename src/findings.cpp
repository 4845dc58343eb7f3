#include "findings.h"

namespace yucca
{

void Findings::add(std::string path, std::string message)
{
    m_items.push_back({std::move(path), std::move(message)});
}

std::string Findings::report() const
{
    std::string out;
    for (const auto &f : m_items) {
        out += (f.path.empty() ? std::string("/") : f.path) + ": " + f.message + "\n";
    }
    return out;
}

} // namespace yucca
