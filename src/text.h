// Reading numbers and lists out of headers, queries and options.
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

/// The decimal number that the whole of a text is, or nothing.
template <typename T = int64_t> std::optional<T> number(std::string_view text)
{
    T value = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(value) : std::nullopt;
}

/// The items of a comma-separated list, empty ones left out.
inline std::vector<std::string> items(std::string_view list)
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
