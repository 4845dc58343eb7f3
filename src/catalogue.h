// The catalogue: entries that operators edit (workspaces and classes of
// work), their checked parsing, and the view a router keeps of them and of
// the VM list, which only ever moves forward.
#pragma once

#include "admission.h"
#include "findings.h"
#include "store.h"
#include "yucca/types.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace yucca::catalogue
{

inline constexpr const char *workspaceKind = "workspace";
inline constexpr const char *classKind = "class";
inline constexpr const char *evacuationKind = "evacuation"; ///< named by the failure domain
inline constexpr const char *auditKind = "audit";

inline constexpr int64_t defaultPriority = 5; ///< of a class of work; 0 is the most urgent, 9 the least

/// A workspace entry: its owner, the class of work it uses, its limits.
struct Workspace {
    std::string owner;
    std::string workClass;
    limits::Limits limits;
};

/// A class of work: which pool of endpoints serves it, of what kind, how
/// urgently, and with which model.
struct WorkClass {
    std::string pool;
    EndpointKind kind = EndpointKind::Engine;
    int64_t priority = defaultPriority;
    uint64_t version = 0; ///< of the entry
    std::string model; ///< the model the pool's engines are to hold; empty: left as it is
};

/// An operators' order on a failure domain: while it is active, nothing more is
/// sent to the domain's endpoints.
struct Evacuation {
    bool active = false;
    std::string author; ///< who gave it, or took it back
    int64_t since = 0; ///< when, in Unix seconds
};

/// Parses a workspace entry's value; problems are recorded under path.
Workspace parseWorkspace(const nlohmann::json &value, const std::string &path, Findings &findings);
/// Parses a class entry's value; problems are recorded under path.
WorkClass parseClass(const nlohmann::json &value, const std::string &path, Findings &findings);
/// Parses an evacuation entry's value; problems are recorded under path.
Evacuation parseEvacuation(const nlohmann::json &value, const std::string &path, Findings &findings);
/// Checks an entry of any of these kinds; an unknown kind is a finding.
void check(const std::string &kind, const nlohmann::json &value, const std::string &path, Findings &findings);

/// The catalogue and the VM list at one moment. Immutable once published.
struct Snapshot {
    uint64_t revision = 0; ///< the highest version applied
    std::map<std::string, Workspace> workspaces;
    std::map<std::string, WorkClass> classes;
    std::map<std::string, Evacuation> evacuations; ///< by failure domain
    std::map<std::string, Endpoint> endpoints;

    const Workspace *workspace(const std::string &name) const;
    const WorkClass *workClass(const std::string &name) const;
    /// The failure domains under an active order.
    std::set<std::string> evacuated() const;
};

/// A router's copy of the catalogue and the VM list. Each entry keeps the
/// highest version seen, deletions included, so that a late or repeated
/// event never brings back an older state. An entry that does not parse
/// leaves the last good one in force.
class View
{
public:
    /// Called with an entry ("kind/name") that was not taken, and why.
    using OnRejected = std::function<void(const std::string &entry, const Findings &findings)>;
    explicit View(OnRejected onRejected = {});

    /// Applies one change; false when it is not newer than what is held.
    bool apply(const store::Object &object, bool deleted);
    /// Applies a full listing of a kind taken at its revision: entries not
    /// in it and older than it were deleted meanwhile.
    void applyListing(const std::string &kind, const store::Listing &listing);

    /// The store returned from an older copy: versions held of a kind no longer
    /// tell what is newer. The state stays until the next listing.
    void forgetVersions(const std::string &kind);

    /// The current state, to be shared with other threads.
    std::shared_ptr<const Snapshot> publish() const
    {
        return std::make_shared<const Snapshot>(m_state);
    }
    const Snapshot &state() const
    {
        return m_state;
    }

private:
    struct Held {
        uint64_t version = 0;
        bool deleted = false;
    };
    void erase(const std::string &kind, const std::string &name);
    void take(const store::Object &object);

    OnRejected m_onRejected;
    std::map<std::pair<std::string, std::string>, Held> m_held;
    Snapshot m_state;
};

} // namespace yucca::catalogue
