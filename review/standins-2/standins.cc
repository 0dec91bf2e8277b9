#include "standins.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

    const Clock::time_point processStart = Clock::now();
    std::string temporaryFolder; ///< Of the process; empty if there is none.

    sockaddr_in loopback(uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    int openSocket()
    {
        int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (fd < 0)
            failToRun(std::string("no socket can be opened: ") + std::strerror(errno));
        return fd;
    }

    /// @return the descriptor, or -1 on failure.
    int openListener(uint16_t& port)
    {
        int fd = openSocket();
        int on = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = loopback(port);
        socklen_t size = sizeof address;
        if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) < 0 || ::listen(fd, 1024) < 0) {
            ::close(fd);
            return -1;
        }
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
        port = ntohs(address.sin_port);
        return fd;
    }

    std::string encodeHeaders(const std::vector<Header>& headers)
    {
        std::string text;
        for (const auto& header : headers)
            text += header.name + ": " + header.value + "\r\n";
        return text;
    }

    std::string toBase64(const std::string& text)
    {
        constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (size_t i = 0; i < text.size(); i += 3) {
            uint32_t bits = 0;
            for (size_t k = 0; k < 3; k++)
                bits = bits << 8 | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
            for (size_t k = 0; k < 4; k++)
                out.push_back(i + k <= text.size() ? digits[bits >> (18 - 6 * k) & 63] : '=');
        }
        return out;
    }

    void appendNumber(std::string& out, uint64_t number, int bytes)
    {
        for (int i = bytes; i-- > 0;)
            out.push_back(static_cast<char>(number >> (8 * i)));
    }

    uint64_t readNumber(std::string_view bytes)
    {
        uint64_t number = 0;
        for (unsigned char byte : bytes)
            number = number << 8 | byte;
        return number;
    }

    /// Returns the text or number of a field of a flat JSON object.
    std::string jsonField(const std::string& json, const std::string& name)
    {
        auto start = json.find("\"" + name + "\":");
        if (start == std::string::npos)
            return "";
        start += name.size() + 3;
        bool isText = json[start] == '"';
        start += isText ? 1 : 0;
        return json.substr(start, json.find_first_of(isText ? "\"" : ",}", start) - start);
    }

    int64_t wallMs()
    {
        return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

} // namespace

void failToRun(const std::string& reason)
{
    std::cerr << "the case could not run: " << reason << "\n";
    std::error_code ignored;
    if (!temporaryFolder.empty())
        std::filesystem::remove_all(temporaryFolder, ignored);
    std::_Exit(ExitNotRun);
}

int64_t elapsedMs()
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - processStart).count();
}

void sleepFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

bool isCalm()
{
    const char* trouble = std::getenv("TROUBLE");
    return trouble != nullptr && std::string_view(trouble) == "0";
}

Record::Record(const std::string& path)
    : file(path, std::ios::trunc)
{
    if (!this->file)
        failToRun(path + " cannot be written");
}

void Record::write(const std::string& line, bool shown)
{
    std::lock_guard lock(this->mutex);
    this->file << elapsedMs() << " " << line << "\n"
               << std::flush;
    if (shown)
        std::cout << elapsedMs() << " " << line << std::endl;
}

std::string Message::header(std::string_view name) const
{
    for (const auto& header : this->headers) {
        if (header.name.size() == name.size() && strncasecmp(header.name.data(), name.data(), name.size()) == 0)
            return header.value;
    }
    return "";
}

std::string Message::query(std::string_view name) const
{
    auto question = this->target.find('?');
    if (question == std::string::npos)
        return "";
    std::istringstream query(this->target.substr(question + 1));
    for (std::string pair; std::getline(query, pair, '&');) {
        auto equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string::npos ? "" : pair.substr(equals + 1);
    }
    return "";
}

std::string Message::path() const
{
    return this->target.substr(0, this->target.find('?'));
}

Connection::Connection(int descriptor)
    : fd(descriptor)
{
    int on = 1;
    ::setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection()
{
    ::close(this->fd);
}

std::unique_ptr<Connection> Connection::open(uint16_t port, int receiveBuffer)
{
    int fd = openSocket();
    if (receiveBuffer > 0)
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    auto address = loopback(port);
    auto connection = std::make_unique<Connection>(fd);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) < 0)
        return nullptr;
    return connection;
}

bool Connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        auto sent = ::send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
}

