// Selects the header fields that a proxy forwards (RFC 9110, section 7.6.1).
#pragma once

#include "http.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace yucca::http
{

/// Header fields that apply to a single connection. Content-Length is included because each message states its own.
inline constexpr std::array<std::string_view, 11> hopByHopFields{
    "connection", "keep-alive",     "proxy-connection", "te",     "trailer",           "transfer-encoding",
    "upgrade",    "http2-settings", "content-length",   "expect", "proxy-authenticate"};

/// Compares header names or tokens, ignoring ASCII case.
inline bool equalsIgnoreCase(std::string_view a, std::string_view b)
{
    return boost::beast::iequals(beastView(a), beastView(b));
}

/// True if the table contains the name, ignoring ASCII case.
template <typename Table> bool contains(const Table &names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(), [name](std::string_view known) {
        return equalsIgnoreCase(known, name);
    });
}

/// The fields that the message's Connection header marks as hop-by-hop.
template <typename Fields> std::vector<std::string> connectionOptions(const Fields &fields)
{
    std::vector<std::string> names;
    const auto range = fields.equal_range(bhttp::field::connection);
    for (auto it = range.first; it != range.second; ++it) {
        for (const auto &token : bhttp::token_list(it->value())) {
            names.emplace_back(token);
        }
    }
    return names;
}

/// The end-to-end fields of a message, in order, including repeated fields.
template <typename Fields> Headers endToEndFields(const Fields &fields)
{
    const auto dropped = connectionOptions(fields);
    Headers out;
    for (const auto &field : fields) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        if (!contains(hopByHopFields, name) && !contains(dropped, name)) {
            out.emplace_back(std::string(name), std::string(field.value()));
        }
    }
    return out;
}

} // namespace yucca::http
