/// Append-only log service with offsets, limited retention and a limit on appends per second.
#include "standins.h"

#include <charconv>

namespace comfreypier::standins {

namespace {

    /// Time after which the fault `hang` closes a connection.
    constexpr std::chrono::seconds hangTime { 30 };
    /// Maximum number of records in the response to one read.
    constexpr size_t maxRecordsPerPage = 2000;

    /// Returns the number in a query parameter of the target, or 0 if it is missing or no number.
    uint64_t parseQueryNumber(const std::string& target, const char* key)
    {
        auto text = transport::queryValue(target, key);
        uint64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

} // namespace

void LogStandin::serve(const HttpRequest& request, ResponseWriter& writer)
{
    if (this->faults.serve(request, writer))
        return;
    auto path = std::string(transport::targetPath(request.target));
    if (path == "/stats") {
        sendBody(writer, 200, "appends=" + std::to_string(this->appendCount) + "\n");
        return;
    }
    if (!path.starts_with("/streams/")) {
        sendBody(writer, 404, "{}");
        return;
    }
    if (this->faults.isEnabled("hang")) {
        transport::sleepFor(hangTime);
        writer.abort();
        return;
    }
    transport::sleepFor(std::chrono::milliseconds { static_cast<int>(this->faults.get("slow_ms")) });
    if (this->faults.isEnabled("outage")) {
        sendBody(writer, 503, "{}");
        return;
    }
    auto stream = path.substr(9); // After `/streams/`.
    if (request.method == "POST")
        this->append(stream, request, writer);
    else
        this->read(stream, request, writer);
}

bool LogStandin::allowAppend()
{
    auto now = transport::monotonicNow();
    if (now - this->rateWindowStart > std::chrono::seconds { 1 }) {
        this->rateWindowStart = now;
        this->rateWindowAppends = 0;
    }
    return ++this->rateWindowAppends <= static_cast<uint64_t>(this->faults.get("appends_per_second"));
}

void LogStandin::append(const std::string& streamName, const HttpRequest& request, ResponseWriter& writer)
{
    uint64_t offset = 0;
    {
        std::unique_lock lock(this->mutex);
        if (!this->allowAppend()) {
            lock.unlock();
            sendBody(writer, 429, "{}");
            return;
        }
        auto& stream = this->streams[streamName];
        offset = stream.endOffset();
        stream.records.push_back(request.body);
        this->appendCount++;
        auto retention = static_cast<size_t>(this->faults.get("retention"));
        while (retention > 0 && stream.records.size() > retention) {
            stream.records.pop_front();
            stream.firstOffset++;
        }
    }
    this->appended.notify_all();
    if (this->faults.occurs("lose_answers"))
        writer.abort();
    else
        sendBody(writer, 200, std::to_string(offset));
}

void LogStandin::read(const std::string& streamName, const HttpRequest& request, ResponseWriter& writer)
{
    auto from = parseQueryNumber(request.target, "from");
    auto wait = std::chrono::milliseconds { parseQueryNumber(request.target, "wait_ms") };
    protocol::LogPage page;
    {
        std::unique_lock lock(this->mutex);
        auto& stream = this->streams[streamName];
        this->appended.wait_for(lock, wait, [&] { return stream.endOffset() > from || this->faults.isEnabled("outage"); });
        page.first = stream.firstOffset;
        page.end = stream.endOffset();
        for (auto offset = std::max(from, stream.firstOffset); offset < stream.endOffset() && page.records.size() < maxRecordsPerPage; offset++)
            page.records.push_back({ offset, stream.records[offset - stream.firstOffset] });
    }
    if (this->faults.isEnabled("outage"))
        sendBody(writer, 503, "{}");
    else
        sendBody(writer, 200, protocol::encodeLogPage(page));
}

} // namespace comfreypier::standins
