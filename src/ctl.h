// The operators' commands on the catalogue. applyEntry() makes each change as a
// conditional update and writes its audit record first.
#pragma once

#include "findings.h"
#include "object_api.h"
#include "task.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace yucca::ctl
{

/// The author of a change and the reason for it.
struct Author {
    std::string name;
    std::string reason;
};

/// One entry of an apply file. ifVersion is the version to replace; absent: the
/// version read just before the write; 0: the entry must not exist.
struct Entry {
    std::string kind;
    std::string name;
    nlohmann::json value;
    std::optional<uint64_t> ifVersion;
};

/// Result of a change.
enum class ChangeResult {
    Applied,
    Unchanged, ///< the entry already had this value
    LostRace, ///< conflict with another change; nothing was written
    Failed, ///< nothing was written
    Unknown, ///< the response to the write was lost, and reading the entry back failed; or the store was restored just before the write
};

inline constexpr NameTable<ChangeResult, 5> changeResultNames{{{ChangeResult::Applied, "applied"},
                                                               {ChangeResult::Unchanged, "unchanged"},
                                                               {ChangeResult::LostRace, "lost_race"},
                                                               {ChangeResult::Failed, "failed"},
                                                               {ChangeResult::Unknown, "unknown"}}};

/// Result of a change, the version of the entry (0 unless applied or unchanged) and a message for the operator.
struct Change {
    ChangeResult result = ChangeResult::Failed;
    uint64_t version = 0;
    std::string message;
};

/// Parses and checks the document of an apply file: one entry or a list. Problems are added to the findings.
std::vector<Entry> parseEntries(const nlohmann::json &document, Findings &findings);

/// Returns an entry's value without the id of the change that wrote it.
nlohmann::json withoutChangeId(nlohmann::json value);

/// Makes one change: writes the audit record, then the entry (conditionally), then
/// the outcome into the audit record. An accepted change thus always has a record,
/// even if this program ends between the writes; the change id in the entry
/// identifies the record. Writes nothing if the entry already has the value.
Task<Change> applyEntry(platform::ObjectApi &api, Entry entry, Author author);

/// Returns the entry that evacuates a failure domain (active) or ends its evacuation. nowS is the Unix time in seconds.
Entry evacuationEntry(const std::string &domain, bool active, const Author &author, int64_t nowS);

/// One audit record of an entry. If the program ended before it recorded the
/// outcome, the outcome is derived from the change id in the entry.
struct AuditLine {
    nlohmann::json record;
    std::string outcome; ///< accepted, refused or proposed
};

/// Returns the audit records of an entry, oldest first; an error if the records cannot be listed.
Task<Result<std::vector<AuditLine>>> history(platform::ObjectApi &api, std::string kind, std::string name);

} // namespace yucca::ctl
