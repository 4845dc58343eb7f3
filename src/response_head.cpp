#include "response_head.h"

#include "forwarding.h"
#include "http_fields.h"
#include "text.h"

namespace yucca::http
{

namespace
{

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view versionPrefix = "HTTP/1.";
constexpr std::size_t versionBytes = 8; ///< of "HTTP/1.1"
constexpr std::size_t statusDigits = 3;
constexpr unsigned switchingProtocols = 101;

std::string_view withoutBlanks(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto from = text.find_first_not_of(blanks);
    const auto to = text.find_last_not_of(blanks);
    return from == std::string_view::npos ? std::string_view() : text.substr(from, to - from + 1);
}

bool beginsLikeAStatusLine(std::string_view received)
{
    const auto bytes = std::min(received.size(), versionPrefix.size());
    return received.substr(0, bytes) == versionPrefix.substr(0, bytes);
}

bool isNumber(std::string_view text)
{
    return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos && text::parseNumber<uint64_t>(text);
}

} // namespace

ResponseHeadCheck::Result ResponseHeadCheck::check(std::string_view received)
{
    for (;;) {
        const auto rest = received.substr(m_checked);
        const auto end = rest.find('\n');
        if (m_checked + std::min(end, rest.size()) >= maxResponseHeadBytes) {
            return HeadProblem::TooLong;
        }
        if (!m_hasStatus && !beginsLikeAStatusLine(rest)) {
            return HeadProblem::StatusLine;
        }
        if (end == std::string_view::npos) {
            return MoreNeeded{};
        }
        if (end == 0 || rest[end - 1] != '\r') {
            return HeadProblem::LineEnd;
        }
        const auto line = rest.substr(0, end + 1 - lineEnd.size());
        m_checked += line.size() + lineEnd.size();
        if (m_hasStatus && line.empty()) {
            return m_checked;
        }
        if (const auto problem = m_hasStatus ? checkField(line) : checkStatusLine(line)) {
            return *problem;
        }
        m_hasStatus = true;
    }
}

// HTTP-version SP status-code SP [ reason-phrase ]
std::optional<HeadProblem> ResponseHeadCheck::checkStatusLine(std::string_view line)
{
    const bool wellFormed = line.size() > versionBytes + 1 + statusDigits && (line[versionBytes - 1] == '0' || line[versionBytes - 1] == '1')
        && line[versionBytes] == ' ' && line[versionBytes + 1 + statusDigits] == ' ' && isFieldValue(line);
    const auto code = wellFormed ? line.substr(versionBytes + 1, statusDigits) : std::string_view();
    if (!isNumber(code)) {
        return HeadProblem::StatusLine;
    }
    const auto status = text::parseNumber<unsigned>(code).value_or(0);
    if (status < 100 || status > 599 || (status == switchingProtocols && m_upgrade == Upgrade::NotRequested)) {
        return HeadProblem::Status;
    }
    m_isInterim = status < 200;
    m_isVersion10 = line[versionBytes - 1] == '0';
    return std::nullopt;
}

std::optional<HeadProblem> ResponseHeadCheck::checkField(std::string_view line)
{
    if (line.front() == ' ' || line.front() == '\t') {
        return HeadProblem::FoldedLine;
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !isFieldName(line.substr(0, colon))) {
        return HeadProblem::FieldName;
    }
    const auto value = withoutBlanks(line.substr(colon + 1));
    if (!isFieldValue(value)) {
        return HeadProblem::FieldValue;
    }
    return checkFraming(line.substr(0, colon), value);
}

std::optional<HeadProblem> ResponseHeadCheck::checkFraming(std::string_view name, std::string_view value)
{
    const bool isLength = equalsIgnoreCase(name, "content-length");
    const bool isCoding = equalsIgnoreCase(name, "transfer-encoding");
    if (!isLength && !isCoding) {
        return std::nullopt;
    }
    const bool readable = isLength ? isNumber(value) : equalsIgnoreCase(value, "chunked") && !m_isVersion10;
    const bool alone = !m_hasLength && !m_hasCoding && !m_isInterim;
    m_hasLength = m_hasLength || isLength;
    m_hasCoding = m_hasCoding || isCoding;
    return readable && alone ? std::nullopt : std::optional(HeadProblem::Framing);
}

} // namespace yucca::http
