#include "prefix.h"

#include "yucca/ring.h"

#include <algorithm>

namespace yucca::prefix
{

std::string promptText(const nlohmann::json &messages)
{
    std::string out;
    if (!messages.is_array()) {
        return out;
    }
    for (const auto &m : messages) {
        if (!m.is_object()) {
            continue;
        }
        out += m.value("role", "user");
        out += ": ";
        const auto &c = m.contains("content") ? m["content"] : nlohmann::json();
        out += c.is_string() ? c.get<std::string>() : std::string();
        out += "\n";
    }
    return out;
}

std::vector<std::string_view> tokenize(std::string_view text)
{
    std::vector<std::string_view> out;
    std::size_t i = 0;
    while (i < text.size()) {
        while (i < text.size() && std::isspace(static_cast<unsigned char>(text[i]))) {
            ++i;
        }
        std::size_t start = i;
        while (i < text.size() && !std::isspace(static_cast<unsigned char>(text[i]))) {
            ++i;
        }
        if (i > start) {
            out.push_back(text.substr(start, i - start));
        }
    }
    return out;
}

std::vector<uint64_t> blockHashes(const std::vector<std::string_view> &toks, std::size_t blockTokens)
{
    std::vector<uint64_t> out;
    uint64_t chain = 0;
    for (std::size_t b = 0; (b + 1) * blockTokens <= toks.size(); ++b) {
        for (std::size_t t = b * blockTokens; t < (b + 1) * blockTokens; ++t) {
            chain = ring::hash(toks[t], chain);
        }
        out.push_back(chain);
    }
    return out;
}

bool isValidMessageList(const nlohmann::json &messages)
{
    if (!messages.is_array() || messages.empty()) {
        return false;
    }
    return std::all_of(messages.begin(), messages.end(), [](const nlohmann::json &m) {
        return m.is_object() && m.contains("role") && m["role"].is_string() && m.contains("content")
            && (m["content"].is_string() || m["content"].is_array() || m["content"].is_null());
    });
}

placement::Affinity affinityKeys(std::string_view workspace, const nlohmann::json &messages)
{
    placement::Affinity keys;
    keys.shared = ring::hash(workspace);
    keys.conversation = keys.shared;
    if (!messages.is_array()) {
        return keys;
    }
    std::size_t i = 0;
    for (; i < messages.size() && messages[i].is_object() && messages[i].value("role", "") == "system"; ++i) {
        keys.shared = ring::hash(messages[i].dump(), keys.shared);
    }
    keys.conversation = i < messages.size() ? ring::hash(messages[i].dump(), keys.shared) : keys.shared;
    return keys;
}

} // namespace yucca::prefix
