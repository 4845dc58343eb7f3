#include "catalogue.h"

#include "settings.h"

namespace yucca::catalogue
{

Workspace parseWorkspace(const nlohmann::json &value, const std::string &path, Findings &findings)
{
    Workspace w;
    settings::Reader r(value, path, findings);
    r.read("owner", w.owner);
    r.read("class", w.workClass);
    auto l = r.child("limits");
    l.read("maxInflight", w.limits.maxInflight, 1, 100000);
    l.read("requestsPerS", w.limits.requestsPerS, 1, 1000000);
    l.finish();
    r.finish();
    // A key of the wrong type is already a finding; "required" is for absent ones.
    for (const char *key : {"owner", "class"}) {
        if (!value.is_object() || !value.contains(key)) {
            findings.add(path + "/" + key, "required");
        }
    }
    return w;
}

WorkClass parseClass(const nlohmann::json &value, const std::string &path, Findings &findings)
{
    WorkClass c;
    settings::Reader r(value, path, findings);
    r.read("pool", c.pool);
    std::string kind(nameOf(endpointKindNames, c.kind));
    r.read("kind", kind);
    r.finish();
    if (auto k = parseName(endpointKindNames, kind)) {
        c.kind = *k;
    } else {
        findings.add(path + "/kind", "unknown value '" + kind + "'");
    }
    if (!value.is_object() || !value.contains("pool")) {
        findings.add(path + "/pool", "required");
    }
    return c;
}

void check(const std::string &kind, const nlohmann::json &value, const std::string &path, Findings &findings)
{
    if (kind == workspaceKind) {
        parseWorkspace(value, path, findings);
    } else if (kind == classKind) {
        parseClass(value, path, findings);
    } else {
        findings.add(path, "unknown catalogue kind '" + kind + "'");
    }
}

bool View::apply(const store::Object &object, bool deleted)
{
    auto &e = m_entries[{object.kind, object.name}];
    if (object.version <= e.version) {
        return false;
    }
    e.version = object.version;
    e.deleted = deleted;
    e.value = deleted ? nlohmann::json() : object.value;
    m_revision = std::max(m_revision, object.version);
    return true;
}

void View::applyListing(const std::string &kind, const store::Listing &listing)
{
    std::map<std::string, bool> listed;
    for (const auto &o : listing.items) {
        listed[o.name] = true;
        apply(o, false);
    }
    for (auto &[key, e] : m_entries) {
        if (key.first == kind && !listed.count(key.second) && !e.deleted && e.version < listing.revision) {
            e.deleted = true;
            e.version = listing.revision;
            e.value = nlohmann::json();
        }
    }
    m_revision = std::max(m_revision, listing.revision);
}

std::optional<Workspace> View::workspace(const std::string &name) const
{
    auto it = m_entries.find({workspaceKind, name});
    if (it == m_entries.end() || it->second.deleted) {
        return std::nullopt;
    }
    Findings ignored; // entries were checked when applied by yucca-ctl
    return parseWorkspace(it->second.value, "", ignored);
}

std::optional<WorkClass> View::workClass(const std::string &name) const
{
    auto it = m_entries.find({classKind, name});
    if (it == m_entries.end() || it->second.deleted) {
        return std::nullopt;
    }
    Findings ignored;
    return parseClass(it->second.value, "", ignored);
}

std::size_t View::size() const
{
    std::size_t n = 0;
    for (const auto &[k, e] : m_entries) {
        n += e.deleted ? 0 : 1;
    }
    return n;
}

} // namespace yucca::catalogue
