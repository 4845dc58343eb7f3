// A store that responds with arbitrary bytes, and the parts of its responses.
#pragma once

#include "entry_fixture.h"
#include "object_store.h"

#include <string>
#include <vector>

namespace yucca::fixture
{

// Returns an item of a listing; the spec is inserted byte by byte and may be invalid JSON.
inline std::string item(const std::string &name, const std::string &spec)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":7,"created_rev":1,"finalizers":[],"deleting":false},"spec":)" + spec + R"(,"status":null})";
}

// A store that responds to each call with the bytes that the test has set.
struct ScriptedStore {
    explicit ScriptedStore(Loop &loop)
        : endpoint(loop,
                   [this](tcp::socket &socket, const ReceivedRequest &) -> Task<void> {
                       std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(answer.size()) + "\r\n\r\n" + answer;
                       co_await sendBytes(socket, std::move(bytes));
                   })
        , client({"127.0.0.1", endpoint.port})
    {
    }
    std::string answer;
    ScriptedEndpoint endpoint;
    platform::StoreClient client;
};

inline std::string listingResponse(const std::string &items)
{
    return R"({"items":[)" + items + R"(],"has_more":false,"store_revision":9})";
}

inline std::string watchEvent(const std::string &object)
{
    return R"({"deleted":false,"object":)" + object + "}";
}

inline std::vector<std::string> endpointIds(const router::RoutingTable &table)
{
    std::vector<std::string> ids;
    for (const auto &e : table.endpoints()) {
        ids.push_back(e.id);
    }
    return ids;
}

} // namespace yucca::fixture
