#include "soak/promises.h"

#include <algorithm>

namespace yucca::soak
{

namespace
{

bool runsOnce(Kind kind)
{
    return kind == Kind::Booking || kind == Kind::Single;
}

bool streams(Kind kind)
{
    return kind == Kind::Chat || kind == Kind::Single;
}

// True for a status that says: not run, and never will be.
bool saysNotRun(unsigned status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

} // namespace

void Promises::note(const std::string &id, Record record)
{
    m_records[id] = std::move(record);
}

std::size_t Promises::served() const
{
    return static_cast<std::size_t>(std::count_if(m_records.begin(), m_records.end(), [](const auto &entry) {
        return entry.second.status == 200 && entry.second.whole;
    }));
}

// The events of a stream must be the first ones, in order; all of them, if it ended as complete.
std::string Promises::wrongStream(const Record &record) const
{
    std::string expected;
    std::size_t wholeUpTo = 0;
    for (int i = 1; i <= m_events; ++i) {
        expected += "id: " + std::to_string(i) + "\ndata: token" + std::to_string(i) + "\n\n";
        wholeUpTo = expected.size() <= record.body.size() ? expected.size() : wholeUpTo;
    }
    if (expected.compare(0, record.body.size(), record.body) != 0 || record.body.size() != wholeUpTo) {
        return "events are missing, repeated or cut";
    }
    return record.whole && record.body != expected ? "a stream that is not whole looks complete" : "";
}

std::string Promises::brokenBy(const std::string &id, const Record &record) const
{
    const auto it = m_runs.find(id);
    const int runs = it == m_runs.end() ? 0 : it->second;
    if (runsOnce(record.kind) && runs > 1) {
        return "ran " + std::to_string(runs) + " times";
    }
    if (runsOnce(record.kind) && saysNotRun(record.status) && runs > 0) {
        return "was told " + std::to_string(record.status) + " and ran";
    }
    if (record.status != 200) {
        return "";
    }
    if (!record.authentic) {
        return "a success without a signature";
    }
    if (streams(record.kind)) {
        return wrongStream(record);
    }
    const std::string own = " to " + id;
    const bool answersIt = record.body.size() > own.size() && record.body.compare(record.body.size() - own.size(), own.size(), own) == 0;
    return record.whole && !answersIt ? "another request's answer" : "";
}

std::vector<std::string> Promises::broken() const
{
    std::vector<std::string> out;
    for (const auto &[id, record] : m_records) {
        const std::string what = brokenBy(id, record);
        if (!what.empty()) {
            out.push_back(id + " (" + std::string(nameOf(kindNames, record.kind)) + "): " + what);
        }
    }
    return out;
}

} // namespace yucca::soak
