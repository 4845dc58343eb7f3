// Names of any length in messages and records that limit it: a longer name is replaced by a digest of fixed width.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace yucca::names
{

inline constexpr std::size_t maxStoredBytes = 1024; ///< of a name in the records that routers keep in the store
inline constexpr std::size_t maxEndpointIdBytes = 200; ///< in datagrams
inline constexpr std::size_t maxServiceBytes = 199; ///< in datagrams, where a character may precede it
inline constexpr std::size_t maxVersionBytes = 64; ///< in datagrams; a digest is shorter

/// Returns the name, or its digest if it has more than maxBytes or the form of a digest itself. Different names have different results.
std::string abbreviate(std::string_view name, std::size_t maxBytes);
/// Returns what abbreviate() returned to the sender of a text. An earlier release sends names of any length.
std::string received(std::string_view text, std::size_t maxBytes);
/// Returns true if a text has the form of a digest.
bool isDigest(std::string_view text);

} // namespace yucca::names
