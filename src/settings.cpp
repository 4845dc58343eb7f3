#include "settings.h"

#include "decode.h"

#include <fstream>
#include <sstream>

namespace yucca::settings
{

namespace
{
const nlohmann::json emptyObject = nlohmann::json::object();
}

Reader::Reader(const nlohmann::json &object, std::string path, Findings &findings)
    : m_object(object.is_object() ? object : emptyObject)
    , m_path(std::move(path))
    , m_findings(findings)
{
    if (!object.is_object() && !object.is_null()) {
        m_findings.add(m_path, "must be an object");
    }
}

// Marks a key as read and returns its value, or null if absent.
const nlohmann::json *Reader::field(const char *key)
{
    m_readKeys.insert(key);
    auto it = m_object.find(key);
    return it == m_object.end() ? nullptr : &*it;
}

void Reader::read(const char *key, std::string &out)
{
    if (auto v = field(key)) {
        if (v->is_string()) {
            out = v->get<std::string>();
        } else {
            m_findings.add(m_path + "/" + key, "must be a string");
        }
    }
}

void Reader::read(const char *key, std::map<std::string, std::string> &out)
{
    const auto *f = field(key);
    if (!f) {
        return;
    }
    if (!f->is_object()) {
        m_findings.add(m_path + "/" + key, "must be an object");
        return;
    }
    for (const auto &[name, value] : f->items()) {
        if (value.is_string()) {
            out[name] = value.get<std::string>();
        } else {
            m_findings.add(m_path + "/" + key + "/" + name, "must be a string");
        }
    }
}

void Reader::read(const char *key, bool &out)
{
    if (auto v = field(key)) {
        if (v->is_boolean()) {
            out = v->get<bool>();
        } else {
            m_findings.add(m_path + "/" + key, "must be true or false");
        }
    }
}

void Reader::read(const char *key, int64_t &out, int64_t min, int64_t max)
{
    auto v = field(key);
    if (!v) {
        return;
    }
    if (!v->is_number_integer()) {
        m_findings.add(m_path + "/" + key, "must be an integer");
        return;
    }
    auto n = v->get<int64_t>();
    if (n < min || n > max) {
        m_findings.add(m_path + "/" + key, "must be in [" + std::to_string(min) + ", " + std::to_string(max) + "], is " + std::to_string(n));
        return;
    }
    out = n;
}

void Reader::read(const char *key, double &out, double min, double max)
{
    auto v = field(key);
    if (!v) {
        return;
    }
    if (!v->is_number()) {
        m_findings.add(m_path + "/" + key, "must be a number");
        return;
    }
    auto n = v->get<double>();
    if (n < min || n > max) {
        std::ostringstream s;
        s << "must be in [" << min << ", " << max << "], is " << n;
        m_findings.add(m_path + "/" + key, s.str());
        return;
    }
    out = n;
}

void Reader::read(const char *key, uint16_t &out)
{
    int64_t n = out;
    read(key, n, 0, 65535);
    out = static_cast<uint16_t>(n);
}

Reader Reader::child(const char *key)
{
    auto v = field(key);
    return Reader(v ? *v : emptyObject, m_path + "/" + key, m_findings);
}

void Reader::finish()
{
    for (auto it = m_object.begin(); it != m_object.end(); ++it) {
        if (!m_readKeys.count(it.key())) {
            m_findings.add(m_path + "/" + it.key(), "unknown key");
        }
    }
}

nlohmann::json parseText(const std::string &text, Findings &findings)
{
    auto decoded = decode::text(text, decode::Comments::Ignored);
    if (const auto *error = std::get_if<Error>(&decoded)) {
        findings.add("", "not valid JSON: it " + error->message);
        return nlohmann::json::object();
    }
    return std::move(std::get<nlohmann::json>(decoded));
}

nlohmann::json loadFile(const std::string &path, Findings &findings)
{
    std::ifstream in(path);
    if (!in) {
        findings.add("", "cannot read settings file " + path);
        return nlohmann::json::object();
    }
    std::stringstream buffer;
    buffer << in.rdbuf();
    return parseText(buffer.str(), findings);
}

namespace
{

// Reads the "listen" object that all servers share.
void readListen(Reader r, Listen &l)
{
    r.read("host", l.host);
    r.read("port", l.port);
    r.read("zone", l.zone);
    r.finish();
}

// Reads an enum value by its wire name; an unknown name is a finding.
template <typename E, std::size_t N>
void readEnum(Reader &r, const nlohmann::json &doc, const char *key, const std::string &path, const NameTable<E, N> &table, E &out, Findings &f)
{
    std::string name(nameOf(table, out));
    r.read(key, name);
    if (auto e = parseName(table, name)) {
        out = *e;
    } else {
        f.add(path + "/" + key, "unknown value '" + name + "'");
    }
}

} // namespace

RouterSettings parseRouter(const nlohmann::json &doc, Findings &f)
{
    RouterSettings s;
    Reader r(doc, "", f);
    r.read("id", s.id);
    readListen(r.child("listen"), s.listen);
    auto p = r.child("platform");
    p.read("host", s.platform.host);
    p.read("port", s.platform.port);
    p.finish();
    readEnum(r, doc, "policy", "", policyNames, s.policy, f);
    r.read("loadFactor", s.loadFactor, 1.0, 4.0);
    r.read("fillFactor", s.fillFactor, 0.01, 4.0);
    r.read("virtualNodes", s.virtualNodes, 1, 1024);
    r.read("watchTimeoutMs", s.watchTimeoutMs, 100, 30000);
    r.read("suspectMs", s.suspectMs, 1, 60000);
    r.read("requestTimeoutMs", s.requestTimeoutMs, 100, 600000);
    r.read("streamPauseMs", s.streamPauseMs, 100, 600000);
    r.read("maxAttempts", s.maxAttempts, 1, 10);
    r.read("retryRatio", s.retryRatio, 0.0, 1.0);
    r.read("retryReserve", s.retryReserve, 0, 10000);
    r.read("retryAfterS", s.retryAfterS, 1, 3600);
    r.read("stopGraceMs", s.stopGraceMs, 0, 600000);
    r.read("threads", s.threads, 1, 64);
    r.read("leaseMs", s.leaseMs, 1000, 600000);
    r.read("recordRetentionS", s.recordRetentionS, 0, 31536000);
    r.read("logLevel", s.logLevel);
    r.finish();
    return s;
}

EngineSettings parseEngine(const nlohmann::json &doc, Findings &f)
{
    EngineSettings s;
    Reader r(doc, "", f);
    r.read("id", s.id);
    readListen(r.child("listen"), s.listen);
    readEnum(r, doc, "kind", "", endpointKindNames, s.kind, f);
    r.read("slots", s.slots, 1, 4096);
    r.read("queue", s.queue, 0, 100000);
    r.read("cacheBlocks", s.cacheBlocks, 0, 10000000);
    r.read("blockTokens", s.blockTokens, 1, 4096);
    r.read("tokensPerS", s.tokensPerS, 1, 1000000);
    r.read("prefillTokensPerS", s.prefillTokensPerS, 1, 100000000);
    r.read("loadLagMs", s.loadLagMs, 0, 60000);
    r.read("cacheEventLagMs", s.cacheEventLagMs, 0, 60000);
    r.read("cacheEventLossPct", s.cacheEventLossPct, 0, 100);
    r.read("checkFencing", s.checkFencing);
    r.read("stopGraceMs", s.stopGraceMs, 0, 600000);
    r.read("logLevel", s.logLevel);
    r.finish();
    return s;
}

PlatformSettings parsePlatform(const nlohmann::json &doc, Findings &f)
{
    PlatformSettings s;
    Reader r(doc, "", f);
    readListen(r.child("listen"), s.listen);
    r.read("writesPerS", s.writesPerS, 1, 1000000);
    r.read("readsPerS", s.readsPerS, 1, 1000000);
    r.read("vmListLagMs", s.vmListLagMs, 0, 600000);
    r.read("watchHistory", s.watchHistory, 1, 10000000);
    r.read("pageEntries", s.pageEntries, 1, 100000);
    r.read("replicaLagMs", s.replicaLagMs, 0, 600000);
    r.read("logLevel", s.logLevel);
    r.finish();
    return s;
}

} // namespace yucca::settings
