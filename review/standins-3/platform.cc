/// Stand-ins of the platform, each in a process of its own:
///   platform store PORT
///     The store with its log: append, read, newest.
///   platform worker ID SERVICE PORT STORE_PORT [MODEL]
///     A worker. With a model it is an engine that holds it, else a plain service.
#include "standin.hpp"

#include <algorithm>
#include <condition_variable>
#include <set>

using namespace review;

namespace {

std::string encodeBase64(const std::string& bytes)
{
    constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t group = 0;
        for (size_t j = 0; j < 3; j++)
            group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        for (size_t j = 0; j < 4; j++)
            text += i + j > bytes.size() ? '=' : digits[group >> (18 - 6 * j) & 63];
    }
    return text;
}

std::string escapeJson(const std::string& text)
{
    std::string out;
    for (char c : text) {
        if (c == '"' || c == '\\')
            out += '\\';
        out += c;
    }
    return out;
}

class Store {
public:
    bool serve(int socket, const Message& request)
    {
        auto path = request.path();
        if (path == "/v1/log-append")
            return this->append(socket, request);
        if (path == "/v1/log-read")
            return this->read(socket, request);
        if (path == "/v1/log-newest")
            return this->readNewest(socket, request);
        return this->answer(socket, 404, "");
    }

private:
    struct Entry {
        std::string key;
        std::string value;
    };

    bool answer(int socket, int status, const std::string& body) { return writeAll(socket, formatAnswer(status, { { "Store-Era", "1" }, { "Content-Type", "application/json" } }, body)); }

    bool append(int socket, const Message& request)
    {
        int status = 200;
        std::string body;
        {
            std::lock_guard lock(this->mutex);
            auto& log = this->topics[request.query("topic")];
            auto at = request.query("at");
            auto offset = log.size();
            if (!at.empty() && std::stoull(at) != offset)
                status = 412;
            std::string_view bytes = request.body;
            while (status == 200 && bytes.size() >= 4) {
                auto length = readBigEndian(bytes, 4);
                auto record = bytes.substr(0, length);
                bytes.remove_prefix(record.size());
                auto keyLength = readBigEndian(record, 1);
                log.push_back({ std::string(record.substr(0, keyLength)), std::string(record.substr(keyLength)) });
            }
            body = "{\"offset\":" + std::to_string(offset) + ",\"end\":" + std::to_string(log.size()) + "}";
        }
        this->changed.notify_all();
        return this->answer(socket, status, body);
    }

    bool read(int socket, const Message& request)
    {
        auto from = std::stoull(request.query("from"));
        auto wait = request.query("max-wait-ms");
        auto deadline = Clock::now() + milliseconds { wait.empty() ? 0 : std::stoll(wait) };
        std::string body;
        bool expired = false;
        {
            std::unique_lock lock(this->mutex);
            auto& log = this->topics[request.query("topic")];
            expired = from > log.size();
            this->changed.wait_until(lock, deadline, [&] { return expired || log.size() > from; });
            appendBigEndian(body, log.size(), 8);
            appendBigEndian(body, 0, 8);
            for (size_t i = from; !expired && i < std::min<size_t>(log.size(), from + 1024); i++) {
                appendBigEndian(body, 1 + log[i].key.size() + log[i].value.size(), 4);
                appendBigEndian(body, log[i].key.size(), 1);
                body += log[i].key + log[i].value;
            }
        }
        return expired ? this->answer(socket, 410, "{\"first\":0}") : this->answer(socket, 200, body);
    }

