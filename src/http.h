// HTTP messages on Boost.Beast shared by the server and the client.
#pragma once

#include "task.h"
#include "yucca/types.h"

#include <boost/beast/http.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace yucca::http
{

namespace bhttp = boost::beast::http;

using Request = bhttp::request<bhttp::string_body>;
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Where an HTTP server listens: an IP address and a port.
struct Address {
    std::string host;
    uint16_t port = 0;
    auto operator<=>(const Address &) const = default;
};

/// Reads an address written as HOST:PORT, or nothing.
std::optional<Address> parseAddress(std::string_view text);

/// Where a failed call broke off: decides whether the request may have run.
enum class CallStage {
    Connect, ///< nothing was sent: the request certainly did not run
    Send, ///< the request may be partly sent
    Receive, ///< the request was sent; it may have run
};

/// A failed call: the stage it broke at and why.
struct CallError {
    CallStage stage = CallStage::Connect;
    std::string message;
    bool reused = false; ///< the request went out on a kept connection
};

template <typename T> using CallResult = std::variant<T, CallError>;

/// Beast's string_view of a standard one.
inline boost::beast::string_view beastView(std::string_view s)
{
    return {s.data(), s.size()};
}

/// A header field of a message, or empty when it has none.
template <typename Fields> std::string headerOf(const Fields &fields, std::string_view name)
{
    auto it = fields.find(beastView(name));
    return it == fields.end() ? std::string() : std::string(it->value());
}

/// How long a peer wants no more requests, by the status and the Retry-After
/// header of its answer: a request turned away (429, 503) with a number of
/// seconds, which may have a fraction. No longer than an hour.
std::optional<Millis> backOffAskedFor(unsigned status, std::string_view retryAfter);

/// A request with a JSON body and the given headers.
Request makeRequest(std::string_view method, std::string_view target, std::string body = {}, const Headers &headers = {});

} // namespace yucca::http
