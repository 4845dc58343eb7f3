#include "malformed_responses.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <string>
#include <string_view>

namespace yucca::emulators
{

namespace
{

/// The lines before and after the fields of a sound response.
struct MalformedHead {
    std::string_view statusLine;
    std::string_view lastLines;
};

constexpr std::string_view sound = "HTTP/1.1 200 OK\r\n";
constexpr std::string_view length = "Content-Length: 13\r\n";
constexpr std::string_view body = "no whole body";

constexpr std::array<MalformedHead, 9> malformedHeads{{{"HTTP/1.1 000 X\r\n", length},
                                                       {"HTTP/1.1 099 X\r\n", length},
                                                       {"HTTP/1.1 600 X\r\n", length},
                                                       {"HTTP/2.0 200 OK\r\n", length},
                                                       {sound, "X Odd: 1\r\nContent-Length: 13\r\n"},
                                                       {sound, "X\x01Odd: 1\r\nContent-Length: 13\r\n"},
                                                       {sound, "X-Odd: 1\r\n folded: 2\r\nContent-Length: 13\r\n"},
                                                       {sound, "Content-Length: 13\r\nContent-Length: 3\r\n"},
                                                       {sound, ""}}}; // ends with a reset, and states no length

/// Eighths of a head after which a sound one breaks off; every second time the connection ends in order.
constexpr std::array<std::size_t, 4> brokenHeadEighths{1, 3, 5, 7};

std::string malformedResponse(const MalformedHead &head, const http::Headers &fields)
{
    std::string bytes(head.statusLine);
    for (const auto &[name, value] : fields) {
        bytes += name + ": " + value + "\r\n";
    }
    return bytes.append(head.lastLines).append("\r\n").append(body);
}

} // namespace

Task<void> sendMalformedResponse(http::Exchange &ex, const http::Headers &fields, std::size_t number)
{
    const auto shape = number % (malformedHeads.size() + brokenHeadEighths.size());
    const bool breaksOff = shape >= malformedHeads.size();
    std::string bytes = malformedResponse(breaksOff ? MalformedHead{sound, length} : malformedHeads[shape], fields);
    if (breaksOff) {
        bytes.resize((bytes.size() - body.size()) * brokenHeadEighths[shape - malformedHeads.size()] / 8);
    }
    const bool endsInOrder = breaksOff && shape % 2 == 0;
    const int descriptor = ex.detach();
    if (descriptor < 0) {
        co_return;
    }
    boost::system::error_code ec; // a caller that is gone gets nothing
    asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
    socket.assign(asio::ip::tcp::v4(), descriptor, ec);
    co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
    if (!endsInOrder) {
        socket.set_option(asio::socket_base::linger(true, 0), ec);
    }
    socket.close(ec);
}

} // namespace yucca::emulators
