// Decodes JSON text and CBOR into values. What comes from outside the process is decoded here and nowhere else: whatever handles a
// value calls itself once for each level of nesting, so values are bounded before any of that begins.
#pragma once

#include "yucca/types.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace yucca::decode
{

inline constexpr std::size_t maxDepth = 128; ///< levels of lists and objects; a value that is neither has none
inline constexpr std::size_t maxValues = 100000; ///< in one text: lists, objects and all that they hold

/// Error codes.
inline constexpr int Malformed = 400;
inline constexpr int OutOfBounds = 413; ///< well-formed up to where it exceeds maxDepth or maxValues

enum class Comments { Refused, Ignored };

/// Decodes JSON text as a whole. Fails with Malformed or OutOfBounds.
Result<nlohmann::json> text(std::string_view bytes, Comments comments = Comments::Refused);
/// As text(); null if it fails, for callers that need a value of a certain type anyway.
nlohmann::json textOrNull(std::string_view bytes);
/// Decodes one CBOR item as a whole. Fails with Malformed or OutOfBounds.
Result<nlohmann::json> cbor(std::span<const uint8_t> bytes);

/// Returns a field of an object; the fallback if the value is no object, or has no such field of the fallback's type and range.
template <typename T> T fieldOr(const nlohmann::json &value, const char *key, T fallback)
{
    const auto field = value.is_object() ? value.find(key) : value.end();
    if (field == value.end()) {
        return fallback;
    }
    if constexpr (std::is_same_v<T, std::string>) {
        return field->is_string() ? field->template get<std::string>() : fallback;
    } else if constexpr (std::is_same_v<T, bool>) {
        return field->is_boolean() ? field->template get<bool>() : fallback;
    } else {
        static_assert(std::is_integral_v<T>);
        const bool fits = field->is_number_unsigned() ? std::in_range<T>(field->template get<uint64_t>())
                                                      : field->is_number_integer() && std::in_range<T>(field->template get<int64_t>());
        return fits ? field->template get<T>() : fallback;
    }
}

} // namespace yucca::decode
