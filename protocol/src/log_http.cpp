/// The platform's log service over HTTP: framed records, long-polled reads.
#include "protocol_p.h"

#include <charconv>
#include <cstring>

namespace comfreypier::protocol {

namespace {

    constexpr std::chrono::milliseconds appendTimeout { 2000 };
    constexpr std::chrono::milliseconds readSlack { 2000 };
    constexpr uint64_t pageSizeLimit = 64ULL * 1024 * 1024;
    constexpr size_t frameHeadSize = 12;

    void putInteger(std::string& out, uint64_t value, size_t size)
    {
        for (size_t i = 0; i < size; i++)
            out.push_back(static_cast<char>(value >> (8 * i)));
    }

    uint64_t getInteger(std::string_view bytes, size_t size)
    {
        uint64_t value = 0;
        for (size_t i = 0; i < size; i++)
            value |= static_cast<uint64_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
        return value;
    }

    LogError toLogError(transport::IoError error)
    {
        return transport::isConnectError(error) ? LogError::Unavailable : LogError::NoAnswer;
    }

    Result<Offset, LogError> append(transport::HttpClient& client, const transport::Endpoint& endpoint, std::string_view stream, std::string_view bytes)
    {
        transport::HttpRequest request { "POST", "/streams/" + std::string(stream), {}, std::string(bytes) };
        transport::CallLimits limits;
        limits.response = appendTimeout;
        auto response = client.call(endpoint, request, limits);
        if (!response)
            return toLogError(response.error());
        if (response.value().status == 503 || response.value().status == 429)
            return LogError::Unavailable;
        if (response.value().status != 200)
            return LogError::NoAnswer;
        Offset offset = 0;
        const auto& body = response.value().body;
        auto [end, error] = std::from_chars(body.data(), body.data() + body.size(), offset);
        if (error != std::errc {})
            return LogError::NoAnswer;
        return offset;
    }

    Result<LogPage, LogError> read(transport::HttpClient& client, const transport::Endpoint& endpoint, std::string_view stream, Offset from, std::chrono::milliseconds wait)
    {
        auto target = "/streams/" + std::string(stream) + "?from=" + std::to_string(from) + "&wait_ms=" + std::to_string(wait.count());
        transport::CallLimits limits;
        limits.response = wait + readSlack;
        limits.maxBodyBytes = pageSizeLimit;
        auto response = client.call(endpoint, { "GET", target, {}, {} }, limits);
        if (!response || response.value().status != 200)
            return LogError::Unavailable;
        auto page = decodeLogPage(response.value().body);
        if (!page)
            return LogError::Invalid;
        return std::move(*page);
    }

} // namespace

const char* name(LogError error)
{
    constexpr std::array<const char*, static_cast<size_t>(LogError::Count)> names { "unavailable", "no_answer", "invalid" };
    return names[static_cast<size_t>(error)];
}

std::string encodeLogPage(const LogPage& page)
{
    std::string out;
    putInteger(out, page.first, 8);
    putInteger(out, page.end, 8);
    for (const auto& record : page.records) {
        putInteger(out, record.offset, 8);
        putInteger(out, record.bytes.size(), 4);
        out += record.bytes;
    }
    return out;
}

std::optional<LogPage> decodeLogPage(std::string_view bytes)
{
    if (bytes.size() < 16)
        return std::nullopt;
    LogPage page;
    page.first = getInteger(bytes, 8);
    page.end = getInteger(bytes.substr(8), 8);
    bytes.remove_prefix(16);
    while (!bytes.empty()) {
        if (bytes.size() < frameHeadSize)
            return std::nullopt;
        auto offset = getInteger(bytes, 8);
        auto size = getInteger(bytes.substr(8), 4);
        bytes.remove_prefix(frameHeadSize);
        if (bytes.size() < size)
            return std::nullopt;
        page.records.push_back({ offset, std::string(bytes.substr(0, size)) });
        bytes.remove_prefix(size);
    }
    return page;
}

LogService makeHttpLog(transport::HttpClient& client, const transport::Endpoint& endpoint)
{
    LogService service;
    service.append = [&client, endpoint](std::string_view stream, std::string_view bytes) { return append(client, endpoint, stream, bytes); };
    service.read = [&client, endpoint](std::string_view stream, Offset from, std::chrono::milliseconds wait) { return read(client, endpoint, stream, from, wait); };
    return service;
}

} // namespace comfreypier::protocol
