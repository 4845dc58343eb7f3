// HTTP message types and helpers shared by the server and the client, on Boost.Beast.
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

/// Address of an HTTP server: an IP address and a port.
struct Address {
    std::string host;
    uint16_t port = 0;
    auto operator<=>(const Address &) const = default;
};

/// Parses HOST:PORT; returns nothing if the text has another form.
std::optional<Address> parseAddress(std::string_view text);

/// The stage at which a call failed, which decides whether the request may have run.
enum class CallStage {
    Connect, ///< nothing was sent: the request did not run
    Send, ///< the request may have been sent partly
    Receive, ///< the request was sent; it may have run
};

/// A failed call: the stage and the reason of the failure.
struct CallError {
    CallStage stage = CallStage::Connect;
    std::string message;
    bool reused = false; ///< the request was sent on a keep-alive connection
    unsigned tunnelStatus = 0; ///< the status with which a peer refused a tunnel; 0: none, or the peer did not answer
};

template <typename T> using CallResult = std::variant<T, CallError>;

/// Converts a standard string_view to Beast's type.
inline boost::beast::string_view beastView(std::string_view s)
{
    return {s.data(), s.size()};
}

/// Returns the value of a header field, or an empty string if it is absent.
template <typename Fields> std::string headerValue(const Fields &fields, std::string_view name)
{
    auto it = fields.find(beastView(name));
    return it == fields.end() ? std::string() : std::string(it->value());
}

/// Returns how long a peer asks not to receive further requests: the Retry-After
/// header, in seconds with an optional fraction, of a 429 or 503 response. At most
/// one hour. Nothing for other statuses or values.
std::optional<Millis> requestedBackOff(unsigned status, std::string_view retryAfter);

/// True if a request can be sent as it is: a target or a field with a line end, or with a blank in the target, would make it another one.
bool isSendable(const Request &request);

/// Builds an HTTP/1.1 request. The content type of a non-empty body is application/json unless the headers set another one.
Request makeRequest(std::string_view method, std::string_view target, std::string body = {}, const Headers &headers = {});

} // namespace yucca::http
