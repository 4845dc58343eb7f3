// Nested values as text and as CBOR, for the tests of what comes from outside.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace yucca::fixture
{

/// A way to nest: what opens a level, what the innermost level holds, what closes a level.
struct Nesting {
    const char *name;
    std::string_view open;
    std::string_view innermost;
    std::string_view close;

    /// Returns so many nested levels.
    std::string levels(std::size_t count) const
    {
        std::string out;
        out.reserve(count * (open.size() + close.size()) + innermost.size());
        for (std::size_t i = 0; i < count; ++i) {
            out += open;
        }
        out += innermost;
        for (std::size_t i = 0; i < count; ++i) {
            out += close;
        }
        return out;
    }
    /// Returns as many nested levels as fit into so many bytes.
    std::string bytes(std::size_t count) const
    {
        return levels((count - innermost.size()) / (open.size() + close.size()));
    }
};

inline const std::vector<Nesting> textNestings{{"lists", "[", "", "]"}, {"objects", "{\"a\":", "1", "}"}, {"both", "[{\"a\":", "1", "}]"}};
inline const std::vector<Nesting> cborNestings{{"lists", "\x81", "\x01", ""}, {"objects", "\xa1\x61\x61", "\x01", ""}, {"open lists", "\x9f", "\x01", "\xff"}};

inline std::vector<uint8_t> bytesOf(const std::string &text)
{
    return {text.begin(), text.end()};
}

} // namespace yucca::fixture
