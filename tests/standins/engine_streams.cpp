/// Model engine: completions, batch slots, resumption of streams and their faults.
#include "standins.h"

#include <boost/json.hpp>
#include <charconv>

namespace comfreypier::standins {

namespace {

    /// A request whose body contains this text crashes the engine.
    constexpr const char* crashMarker = "CRASH-ENGINE";
    /// Length of completions whose request states no maximum.
    constexpr uint32_t defaultMaxTokens = 16;
    /// Interval at which a silent stream checks whether its caller has disconnected.
    constexpr std::chrono::milliseconds silencePollInterval { 50 };
    /// Interval at which a request that waits for a slot checks whether its caller has disconnected.
    constexpr std::chrono::milliseconds slotPollInterval { 50 };

    /// Returns the decimal number at the start of `text`, or 0 if there is none.
    uint64_t parseNumber(std::string_view text)
    {
        uint64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

    /// Returns the server-sent event of one token, in the format of chat or plain completions. Its id is the token's index, from
    /// which a stream resumes.
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
    std::string item; ///< Model or adapter that serves it.
    uint64_t contentHash = 0; ///< Hash of the request's body, from which the tokens are made.
    uint64_t firstToken = 1; ///< Index of the first token to send; above 1 for a resumed stream.
    uint64_t maxTokens = 0; ///< Index of the last token.
    bool chat = false; ///< Events are in the format of chat completions.
    bool streamed = false; ///< The response is a stream of events instead of one body.
    uint64_t incarnation = 0; ///< The engine's incarnation when the request arrived.
    std::chrono::nanoseconds startedAt { 0 }; ///< Time at which the request arrived.
};

bool EngineStandin::waitForSlot(int priority, uint64_t expectedIncarnation, ResponseWriter& writer)
{
    std::unique_lock lock(this->mutex);
    auto waitingEntry = this->waitingPriorities.insert(priority);
    bool callerDisconnected = false;
    while (!callerDisconnected) {
        if (this->incarnation != expectedIncarnation)
            return false;
        bool mayStart = this->runningRequests < this->config.slots && *this->waitingPriorities.rbegin() <= priority;
        if (mayStart)
            break;
        this->slotFreed.wait_for(lock, slotPollInterval);
        callerDisconnected = writer.isCallerGone();
    }
    if (this->incarnation != expectedIncarnation)
        return false; // The crash has removed all entries, so `waitingEntry` is invalid.
    this->waitingPriorities.erase(waitingEntry);
    if (!callerDisconnected)
        this->runningRequests++;
    return !callerDisconnected;
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
    stream.maxTokens = parsed.value().maxTokens > 0 ? parsed.value().maxTokens : defaultMaxTokens;
    stream.chat = transport::targetPath(request.target) == "/v1/chat/completions";
    stream.streamed = parsed.value().stream;
    stream.startedAt = transport::monotonicNow();
    {
        std::unique_lock lock(this->mutex);
        auto item = this->items.find(stream.item);
        if (item == this->items.end() || !item->second.loaded) {
            lock.unlock();
            sendBody(writer, 404, R"({"error":"not loaded"})");
            return;
        }
        item->second.runningRequests++;
        stream.incarnation = this->incarnation;
        this->completions++;
    }
    int priority = static_cast<int>(parseNumber(transport::findHeader(request.headers, "X-Priority")));
    bool started = this->waitForSlot(priority, stream.incarnation, writer);
    if (started && request.body.find(crashMarker) != std::string::npos)
        this->crash();
    if (started)
        this->runStream(stream, writer);
    else
        writer.abort();
    std::unique_lock lock(this->mutex);
    if (this->incarnation != stream.incarnation)
        return; // The crash has reset the counts.
    this->runningRequests -= started;
    auto item = this->items.find(stream.item);
    if (item != this->items.end())
        item->second.runningRequests--;
    lock.unlock();
    this->slotFreed.notify_all();
}

void EngineStandin::runStream(const Stream& stream, ResponseWriter& writer)
{
    auto gap = std::chrono::microseconds { static_cast<int64_t>(static_cast<double>(this->config.tokenGap.count()) * this->faults.get("slow_factor")) };
    transport::sleepFor(stream.firstToken > 1 ? this->config.prefillTime / 4 : this->config.prefillTime);
    auto requestId = this->faults.isEnabled("cross") ? "crossed-" + stream.requestId : stream.requestId;
    if (stream.streamed)
        writer.startStream(200, { { "Content-Type", "text/event-stream" }, { "X-Request-Id", stream.requestId } });
    std::string allText;
    for (auto index = stream.firstToken; index <= stream.maxTokens; index++) {
        if (index > stream.firstToken && gap.count() > 0)
            transport::sleepFor(gap);
        while (stream.startedAt < this->silentIfStartedBefore && !writer.isCallerGone())
            transport::sleepFor(silencePollInterval);
        if (this->incarnation != stream.incarnation || writer.isCallerGone()) {
            writer.abort();
            return;
        }
        auto text = tokenText(stream.contentHash, index);
        allText += text;
        if (stream.streamed)
            writer.writeChunk(tokenEvent(stream.chat, requestId, index, text));
    }
    if (!stream.streamed) {
        sendBody(writer, 200, R"({"id":")" + requestId + R"(","choices":[{"index":0,"text":")" + allText + "\"}]}");
        return;
    }
    writer.writeChunk("data: [DONE]\n\n");
    writer.finishStream();
}

} // namespace comfreypier::standins
