/// Logging to standard output through log4cxx, in one format for all parts. Never blocks on a slow reader.
#include <algorithm>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>
#include <poll.h>
#include <transport/transport.h>
#include <unistd.h>

namespace {

/// Maximum length of a printed line. A pipe that polls as writable accepts this many bytes without blocking.
constexpr size_t maxLineBytes = 4096;

std::atomic<uint64_t> droppedLines { 0 };

} // namespace

// The class macros of log4cxx only work inside its namespace.
namespace log4cxx {

/// Writes each line with one call. Drops and counts it if the write would block or exceed the rate limit.
class BoundedAppender : public log4cxx::AppenderSkeleton {
public:
    BoundedAppender() = default;

    DECLARE_LOG4CXX_OBJECT(BoundedAppender)
    BEGIN_LOG4CXX_CAST_MAP()
    LOG4CXX_CAST_ENTRY(BoundedAppender)
    LOG4CXX_CAST_ENTRY_CHAIN(AppenderSkeleton)
    END_LOG4CXX_CAST_MAP()

    void close() override { }
    bool requiresLayout() const override { return true; }

protected:
    void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool) override
    {
        if (!this->takeToken() || !isWritable()) {
            droppedLines++;
            return;
        }
        log4cxx::LogString line;
        this->getLayout()->format(line, event, pool);
        // A longer line is cut so that it ends in three dots and the line break.
        if (line.size() > maxLineBytes)
            line.replace(maxLineBytes - 4, std::string::npos, "...\n");
        if (::write(STDOUT_FILENO, line.data(), line.size()) < 0)
            droppedLines++;
    }

private:
    /// Returns whether a line can be written to standard output without blocking.
    static bool isWritable()
    {
        pollfd output { STDOUT_FILENO, POLLOUT, 0 };
        return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
    }

    /// Takes a token from the bucket that limits the rate of lines.
    /// @return false if the bucket is empty.
    bool takeToken()
    {
        auto now = comfreypier::transport::monotonicNow();
        auto elapsedSeconds = std::chrono::duration<double>(now - this->refilledAt).count();
        this->tokens = std::min(comfreypier::transport::maxLogLineBurst, this->tokens + elapsedSeconds * comfreypier::transport::maxLogLinesPerSecond);
        this->refilledAt = now;
        if (this->tokens < 1)
            return false;
        this->tokens -= 1;
        return true;
    }

    double tokens = comfreypier::transport::maxLogLineBurst; ///< Number of lines that may be printed at once.
    std::chrono::nanoseconds refilledAt { 0 }; ///< Monotonic time up to which tokens were added.
};

IMPLEMENT_LOG4CXX_OBJECT(BoundedAppender)

} // namespace log4cxx

namespace comfreypier::transport {

namespace {

    bool isControl(unsigned char byte)
    {
        return byte < 0x20 || byte == 0x7f;
    }

    void appendEscaped(std::string& out, unsigned char byte)
    {
        std::array<char, 8> text {};
        std::snprintf(text.data(), text.size(), "\\x%02x", byte);
        out += text.data();
    }

    /// Returns a line in which control characters are escaped.
    std::string toLine(const std::string& text)
    {
        if (std::none_of(text.begin(), text.end(), isControl))
            return text;
        std::string line;
        for (char byte : text)
            isControl(static_cast<unsigned char>(byte)) ? appendEscaped(line, static_cast<unsigned char>(byte)) : line.push_back(byte);
        return line;
    }

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
    auto appender = std::make_shared<log4cxx::BoundedAppender>();
    appender->setLayout(layout);
    auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(toLevel(level));
    for (const auto& part : parts)
        log4cxx::Logger::getLogger(part.part)->setLevel(toLevel(part.level));
}

uint64_t droppedLogLines()
{
    return droppedLines;
}

bool parseLogLevel(std::string_view text, LogLevel& level)
{
    // In the order of `LogLevel`.
    constexpr std::array names { "debug", "info", "warn", "error" };
    for (size_t i = 0; i < names.size(); i++) {
        if (text == names[i]) {
            level = static_cast<LogLevel>(i);
            return true;
        }
    }
    return false;
}

std::string escapeForLog(std::string_view name)
{
    std::string word;
    for (char byte : name.substr(0, maxLoggedNameBytes)) {
        bool isVisible = byte > ' ' && byte < '\x7f' && byte != '"' && byte != '\\';
        isVisible ? word.push_back(byte) : appendEscaped(word, static_cast<unsigned char>(byte));
    }
    return name.size() > maxLoggedNameBytes ? word + "..." : word;
}

Log::Log(const char* part)
    : part(part)
{
}

void Log::debug(const std::string& text) const
{
    LOG4CXX_DEBUG(log4cxx::Logger::getLogger(this->part), toLine(text));
}

void Log::info(const std::string& text) const
{
    LOG4CXX_INFO(log4cxx::Logger::getLogger(this->part), toLine(text));
}

void Log::warn(const std::string& text) const
{
    LOG4CXX_WARN(log4cxx::Logger::getLogger(this->part), toLine(text));
}

void Log::error(const std::string& text) const
{
    LOG4CXX_ERROR(log4cxx::Logger::getLogger(this->part), toLine(text));
}

} // namespace comfreypier::transport
