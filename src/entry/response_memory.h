// Bounds the memory of responses that are read whole before any of them is relayed.
#pragma once

#include <cstddef>

namespace yucca::entry
{

/// Limits in bytes of bodies. Strings grow by doubling, so the memory may be up to three times as much.
struct ResponseMemoryOptions {
    std::size_t uncounted = 64 * 1024; ///< of each body, beside the total
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

    /// The memory of one response, returned at the end of its lifetime.
    class Reservation
    {
    public:
        explicit Reservation(ResponseMemory &memory)
            : m_memory(memory)
        {
        }
        ~Reservation()
        {
            m_memory.m_used -= m_reserved;
        }
        Reservation(const Reservation &) = delete;
        Reservation &operator=(const Reservation &) = delete;

        /// Grows the reservation to the size of a body. Returns false if the limits do not allow that.
        bool growTo(std::size_t bodyBytes)
        {
            const auto &options = m_memory.m_options;
            const std::size_t needed = bodyBytes > options.uncounted ? bodyBytes - options.uncounted : 0;
            if (needed <= m_reserved) {
                return true;
            }
            const std::size_t more = needed - m_reserved;
            if (bodyBytes > options.perResponse || more > options.total - m_memory.m_used) {
                return false;
            }
            m_memory.m_used += more;
            m_reserved = needed;
            return true;
        }

    private:
        ResponseMemory &m_memory;
        std::size_t m_reserved = 0;
    };

private:
    ResponseMemoryOptions m_options;
    std::size_t m_used = 0;
};

} // namespace yucca::entry
