// The syntax of header fields (RFC 9110, 5.5 and 5.6.2).
#pragma once

#include <algorithm>
#include <string_view>

namespace yucca::http
{

/// True for a name that a field may have: a token.
inline bool isFieldName(std::string_view name)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [marks](char c) {
        const bool alphanumeric = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
        return alphanumeric || marks.find(c) != std::string_view::npos;
    });
}

/// True for a value that a field may have: no control character but a tab.
inline bool isFieldValue(std::string_view value)
{
    constexpr unsigned char del = 0x7f;
    return std::all_of(value.begin(), value.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return (byte >= ' ' && byte != del) || c == '\t';
    });
}

} // namespace yucca::http