bool Connection::receive(Clock::time_point deadline)
{
    auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
    pollfd waiting { this->fd, POLLIN, 0 };
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0)
        return false;
    char bytes[16 * 1024];
    auto count = ::recv(this->fd, bytes, sizeof bytes, 0);
    if (count <= 0)
        return false;
    this->buffer.append(bytes, static_cast<size_t>(count));
    return true;
}

std::optional<std::string> Connection::readLine(Clock::time_point deadline)
{
    size_t end = 0;
    while ((end = this->buffer.find("\r\n")) == std::string::npos) {
        if (!this->receive(deadline))
            return std::nullopt;
    }
    auto line = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 2);
    return line;
}

std::optional<std::string> Connection::readBytes(size_t count, Clock::time_point deadline)
{
    while (this->buffer.size() < count) {
        if (!this->receive(deadline))
            return std::nullopt;
    }
    auto bytes = this->buffer.substr(0, count);
    this->buffer.erase(0, count);
    return bytes;
}

bool Connection::readHead(std::string& firstLine, std::vector<Header>& headers, Clock::time_point deadline)
{
    auto line = this->readLine(deadline);
    if (!line)
        return false;
    firstLine = *line;
    while ((line = this->readLine(deadline))) {
        if (line->empty())
            return true;
        auto colon = line->find(':');
        if (colon == std::string::npos)
            return false;
        auto value = line->substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        headers.push_back({ line->substr(0, colon), value });
    }
    return false;
}

