// Selects the pages of a listing. Entries of other writers may have names after which the store gives no page.
#pragma once

#include "store.h"

#include <deque>
#include <set>
#include <string>

namespace yucca::store
{

/// Longest name that is sent as the start of a page, in bytes: encoded, it takes three times as many of a request's head.
inline constexpr std::size_t maxPageStartBytes = 1024;
inline constexpr std::size_t maxPages = 4096; ///< of one listing

/// The position in a listing that is read page by page. No page is asked for twice after it was read.
class PageCursor
{
public:
    /// The name after which the page to read starts; empty for the first page.
    const std::string &after() const
    {
        return m_after;
    }
    /// Moves to the page after one that has been read. Returns false if it says that there is one, but not where.
    bool advance(const Listing &page);
    /// Moves to another start from which the entries of the page can be had that the store refused. Returns false if there is none.
    bool retreat();

private:
    bool moveToCandidate();

    std::string m_after;
    std::deque<std::string> m_candidates; ///< other starts of the current page, the best first
    std::set<std::string> m_tried;
};

} // namespace yucca::store
