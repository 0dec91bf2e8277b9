/// Logging through log4cxx to stderr, one format for all parts.
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>
#include <transport/transport.h>

namespace comfreypier::transport {

namespace {

    log4cxx::LevelPtr toLevel(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return log4cxx::Level::getDebug();
        case LogLevel::Warn:
            return log4cxx::Level::getWarn();
        case LogLevel::Error:
            return log4cxx::Level::getError();
        default:
            return log4cxx::Level::getInfo();
        }
    }

} // namespace

void setUpLogging(LogLevel level, const std::vector<PartLevel>& parts)
{
    auto layout = std::make_shared<log4cxx::PatternLayout>("%d{yyyy-MM-ddTHH:mm:ss.SSS} %-5p %c: %m%n");
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(toLevel(level));
    for (const auto& part : parts)
        log4cxx::Logger::getLogger(part.part)->setLevel(toLevel(part.level));
}

bool parseLogLevel(std::string_view text, LogLevel& level)
{
    constexpr std::array names { "debug", "info", "warn", "error" };
    for (size_t i = 0; i < names.size(); i++) {
        if (text == names[i]) {
            level = static_cast<LogLevel>(i);
            return true;
        }
    }
    return false;
}

Log::Log(const char* part)
    : part(part)
{
}

void Log::debug(const std::string& text) const
{
    LOG4CXX_DEBUG(log4cxx::Logger::getLogger(this->part), text);
}

void Log::info(const std::string& text) const
{
    LOG4CXX_INFO(log4cxx::Logger::getLogger(this->part), text);
}

void Log::warn(const std::string& text) const
{
    LOG4CXX_WARN(log4cxx::Logger::getLogger(this->part), text);
}

void Log::error(const std::string& text) const
{
    LOG4CXX_ERROR(log4cxx::Logger::getLogger(this->part), text);
}

} // namespace comfreypier::transport
