// Parsing and formatting of numbers and lists in headers, queries and options.
#pragma once

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yucca::text
{

/// Parses the whole text as a decimal number. Returns nothing if it is not one.
template <typename T = int64_t> std::optional<T> parseNumber(std::string_view text)
{
    T value = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(value) : std::nullopt;
}

/// Formats a number in hexadecimal. JSON fields hold such text because some JSON parsers lose precision in 64-bit
/// numbers.
inline std::string toHex(uint64_t value)
{
    char digits[16];
    const auto written = std::to_chars(digits, digits + sizeof digits, value, 16);
    return {digits, written.ptr};
}

/// Parses the whole text as a hexadecimal number. Returns nothing if it is not one.
inline std::optional<uint64_t> parseHex(std::string_view text)
{
    uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, 16);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(value) : std::nullopt;
}

/// Splits a comma-separated list and omits empty items.
inline std::vector<std::string> splitList(std::string_view list)
{
    std::vector<std::string> out;
    std::size_t at = 0;
    while (at < list.size()) {
        const auto comma = std::min(list.find(',', at), list.size());
        if (comma > at) {
            out.emplace_back(list.substr(at, comma - at));
        }
        at = comma + 1;
    }
    return out;
}

} // namespace yucca::text