    bool readNewest(int socket, const Message& request)
    {
        constexpr size_t maxItems = 500;
        auto after = request.query("after");
        std::string items;
        bool hasMore = false;
        size_t end = 0;
        {
            std::lock_guard lock(this->mutex);
            const auto& log = this->topics[request.query("topic")];
            end = log.size();
            std::map<std::string, size_t> newest;
            for (size_t i = 0; i < log.size(); i++)
                newest[log[i].key] = i;
            std::erase_if(newest, [&log](const auto& item) { return log[item.second].value.empty(); });
            size_t count = 0;
            for (auto item = after.empty() ? newest.begin() : newest.upper_bound(after); item != newest.end() && !hasMore; ++item) {
                hasMore = count++ == maxItems;
                if (!hasMore)
                    items += std::string(items.empty() ? "" : ",") + "{\"key\":\"" + escapeJson(item->first) + "\",\"value\":\"" + encodeBase64(log[item->second].value) + "\",\"offset\":" + std::to_string(item->second) + "}";
            }
        }
        return this->answer(socket, 200, "{\"items\":[" + items + "],\"has-more\":" + (hasMore ? "true" : "false") + ",\"end\":" + std::to_string(end) + "}");
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::vector<Entry>> topics;
};

/// Returns the text or number of a field in a flat JSON object.
std::string findField(const std::string& json, const std::string& name)
{
    auto at = json.find("\"" + name + "\":");
    if (at == std::string::npos)
        return "";
    at += name.size() + 3;
    if (json[at] == '"')
        return json.substr(at + 1, json.find('"', at + 1) - at - 1);
    return json.substr(at, json.find_first_of(",}", at) - at);
}

/// Tells on standard output that a worker begins to run a request.
void reportRun(const std::string& attempt)
{
    auto line = "runs " + attempt + " at " + std::to_string(wallMilliseconds()) + "\n";
    [[maybe_unused]] auto written = ::write(STDOUT_FILENO, line.data(), line.size());
}

class Worker {
public:
    Worker(std::string id, std::string service, uint16_t port, const std::string& model)
        : id(std::move(id))
        , service(std::move(service))
        , port(port)
        , isEngine(!model.empty())
    {
        if (this->isEngine)
            this->models.insert(model);
    }

    std::string entry()
    {
        std::lock_guard lock(this->mutex);
        return "{\"service\":\"" + this->service + "\",\"addr\":\"" + loopback + ":" + std::to_string(this->port) + "\",\"zone\":\"delta-tanta\",\"version\":\"v1\",\"slots\":" + (this->isEngine ? "64" : "6")
            + ",\"state\":\"ready\",\"cold-left-ms\":0,\"born\":" + std::to_string(this->bornAt) + ",\"stage\":\"unified\",\"models\":" + this->modelsJson() + ",\"seq\":" + std::to_string(++this->beats) + "}";
    }

    bool serve(int socket, const Message& request)
    {
        auto expected = request.header("Expect-Instance");
        if (!expected.empty() && expected != this->id)
            return writeAll(socket, formatAnswer(421, { { "Instance-Id", this->id }, { "Not-Executed", "1" }, { "Attempt-Id", request.header("Attempt-Id") } }, ""));
        auto path = request.path();
        if (path == "/v1/report")
            return this->report(socket);
        if (path == "/v1/order")
            return this->order(socket, request);
        return this->isEngine ? this->generate(socket, request) : this->run(socket, request);
    }

private:
    std::string modelsJson() const
    {
        std::string list;
        for (const auto& model : this->models)
            list += std::string(list.empty() ? "" : ",") + "{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}";
        return "[" + list + "]";
    }

    bool report(int socket)
    {
        std::string body;
        {
            std::lock_guard lock(this->mutex);
            std::string runs;
            for (const auto& run : this->runs)
                runs += std::string(runs.empty() ? "" : ",") + "[\"" + escapeJson(run) + "\",0,0,5]";
            body = "{\"stage\":\"unified\",\"born\":" + std::to_string(this->bornAt) + ",\"models\":" + this->modelsJson() + ",\"busy\":false,\"seq\":" + std::to_string(this->ordersAccepted)
                + ",\"queued\":" + std::to_string(this->waiting) + ",\"running\":" + std::to_string(this->runs.size()) + ",\"kv-used\":0,\"kv-total\":232000,\"handles\":0,\"runs\":[" + runs + "]}";
        }
        return writeAll(socket, formatAnswer(200, { { "Content-Type", "application/json" } }, body));
    }

    bool order(int socket, const Message& request)
    {
        int status = 202;
        {
            std::lock_guard lock(this->mutex);
            auto fence = findField(request.body, "fence");
            auto expectedCount = findField(request.body, "expected");
            auto model = findField(request.body, "model");
            auto number = fence.empty() ? 0 : std::stoull(fence);
            if (fence.empty() || findField(request.body, "holder").empty() || !findField(request.body, "adapter").empty())
                status = 400;
            else if (number < this->highestFence)
                status = 412;
            else if (!expectedCount.empty() && std::stoull(expectedCount) != this->ordersAccepted)
                status = 409;
            else {
                this->highestFence = number;
                this->ordersAccepted++;
                if (findField(request.body, "op-kind") == "load")
                    this->models.insert(model);
                else
                    this->models.erase(model);
            }
        }
        return writeAll(socket, formatAnswer(status, { { "Content-Type", "application/json" } }, ""));
    }

