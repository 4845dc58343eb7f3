// The operators' commands on the catalogue: every change is a conditional
// update, and leaves an audit record that is written before it.
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

/// Who makes a change, and why.
struct Author {
    std::string name;
    std::string reason;
};

/// One entry of an apply file. ifVersion: absent = the version read just
/// before the write; 0 = must not exist yet.
struct Entry {
    std::string kind;
    std::string name;
    nlohmann::json value;
    std::optional<uint64_t> ifVersion;
};

/// How a change ended.
enum class ChangeResult {
    Applied,
    Unchanged, ///< the entry already had this value
    LostRace, ///< somebody else changed it first; nothing was written
    Failed, ///< nothing was written
    Unknown, ///< the write's answer was lost, and reading it back failed
};

inline constexpr NameTable<ChangeResult, 5> changeResultNames{{{ChangeResult::Applied, "applied"},
                                                               {ChangeResult::Unchanged, "unchanged"},
                                                               {ChangeResult::LostRace, "lost_race"},
                                                               {ChangeResult::Failed, "failed"},
                                                               {ChangeResult::Unknown, "unknown"}}};

/// A change's end, the version the entry is at, and what to tell the operator.
struct Change {
    ChangeResult result = ChangeResult::Failed;
    uint64_t version = 0;
    std::string message;
};

/// Reads and checks an apply file's document; problems go to findings.
std::vector<Entry> parseEntries(const nlohmann::json &document, Findings &findings);

/// An entry's value without the mark of the change that wrote it.
nlohmann::json withoutMark(nlohmann::json value);

/// Carries out one change: the audit record first, then the conditional
/// write, then the record's outcome. An accepted change thus always has a
/// record, also when this program dies between the two; the mark in the
/// entry tells which record's change it is.
Task<Change> applyEntry(platform::ObjectApi &api, Entry entry, Author author);

/// The order that evacuates a failure domain, or takes that back.
Entry evacuationEntry(const std::string &domain, bool active, const Author &author, int64_t nowS);

/// One audit record of an entry, with the outcome read off the entry itself
/// when the program died before it could record it.
struct AuditLine {
    nlohmann::json record;
    std::string outcome; ///< accepted, refused or proposed
};

/// The audit records of an entry, oldest first.
Task<Result<std::vector<AuditLine>>> history(platform::ObjectApi &api, std::string kind, std::string name);

} // namespace yucca::ctl
