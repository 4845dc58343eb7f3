// The catalogue: entries that operators edit (workspaces and classes of
// work), their checked parsing, and the view a router keeps of them,
// which only ever moves forward.
#pragma once

#include "findings.h"
#include "objstore.h"
#include "yucca/types.h"

#include <map>
#include <optional>
#include <string>

namespace yucca::catalogue
{

inline constexpr const char *workspaceKind = "workspace";
inline constexpr const char *classKind = "class";
inline constexpr const char *auditKind = "audit";

/// The limits a workspace runs under.
struct Limits {
    int64_t maxInflight = 64; ///< requests in flight per router
    int64_t requestsPerS = 100; ///< admitted per router a second
};

/// A workspace entry: its owner, the class of work it uses, its limits.
struct Workspace {
    std::string owner;
    std::string workClass;
    Limits limits;
};

/// A class of work: which pool of endpoints serves it, and of what kind.
struct WorkClass {
    std::string pool;
    EndpointKind kind = EndpointKind::Engine;
};

/// Parses a workspace entry's value; problems are recorded under path.
Workspace parseWorkspace(const nlohmann::json &value, const std::string &path, Findings &findings);
/// Parses a class entry's value; problems are recorded under path.
WorkClass parseClass(const nlohmann::json &value, const std::string &path, Findings &findings);
/// Checks an entry of either kind; an unknown kind is a finding.
void check(const std::string &kind, const nlohmann::json &value, const std::string &path, Findings &findings);

/// A router's copy of the catalogue. Each entry keeps the highest version
/// seen, deletions included, so that a late or repeated event never
/// brings back an older state.
class View
{
public:
    /// Applies one change; false when it is not newer than what is held.
    bool apply(const store::Object &object, bool deleted);
    /// Applies a full listing of a kind taken at its revision: entries not
    /// in it and older than it were deleted meanwhile.
    void applyListing(const std::string &kind, const store::Listing &listing);

    std::optional<Workspace> workspace(const std::string &name) const;
    std::optional<WorkClass> workClass(const std::string &name) const;
    /// The highest version applied; a router reports it as its catalogue revision.
    uint64_t revision() const
    {
        return m_revision;
    }
    std::size_t size() const;

private:
    struct Entry {
        uint64_t version = 0;
        bool deleted = false;
        nlohmann::json value;
    };
    std::map<std::pair<std::string, std::string>, Entry> m_entries;
    uint64_t m_revision = 0;
};

} // namespace yucca::catalogue
