// libFuzzer target: the event relay with input in pieces, compared with the relay with the same input at once. However
// a stream's bytes are split, resumed or repeated, the relayed events are whole, in order and without repeats.
#include "sse.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

using yucca::sse::EventRelay;

namespace
{

std::string concatenate(const std::vector<std::string> &events)
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
    const std::size_t pieceSize = 1 + data[0] % 16;
    const std::string bytes(reinterpret_cast<const char *>(data + 1), size - 1);
    // The reference relay receives the input at once.
    EventRelay reference;
    const std::string expected = concatenate(reference.push(bytes));
    // The second relay receives the input in pieces.
    EventRelay relay;
    std::string actual;
    uint64_t lastId = 0;
    for (std::size_t at = 0; at < bytes.size(); at += pieceSize) {
        actual += concatenate(relay.push(std::string_view(bytes).substr(at, pieceSize)));
        require(relay.lastId() >= lastId);
        lastId = relay.lastId();
    }
    require(actual == expected);
    require(relay.isComplete() == reference.isComplete());
    // A resumed run that repeats the whole input yields only whole events, and the last id does not decrease.
    relay.discardPartialEvent();
    const uint64_t idBefore = relay.lastId();
    for (const auto &event : relay.push(bytes)) {
        require(event.find("\n\n") == event.size() - 2);
    }
    require(relay.lastId() >= idBefore);
    return 0;
}
