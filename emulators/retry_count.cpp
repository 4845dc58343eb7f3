#include "retry_count.h"

#include <algorithm>

namespace yucca::emulators
{

namespace
{

// Returns the number of times in a closed interval.
std::size_t countBetween(const std::vector<Millis> &sorted, Millis from, Millis to)
{
    return static_cast<std::size_t>(std::upper_bound(sorted.begin(), sorted.end(), to) - std::lower_bound(sorted.begin(), sorted.end(), from));
}

} // namespace

std::vector<Millis> RetryCount::retryTimes() const
{
    std::vector<Millis> retries;
    for (const auto &[id, times] : m_arrivals) {
        auto sorted = times;
        std::sort(sorted.begin(), sorted.end());
        retries.insert(retries.end(), sorted.begin() + 1, sorted.end());
    }
    std::sort(retries.begin(), retries.end());
    return retries;
}

std::optional<RetryWindow> RetryCount::worstWindow() const
{
    const auto retries = retryTimes();
    auto requests = m_requests;
    std::sort(requests.begin(), requests.end());
    const auto length = m_allowance.window;
    std::optional<RetryWindow> worst;
    for (const auto retry : retries) {
        for (const auto start : {retry, retry - length}) {
            RetryWindow window{start, countBetween(retries, start, start + length), 0, 0};
            for (const auto earlier : {Millis(0), length / 2, length}) {
                window.requests = std::max(window.requests, countBetween(requests, start - earlier, start - earlier + length));
            }
            window.allowed = m_allowance.ratio * static_cast<double>(window.requests) + m_allowance.slack;
            if (!worst || window.used() > worst->used()) {
                worst = window;
            }
        }
    }
    return worst;
}

} // namespace yucca::emulators
