// Counts the calls to the store and the bytes received, by kind of objects, operation and freshness.
#pragma once

#include "store.h"
#include "yucca/types.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <tuple>

namespace yucca::store
{

/// What a call to the store does.
enum class Operation { Get, List, Watch, Put, Remove, Probe };

inline constexpr NameTable<Operation, 6> operationNames{{{Operation::Get, "get"},
                                                         {Operation::List, "list"},
                                                         {Operation::Watch, "watch"},
                                                         {Operation::Put, "put"},
                                                         {Operation::Remove, "remove"},
                                                         {Operation::Probe, "probe"}}};
inline constexpr NameTable<Freshness, 2> freshnessNames{{{Freshness::Current, "current"}, {Freshness::MayLag, "may_lag"}}};

/// The calls that are counted together.
struct CallClass {
    std::string kind;
    Operation operation = Operation::Get;
    Freshness freshness = Freshness::Current;
    bool operator<(const CallClass &other) const
    {
        return std::tie(kind, operation, freshness) < std::tie(other.kind, other.operation, other.freshness);
    }
};

/// The calls of one class since the start.
struct CallCount {
    uint64_t calls = 0;
    uint64_t failed = 0; ///< of the calls
    uint64_t bytesReceived = 0; ///< of the answers' bodies
    bool operator==(const CallCount &) const = default;
};

using UsageCounts = std::map<CallClass, CallCount>;

/// Counters of one client of the store. Thread-safe.
class Usage
{
public:
    void record(const CallClass &call, bool succeeded, std::size_t bytesReceived)
    {
        std::lock_guard lock(m_mutex);
        auto &count = m_counts[call];
        ++count.calls;
        count.failed += succeeded ? 0 : 1;
        count.bytesReceived += bytesReceived;
    }
    UsageCounts counts() const
    {
        std::lock_guard lock(m_mutex);
        return m_counts;
    }

private:
    mutable std::mutex m_mutex;
    UsageCounts m_counts;
};

} // namespace yucca::store
