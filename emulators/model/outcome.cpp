#include "model/outcome.h"

#include <algorithm>
#include <cstdio>

namespace yucca::model
{

using json = nlohmann::json;

namespace
{

std::string row(const char *format, auto... values)
{
    char line[256];
    std::snprintf(line, sizeof line, format, values...);
    return line;
}

double share(double part, double whole)
{
    return whole > 0 ? part / whole : 1;
}

} // namespace

double KindOutcome::quantileMs(double q) const
{
    double total = 0;
    for (const auto count : firstMs) {
        total += static_cast<double>(count);
    }
    double below = 0;
    for (int i = 0; i < firstMs.axis().size(); ++i) {
        below += static_cast<double>(firstMs.at(i));
        if (below >= q * total) {
            return firstMs.axis().bin(i).upper();
        }
    }
    return firstMs.axis().bin(firstMs.axis().size() - 1).upper();
}

double Outcome::credit() const
{
    double owed = 0;
    double earned = 0;
    for (const auto &[name, kind] : kinds) {
        owed += kind.owed;
        earned += kind.earned;
    }
    return share(earned, owed);
}

double Outcome::worstWindows() const
{
    std::vector<double> shares;
    for (std::size_t i = 0; i < owedAt.size(); ++i) {
        if (owedAt[i] > 0) {
            shares.push_back(earnedAt[i] / owedAt[i]);
        }
    }
    std::sort(shares.begin(), shares.end());
    if (shares.empty()) {
        return 1;
    }
    return shares.size() == 1 ? shares[0] : (shares[0] + shares[1]) / 2;
}

std::string table(const Outcome &outcome)
{
    std::string out = row("%-18s %8s %8s %7s %7s %8s %8s %8s %8s\n", "kind", "offered", "on time", "late", "failed", "refused", "credit", "p50 ms", "p95 ms");
    for (const auto &[name, k] : outcome.kinds) {
        out += row("%-18s %8lld %8lld %7lld %7lld %8lld %8.3f %8.0f %8.0f\n", name.c_str(), static_cast<long long>(k.offered), static_cast<long long>(k.onTime),
                   static_cast<long long>(k.late), static_cast<long long>(k.failed), static_cast<long long>(k.refused), share(k.earned, k.owed),
                   k.quantileMs(0.5), k.quantileMs(0.95));
    }
    out += row("%-18s %8s %8s %8s %8s %9s %9s %9s\n", "pool", "arrivals", "over", "worst 5s", "skew", "reuse", "again k", "fetched k");
    for (const auto &[name, p] : outcome.pools) {
        const double prompt = static_cast<double>(p.tokensPrefilled + p.tokensCached);
        out += row("%-18s %8lld %8lld %8.3f %8.2f %9.3f %9.0f %9.0f\n", name.c_str(), static_cast<long long>(p.arrivals), static_cast<long long>(p.overBound),
                   p.worstWindow, p.worstSkew, prompt > 0 ? static_cast<double>(p.tokensCached) / prompt : 0.0,
                   static_cast<double>(p.sharedTokensPrefilledAgain) / 1000, static_cast<double>(p.tokensFetched) / 1000);
    }
    out += row("credit %.4f, worst windows %.4f, retries %lld\n", outcome.credit(), outcome.worstWindows(), static_cast<long long>(outcome.retries));
    return out;
}

json toJson(const Outcome &outcome)
{
    json kinds = json::object();
    for (const auto &[name, k] : outcome.kinds) {
        kinds[name] = {{"offered", k.offered},
                       {"on_time", k.onTime},
                       {"late", k.late},
                       {"failed", k.failed},
                       {"refused", k.refused},
                       {"credit", share(k.earned, k.owed)},
                       {"first_ms_p50", k.quantileMs(0.5)},
                       {"first_ms_p95", k.quantileMs(0.95)}};
    }
    json pools = json::object();
    for (const auto &[name, p] : outcome.pools) {
        pools[name] = {{"arrivals", p.arrivals},           {"over_bound", p.overBound},
                       {"worst_window", p.worstWindow},    {"worst_skew", p.worstSkew},
                       {"arrivals_by_s", p.arrivalsAt},    {"over_bound_by_s", p.overBoundAt},
                       {"turned_away", p.rejected},        {"tokens_read", p.tokensPrefilled},
                       {"tokens_found", p.tokensCached},   {"shared_read_again", p.sharedTokensPrefilledAgain},
                       {"tokens_fetched", p.tokensFetched}};
    }
    return {{"kinds", kinds},
            {"pools", pools},
            {"credit", outcome.credit()},
            {"worst_windows", outcome.worstWindows()},
            {"retries", outcome.retries},
            {"owed_by_2s", outcome.owedAt},
            {"earned_by_2s", outcome.earnedAt}};
}

} // namespace yucca::model
