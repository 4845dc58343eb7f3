// Core types and enums shared by every yuccasaddle program.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace yucca
{

/// An error carried in a std::variant result: a stable code and a message.
struct Error {
    int code = 0; ///< HTTP-like status: 400 bad input, 404 absent, 409 conflict, 503 unavailable.
    std::string message;
};

/// The result of an operation that can fail: the value or an Error.
template <typename T> using Result = std::variant<T, Error>;

/// True when a Result holds its value.
template <typename T> bool ok(const Result<T> &r)
{
    return std::holds_alternative<T>(r);
}

/// The placement policy of a router (placement.h).
enum class Policy {
    Affinity, ///< prefix affinity with load-aware replica sets
    Bounded, ///< consistent hashing with bounds on the router's own loads
    Home, ///< one engine for each prompt, the next in its order while that one is at the bound
    LeastLoaded, ///< the least loaded endpoint, no affinity
    RoundRobin, ///< the naive baseline: no affinity, no bound
};

/// What an endpoint serves.
enum class EndpointKind {
    Engine, ///< a language model engine (OpenAI-style chat completions)
    Service, ///< a plain service (scheduler, ledger); some calls not idempotent
};

/// An endpoint's state as the VM list and its own load report tell it.
enum class EndpointState {
    Live,
    Leaving,
};

/// What a caller is told about a request that did not complete.
enum class Outcome {
    Done, ///< answered fully
    NotRun, ///< certainly not executed; safe to retry after Retry-After
    Unknown, ///< may have executed; a retry with the same key returns the stored answer or waits
};

/// A pair table mapping an enum to its wire name.
template <typename E, std::size_t N> using NameTable = std::array<std::pair<E, std::string_view>, N>;

inline constexpr NameTable<Policy, 5> policyNames{{{Policy::Affinity, "affinity"},
                                                   {Policy::Bounded, "bounded"},
                                                   {Policy::Home, "home"},
                                                   {Policy::LeastLoaded, "leastloaded"},
                                                   {Policy::RoundRobin, "roundrobin"}}};
inline constexpr NameTable<EndpointKind, 2> endpointKindNames{{{EndpointKind::Engine, "engine"}, {EndpointKind::Service, "service"}}};
inline constexpr NameTable<EndpointState, 2> endpointStateNames{{{EndpointState::Live, "live"}, {EndpointState::Leaving, "leaving"}}};
inline constexpr NameTable<Outcome, 3> outcomeNames{{{Outcome::Done, "done"}, {Outcome::NotRun, "not_run"}, {Outcome::Unknown, "unknown"}}};

/// The wire name of an enum value, looked up in its table.
template <typename E, std::size_t N> constexpr std::string_view nameOf(const NameTable<E, N> &table, E value)
{
    for (const auto &[e, n] : table) {
        if (e == value) {
            return n;
        }
    }
    return "?";
}

/// The enum value of a wire name, or nothing when the name is unknown.
template <typename E, std::size_t N> constexpr std::optional<E> parseName(const NameTable<E, N> &table, std::string_view name)
{
    for (const auto &[e, n] : table) {
        if (n == name) {
            return e;
        }
    }
    return std::nullopt;
}

/// An endpoint as a router knows it: from the VM list, plus its own report.
struct Endpoint {
    std::string id; ///< VM name, unique in the fleet
    std::string host; ///< IPv4 address, loopback in tests
    uint16_t port = 0;
    std::string pool; ///< the pool of engines (or services) it belongs to
    EndpointKind kind = EndpointKind::Engine;
    EndpointState state = EndpointState::Live;
    std::string zone = {}; ///< failure domain
    /// When this incarnation started, in Unix ms; 0: not told. An endpoint that
    /// starts again keeps its id, and holds and knows nothing of before.
    int64_t born = 0;
    std::string region = {}; ///< of the failure domain; empty: not known
    /// How much longer it was cold when its entry was read, in ms: it has just
    /// started, or its failure domain was evacuated, and bears few requests.
    int64_t coldMs = 0;
    bool operator==(const Endpoint &) const = default;
};

/// True for two records of one incarnation of one endpoint.
inline bool sameIncarnation(const Endpoint &a, const Endpoint &b)
{
    return a.id == b.id && a.born == b.born;
}

/// A key for what is remembered of one incarnation of an endpoint.
inline std::string incarnationKey(const Endpoint &e)
{
    return e.id + "#" + std::to_string(e.born);
}

} // namespace yucca
