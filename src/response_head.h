// The one rule by which the head of a response is accepted (RFC 9112, 4 to 6), whoever sent it: an endpoint, directly or through a
// tunnel, the store or another router. The library's parser takes more: it unfolds lines, and any three digits are a status.
#pragma once

#include "task.h"
#include "yucca/types.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace yucca::http
{

inline constexpr std::size_t maxResponseHeadBytes = 64 * 1024;

/// Why a head is not accepted.
enum class HeadProblem {
    TooLong,
    LineEnd, ///< a line does not end with CR LF
    StatusLine,
    Status, ///< not within 100 and 599, or another protocol that was not asked for
    FoldedLine, ///< a line that continues the one before
    FieldName,
    FieldValue,
    Framing, ///< a length or a transfer coding that does not state the end of the body alone
};

inline constexpr NameTable<HeadProblem, 8> headProblemNames{{{HeadProblem::TooLong, "too_long"},
                                                             {HeadProblem::LineEnd, "line_end"},
                                                             {HeadProblem::StatusLine, "status_line"},
                                                             {HeadProblem::Status, "status"},
                                                             {HeadProblem::FoldedLine, "folded_line"},
                                                             {HeadProblem::FieldName, "field_name"},
                                                             {HeadProblem::FieldValue, "field_value"},
                                                             {HeadProblem::Framing, "framing"}}};

/// Whether the request asked for another protocol, which status 101 accepts.
enum class Upgrade { NotRequested, Requested };

/// Checks a head line by line as it arrives, so that bytes which are no head are refused at once. Does no I/O.
class ResponseHeadCheck
{
public:
    struct MoreNeeded {
    };
    /// The size of the head in bytes, with its last line.
    using Result = std::variant<MoreNeeded, std::size_t, HeadProblem>;

    explicit ResponseHeadCheck(Upgrade upgrade = Upgrade::NotRequested)
        : m_upgrade(upgrade)
    {
    }
    /// Checks what has arrived since the last call; received holds all of it from the first byte on.
    Result check(std::string_view received);

private:
    std::optional<HeadProblem> checkStatusLine(std::string_view line);
    std::optional<HeadProblem> checkField(std::string_view line);
    std::optional<HeadProblem> checkFraming(std::string_view name, std::string_view value);

    Upgrade m_upgrade;
    std::size_t m_checked = 0; ///< bytes of whole lines
    bool m_hasStatus = false;
    bool m_isInterim = false;
    bool m_isVersion10 = false;
    bool m_hasLength = false;
    bool m_hasCoding = false;
};

/// Reads a head into a parser, and what follows it into the buffer. Returns why it failed; nothing on success.
template <typename Stream, typename Parser>
Task<std::optional<std::string>> readResponseHead(Stream &stream, boost::beast::flat_buffer &buffer, Parser &parser, Upgrade upgrade)
{
    constexpr std::size_t readBytes = 8192;
    ResponseHeadCheck head(upgrade);
    for (;;) {
        const std::string_view received(static_cast<const char *>(buffer.data().data()), buffer.size());
        const auto checked = head.check(received);
        if (const auto *problem = std::get_if<HeadProblem>(&checked)) {
            co_return "the head is not accepted: " + std::string(nameOf(headProblemNames, *problem));
        }
        boost::system::error_code ec;
        if (std::holds_alternative<std::size_t>(checked)) {
            buffer.consume(parser.put(buffer.data(), ec));
            co_return ec ? std::optional(ec.message()) : std::nullopt;
        }
        const auto bytes = co_await stream.async_read_some(buffer.prepare(readBytes), asio::redirect_error(asio::use_awaitable, ec));
        buffer.commit(bytes);
        if (ec) {
            co_return ec.message();
        }
    }
}

} // namespace yucca::http