bool Connection::isClosed() const
{
    char byte = 0;
    auto count = ::recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::shutDown()
{
    ::shutdown(this->fd, SHUT_RDWR);
}

HttpServer::HttpServer(Handler handler)
    : handler(std::move(handler))
{
}

HttpServer::~HttpServer()
{
    this->stop();
}

bool HttpServer::start(uint16_t port)
{
    this->listenPort = port;
    int opened = openListener(this->listenPort);
    if (opened < 0)
        return false;
    this->listener = opened;
    {
        std::lock_guard lock(this->mutex);
        this->threads++;
    }
    std::thread([this, opened] { this->accept(opened); }).detach();
    return true;
}

void HttpServer::accept(int listener)
{
    while (true) {
        int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            break;
        auto connection = std::make_shared<Connection>(fd);
        std::lock_guard lock(this->mutex);
        if (this->listener < 0)
            break;
        this->connections.insert(connection);
        this->threads++;
        std::thread([this, connection] { this->serve(connection); }).detach();
    }
    ::close(listener);
    std::lock_guard lock(this->mutex);
    this->threads--;
    this->ended.notify_all();
}

void HttpServer::serve(const std::shared_ptr<Connection>& connection)
{
    constexpr std::chrono::hours idleLimit { 1 };
    while (true) {
        Message request;
        std::string line;
        if (!connection->readHead(line, request.headers, Clock::now() + idleLimit))
            break;
        std::istringstream words(line);
        words >> request.method >> request.target;
        auto length = request.header("Content-Length");
        if (!length.empty()) {
            auto body = connection->readBytes(std::stoul(length), Clock::now() + idleLimit);
            if (!body)
                break;
            request.body = *body;
        }
        if (!this->handler(request, *connection))
            break;
    }
    connection->shutDown();
    std::lock_guard lock(this->mutex);
    this->connections.erase(connection);
    this->threads--;
    this->ended.notify_all();
}

void HttpServer::stop()
{
    int opened = this->listener.exchange(-1);
    if (opened >= 0)
        ::shutdown(opened, SHUT_RDWR);
    std::unique_lock lock(this->mutex);
    for (const auto& connection : this->connections)
        connection->shutDown();
    this->ended.wait(lock, [this] { return this->threads == 0; });
}

bool sendAnswer(Connection& connection, int status, const std::vector<Header>& headers, const std::string& body)
{
    return connection.send("HTTP/1.1 " + std::to_string(status) + " Status\r\n" + encodeHeaders(headers) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

Store::Store()
    : server([this](const Message& request, Connection& connection) { return this->serve(request, connection); })
{
}

void Store::start()
{
    if (!this->server.start())
        failToRun("the store finds no free port");
}

void Store::write(const std::string& topic, const std::string& key, const std::string& value)
{
    std::lock_guard lock(this->mutex);
    this->topics[topic].push_back({ key, value });
    this->appended.notify_all();
}

bool Store::serve(const Message& request, Connection& connection)
{
    auto path = request.path();
    if (path == "/v1/log-append")
        return this->serveAppend(request, connection);
    if (path == "/v1/log-read")
        return this->serveRead(request, connection);
    if (path == "/v1/log-newest")
        return this->serveNewest(request, connection);
    return sendAnswer(connection, 404, { { "Store-Era", "1" } }, "");
}

bool Store::serveAppend(const Message& request, Connection& connection)
{
    std::unique_lock lock(this->mutex);
    auto& items = this->topics[request.query("topic")];
    auto at = request.query("at");
    auto offset = items.size();
    bool applies = at.empty() || std::stoull(at) == offset;
    std::string_view bytes = request.body;
    while (applies && bytes.size() >= 5) {
        auto length = readNumber(bytes.substr(0, 4));
        auto item = bytes.substr(4, length);
        bytes.remove_prefix(4 + item.size());
        auto keyLength = static_cast<unsigned char>(item[0]);
        items.push_back({ std::string(item.substr(1, keyLength)), std::string(item.substr(1 + keyLength)) });
    }
    auto end = items.size();
    this->appended.notify_all();
    lock.unlock();
    auto body = applies ? "{\"offset\":" + std::to_string(offset) + ",\"end\":" + std::to_string(end) + "}" : "{\"end\":" + std::to_string(end) + "}";
    return sendAnswer(connection, applies ? 200 : 412, { { "Content-Type", "application/json" }, { "Store-Era", "1" } }, body);
}

bool Store::serveRead(const Message& request, Connection& connection)
{
    auto from = std::stoull(request.query("from"));
    auto wait = request.query("max-wait-ms");
    auto deadline = Clock::now() + milliseconds { wait.empty() ? 0 : std::stoll(wait) };
    std::unique_lock lock(this->mutex);
    auto& items = this->topics[request.query("topic")];
    // A caller that leaves is noticed after a second at most.
    while (items.size() <= from && Clock::now() < deadline && !connection.isClosed())
        this->appended.wait_until(lock, std::min(deadline, Clock::now() + milliseconds { 1000 }));
    std::string body;
    appendNumber(body, items.size(), 8);
    appendNumber(body, 0, 8);
    for (auto i = from; i < items.size(); i++) {
        appendNumber(body, 1 + items[i].key.size() + items[i].value.size(), 4);
        appendNumber(body, items[i].key.size(), 1);
        body += items[i].key + items[i].value;
    }
    lock.unlock();
    return sendAnswer(connection, 200, { { "Store-Era", "1" } }, body);
}

bool Store::serveNewest(const Message& request, Connection& connection)
{
    std::unique_lock lock(this->mutex);
    const auto& items = this->topics[request.query("topic")];
    std::map<std::string, size_t> newest;
    for (size_t i = 0; i < items.size(); i++)
        newest[items[i].key] = i;
    std::string list;
    for (const auto& [key, offset] : newest) {
        if (!items[offset].value.empty())
            list += (list.empty() ? "" : ",") + ("{\"key\":\"" + key) + "\",\"value\":\"" + toBase64(items[offset].value) + "\",\"offset\":" + std::to_string(offset) + "}";
    }
    auto body = "{\"items\":[" + list + "],\"has-more\":false,\"end\":" + std::to_string(items.size()) + "}";
    lock.unlock();
    return sendAnswer(connection, 200, { { "Content-Type", "application/json" }, { "Store-Era", "1" } }, body);
}

Worker::Worker(Store& store, Record& record, std::string id, std::string service, std::string zone, std::set<std::string> models)
    : store(store)
    , record(record)
    , id(std::move(id))
    , service(std::move(service))
    , zone(std::move(zone))
{
    for (const auto& model : models)
        this->models[model];
}

Worker::~Worker()
{
    this->stopping = true;
    if (this->beatThread.joinable())
        this->beatThread.join();
    if (this->restartThread.joinable())
        this->restartThread.join();
    if (this->server)
        this->server->stop();
}

void Worker::start()
{
    this->server = std::make_unique<HttpServer>([this](const Message& request, Connection& connection) { return this->serve(request, connection); });
    if (!this->server->start(this->port))
        failToRun("worker " + this->id + " finds no free port");
    this->port = this->server->port();
    {
        std::lock_guard lock(this->mutex);
        this->born = wallMs();
        this->prefillEnd = Clock::now();
        this->publish();
    }
    this->down = false;
    if (this->beatThread.joinable())
        return;
    this->beatThread = std::thread([this] {
        constexpr milliseconds beatInterval { 1200 };
        for (auto due = Clock::now(); !this->stopping; sleepFor(milliseconds { 50 })) {
            if (Clock::now() < due || this->down)
                continue;
            due = Clock::now() + beatInterval;
            std::lock_guard lock(this->mutex);
            this->publish();
        }
    });
}

void Worker::crash(milliseconds downtime)
{
    if (this->down.exchange(true))
        return;
    this->record.write("worker " + this->id + " crashes");
    if (this->restartThread.joinable())
        this->restartThread.join();
    this->restartThread = std::thread([this, downtime] {
        this->server->stop();
        {
            // It holds and knows nothing of before.
            std::lock_guard lock(this->mutex);
            this->models.clear();
            this->loadingModel.clear();
            this->ordersAccepted = 0;
            this->highestFence = 0;
        }
        for (auto end = Clock::now() + downtime; Clock::now() < end && !this->stopping; sleepFor(milliseconds { 20 })) { }
        if (this->stopping)
            return;
        this->start();
        this->record.write("worker " + this->id + " is back");
    });
}

std::vector<Run> Worker::runs()
{
    std::lock_guard lock(this->mutex);
    return this->startedRuns;
}

void Worker::completeLoad()
{
    if (this->loadingModel.empty() || Clock::now() < this->loadEnd)
        return;
    this->models[this->loadingModel];
    this->loadingModel.clear();
}

std::string Worker::modelsJson() const
{
    std::string list;
    for (const auto& [model, adapters] : this->models) {
        std::string names;
        for (const auto& adapter : adapters)
            names += (names.empty() ? "\"" : ",\"") + adapter + "\"";
        list += (list.empty() ? "" : ",") + ("{\"name\":\"" + model) + "\",\"version\":1,\"adapters\":[" + names + "]}";
    }
    return "[" + list + "]";
}

void Worker::publish()
{
    this->completeLoad();
    this->store.write("keyed.servers", this->id,
        "{\"service\":\"" + this->service + "\",\"addr\":\"127.0.0.1:" + std::to_string(this->port) + "\",\"zone\":\"" + this->zone + "\",\"version\":\"v1\",\"slots\":" + std::to_string(this->slots)
            + ",\"state\":\"ready\",\"cold-left-ms\":0,\"born\":" + std::to_string(this->born) + ",\"stage\":\"unified\",\"models\":" + this->modelsJson() + ",\"seq\":" + std::to_string(++this->beats) + "}");
}

bool Worker::serve(const Message& request, Connection& connection)
{
    auto expected = request.header("Expect-Instance");
    if (!expected.empty() && expected != this->id)
        return sendAnswer(connection, 421, { { "Instance-Id", this->id } }, "");
    auto path = request.path();
    if (path == "/health")
        return sendAnswer(connection, 200, { { "Instance-Id", this->id } }, "");
    if (path == "/v1/order")
        return this->serveOrder(request, connection);
    if (path == "/v1/report") {
        std::string body;
        {
            std::lock_guard lock(this->mutex);
            this->completeLoad();
            body = "{\"born\":" + std::to_string(this->born) + ",\"stage\":\"unified\",\"models\":" + this->modelsJson() + ",\"busy\":" + (this->loadingModel.empty() ? "false" : "true") + ",\"seq\":" + std::to_string(this->ordersAccepted)
                + ",\"queued\":" + std::to_string(this->prefillingCount) + ",\"running\":0,\"kv-used\":0,\"kv-total\":232000,\"handles\":0}";
        }
        return sendAnswer(connection, 200, { { "Content-Type", "application/json" } }, body);
    }
    if (!request.header("Model").empty())
        return this->serveStream(request, connection);
    auto attempt = request.header("Attempt-Id");
    {
        std::lock_guard lock(this->mutex);
        this->startedRuns.push_back({ attempt, this->id, elapsedMs() });
    }
    sleepFor(this->plainWork);
    auto body = "answer of " + this->id + " to " + attempt;
    auto bytes = request.query("bytes");
    body.resize(std::max(body.size(), bytes.empty() ? size_t { 800 } : std::stoul(bytes)), '.');
    return sendAnswer(connection, 200, { { "Attempt-Id", attempt }, { "Server-Seal", "seal-" + attempt } }, body);
}

bool Worker::serveOrder(const Message& request, Connection& connection)
{
    auto model = jsonField(request.body, "model");
    auto adapter = jsonField(request.body, "adapter");
    bool isLoad = jsonField(request.body, "op-kind") == "load";
    auto fence = std::stoull("0" + jsonField(request.body, "fence"));
    auto expected = jsonField(request.body, "expected");
    int status = 202;
    {
        std::lock_guard lock(this->mutex);
        this->completeLoad();
        bool holds = this->models.contains(model) && (adapter.empty() || this->models[model].contains(adapter));
        if (fence < this->highestFence)
            status = 412;
        else if (!this->loadingModel.empty() || (!expected.empty() && std::stoull(expected) != this->ordersAccepted))
            status = 409;
        else if (holds == isLoad)
            status = 200;
        else {
            this->highestFence = fence;
            this->ordersAccepted++;
            if (adapter.empty() && isLoad) {
                this->loadingModel = model;
                this->loadEnd = Clock::now() + this->loadTime;
            } else if (adapter.empty())
                this->models.erase(model);
            else if (isLoad)
                this->models[model].insert(adapter);
            else
                this->models[model].erase(adapter);
            status = isLoad || adapter.empty() ? 202 : 200;
            this->publish();
        }
    }
    return sendAnswer(connection, status, {}, "");
}

bool Worker::serveStream(const Message& request, Connection& connection)
{
    auto attempt = request.header("Attempt-Id");
    auto model = request.header("Model");
    auto prompt = request.header("Prompt-Prefix");
    auto tokens = std::stod("0" + request.header("Token-Count").substr(0, request.header("Token-Count").find(',')));
    Clock::time_point begin;
    {
        std::lock_guard lock(this->mutex);
        this->completeLoad();
        auto slash = model.find('/');
        auto found = this->models.find(model.substr(0, slash));
        if (found == this->models.end() || (slash != std::string::npos && !found->second.contains(model.substr(slash + 1)))) {
            return sendAnswer(connection, 421, { { "Attempt-Id", attempt }, { "Not-Executed", "1" } }, "");
        }
        this->prefillEnd = std::max(this->prefillEnd, Clock::now()) + std::chrono::microseconds(static_cast<int64_t>(1000 * tokens / this->prefillTokensPerMs));
        begin = this->prefillEnd;
    }
    this->prefillingCount++;
    while (Clock::now() < begin && !this->down && !connection.isClosed())
        sleepFor(milliseconds { 2 });
    this->prefillingCount--;
    if (this->down || connection.isClosed())
        return false;
    {
        std::lock_guard lock(this->mutex);
        this->startedRuns.push_back({ attempt, this->id, elapsedMs() });
    }
    bool crashes = !this->crashingPart.empty() && ("," + prompt).find("," + this->crashingPart + ":") != std::string::npos;
    if (crashes) {
        this->crash(this->crashDowntime);
        return false;
    }
    if (!connection.send("HTTP/1.1 200 OK\r\n" + encodeHeaders({ { "Attempt-Id", attempt }, { "Server-Seal", "seal-" + attempt }, { "Content-Type", "text/event-stream" }, { "Transfer-Encoding", "chunked" } }) + "\r\n"))
        return false;
    auto lastEvent = request.header("Last-Event-Id");
    for (int i = lastEvent.empty() ? 1 : std::stoi(lastEvent) + 1; i <= this->eventsPerStream; i++) {
        auto event = "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) + " of " + attempt + " ";
        event.resize(std::max(event.size(), static_cast<size_t>(this->eventBytes)), '.');
        event += "\n\n";
        std::ostringstream size;
        size << std::hex << event.size();
        if (this->down || !connection.send(size.str() + "\r\n" + event + "\r\n"))
            return false;
        sleepFor(this->eventInterval);
    }
    return connection.send("0\r\n\r\n");
}

Daemon::Daemon(std::string command, std::string folder, int number, std::string zone, uint16_t storePort)
    : name("vm-" + std::to_string(number))
    , command(std::move(command))
    , folder(std::move(folder))
    , zone(std::move(zone))
    , storePort(storePort)
{
    auto ports = findFreePorts(5);
    this->front = ports[0];
    this->directory = ports[1];
    this->readiness = ports[2];
    this->inner = ports[3];
    this->metrics = ports[4];
}

void Daemon::writeSettings(bool firstStart) const
{
    auto address = [](uint16_t port) { return "127.0.0.1:" + std::to_string(port) + "\n"; };
    std::ofstream settings(this->folder + "/" + this->name + ".ini");
    settings << "[node]\nname = " << this->name << "\nregion = mn-central\ndata_centre = " << this->zone << "\n[listen]\nfront = " << address(this->front) << "directory = " << address(this->directory)
             << "readiness = " << address(this->readiness) << "inner = " << address(this->inner) << "metrics = " << address(this->metrics) << "[store]\naddress = " << address(this->storePort)
             << "configuration_bound = 2000ms\n[repeats]\nratio = 0.2\nslack = 56\nwindow = 10s\nfirst_start = " << (firstStart ? "yes" : "no") << "\n[orders]\nlease_time = 3000ms\nworkers_check_tokens = yes\n"
             << "[drain]\ngrace = 8s\n[limits]\nprocessor_share = 0.25\nprocessor_speed = 1\nlink_megabits = 1000.0\nmemory_megabytes = " << memoryMegabytes << "\ndescriptors = 4100\n[log]\nlevel = info\n";
    if (!settings.flush())
        failToRun("the settings of " + this->name + " cannot be written");
}

Daemon::~Daemon()
{
    this->end();
}

void Daemon::start()
{
    this->writeSettings(!std::exchange(this->wasStarted, true));
    std::istringstream words(this->command);
    std::vector<std::string> arguments;
    for (std::string word; words >> word;)
        arguments.push_back(word);
    arguments.push_back(this->folder + "/" + this->name + ".ini");
    std::vector<char*> pointers;
    for (auto& argument : arguments)
        pointers.push_back(argument.data());
    pointers.push_back(nullptr);
    auto log = this->folder + "/" + this->name + ".log";
    this->pid = ::fork();
    if (this->pid == 0) {
        // It ends with the case, whatever ends that.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(fd, STDOUT_FILENO);
        ::dup2(fd, STDERR_FILENO);
        ::execv(pointers[0], pointers.data());
        std::_Exit(127);
    }
    if (this->pid < 0)
        failToRun(this->name + " cannot be started");
}

void Daemon::signal(int number) const
{
    if (this->pid > 0)
        ::kill(this->pid, number);
}

bool Daemon::isRunning()
{
    if (this->pid > 0 && ::waitpid(this->pid, nullptr, WNOHANG) == this->pid)
        this->pid = -1;
    return this->pid > 0;
}

bool Daemon::waitForEnd(milliseconds limit)
{
    for (auto end = Clock::now() + limit; Clock::now() < end; sleepFor(milliseconds { 10 })) {
        if (!this->isRunning())
            return true;
    }
    return !this->isRunning();
}

void Daemon::end()
{
    if (!this->isRunning())
        return;
    this->signal(SIGKILL);
    ::waitpid(this->pid, nullptr, 0);
    this->pid = -1;
}

bool Daemon::isReady() const
{
    return callClient(this->readiness, { "GET", "/v1/ready", 0, { { "Host", "ready" } }, "" }, milliseconds { 1000 }).message.status == 200;
}

double Daemon::residentMegabytes() const
{
    std::ifstream statm("/proc/" + std::to_string(this->pid) + "/statm");
    uint64_t total = 0;
    uint64_t resident = 0;
    statm >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1024 * 1024);
}

std::vector<uint16_t> findFreePorts(size_t count)
{
    constexpr int firstPort = 10000;
    int endPort = 32768;
    // The system takes the ports of outgoing connections from this range.
    std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> endPort;
    static std::mt19937 generator(std::random_device {}());
    static std::set<uint16_t> used;
    std::uniform_int_distribution<int> choose(firstPort, std::max(endPort, firstPort + 1000) - 1);
    std::vector<uint16_t> ports;
    constexpr int maxTries = 10000;
    for (int i = 0; i < maxTries && ports.size() < count; i++) {
        auto port = static_cast<uint16_t>(choose(generator));
        int fd = openListener(port);
        int datagramFd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        auto address = loopback(port);
        bool isFree = fd >= 0 && ::bind(datagramFd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(datagramFd);
        if (fd >= 0)
            ::close(fd);
        if (isFree && used.insert(port).second)
            ports.push_back(port);
    }
    if (ports.size() < count)
        failToRun("there are too few free ports");
    return ports;
}

std::string encodeRequest(const Message& request)
{
    auto text = request.method + " " + request.target + " HTTP/1.1\r\n" + encodeHeaders(request.headers);
    if (!request.body.empty() || request.method == "POST")
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return text + "\r\n" + request.body;
}

Answer readAnswer(Connection& connection, Clock::time_point sentAt, Clock::time_point deadline)
{
    Answer answer;
    auto since = [sentAt] { return std::chrono::duration_cast<milliseconds>(Clock::now() - sentAt).count(); };
    std::string line;
    if (!connection.readHead(line, answer.message.headers, deadline)) {
        answer.totalMs = since();
        return answer;
    }
    answer.headMs = since();
    answer.message.status = line.size() > 12 ? std::atoi(line.c_str() + 9) : 0;
    auto& body = answer.message.body;
    if (answer.message.header("Transfer-Encoding") == "chunked") {
        while (auto size = connection.readLine(deadline)) {
            auto length = std::stoul("0" + *size, nullptr, 16);
            auto chunk = connection.readBytes(length + 2, deadline);
            if (!chunk)
                break;
            body += chunk->substr(0, length);
            answer.complete = length == 0;
            if (answer.complete)
                break;
        }
    } else if (auto bytes = connection.readBytes(std::stoul("0" + answer.message.header("Content-Length")), deadline)) {
        body = *bytes;
        answer.complete = true;
    }
    for (size_t at = 0; (at = body.find("\n\n", at)) != std::string::npos; at += 2)
        answer.events++;
    answer.totalMs = since();
    return answer;
}

Answer callClient(uint16_t port, const Message& request, milliseconds limit)
{
    auto sentAt = Clock::now();
    auto connection = Connection::open(port);
    if (!connection || !connection->send(encodeRequest(request)))
        return {};
    return readAnswer(*connection, sentAt, sentAt + limit);
}

TemporaryFolder::TemporaryFolder()
{
    auto text = (std::filesystem::temp_directory_path() / "comfreypier-review-XXXXXX").string();
    if (::mkdtemp(text.data()) == nullptr)
        failToRun("no temporary folder can be created");
    this->folder = text;
    temporaryFolder = text;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

namespace {

    constexpr const char* configuration = R"({"version":7,"routes":[
{"name":"draft","host":"studio.example","path-prefix":"/draft/","kind":"streaming","timeout-ms":6000,"target-latency-ms":800,"priority":1,"service":"draft-models","max-attempts":1,"sticky":true,"resumable":false,"target-gap-ms":250},
{"name":"revise","host":"studio.example","path-prefix":"/revise/","kind":"streaming","timeout-ms":12000,"target-latency-ms":3000,"priority":1,"service":"draft-models","max-attempts":2,"sticky":true,"resumable":true,"target-gap-ms":250},
{"name":"order","host":"studio.example","path-prefix":"/order/","kind":"non_idempotent","timeout-ms":1000,"target-latency-ms":150,"priority":2,"service":"commission-app","max-attempts":1},
{"name":"status","host":"studio.example","path-prefix":"/status/","kind":"idempotent","timeout-ms":1000,"target-latency-ms":150,"priority":2,"service":"commission-app","max-attempts":2}],
"services":[{"name":"draft-models","health-path":"/health","max-conns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity":232000,"backups":false,"models":[
{"name":"m0","weights-mb":34300,"load-s":2.0,"disk-load-s":0.4,"adapters":0,"adapter-mb":40},
{"name":"m1","weights-mb":72700,"load-s":4.2,"disk-load-s":0.84,"adapters":0,"adapter-mb":66}],"weights-mb":200000,"adapter-slots":8,"loads-per-s":1.1}},
{"name":"commission-app","health-path":"/health","max-conns":110,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";

    const std::vector<std::string> zones { "ulaanbaatar-a", "ulaanbaatar-b", "darkhan", "zuunmod" };

} // namespace

Deployment::Deployment(const std::string& command, const std::string& recordPath, const std::vector<std::set<std::string>>& models, int daemons)
    : record(recordPath)
{
    this->store.start();
    for (size_t i = 0; i < models.size(); i++)
        this->modelWorkers.push_back(std::make_unique<Worker>(this->store, this->record, "i-draft-" + std::to_string(i + 1), "draft-models", zones[i % zones.size()], models[i]));
    for (size_t i = 0; i < zones.size(); i++) {
        this->appWorkers.push_back(std::make_unique<Worker>(this->store, this->record, "i-app-" + std::to_string(i + 1), "commission-app", zones[i], std::set<std::string> {}));
        this->appWorkers.back()->slots = 6;
    }
    for (int i = 0; i < daemons; i++)
        this->daemons.push_back(std::make_unique<Daemon>(command, this->folder.path(), i + 1, zones[static_cast<size_t>(i) % zones.size()], this->store.port()));
}

Deployment::~Deployment()
{
    this->daemons.clear();
    for (auto* workers : { &this->modelWorkers, &this->appWorkers }) {
        for (auto& worker : *workers) {
            for (const auto& run : worker->runs())
                this->record.write("run id=" + run.id + " worker=" + run.worker + " at_ms=" + std::to_string(run.atMs));
        }
    }
}

void Deployment::start()
{
    for (auto& worker : this->modelWorkers)
        worker->start();
    for (auto& worker : this->appWorkers)
        worker->start();
    this->store.write("keyed.op", "config", configuration);
    startDaemons(this->daemons);
    // The pages begin the traffic 10 s after the machines.
    constexpr milliseconds leadTime { 3000 };
    sleepFor(leadTime);
    this->record.write("all daemons are ready", true);
}

std::map<std::string, int> Deployment::runs()
{
    std::map<std::string, int> counts;
    for (auto* workers : { &this->modelWorkers, &this->appWorkers }) {
        for (auto& worker : *workers) {
            for (const auto& run : worker->runs())
                counts[run.id]++;
        }
    }
    return counts;
}

Message makeRequest(const std::string& method, const std::string& route, const std::string& id, milliseconds timeBudget)
{
    return { method, "/" + route + "/2f", 0, { { "Host", host }, { "Attempt-Id", id }, { "Deadline-Ms", std::to_string(timeBudget.count()) } }, method == "POST" ? "brief" : "" };
}

StatusClients::StatusClients(Deployment& deployment, milliseconds interval)
    : deployment(deployment)
    , thread([this, interval] {
        Tasks tasks;
        for (size_t i = 0; !this->stopping; i++) {
            tasks.run([this, i] { this->send(i % this->deployment.daemonCount(), "status-" + std::to_string(i)); });
            sleepFor(interval);
        }
    })
{
}

StatusClients::~StatusClients()
{
    this->stopping = true;
    if (this->thread.joinable())
        this->thread.join();
}

void StatusClients::send(size_t daemon, const std::string& id)
{
    constexpr milliseconds timeBudget { 2500 };
    Sent sent { daemon, elapsedMs(), -1 };
    auto answer = callClient(this->deployment.daemon(daemon).front, makeRequest("GET", "status", id, timeBudget), timeBudget);
    if (answer.complete)
        sent.answeredMs = answer.totalMs;
    this->deployment.record.write("request id=" + id + " vm=" + std::to_string(daemon + 1) + " sent_ms=" + std::to_string(sent.atMs) + " status=" + std::to_string(answer.message.status) + " total_ms=" + std::to_string(answer.totalMs));
    std::lock_guard lock(this->mutex);
    this->requests.push_back(sent);
}

bool StatusClients::isConfigBroken()
{
    constexpr milliseconds slack { 500 };
    this->stopping = true;
    this->thread.join();
    size_t late = 0;
    size_t missing = 0;
    for (size_t i = 0; i < this->deployment.daemonCount(); i++) {
        size_t lateHere = 0;
        size_t missingHere = 0;
        size_t all = 0;
        for (const auto& sent : this->requests) {
            if (sent.daemon != i)
                continue;
            all++;
            lateHere += sent.answeredMs < 0 || sent.answeredMs > plainTimeout.count() ? 1 : 0;
            missingHere += sent.answeredMs < 0 || sent.answeredMs > (plainTimeout + slack).count() ? 1 : 0;
        }
        this->deployment.record.write("vm-" + std::to_string(i + 1) + " status requests=" + std::to_string(all) + " unanswered at timeout-ms=" + std::to_string(lateHere) + " unanswered 0.5 s later=" + std::to_string(missingHere), true);
        late += lateHere;
        missing += missingHere;
    }
    return 2 * missing > late;
}

Tasks::~Tasks()
{
    std::unique_lock lock(this->mutex);
    this->ended.wait(lock, [this] { return this->running == 0; });
}

void Tasks::run(std::function<void()> task)
{
    {
        std::lock_guard lock(this->mutex);
        this->running++;
    }
    std::thread([this, task = std::move(task)] {
        task();
        std::lock_guard lock(this->mutex);
        this->running--;
        this->ended.notify_all();
    }).detach();
}

void startDaemons(std::vector<std::unique_ptr<Daemon>>& daemons)
{
    constexpr milliseconds startLimit { 15000 };
    for (auto& daemon : daemons)
        daemon->start();
    auto end = Clock::now() + startLimit;
    for (auto& daemon : daemons) {
        while (!daemon->isReady()) {
            if (Clock::now() > end || !daemon->isRunning())
                failToRun(daemon->name + " did not become ready");
            sleepFor(milliseconds { 50 });
        }
    }
}

} // namespace review
