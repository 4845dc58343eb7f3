// Prompt prefixes: the stand-in tokenizer, chained block hashes of a
// prefix (as engines key their prefix caches) and the affinity keys.
#pragma once

#include "yucca/placement.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace yucca::prefix
{

/// The prompt of a chat request: each message as "role: content", one a line.
std::string promptText(const nlohmann::json &messages);

/// Splits text into tokens on white space (the stand-ins' tokenizer).
std::vector<std::string_view> tokens(std::string_view text);

/// Hashes of the whole blocks of a token sequence, each chained to the
/// one before, so equal hashes mean equal prefixes.
std::vector<uint64_t> blockHashes(const std::vector<std::string_view> &toks, std::size_t blockTokens);

/// True for a non-empty list of messages that each have a role and a content
/// of text or parts.
bool wellFormed(const nlohmann::json &messages);

/// The affinity keys of a chat: the shared key covers the workspace and the
/// leading system messages, the conversation key also the first message
/// after them. Both are the same for every turn of a conversation.
placement::Affinity affinity(std::string_view workspace, const nlohmann::json &messages);

} // namespace yucca::prefix
