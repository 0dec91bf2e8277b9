/// Parses and formats the values of INI files: numbers, sizes, durations, flags, names and lists.
#include "protocol_p.h"

namespace comfreypier::protocol {

namespace {

    struct Unit {
        std::string_view suffix;
        double factor; ///< Multiple of the base unit (byte or microsecond).
    };

    /// Parses a number followed by a unit.
    /// @return value in the base unit, or nothing if the number or the unit is missing or invalid.
    template <size_t count>
    std::optional<double> parseWithUnit(std::string_view text, const std::array<Unit, count>& units)
    {
        auto end = text.find_first_not_of("0123456789.");
        if (end == std::string_view::npos)
            return std::nullopt;
        auto number = parseDecimal(text.substr(0, end));
        auto suffix = trim(text.substr(end));
        for (const auto& unit : units) {
            if (number && suffix == unit.suffix)
                return *number * unit.factor;
        }
        return std::nullopt;
    }

    constexpr std::array<Unit, 4> byteUnits { { { "B", 1 }, { "KB", 1e3 }, { "MB", 1e6 }, { "GB", 1e9 } } };
    constexpr std::array<Unit, 5> durationUnits { { { "us", 1 }, { "ms", 1e3 }, { "s", 1e6 }, { "m", 6e7 }, { "h", 3.6e9 } } };
    /// Largest size or duration in base units. A double represents all integers up to it exactly.
    constexpr double maxBaseUnits = 9e15;

} // namespace

std::optional<int64_t> parseInteger(std::string_view text)
{
    return transport::parseNumber<int64_t>(text);
}

std::optional<double> parseDecimal(std::string_view text)
{
    return transport::parseDecimal(text);
}

std::optional<uint64_t> parseBytes(std::string_view text)
{
    auto value = parseWithUnit(text, byteUnits);
    if (!value || *value > maxBaseUnits)
        return std::nullopt;
    return static_cast<uint64_t>(std::llround(*value));
}

std::optional<std::chrono::microseconds> parseDuration(std::string_view text)
{
    auto value = parseWithUnit(text, durationUnits);
    if (!value || *value > maxBaseUnits)
        return std::nullopt;
    return std::chrono::microseconds { std::llround(*value) };
}

std::optional<bool> parseFlag(std::string_view text)
{
    if (text == "yes")
        return true;
    if (text == "no")
        return false;
    return std::nullopt;
}

bool isName(std::string_view text)
{
    if (text.empty() || text.size() > maxNameBytes)
        return false;
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    return text.find_first_not_of(allowed) == std::string_view::npos;
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> parts;
    while (true) {
        auto comma = text.find(',');
        auto part = trim(text.substr(0, comma));
        if (!part.empty())
            parts.emplace_back(part);
        if (comma == std::string_view::npos)
            return parts;
        text.remove_prefix(comma + 1);
    }
}

std::string formatBytes(uint64_t bytes)
{
    for (auto unit = byteUnits.rbegin(); unit != byteUnits.rend(); ++unit) {
        auto factor = static_cast<uint64_t>(unit->factor);
        // At most three decimals: MB and GB need a whole number of KB and MB. B and KB never need more.
        if (bytes >= factor && bytes % (factor > 1000 ? factor / 1000 : 1) == 0) {
            auto text = std::to_string(static_cast<double>(bytes) / unit->factor);
            // Removes trailing zeros, and the decimal point if no decimals remain.
            text.erase(text.find_last_not_of('0') + 1);
            if (text.back() == '.')
                text.pop_back();
            return text + std::string(unit->suffix);
        }
    }
    return std::to_string(bytes) + "B";
}

std::string formatDuration(std::chrono::microseconds duration)
{
    if (duration.count() % 1000000 == 0)
        return std::to_string(duration.count() / 1000000) + "s";
    if (duration.count() % 1000 == 0)
        return std::to_string(duration.count() / 1000) + "ms";
    return std::to_string(duration.count()) + "us";
}

} // namespace comfreypier::protocol
