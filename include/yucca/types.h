// Core types and enums shared by all yuccasaddle programs.
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

/// The error of a Result: a stable code and a message.
struct Error {
    int code = 0; ///< like an HTTP status: 400 bad input, 404 not found, 409 conflict, 503 unavailable
    std::string message;
};

/// The result of an operation that can fail: the value or an Error.
template <typename T> using Result = std::variant<T, Error>;

/// True if the Result holds a value.
template <typename T> bool ok(const Result<T> &r)
{
    return std::holds_alternative<T>(r);
}

/// The placement policy of a router (see placement.h).
enum class Policy {
    Affinity, ///< prefix affinity with load-aware replica sets
    Bounded, ///< consistent hashing with bounds on this router's own requests in flight
    Home, ///< one home engine per prompt; the next in the prompt's rendezvous order while the home is at the load bound
    LeastLoaded, ///< the least loaded endpoint, without affinity
    RoundRobin, ///< baseline: without affinity or load bound
};

/// The kind of an endpoint.
enum class EndpointKind {
    Engine, ///< a language model engine (OpenAI-style chat completions)
    Service, ///< a plain service (scheduler, ledger); some of its calls are not idempotent
};

/// The state of an endpoint according to the VM list and the endpoint's own load report.
enum class EndpointState {
    Live,
    Leaving,
};

/// The outcome that the router reports to a caller.
enum class Outcome {
    Done, ///< completed
    NotRun, ///< not executed; safe to retry after Retry-After
    Unknown, ///< possibly executed; a retry with the same key returns the stored response or waits for it
};

/// A table that maps the values of an enum to their names on the wire.
template <typename E, std::size_t N> using NameTable = std::array<std::pair<E, std::string_view>, N>;

inline constexpr NameTable<Policy, 5> policyNames{{{Policy::Affinity, "affinity"},
                                                   {Policy::Bounded, "bounded"},
                                                   {Policy::Home, "home"},
                                                   {Policy::LeastLoaded, "leastloaded"},
                                                   {Policy::RoundRobin, "roundrobin"}}};
inline constexpr NameTable<EndpointKind, 2> endpointKindNames{{{EndpointKind::Engine, "engine"}, {EndpointKind::Service, "service"}}};
inline constexpr NameTable<EndpointState, 2> endpointStateNames{{{EndpointState::Live, "live"}, {EndpointState::Leaving, "leaving"}}};
inline constexpr NameTable<Outcome, 3> outcomeNames{{{Outcome::Done, "done"}, {Outcome::NotRun, "not_run"}, {Outcome::Unknown, "unknown"}}};

/// The wire name of an enum value, or "?" if the table lacks the value.
template <typename E, std::size_t N> constexpr std::string_view nameOf(const NameTable<E, N> &table, E value)
{
    for (const auto &[e, n] : table) {
        if (e == value) {
            return n;
        }
    }
    return "?";
}

/// The enum value with the given wire name, or nothing if the name is unknown.
template <typename E, std::size_t N> constexpr std::optional<E> parseName(const NameTable<E, N> &table, std::string_view name)
{
    for (const auto &[e, n] : table) {
        if (n == name) {
            return e;
        }
    }
    return std::nullopt;
}

/// An endpoint as a router knows it from the VM list and from the endpoint's own reports.
struct Endpoint {
    std::string id; ///< VM name, unique in the fleet
    std::string host; ///< IPv4 address; loopback in tests
    uint16_t port = 0;
    std::string pool; ///< name of the pool of engines or services that it belongs to
    EndpointKind kind = EndpointKind::Engine;
    EndpointState state = EndpointState::Live;
    std::string zone = {}; ///< failure domain
    /// Start time of this incarnation in Unix milliseconds, or 0 if unknown. A restarted endpoint keeps its id but
    /// loses all of its state.
    int64_t startedAtMs = 0;
    std::string region = {}; ///< region of the failure domain; empty if unknown
    /// Remaining cold period in milliseconds when the entry was read. An endpoint is cold, and can take only a few
    /// requests, after a start or after an evacuation of its failure domain.
    int64_t coldRemainingMs = 0;
    std::string version = {}; ///< of its software; empty if unknown
    bool operator==(const Endpoint &) const = default;
};

/// True if both records describe the same incarnation of the same endpoint.
inline bool sameIncarnation(const Endpoint &a, const Endpoint &b)
{
    return a.id == b.id && a.startedAtMs == b.startedAtMs;
}

/// Separates the id from the start time in incarnationKey(). The id may contain it, the start time does not.
inline constexpr char incarnationSeparator = '#';

/// A map key that identifies one incarnation of an endpoint.
inline std::string incarnationKey(const Endpoint &e)
{
    return e.id + incarnationSeparator + std::to_string(e.startedAtMs);
}

} // namespace yucca
