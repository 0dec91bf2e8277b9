/// Stand-ins for the cases 6 to 10: the platform's store, workers and clients, on loopback addresses and blocking sockets, one thread for
/// each connection. They follow the users' pages as far as the cases need it. Also starts and ends the daemons of a case.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Exit codes of a case.
enum ExitCode {
    ExitHeld = 0, ///< The rule held.
    ExitBroken = 1, ///< The rule was broken.
    ExitNotRun = 2, ///< The case could not run.
};

/// Ends the process with `ExitNotRun`.
[[noreturn]] void failToRun(const std::string& reason);

/// Returns the milliseconds since the start of the process.
int64_t elapsedMs();

void sleepFor(milliseconds time);

/// The file `record.txt` of a case. Thread-safe.
class Record {
public:
    explicit Record(const std::string& path);
    /// Writes a line with the time, and prints it if `shown` is set.
    void write(const std::string& line, bool shown = false);

private:
    std::mutex mutex;
    std::ofstream file;
};

struct Header {
    std::string name;
    std::string value;
};

/// A request or an answer.
struct Message {
    std::string method; ///< Of a request.
    std::string target; ///< Of a request.
    int status = 0; ///< Of an answer; 0 if there is none.
    std::vector<Header> headers;
    std::string body;

    /// Returns the first value of a header, ignoring case; empty if it is missing.
    std::string header(std::string_view name) const;
    /// Returns the value of a query parameter of the target; empty if it is missing.
    std::string query(std::string_view name) const;
    /// Returns the target without the query.
    std::string path() const;
};

/// A connected socket with a buffer for what was received. Closes it at the end of its lifetime.
class Connection {
public:
    explicit Connection(int descriptor);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /// Opens a connection to a loopback port.
    /// @param receiveBuffer size of the socket's receive buffer; 0 for the system's own.
    /// @return null on failure.
    static std::unique_ptr<Connection> open(uint16_t port, int receiveBuffer = 0);

    bool send(std::string_view bytes);
    /// Reads up to and with `\r\n`, which is left out.
    std::optional<std::string> readLine(Clock::time_point deadline);
    std::optional<std::string> readBytes(size_t count, Clock::time_point deadline);
    /// Reads a head. The first line is in `firstLine`.
    bool readHead(std::string& firstLine, std::vector<Header>& headers, Clock::time_point deadline);
    /// Returns whether the peer has closed the connection.
    bool isClosed() const;
    /// Makes all operations fail, also those of other threads.
    void shutDown();
    int descriptor() const { return this->fd; }

private:
    /// @return false at the deadline, the end or an error.
    bool receive(Clock::time_point deadline);

    int fd;
    std::string buffer;
};

/// HTTP/1.1 server on a loopback port.
class HttpServer {
public:
    /// Handles a request. @return whether the connection may be used again.
    using Handler = std::function<bool(const Message& request, Connection& connection)>;

    explicit HttpServer(Handler handler);
    ~HttpServer();

    /// Listens on `port`, or on a free port if it is 0.
    bool start(uint16_t port = 0);
    /// Closes the listening socket and all connections, as the end of a process does.
    void stop();
    uint16_t port() const { return this->listenPort; }

private:
    void accept(int listener);
    void serve(const std::shared_ptr<Connection>& connection);

    Handler handler;
    uint16_t listenPort = 0;
    std::atomic<int> listener { -1 };
    std::mutex mutex;
    std::condition_variable ended;
    std::set<std::shared_ptr<Connection>> connections;
    int threads = 0;
};

/// Sends an answer with a length.
bool sendAnswer(Connection& connection, int status, const std::vector<Header>& headers, const std::string& body);

/// The platform's store: keyed topics of one partition, conditional appends and reads that wait.
class Store {
public:
    Store();
    void start();
    uint16_t port() const { return this->server.port(); }
    /// Writes a record, as operators and workers do. An empty value removes the key.
    void write(const std::string& topic, const std::string& key, const std::string& value);

private:
    struct Item {
        std::string key;
        std::string value;
    };
    bool serve(const Message& request, Connection& connection);
    bool serveAppend(const Message& request, Connection& connection);
    bool serveRead(const Message& request, Connection& connection);
    bool serveNewest(const Message& request, Connection& connection);

