// Prompt prefixes: a stand-in tokenizer, chained block hashes of a prefix (as engines key their prefix caches), and
// affinity keys.
#pragma once

#include "yucca/placement.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace yucca::prefix
{

/// The prompt text of a chat request: one line "role: content" per message.
std::string promptText(const nlohmann::json &messages);

/// Splits text into tokens at white space. Stands in for a model's tokenizer.
std::vector<std::string_view> tokenize(std::string_view text);

/// Hashes of the complete blocks of a token sequence. Each hash is chained to the one before it, so equal hashes mean
/// equal prefixes.
std::vector<uint64_t> blockHashes(const std::vector<std::string_view> &toks, std::size_t blockTokens);

/// True for a non-empty list of messages that each have a role and a content of text, parts or null.
bool isValidMessageList(const nlohmann::json &messages);

/// The affinity keys of a chat. The shared key covers the workspace and the leading system messages; the conversation
/// key also covers the first message after them. Both keys are the same for every turn of a conversation.
placement::Affinity affinityKeys(std::string_view workspace, const nlohmann::json &messages);

} // namespace yucca::prefix
