/// Model engine: completions, batch slots, resumption and the faults of streams.
#include "standins.h"

#include <boost/json.hpp>
#include <charconv>

namespace comfreypier::standins {

namespace {

    constexpr const char* crashMark = "CRASH-ENGINE";
    constexpr uint32_t defaultTokens = 16;
    constexpr std::chrono::milliseconds silentPoll { 50 };
    constexpr std::chrono::milliseconds slotWait { 50 };

    uint64_t parseNumber(std::string_view text)
    {
        uint64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

    std::string tokenEvent(bool chat, const std::string& requestId, uint64_t index, const std::string& text)
    {
        std::string event = "id: ";
        event += std::to_string(index);
        event += "\ndata: {\"id\":\"";
        event += requestId;
        event += chat ? R"(","choices":[{"index":0,"delta":{"content":")" : R"(","choices":[{"index":0,"text":")";
        event += text;
        event += chat ? "\"}}]}\n\n" : "\"}]}\n\n";
        return event;
    }

} // namespace

std::string tokenText(uint64_t contentHash, uint64_t index)
{
    auto text = std::to_string(contentHash) + "/" + std::to_string(index);
    return " w" + std::to_string(protocol::contentHash(text) % 100000);
}

/// One completion in progress.
struct EngineStandin::Stream {
    std::string requestId;
    std::string item;
    uint64_t contentHash = 0;
    uint64_t firstToken = 1;
    uint64_t tokens = 0;
    bool chat = false;
    bool streamed = false;
    uint64_t incarnation = 0;
    std::chrono::nanoseconds start { 0 };
};

bool EngineStandin::waitForSlot(int priority, uint64_t incarnationThen, ResponseWriter& writer)
{
    std::unique_lock lock(this->mutex);
    auto place = this->waiting.insert(priority);
    bool gone = false;
    while (!gone) {
        if (this->incarnation != incarnationThen)
            return false;
        bool turn = this->running < this->config.slots && *this->waiting.rbegin() <= priority;
        if (turn)
            break;
        this->slotFreed.wait_for(lock, slotWait);
        gone = writer.isCallerGone();
    }
    if (this->incarnation != incarnationThen)
        return false;
    this->waiting.erase(place);
    if (!gone)
        this->running++;
    return !gone;
}

void EngineStandin::serveCompletion(const HttpRequest& request, ResponseWriter& writer)
{
    auto parsed = protocol::parseCompletion(request.body);
    if (!parsed) {
        sendBody(writer, 400, R"({"error":"bad request"})");
        return;
    }
    Stream stream;
    stream.requestId = std::string(transport::findHeader(request.headers, "X-Request-Id"));
    stream.item = std::string(transport::findHeader(request.headers, "X-Item"));
    stream.contentHash = parsed.value().contentHash;
    stream.firstToken = parseNumber(transport::findHeader(request.headers, "Last-Event-ID")) + 1;
    stream.tokens = parsed.value().maxTokens > 0 ? parsed.value().maxTokens : defaultTokens;
    stream.chat = transport::targetPath(request.target) == "/v1/chat/completions";
    stream.streamed = parsed.value().stream;
    stream.start = transport::monotonicNow();
    {
        std::unique_lock lock(this->mutex);
        auto item = this->items.find(stream.item);
        if (item == this->items.end() || !item->second.loaded) {
            lock.unlock();
            sendBody(writer, 404, R"({"error":"not loaded"})");
            return;
        }
        item->second.running++;
        stream.incarnation = this->incarnation;
        this->completions++;
    }
    int priority = static_cast<int>(parseNumber(transport::findHeader(request.headers, "X-Priority")));
    bool started = this->waitForSlot(priority, stream.incarnation, writer);
    if (started && request.body.find(crashMark) != std::string::npos)
        this->crash();
    if (started)
        this->runStream(stream, writer);
    else
        writer.abort();
    std::unique_lock lock(this->mutex);
    if (this->incarnation != stream.incarnation)
        return;
    this->running -= started;
    auto item = this->items.find(stream.item);
    if (item != this->items.end())
        item->second.running--;
    lock.unlock();
    this->slotFreed.notify_all();
}

void EngineStandin::runStream(const Stream& stream, ResponseWriter& writer)
{
    auto gap = std::chrono::microseconds { static_cast<int64_t>(static_cast<double>(this->config.tokenGap.count()) * this->faults.get("slow_factor")) };
    transport::sleepFor(stream.firstToken > 1 ? this->config.prefill / 4 : this->config.prefill);
    auto requestId = this->faults.on("cross") ? "crossed-" + stream.requestId : stream.requestId;
    if (stream.streamed)
        writer.startStream(200, { { "Content-Type", "text/event-stream" }, { "X-Request-Id", stream.requestId } });
    std::string whole;
    for (auto index = stream.firstToken; index <= stream.tokens; index++) {
        if (index > stream.firstToken && gap.count() > 0)
            transport::sleepFor(gap);
        while (stream.start < this->silentBefore && !writer.isCallerGone())
            transport::sleepFor(silentPoll);
        if (this->incarnation != stream.incarnation || writer.isCallerGone()) {
            writer.abort();
            return;
        }
        auto text = tokenText(stream.contentHash, index);
        whole += text;
        if (stream.streamed)
            writer.writeChunk(tokenEvent(stream.chat, requestId, index, text));
    }
    if (!stream.streamed) {
        sendBody(writer, 200, R"({"id":")" + requestId + R"(","choices":[{"index":0,"text":")" + whole + "\"}]}");
        return;
    }
    writer.writeChunk("data: [DONE]\n\n");
    writer.finishStream();
}

} // namespace comfreypier::standins