    HttpServer server;
    std::mutex mutex;
    std::condition_variable appended;
    std::map<std::string, std::vector<Item>> topics;
};

/// What a worker has done with a request.
struct Run {
    std::string id;
    std::string worker;
    int64_t atMs = 0;
};

/// A worker of a service, which registers in the store. Loads of models take their time, other orders none.
class Worker {
public:
    Worker(Store& store, Record& record, std::string id, std::string service, std::string zone, std::set<std::string> models);
    ~Worker();

    void start();
    /// Closes all connections and the port. It starts again empty, as another process with the same id, after `downtime`.
    void crash(milliseconds downtime);
    bool isDown() const { return this->down; }
    /// Number of requests that wait for their first event.
    int prefilling() const { return this->prefillingCount; }
    const std::string& name() const { return this->id; }
    /// Returns the requests that it began to work on.
    std::vector<Run> runs();

    std::string crashingPart; ///< Part of a prompt at which it crashes, when it begins to write an answer. Empty if there is none.
    milliseconds crashDowntime { 3000 };
    milliseconds plainWork { 30 };
    int slots = 64;
    int eventsPerStream = 13;
    int eventBytes = 60;
    milliseconds eventInterval { 30 };
    double prefillTokensPerMs = 38.7;
    milliseconds loadTime { 4200 }; ///< Of a model.

private:
    bool serve(const Message& request, Connection& connection);
    bool serveOrder(const Message& request, Connection& connection);
    bool serveStream(const Message& request, Connection& connection);
    /// Writes its entry. The caller must hold `mutex`.
    void publish();
    /// Ends the load of a model when its time has passed. The caller must hold `mutex`.
    void completeLoad();
    std::string modelsJson() const;

    Store& store;
    Record& record;
    const std::string id;
    const std::string service;
    const std::string zone;
    uint16_t port = 0;
    std::unique_ptr<HttpServer> server;
    std::mutex mutex;
    std::map<std::string, std::set<std::string>> models; ///< With their adapters.
    std::string loadingModel; ///< Empty if no model is being loaded.
    Clock::time_point loadEnd;
    uint64_t ordersAccepted = 0;
    uint64_t highestFence = 0;
    int64_t born = 0;
    uint64_t beats = 0;
    std::vector<Run> startedRuns;
    Clock::time_point prefillEnd; ///< Prompts are read one after the other.
    std::atomic<bool> down { false };
    std::atomic<int> prefillingCount { 0 };
    std::atomic<bool> stopping { false };
    std::thread beatThread;
    std::thread restartThread;
};

/// A daemon in a process of its own, with the command of the deploy file and settings of a small deployment.
class Daemon {
public:
    /// @param command the `run` line of the deploy file up to the path of the settings.
    Daemon(std::string command, std::string folder, int number, std::string zone, uint16_t storePort);
    ~Daemon();
    /// Starts the process. May be called again after its end.
    void start();
    /// Sends a signal.
    void signal(int number) const;
    /// Waits for the end of the process. @return whether it has ended in time.
    bool waitForEnd(milliseconds limit);
    /// Kills the process if it still runs.
    void end();
    /// Returns whether the readiness address answers 200 within a second.
    bool isReady() const;
    bool isRunning();
    /// Returns the resident memory of the process in MB.
    double residentMegabytes() const;

    uint16_t front = 0;
    uint16_t readiness = 0;
    uint16_t directory = 0;
    std::atomic<pid_t> pid { -1 };
    const std::string name;
    static constexpr int memoryMegabytes = 260; ///< Of the machine, as its settings state.

private:
    /// @param firstStart the whole system starts for the first time.
    void writeSettings(bool firstStart) const;

    std::string command;
    std::string folder;
    std::string zone;
    uint16_t storePort;
    uint16_t inner = 0;
    uint16_t metrics = 0;
    bool wasStarted = false;
};

