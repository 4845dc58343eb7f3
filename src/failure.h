// Texts of exceptions, for log lines.
#pragma once

#include <exception>
#include <string>
#include <string_view>

namespace yucca
{

/// Returns the message of an exception.
inline std::string describe(const std::exception_ptr &failure)
{
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception &error) {
        const std::string_view what = error.what();
        return what.empty() ? "an exception without a text" : std::string(what);
    } catch (...) {
        return "an exception of an unknown type";
    }
}

} // namespace yucca
