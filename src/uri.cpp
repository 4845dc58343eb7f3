#include "uri.h"

#include "text.h"

#include <algorithm>

namespace yucca::uri
{

namespace
{

constexpr std::size_t encodedBytes = 3; ///< of one byte: '%' and two digits
constexpr std::string_view hexDigits = "0123456789ABCDEF";
constexpr std::string_view unreservedMarks = "-._~";
constexpr std::string_view targetMarks = "!$&'()*+,;=:@/?%"; ///< that a path and a query may hold beside unreserved characters

bool isAlphanumeric(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool isUnreserved(char c)
{
    return isAlphanumeric(c) || unreservedMarks.find(c) != std::string_view::npos;
}

void appendEncoded(std::string &out, char c)
{
    const auto byte = static_cast<unsigned char>(c);
    out += '%';
    out += hexDigits[byte >> 4];
    out += hexDigits[byte & 0xf];
}

std::optional<char> decodeByte(std::string_view digits)
{
    const bool both = digits.size() == encodedBytes - 1 && digits.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
    const auto value = both ? text::parseHex(digits) : std::nullopt;
    return value ? std::optional(static_cast<char>(*value)) : std::nullopt;
}

} // namespace

std::string encode(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    for (const char c : text) {
        if (isUnreserved(c)) {
            out += c;
        } else {
            appendEncoded(out, c);
        }
    }
    return out;
}

std::optional<std::string> decode(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            out += text[i];
            continue;
        }
        const auto byte = decodeByte(text.substr(i + 1, encodedBytes - 1));
        if (!byte) {
            return std::nullopt;
        }
        out += *byte;
        i += encodedBytes - 1;
    }
    return out;
}

std::optional<std::string> decodeParameter(std::string_view value)
{
    std::string spaced(value);
    std::replace(spaced.begin(), spaced.end(), '+', ' ');
    return decode(spaced);
}

bool isTarget(std::string_view text)
{
    if (text.empty() || text.front() != '/' || !decode(text)) {
        return false;
    }
    return std::all_of(text.begin(), text.end(), [](char c) {
        return isUnreserved(c) || targetMarks.find(c) != std::string_view::npos;
    });
}

Target &Target::segment(std::string_view name)
{
    m_text += '/';
    if (name == "." || name == "..") {
        for (const char c : name) {
            appendEncoded(m_text, c); // a dot segment would name another path
        }
    } else {
        m_text += encode(name);
    }
    return *this;
}

Target &Target::parameter(std::string_view key, std::string_view value)
{
    m_text += m_hasQuery ? '&' : '?';
    m_hasQuery = true;
    m_text += encode(key) + "=" + encode(value);
    return *this;
}

} // namespace yucca::uri
