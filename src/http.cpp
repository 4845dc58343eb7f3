#include "http.h"

#include "http_fields.h"
#include "text.h"

#include <algorithm>

namespace yucca::http
{

Request makeRequest(std::string_view method, std::string_view target, std::string body, const Headers &headers)
{
    Request req{bhttp::string_to_verb(beastView(method)), beastView(target), 11};
    for (const auto &[name, value] : headers) {
        req.insert(name, value); // keeps repeated fields
    }
    if (!body.empty() && req.count(bhttp::field::content_type) == 0) {
        req.set(bhttp::field::content_type, "application/json");
    }
    req.body() = std::move(body);
    return req;
}

bool isSendable(const Request &request)
{
    const auto target = request.target();
    const bool validTarget = !target.empty() && std::none_of(target.begin(), target.end(), [](char c) {
        return static_cast<unsigned char>(c) <= ' ' || c == '\x7f';
    });
    return validTarget && std::all_of(request.begin(), request.end(), [](const auto &field) {
               const std::string_view name(field.name_string().data(), field.name_string().size());
               const std::string_view value(field.value().data(), field.value().size());
               return isFieldName(name) && isFieldValue(value);
           });
}

std::optional<Millis> requestedBackOff(unsigned status, std::string_view retryAfter)
{
    constexpr double maxSeconds = 3600; // a wrong value from a peer must not exclude it for good
    if (status != 429 && status != 503) {
        return std::nullopt;
    }
    const auto seconds = text::parseNumber<double>(retryAfter);
    if (!seconds || !(*seconds > 0)) {
        return std::nullopt;
    }
    return std::chrono::ceil<Millis>(std::chrono::duration<double>(std::min(*seconds, maxSeconds)));
}

std::optional<Address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    const auto port = text::parseNumber<uint16_t>(text.substr(colon + 1));
    if (!port) {
        return std::nullopt;
    }
    return Address{std::string(text.substr(0, colon)), *port};
}

} // namespace yucca::http