    /// Runs a request of a plain service.
    bool run(int socket, const Message& request)
    {
        constexpr milliseconds workTime { 30 };
        reportRun(request.header("Attempt-Id"));
        sleepFor(workTime);
        return writeAll(socket, formatAnswer(200, { { "Attempt-Id", request.header("Attempt-Id") }, { "Server-Seal", "seal." + this->id } }, "done by " + this->id + "\n"));
    }

    /// Returns whether the sender of a request has closed its connection.
    static bool hasLeft(int socket)
    {
        char byte = 0;
        auto count = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /// Answers with a stream of events. Prompts are read one after the other.
    bool generate(int socket, const Message& request)
    {
        constexpr double tokensPerMillisecond = 38.7;
        constexpr int events = 13;
        constexpr milliseconds eventTime { 22 };
        auto attempt = request.header("Attempt-Id");
        auto model = request.header("Model");
        auto tokens = std::atoi(request.header("Token-Count").c_str());
        {
            std::unique_lock lock(this->mutex);
            if (!this->models.contains(model)) {
                lock.unlock();
                return writeAll(socket, formatAnswer(421, { { "Instance-Id", this->id }, { "Not-Executed", "1" }, { "Attempt-Id", attempt } }, ""));
            }
            this->waiting++;
        }
        bool left = false;
        {
            std::lock_guard lock(this->prefill);
            left = hasLeft(socket);
            if (!left)
                sleepFor(milliseconds { static_cast<int64_t>(tokens / tokensPerMillisecond) });
        }
        {
            std::lock_guard lock(this->mutex);
            this->waiting--;
            if (!left)
                this->runs.insert(attempt);
        }
        if (left)
            return false;
        reportRun(attempt);
        bool open = writeAll(socket, "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Seal: seal." + this->id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; open && i <= events; i++) {
            auto event = "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) + " of " + attempt + "\n\n";
            std::ostringstream chunk;
            chunk << std::hex << event.size() << "\r\n"
                  << event << "\r\n";
            open = writeAll(socket, chunk.str());
            sleepFor(eventTime);
        }
        {
            std::lock_guard lock(this->mutex);
            this->runs.erase(attempt);
        }
        return open && writeAll(socket, "0\r\n\r\n");
    }

    const std::string id;
    const std::string service;
    const uint16_t port;
    const bool isEngine;
    const int64_t bornAt = wallMilliseconds();
    std::mutex prefill; ///< Held while a prompt is read.
    std::mutex mutex; ///< Guards the members below.
    std::set<std::string> models;
    std::multiset<std::string> runs; ///< Ids of the requests whose events are being made.
    size_t waiting = 0;
    uint64_t ordersAccepted = 0;
    uint64_t highestFence = 0;
    uint64_t beats = 0;
};

int runWorker(const std::vector<std::string>& words)
{
    constexpr milliseconds beatInterval { 1200 };
    auto port = static_cast<uint16_t>(std::stoi(words[4]));
    auto store = static_cast<uint16_t>(std::stoi(words[5]));
    Worker worker(words[2], words[3], port, words.size() > 6 ? words[6] : "");
    int listener = listenOn(port);
    if (listener < 0)
        return ExitNotRun;
    std::thread([&] {
        while (true) {
            writeRecord(store, "keyed.servers", words[2], worker.entry());
            sleepFor(beatInterval);
        }
    }).detach();
    serveConnections(listener, [&worker](int socket, const Message& request) { return worker.serve(socket, request); });
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string> words(argv, argv + argc);
    ::signal(SIGPIPE, SIG_IGN);
    if (words.size() == 3 && words[1] == "store") {
        Store store;
        int listener = listenOn(static_cast<uint16_t>(std::stoi(words[2])));
        if (listener < 0)
            return ExitNotRun;
        serveConnections(listener, [&store](int socket, const Message& request) { return store.serve(socket, request); });
    }
    if (words.size() >= 6 && words[1] == "worker")
        return runWorker(words);
    std::cerr << "usage: platform store PORT | platform worker ID SERVICE PORT STORE_PORT [MODEL]\n";
    return ExitNotRun;
}
