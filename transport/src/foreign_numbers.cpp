/// Bounds of numbers that other parties send.
#include <cmath>
#include <transport/transport.h>

namespace comfreypier::transport {

std::optional<double> parseDecimal(std::string_view text, std::chars_format format)
{
    double number = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, format);
    if (error != std::errc {} || end != text.data() + text.size() || !std::isfinite(number) || number < 0)
        return std::nullopt;
    return number;
}

std::optional<std::chrono::milliseconds> parseForeignDuration(std::string_view text, std::chrono::milliseconds unit)
{
    bool isNumber = !text.empty() && text.find_first_not_of("0123456789", text.front() == '-' ? 1 : 0) == std::string_view::npos && text.back() != '-';
    if (!isNumber)
        return std::nullopt;
    if (text.front() == '-')
        return std::chrono::milliseconds { 0 };
    // Digits that no integer can hold are more than the longest duration.
    constexpr std::chrono::milliseconds longest = maxForeignDuration;
    auto count = parseNumber<int64_t>(text).value_or(INT64_MAX);
    return count > longest / unit ? longest : count * unit;
}

} // namespace comfreypier::transport
