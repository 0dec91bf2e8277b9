/// Randomized soak of the daemon on the platform: real daemons as processes of their own, against stand-ins, with faults from
/// outside. Its parts share this header.
#pragma once

#include "platform_standin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <filesystem>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <sys/types.h>
#include <thread>
#include <transport/transport.h>
#include <vector>

namespace comfreypier::soak {

using std::chrono::milliseconds;
using Time = std::chrono::nanoseconds;
using Random = std::mt19937_64;
using transport::Endpoint;

// ---------------------------------------------------------------- options

/// What one soak plays.
struct Options {
    uint64_t seed = 1;
    std::chrono::seconds duration { 60 };
    int vms = 3;
    int callers = 24;
    uint16_t port = 30000; ///< First of 200.
    std::string daemon; ///< Path of the program.
    std::filesystem::path directory; ///< For settings and logs.
};

// ---------------------------------------------------------------- links

/// What a link does with bytes.
struct LinkFaults {
    std::atomic<bool> refusing { false }; ///< New connections are reset.
    std::atomic<bool> holdsRequests { false }; ///< Bytes towards the target wait until this ends.
    std::atomic<bool> holdsAnswers { false }; ///< The same for bytes from the target.
    std::atomic<int> delayMs { 0 }; ///< Added to each piece.
};

/// Forwards TCP connections on loopback and disturbs them.
class Link {
public:
    Link(boost::asio::io_context& context, uint16_t from, uint16_t to);
    /// Resets all open connections.
    void reset();
    /// Makes all open connections silent for good; new ones work.
    void silence();

    LinkFaults faults;

private:
    struct Connection;
    void accept();

    boost::asio::io_context& context;
    boost::asio::ip::tcp::acceptor acceptor;
    uint16_t target;
    std::vector<std::weak_ptr<Connection>> connections; ///< Only touched by the context's thread.
};

// ---------------------------------------------------------------- promises

/// Kinds of requests.
enum class Kind {
    Order, ///< Not idempotent.
    Status, ///< Idempotent.
    Chat, ///< Stream that must not be repeated.
    Draft, ///< Stream that may go on elsewhere.
    Count
};

const char* name(Kind kind);

/// One try of a caller.
struct Attempt {
    std::string id;
    Kind kind = Kind::Order;
    int vm = 0;
    Time sentAt { 0 };
    Time endedAt { 0 };
    unsigned status = 0; ///< 0 without an answer.
    std::string error; ///< Of the connection.
    bool notRun = false; ///< The answer promises that it did not run.
    bool whole = false;
    bool cutByStop = false; ///< The connection ended while the VM stopped as planned, with nothing else to blame.
};

/// What was seen and which promises were broken.
class Ledger {
public:
    explicit Ledger(Time start);
    /// Notes a broken promise.
    void report(const std::string& promise, const std::string& detail);
    void note(const Attempt& attempt);
    /// Compares all attempts with what the workers ran.
    void compareRuns(const std::vector<std::unique_ptr<standins::WorkerStandin>>& workers);
    /// Prints counts by kind and outcome. @return the number of broken promises.
    size_t print();
    Time now() const { return transport::monotonicNow() - this->start; }

private:
    std::mutex mutex;
    Time start;
    std::vector<Attempt> attempts;
    std::vector<std::string> broken;
};

// ---------------------------------------------------------------- daemons

/// One VM: a daemon process, restarted when it ends.
class Daemon {
public:
    Daemon(const Options& options, Ledger& ledger, int number);

    void start();
    void signal(int number);
    /// Looks after the process: notes its end and starts it again.
    void tend();
    /// Ends it for good.
    void end();
    /// Changes a setting that matters to nothing, as operators do, and says so by a signal.
    void changeSettings(bool signalled);

    Endpoint front() const { return this->at(0); }
    Endpoint directory() const { return this->at(1); }
    Endpoint readiness() const { return this->at(2); }
    Endpoint store; ///< Of this VM's link to the store.

    /// History that promises depend on; guarded by `mutex`.
    mutable std::mutex mutex;
    int incarnation = 0;
    bool running = false;
    bool paused = false;
    Time startedAt { 0 };
    Time disturbedAt { -std::chrono::hours { 1 } }; ///< Last kill, start, pause or end of a pause.
    std::optional<Time> leavingSince;
    Time exitedAt { 0 };

private:
    Endpoint at(int offset) const;
    void writeSettings(const std::string& level) const;

    const Options& options;
    Ledger& ledger;
    int number;
    pid_t process = 0;
    Time restartAt { 0 };
    bool ending = false;
};

// ---------------------------------------------------------------- the world

/// All parts of one soak.
struct World {
    explicit World(const Options& options);
    ~World();
    standins::WorkerStandin& addWorker(const std::string& id, const std::string& service);
    /// Writes the next configuration version.
    void configure();
    bool isDisturbed(const Daemon& daemon, Time since) const;

    Options options;
    Ledger ledger;
    transport::Runtime runtime { 2 };
    transport::HttpClient client;
    boost::asio::io_context linkContext;
    std::vector<std::thread> threads;
    standins::StoreStandin store;
    std::vector<std::unique_ptr<standins::WorkerStandin>> workers;
    std::vector<std::unique_ptr<Link>> workerLinks; ///< By worker.
    std::vector<std::unique_ptr<Link>> storeLinks; ///< By VM.
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::atomic<bool> stopping { false };
    std::atomic<bool> calm { false }; ///< Faults are over.

    std::mutex mutex; ///< Guards what follows.
    int version = 0;
    Time writtenAt { 0 }; ///< When the version was written.
    Time workersDisturbedAt { -std::chrono::hours { 1 } }; ///< Last fault of a worker or of the way to it, or its end.
    std::vector<Time> storeDisturbedAt; ///< The same for the store, by VM.
};

/// Plays the faults of the seed until the time is over. Blocks.
void playFaults(World& world);
/// Starts callers and watchers on the world's runtime.
void startCallers(World& world);
/// Checks that every declared model and kind is answered by every VM once the faults are over. Blocks.
void checkReach(World& world);

} // namespace comfreypier::soak
