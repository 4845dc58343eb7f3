#include "name_digest.h"

#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <algorithm>
#include <array>

namespace yucca::names
{

namespace
{

constexpr char digestMark = '~';
constexpr std::size_t uuidChars = 36;
constexpr std::array<std::size_t, 4> uuidHyphens{8, 13, 18, 23};

bool isHyphenPosition(std::size_t at)
{
    return std::find(uuidHyphens.begin(), uuidHyphens.end(), at) != uuidHyphens.end();
}

bool isLowerHex(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

} // namespace

bool isDigest(std::string_view text)
{
    if (text.size() != uuidChars + 1 || text.front() != digestMark) {
        return false;
    }
    text.remove_prefix(1);
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (isHyphenPosition(i) ? text[i] != '-' : !isLowerHex(text[i])) {
            return false;
        }
    }
    return true;
}

std::string abbreviate(std::string_view name, std::size_t maxBytes)
{
    if (name.size() <= maxBytes && !isDigest(name)) {
        return std::string(name);
    }
    boost::uuids::name_generator_sha1 digest(boost::uuids::ns::oid());
    return digestMark + boost::uuids::to_string(digest(name.data(), name.size()));
}

std::string received(std::string_view text, std::size_t maxBytes)
{
    return isDigest(text) ? std::string(text) : abbreviate(text, maxBytes);
}

} // namespace yucca::names
