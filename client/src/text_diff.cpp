/// Line-by-line comparison of two texts by their longest common subsequence.
#include <algorithm>
#include <client/client.h>

namespace comfreypier::client {

namespace {

    /// Splits a text into lines without their newlines. A newline at the end starts no further line.
    std::vector<std::string> splitLines(std::string_view text)
    {
        std::vector<std::string> lines;
        while (!text.empty()) {
            auto end = text.find('\n');
            lines.emplace_back(text.substr(0, end));
            if (end == std::string_view::npos)
                break;
            text.remove_prefix(end + 1);
        }
        return lines;
    }

} // namespace

std::vector<DiffLine> diffLines(std::string_view before, std::string_view after)
{
    auto oldLines = splitLines(before);
    auto newLines = splitLines(after);
    // commonLengths[i][j] is the length of the longest common subsequence of the old lines from i and the new lines from j.
    std::vector<std::vector<size_t>> commonLengths(oldLines.size() + 1, std::vector<size_t>(newLines.size() + 1, 0));
    for (size_t i = oldLines.size(); i-- > 0;) {
        for (size_t j = newLines.size(); j-- > 0;)
            commonLengths[i][j] = oldLines[i] == newLines[j] ? commonLengths[i + 1][j + 1] + 1 : std::max(commonLengths[i + 1][j], commonLengths[i][j + 1]);
    }
    std::vector<DiffLine> result;
    size_t i = 0;
    size_t j = 0;
    while (i < oldLines.size() || j < newLines.size()) {
        if (i < oldLines.size() && j < newLines.size() && oldLines[i] == newLines[j]) {
            result.push_back({ ' ', oldLines[i++] });
            j++;
        } else if (i < oldLines.size() && (j == newLines.size() || commonLengths[i + 1][j] >= commonLengths[i][j + 1]))
            result.push_back({ '-', oldLines[i++] });
        else
            result.push_back({ '+', newLines[j++] });
    }
    return result;
}

} // namespace comfreypier::client
