// Bounds the memory of responses that are read whole before any of them is relayed.
#pragma once

#include <cstddef>

namespace yucca::entry
{

/// Limits in bytes of bodies. Strings grow by doubling, so the memory may be up to three times as much.
struct ResponseMemoryOptions {
    std::size_t free = 64 * 1024; ///< of each body, which the total does not count
    std::size_t perResponse = 1024 * 1024;
    std::size_t total = 8 * 1024 * 1024;
};

/// What all responses may hold together. Used on one thread.
class ResponseMemory
{
public:
    explicit ResponseMemory(ResponseMemoryOptions options = {})
        : m_options(options)
    {
    }
    std::size_t used() const
    {
        return m_used;
    }

    /// What one response holds, for its lifetime.
    class Share
    {
    public:
        explicit Share(ResponseMemory &memory)
            : m_memory(memory)
        {
        }
        ~Share()
        {
            m_memory.m_used -= m_taken;
        }
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /// Makes the share large enough for a body. Returns false if the limits do not allow that.
        bool cover(std::size_t bodyBytes)
        {
            const auto &options = m_memory.m_options;
            const std::size_t needed = bodyBytes > options.free ? bodyBytes - options.free : 0;
            if (needed <= m_taken) {
                return true;
            }
            const std::size_t more = needed - m_taken;
            if (bodyBytes > options.perResponse || more > options.total - m_memory.m_used) {
                return false;
            }
            m_memory.m_used += more;
            m_taken = needed;
            return true;
        }

    private:
        ResponseMemory &m_memory;
        std::size_t m_taken = 0;
    };

private:
    ResponseMemoryOptions m_options;
    std::size_t m_used = 0;
};

} // namespace yucca::entry
