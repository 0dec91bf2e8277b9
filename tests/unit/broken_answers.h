/// Answers that are not valid HTTP/1.1, for tests of all that reads answers.
#pragma once

#include <string>
#include <vector>

namespace comfreypier::testing {

/// What an answer has in place of its sound parts.
struct BrokenAnswer {
    std::string name; ///< For the messages of checks.
    std::string statusLine = "HTTP/1.1 200 OK";
    std::string firstLine; ///< Line after the status line; empty for none.
    std::string lastLine; ///< Last line of the head; empty for none.
    std::string trailer; ///< Line after the last chunk. Answers with one are framed by chunks.
    bool framed = true; ///< Whether the head frames the body otherwise.
    std::string bodyPrefix; ///< For a body that `lastLine` would frame.
};

/// Returns the bytes of an answer.
/// @param fields lines of the head that callers of the test's worker expect, each with its end.
inline std::string format(const BrokenAnswer& answer, const std::string& fields, const std::string& body)
{
    auto line = [](const std::string& text) { return text.empty() ? text : text + "\r\n"; };
    auto bytes = line(answer.statusLine) + line(answer.firstLine) + fields;
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", body.size());
    if (!answer.trailer.empty())
        return bytes + "Transfer-Encoding: chunked\r\n" + line(answer.lastLine) + "\r\n" + size + body + "\r\n0\r\n" + line(answer.trailer) + "\r\n";
    if (answer.framed)
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return bytes + line(answer.lastLine) + "\r\n" + answer.bodyPrefix + body;
}

/// Returns the answers of all lists.
inline std::vector<BrokenAnswer> joined(const std::vector<std::vector<BrokenAnswer>>& lists)
{
    std::vector<BrokenAnswer> all;
    for (const auto& list : lists)
        all.insert(all.end(), list.begin(), list.end());
    return all;
}

/// Returns answers with a status that HTTP does not have.
inline std::vector<BrokenAnswer> answersWithBrokenStatus()
{
    std::vector<BrokenAnswer> answers;
    for (const char* status : { "000", "001", "099", "600", "999", "0200", "2000", "20", "2", "", "2x0", "-20", "+20", " 200", "0x2" })
        answers.push_back({ .name = "status '" + std::string(status) + "'", .statusLine = "HTTP/1.1 " + std::string(status) + " OK" });
    for (const char* line : { "HTTP/1.1 000", "HTTP/1.1 000 ", "HTTP/1.1 200", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200 O\x01K", "HTTP/2.0 200 OK", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK" })
        answers.push_back({ .name = "status line '" + std::string(line) + "'", .statusLine = line });
    return answers;
}

/// Returns answers with a line that is no header field, in the head and in trailers.
inline std::vector<BrokenAnswer> answersWithBrokenFields()
{
    using namespace std::string_literals;
    const std::vector<std::string> lines { "Se rver: a", "Server : a", "Server\t: a", "Ser\tver: a", "Ser\x01ver: a", "\x1bServer: a", "Server\x7f: a", "Ser\0ver: a"s, "Ser\x80ver: a", "Ser(ver: a", "Ser\"ver: a",
        ": a", ":", "Server", "Server a", "Content Length: 1", "Content-Length : 1", "Content-Length\x01: 1", "Transfer-Encoding : chunked", "Transfer Encoding: chunked",
        "Server: a\x01z", "Server: a\0z"s, "Server: a\x7f", "Server: a\nAge: 1", "Server: a\rAge: 1", "Server\n: a" };
    std::vector<BrokenAnswer> answers;
    for (const auto& line : lines) {
        answers.push_back({ .name = "first line '" + line + "'", .firstLine = line });
        answers.push_back({ .name = "last line '" + line + "'", .lastLine = line });
        answers.push_back({ .name = "trailer '" + line + "'", .trailer = line });
    }
    for (const char* line : { " Server: a", "\tServer: a", " " })
        answers.push_back({ .name = "folded first line '" + std::string(line) + "'", .firstLine = line });
    return answers;
}

/// Returns answers whose end different readers see in different places.
inline std::vector<BrokenAnswer> answersWithBrokenFraming()
{
    std::vector<BrokenAnswer> answers;
    for (const char* line : { "Transfer-Encoding: gzip", "Transfer-Encoding: identity", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, gzip", "Transfer-Encoding: xchunked", "Transfer-Encoding:",
             "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked", "Transfer-Encoding: gzip\r\nContent-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: gzip" })
        answers.push_back({ .name = "'" + std::string(line) + "'", .lastLine = line, .framed = false, .bodyPrefix = std::string(line).ends_with("chunked") ? "0\r\n\r\n" : "" });
    answers.push_back({ .name = "chunks in HTTP/1.0", .statusLine = "HTTP/1.0 200 OK", .lastLine = "Transfer-Encoding: chunked", .framed = false, .bodyPrefix = "0\r\n\r\n" });
    for (const char* length : { "+4", "-4", "4x", "0x4", "", "4 4", "4, 5", "4\r\nContent-Length: 5", "99999999999999999999" })
        answers.push_back({ .name = "length '" + std::string(length) + "'", .lastLine = "Content-Length: " + std::string(length), .framed = false });
    return answers;
}

} // namespace comfreypier::testing
