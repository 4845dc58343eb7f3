#include "catalogue.h"

#include "object_api.h"
#include "settings.h"

#include <limits>
#include <set>

namespace yucca::catalogue
{

namespace
{
// Accepts the optional id of the change that wrote the entry (see ctl.h).
void readChangeId(settings::Reader &r)
{
    std::string changeId;
    r.read("change", changeId);
}
} // namespace

Workspace parseWorkspace(const nlohmann::json &value, const std::string &path, Findings &findings)
{
    Workspace w;
    settings::Reader r(value, path, findings);
    readChangeId(r);
    r.read("owner", w.owner);
    r.read("class", w.workClass);
    auto l = r.child("limits");
    l.read("maxInflight", w.limits.maxInflight, 1, 100000);
    l.read("requestsPerS", w.limits.requestsPerS, 1, 1000000);
    l.finish();
    r.finish();
    // "required" is reported only for absent keys; one of the wrong type is already a finding.
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
    readChangeId(r);
    r.read("pool", c.pool);
    r.read("priority", c.priority, 0, 9);
    r.read("model", c.model);
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

Evacuation parseEvacuation(const nlohmann::json &value, const std::string &path, Findings &findings)
{
    Evacuation e;
    settings::Reader r(value, path, findings);
    readChangeId(r);
    r.read("active", e.active);
    r.read("author", e.author);
    r.read("since", e.since, 0, std::numeric_limits<int64_t>::max());
    r.finish();
    if (!value.is_object() || !value.contains("active")) {
        findings.add(path + "/active", "required");
    }
    return e;
}

void check(const std::string &kind, const nlohmann::json &value, const std::string &path, Findings &findings)
{
    if (kind == workspaceKind) {
        parseWorkspace(value, path, findings);
    } else if (kind == classKind) {
        parseClass(value, path, findings);
    } else if (kind == evacuationKind) {
        parseEvacuation(value, path, findings);
    } else {
        findings.add(path, "unknown catalogue kind '" + kind + "'");
    }
}

namespace
{
template <typename T> const T *findIn(const std::map<std::string, T> &map, const std::string &name)
{
    auto it = map.find(name);
    return it == map.end() ? nullptr : &it->second;
}
} // namespace

const Workspace *Snapshot::workspace(const std::string &name) const
{
    return findIn(workspaces, name);
}

const WorkClass *Snapshot::workClass(const std::string &name) const
{
    return findIn(classes, name);
}

std::set<std::string> Snapshot::evacuated() const
{
    std::set<std::string> out;
    for (const auto &[domain, evacuation] : evacuations) {
        if (evacuation.active) {
            out.insert(domain);
        }
    }
    return out;
}

View::View(OnRejected onRejected)
    : m_onRejected(std::move(onRejected))
{
}

bool View::apply(const store::Object &object, bool deleted)
{
    auto &known = m_versions[{object.kind, object.name}];
    if (object.version <= known.version) {
        return false;
    }
    known = {object.version, deleted};
    m_state.revision = std::max(m_state.revision, object.version);
    if (deleted) {
        erase(object.kind, object.name);
    } else {
        applyValue(object);
    }
    return true;
}

void View::erase(const std::string &kind, const std::string &name)
{
    if (kind == workspaceKind) {
        m_state.workspaces.erase(name);
    } else if (kind == classKind) {
        m_state.classes.erase(name);
    } else if (kind == evacuationKind) {
        m_state.evacuations.erase(name);
    } else if (kind == platform::vmKind) {
        m_state.endpoints.erase(name);
    }
}

// Stores an entry's new value, unless it is invalid.
void View::applyValue(const store::Object &object)
{
    Findings findings;
    if (!object.problem.empty()) {
        findings.add("", object.problem);
    } else if (object.kind == workspaceKind) {
        auto parsed = parseWorkspace(object.value, "", findings);
        if (findings.empty()) {
            m_state.workspaces[object.name] = std::move(parsed);
        }
    } else if (object.kind == classKind) {
        auto parsed = parseClass(object.value, "", findings);
        if (findings.empty()) {
            parsed.version = object.version;
            m_state.classes[object.name] = std::move(parsed);
        }
    } else if (object.kind == evacuationKind) {
        auto parsed = parseEvacuation(object.value, "", findings);
        if (findings.empty()) {
            m_state.evacuations[object.name] = std::move(parsed);
        }
    } else if (object.kind == platform::vmKind && object.value.is_object()) {
        auto endpoint = platform::endpointFromJson(object.value);
        endpoint.id = object.name;
        m_state.endpoints[object.name] = std::move(endpoint);
    }
    if (!findings.empty() && m_onRejected) {
        m_onRejected(object.kind + "/" + object.name, findings);
    }
}

void View::resetVersions(const std::string &kind)
{
    for (auto &[key, known] : m_versions) {
        if (key.first == kind) {
            known.version = 0;
        }
    }
}

void View::applyListing(const std::string &kind, const store::Listing &listing)
{
    std::set<std::string> listed;
    for (const auto &o : listing.items) {
        listed.insert(o.name);
        apply(o, false);
    }
    for (auto &[key, known] : m_versions) {
        if (key.first == kind && !listed.count(key.second) && !known.deleted && known.version < listing.revision) {
            known = {listing.revision, true};
            erase(kind, key.second);
        }
    }
    m_state.revision = std::max(m_state.revision, listing.revision);
}

} // namespace yucca::catalogue
