/// HTTP client of the platform's log service. Records are framed by offset and size; reads use long polling.
#include "protocol_p.h"

#include <cstring>

namespace comfreypier::protocol {

namespace {

    constexpr std::chrono::milliseconds appendTimeout { 2000 };
    /// Time that the service may take to answer a read, beyond the requested wait.
    constexpr std::chrono::milliseconds readTimeoutSlack { 2000 };
    /// Maximum size of the response to one read.
    constexpr uint64_t maxPageBytes = 64ULL * 1024 * 1024;
    /// Size of the header before each record: offset (8 bytes) and size (4 bytes).
    constexpr size_t frameHeaderBytes = 12;

    /// Appends the low `size` bytes of `value` in little-endian order.
    void appendInteger(std::string& out, uint64_t value, size_t size)
    {
        for (size_t i = 0; i < size; i++)
            out.push_back(static_cast<char>(value >> (8 * i)));
    }

    /// Reads a little-endian integer of `size` bytes at the start of `bytes`.
    uint64_t readInteger(std::string_view bytes, size_t size)
    {
        uint64_t value = 0;
        for (size_t i = 0; i < size; i++)
            value |= static_cast<uint64_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
        return value;
    }

    /// Maps the error of an append.
    LogError toLogError(transport::IoError error)
    {
        return transport::isConnectError(error) ? LogError::Unavailable : LogError::NoAnswer;
    }

    /// See `LogService::append`. Reports `Unavailable` only if the record was certainly not appended.
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
        auto offset = transport::parseNumber<Offset>(trim(response.value().body));
        if (!offset)
            return LogError::NoAnswer;
        return *offset;
    }

    /// See `LogService::read`.
    Result<LogPage, LogError> read(transport::HttpClient& client, const transport::Endpoint& endpoint, std::string_view stream, Offset from, std::chrono::milliseconds wait)
    {
        auto target = "/streams/" + std::string(stream) + "?from=" + std::to_string(from) + "&wait_ms=" + std::to_string(wait.count());
        transport::CallLimits limits;
        limits.response = wait + readTimeoutSlack;
        limits.maxBodyBytes = maxPageBytes;
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
    appendInteger(out, page.first, 8);
    appendInteger(out, page.end, 8);
    for (const auto& record : page.records) {
        appendInteger(out, record.offset, 8);
        appendInteger(out, record.bytes.size(), 4);
        out += record.bytes;
    }
    return out;
}

std::optional<LogPage> decodeLogPage(std::string_view bytes)
{
    // The page begins with `first` and `end`, 8 bytes each.
    if (bytes.size() < 16)
        return std::nullopt;
    LogPage page;
    page.first = readInteger(bytes, 8);
    page.end = readInteger(bytes.substr(8), 8);
    bytes.remove_prefix(16);
    while (!bytes.empty()) {
        if (bytes.size() < frameHeaderBytes)
            return std::nullopt;
        auto offset = readInteger(bytes, 8);
        auto size = readInteger(bytes.substr(8), 4);
        bytes.remove_prefix(frameHeaderBytes);
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
