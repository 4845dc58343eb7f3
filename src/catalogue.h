// The catalogue: the entries that operators edit (workspaces, classes of work
// and evacuations), their validating parsers, and the view that a router keeps of
// them and of the VM list. The view never goes back to an older version of an entry.
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
inline constexpr const char *evacuationKind = "evacuation"; ///< the entry's name is the failure domain
inline constexpr const char *auditKind = "audit";

inline constexpr int64_t defaultPriority = 5; ///< of a class of work; 0 is the highest, 9 the lowest

/// A workspace entry: the workspace's owner, class of work and limits.
struct Workspace {
    std::string owner;
    std::string workClass;
    limits::Limits limits;
};

/// A class of work: the pool of endpoints that serves it, with their kind,
/// priority and model.
struct WorkClass {
    std::string pool;
    EndpointKind kind = EndpointKind::Engine;
    int64_t priority = defaultPriority;
    uint64_t version = 0; ///< version of the entry
    std::string model; ///< the model that the pool's engines must load; empty: the engines keep theirs
};

/// An operator's order to evacuate a failure domain: while it is active, nothing
/// is sent to the domain's endpoints.
struct Evacuation {
    bool active = false;
    std::string author; ///< the operator who gave or revoked the order
    int64_t since = 0; ///< Unix time at which the order was given or revoked, in seconds
};

/// Parses a workspace entry's value. Problems are added to findings, with JSON paths that begin with path.
Workspace parseWorkspace(const nlohmann::json &value, const std::string &path, Findings &findings);
/// Parses a class entry's value. Problems are added to findings, with JSON paths that begin with path.
WorkClass parseClass(const nlohmann::json &value, const std::string &path, Findings &findings);
/// Parses an evacuation entry's value. Problems are added to findings, with JSON paths that begin with path.
Evacuation parseEvacuation(const nlohmann::json &value, const std::string &path, Findings &findings);
/// Validates the value of an entry of any of these kinds; an unknown kind is a finding.
void check(const std::string &kind, const nlohmann::json &value, const std::string &path, Findings &findings);

/// The catalogue and the VM list at one point in time. Immutable once published.
struct Snapshot {
    uint64_t revision = 0; ///< the highest version applied
    std::map<std::string, Workspace> workspaces;
    std::map<std::string, WorkClass> classes;
    std::map<std::string, Evacuation> evacuations; ///< by failure domain
    std::map<std::string, Endpoint> endpoints;

    /// Returns the workspace, or null when there is none of this name.
    const Workspace *workspace(const std::string &name) const;
    /// Returns the class of work, or null when there is none of this name.
    const WorkClass *workClass(const std::string &name) const;
    /// Returns the failure domains with an active evacuation.
    std::set<std::string> evacuated() const;
};

/// A router's copy of the catalogue and the VM list. It keeps the highest version
/// seen of each entry, deletions included, so that a late or repeated event never
/// restores an older state. When a new value is invalid, the last valid one stays
/// in effect.
class View
{
public:
    /// Called with the "kind/name" of an entry whose new value is invalid, and the problems.
    using OnRejected = std::function<void(const std::string &entry, const Findings &findings)>;
    explicit View(OnRejected onRejected = {});

    /// Applies one change. Returns false when it is not newer than the known version.
    bool apply(const store::Object &object, bool deleted);
    /// Applies a full listing of a kind as of the listing's revision. Known entries
    /// that are older than that and not listed were deleted in the meantime.
    void applyListing(const std::string &kind, const store::Listing &listing);

    /// Forgets the known versions of a kind after the store was restored from a
    /// backup, as its revisions start again from an earlier one. The entries stay in
    /// effect until the next listing.
    void resetVersions(const std::string &kind);

    /// Returns a copy of the current state, to be shared with other threads.
    std::shared_ptr<const Snapshot> publish() const
    {
        return std::make_shared<const Snapshot>(m_state);
    }
    const Snapshot &state() const
    {
        return m_state;
    }

private:
    struct EntryVersion {
        uint64_t version = 0;
        bool deleted = false;
    };
    void erase(const std::string &kind, const std::string &name);
    void applyValue(const store::Object &object);

    OnRejected m_onRejected;
    std::map<std::pair<std::string, std::string>, EntryVersion> m_versions;
    Snapshot m_state;
};

} // namespace yucca::catalogue
