#include "page_cursor.h"

#include "uri.h"

#include <algorithm>

namespace yucca::store
{

namespace
{

constexpr std::string_view lastCharacter = "\xf4\x8f\xbf\xbf"; ///< U+10FFFF in UTF-8, which sorts after all others

bool isContinuationByte(char c)
{
    return (static_cast<unsigned char>(c) & 0xc0) == 0x80;
}

// Returns a start that is short enough to be sent. For a longer name that is one after all names with its beginning, which are too
// long themselves.
std::string pageStart(const std::string &name)
{
    if (name.size() <= maxPageStartBytes) {
        return name;
    }
    std::size_t end = maxPageStartBytes;
    while (end > 0 && isContinuationByte(name[end])) {
        --end; // within a character
    }
    return name.substr(0, end).append(lastCharacter);
}

bool isPlain(const std::string &name)
{
    return !name.empty() && name.size() <= maxPageStartBytes && uri::encode(name) == name;
}

} // namespace

// The last name on the page is the regular start. The last plain one, if it is another, brings entries once more, and goes on where a
// store does not take the other.
bool PageCursor::advance(const Listing &page)
{
    const auto named = std::find_if(page.items.rbegin(), page.items.rend(), [](const Object &o) {
        return !o.name.empty();
    });
    const auto plain = std::find_if(page.items.rbegin(), page.items.rend(), [](const Object &o) {
        return isPlain(o.name);
    });
    m_candidates.clear();
    if (named != page.items.rend()) {
        m_candidates.push_back(pageStart(named->name));
    }
    if (plain != page.items.rend()) {
        m_candidates.push_back(plain->name);
    }
    return moveToCandidate();
}

bool PageCursor::retreat()
{
    return moveToCandidate();
}

bool PageCursor::moveToCandidate()
{
    while (!m_candidates.empty() && m_tried.size() < maxPages) {
        m_after = std::move(m_candidates.front());
        m_candidates.pop_front();
        if (m_tried.insert(m_after).second) {
            return true;
        }
    }
    return false;
}

} // namespace yucca::store