/// Returns ports that were free a moment ago and that the system does not give to outgoing connections.
std::vector<uint16_t> findFreePorts(size_t count);

/// Answer to a client.
struct Answer {
    Message message;
    bool complete = false; ///< The body is whole.
    int64_t headMs = -1; ///< From sending to the head; -1 if none came.
    int64_t totalMs = -1; ///< From sending to the end of the body, or to the failure.
    int events = 0; ///< Whole events of a stream.
};

/// Sends a request on a new channel and reads the answer.
/// @param limit time for all of it.
Answer callClient(uint16_t port, const Message& request, milliseconds limit);

/// Reads an answer that is due on a channel.
Answer readAnswer(Connection& connection, Clock::time_point sentAt, Clock::time_point deadline);

/// Encodes a request.
std::string encodeRequest(const Message& request);

/// Creates a folder for the files of a run, which is removed at the end of the object's lifetime.
class TemporaryFolder {
public:
    TemporaryFolder();
    ~TemporaryFolder();
    const std::string& path() const { return this->folder; }

private:
    std::string folder;
};

/// Starts daemons and waits until all are ready.
void startDaemons(std::vector<std::unique_ptr<Daemon>>& daemons);

/// Returns whether the disruption is left out: TROUBLE=0.
bool isCalm();

/// Host of all routes.
constexpr const char* host = "studio.example";

/// A small deployment: store, workers of the services `draft-models` and `commission-app` in four data centres, and daemons.
/// Routes: `/draft/` (streaming), `/revise/` (streaming, may be resumed), `/order/` (non_idempotent), `/status/` (idempotent).
class Deployment {
public:
    /// @param command see `Daemon`.
    /// @param models models of each worker of `draft-models`.
    Deployment(const std::string& command, const std::string& recordPath, const std::vector<std::set<std::string>>& models, int daemons);
    ~Deployment();

    /// Starts everything and waits until all daemons are ready and know the workers.
    void start();
    /// Returns the ids of the requests that a worker began to work on, with the number of times.
    std::map<std::string, int> runs();
    Daemon& daemon(size_t index) { return *this->daemons[index]; }
    size_t daemonCount() const { return this->daemons.size(); }

    Record record;
    Store store;
    std::vector<std::unique_ptr<Worker>> modelWorkers;
    std::vector<std::unique_ptr<Worker>> appWorkers;

private:
    TemporaryFolder folder;
    std::vector<std::unique_ptr<Daemon>> daemons;
};

/// Bounds of the deployment, as the sheet of `tengerleg-glass` states them.
constexpr milliseconds stableWindow { 3000 };
/// `timeout-ms` of the routes `/order/` and `/status/`.
constexpr milliseconds plainTimeout { 1000 };

/// Makes a request of the route `/ROUTE/`.
Message makeRequest(const std::string& method, const std::string& route, const std::string& id, milliseconds timeBudget);

/// Clients of the route `/status/` that send to all daemons in turn and wait longer than the route's `timeout-ms`.
class StatusClients {
public:
    StatusClients(Deployment& deployment, milliseconds interval);
    ~StatusClients();
    /// Ends the clients and judges the rule CONFIG: of the requests that are still unanswered at their route's `timeout-ms`, not more than half
    /// have no answer half a second later. Writes the figures of each daemon into the record.
    bool isConfigBroken();

private:
    struct Sent {
        size_t daemon = 0;
        int64_t atMs = 0;
        int64_t answeredMs = -1; ///< -1 if there was no whole answer.
    };
    void send(size_t daemon, const std::string& id);

    Deployment& deployment;
    std::atomic<bool> stopping { false };
    std::mutex mutex;
    std::vector<Sent> requests;
    std::thread thread;
};

/// Runs tasks on threads of their own and waits for all at the end.
class Tasks {
public:
    ~Tasks();
    void run(std::function<void()> task);

private:
    std::mutex mutex;
    std::condition_variable ended;
    int running = 0;
};

} // namespace review
