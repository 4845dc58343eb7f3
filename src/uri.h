// Targets of requests (RFC 3986). A name that comes from outside becomes part of a request here and nowhere else.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace yucca::uri
{

/// Percent-encodes all bytes but the unreserved characters (RFC 3986, 2.3).
std::string encode(std::string_view text);
/// Replaces percent-encoded bytes; nothing if a '%' is not followed by two hexadecimal digits.
std::optional<std::string> decode(std::string_view text);
/// Decodes the value of a query parameter, in which a plus sign stands for a blank.
std::optional<std::string> decodeParameter(std::string_view value);
/// True if the text is an absolute path with an optional query, and holds no character that must be encoded.
bool isTarget(std::string_view text);

/// Builds a target from a path of this program and from names of any content.
class Target
{
public:
    explicit Target(std::string_view path)
        : m_text(path)
    {
    }
    /// Appends a slash and one path segment. An empty name gives an empty segment.
    Target &segment(std::string_view name);
    /// Appends a query parameter.
    Target &parameter(std::string_view key, std::string_view value);
    const std::string &text() const
    {
        return m_text;
    }

private:
    std::string m_text;
    bool m_hasQuery = false;
};

} // namespace yucca::uri
