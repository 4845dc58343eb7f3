// Captures the log lines of a test. Must be included before CppUTest's headers.
#pragma once

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/logger.h>

#include <memory>
#include <string>
#include <vector>

namespace yucca::fixture
{

/// Captures all log lines of warnings and errors during its lifetime, instead of printing them.
class LogCapture
{
public:
    LogCapture()
        : m_appender(std::make_shared<Appender>())
        , m_logger(log4cxx::Logger::getLogger("yucca"))
    {
        m_logger->setLevel(log4cxx::Level::getWarn());
        m_logger->setAdditivity(false);
        m_logger->addAppender(m_appender);
    }
    ~LogCapture()
    {
        m_logger->removeAppender(m_appender);
        m_logger->setAdditivity(true);
        m_logger->setLevel(log4cxx::LevelPtr()); // that of the parent
    }
    LogCapture(const LogCapture &) = delete;
    LogCapture &operator=(const LogCapture &) = delete;

    /// Returns the first line that contains the text, or an empty string.
    std::string line(const std::string &text) const
    {
        for (const auto &candidate : m_appender->lines) {
            if (candidate.find(text) != std::string::npos) {
                return candidate;
            }
        }
        return {};
    }

private:
    struct Appender : log4cxx::AppenderSkeleton {
        const log4cxx::helpers::Class &getClass() const override
        {
            return log4cxx::AppenderSkeleton::getStaticClass();
        }
        void close() override
        {
        }
        bool requiresLayout() const override
        {
            return false;
        }
        void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &) override
        {
            lines.push_back(event->getRenderedMessage());
        }
        std::vector<std::string> lines;
    };

    std::shared_ptr<Appender> m_appender;
    log4cxx::LoggerPtr m_logger;
};

} // namespace yucca::fixture
