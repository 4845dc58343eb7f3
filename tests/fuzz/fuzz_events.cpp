// libFuzzer target: the event relay against a naive one. However the bytes
// of a stream arrive, cut anywhere, resumed or repeated, the events handed
// out are whole, in order and without repeats.
#include "sse.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

using yucca::sse::EventRelay;

namespace
{

std::string joined(const std::vector<std::string> &events)
{
    std::string out;
    for (const auto &e : events) {
        out += e;
    }
    return out;
}

void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, std::size_t size)
{
    if (size < 2) {
        return 0;
    }
    const std::size_t step = 1 + data[0] % 16;
    const std::string bytes(reinterpret_cast<const char *>(data + 1), size - 1);
    // The naive relay gets everything at once.
    EventRelay whole;
    const std::string expected = joined(whole.push(bytes));
    // Ours gets it in pieces.
    EventRelay pieces;
    std::string got;
    uint64_t last = 0;
    for (std::size_t at = 0; at < bytes.size(); at += step) {
        got += joined(pieces.push(std::string_view(bytes).substr(at, step)));
        require(pieces.lastId() >= last);
        last = pieces.lastId();
    }
    require(got == expected);
    require(pieces.complete() == whole.complete());
    // A resumed run that repeats all of it adds no event with an id again.
    pieces.runEnded();
    const uint64_t before = pieces.lastId();
    for (const auto &event : pieces.push(bytes)) {
        require(event.find("\n\n") == event.size() - 2);
    }
    require(pieces.lastId() >= before);
    return 0;
}
