/// Parses streams of server-sent events.
#include "protocol_p.h"

namespace comfreypier::protocol {

namespace {

    /// Returns the value of the field in `line`, without the optional space before it.
    /// @param prefixLength length of the field's name and the colon.
    std::string_view fieldValue(std::string_view line, size_t prefixLength)
    {
        line.remove_prefix(prefixLength);
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        return line;
    }

    /// Stores the field in `line` if it is `data` or `id`; other fields and comments are ignored.
    void parseLine(std::string_view line, SseEvent& event)
    {
        if (line.starts_with("data:")) {
            event.data = fieldValue(line, 5);
        } else if (line.starts_with("id:")) {
            if (auto id = transport::parseNumber<uint64_t>(fieldValue(line, 3)))
                event.id = *id;
        }
    }

} // namespace

Result<bool, SseError> feedSse(SseParser& parser, std::string_view bytes)
{
    parser.buffer.erase(0, parser.consumed);
    parser.consumed = 0;
    if (parser.buffer.size() + bytes.size() > maxSseBufferBytes)
        return SseError::TooLong;
    parser.buffer.append(bytes);
    return true;
}

bool nextSseEvent(SseParser& parser, SseEvent& event)
{
    auto rest = std::string_view(parser.buffer).substr(parser.consumed);
    auto end = rest.find("\n\n"); // A blank line ends an event.
    if (end == std::string_view::npos)
        return false;
    event = {};
    event.raw = rest.substr(0, end + 2);
    parser.consumed += event.raw.size();
    auto lines = rest.substr(0, end);
    while (!lines.empty()) {
        auto newline = lines.find('\n');
        parseLine(lines.substr(0, newline), event);
        if (newline == std::string_view::npos)
            break;
        lines.remove_prefix(newline + 1);
    }
    return true;
}

} // namespace comfreypier::protocol
