/// Randomized soak test: real daemon processes against stand-ins of the users' platform, with injected faults. Interface between
/// its sources.
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

/// Options of one run.
struct Options {
    uint64_t seed = 1;
    std::chrono::seconds duration { 60 }; ///< Time with faults.
    int vmCount = 3;
    int callerCount = 24;
    uint16_t basePort = 30000; ///< First of 200 ports.
    std::string daemonPath; ///< Path of the daemon's executable.
    std::filesystem::path outputDirectory; ///< For settings and logs.
};

/// Faults of a `FaultProxy`.
struct ProxyFaults {
    std::atomic<bool> refusing { false }; ///< Resets new connections.
    std::atomic<bool> holdRequests { false }; ///< Holds back bytes to the target while set.
    std::atomic<bool> holdResponses { false }; ///< Holds back bytes from the target while set.
    std::atomic<int> delayMs { 0 }; ///< Delay of each chunk of bytes.
};

/// TCP proxy on loopback that injects connection faults.
class FaultProxy {
public:
    /// Listens on port `from` and forwards connections to port `to`, both on loopback.
    FaultProxy(boost::asio::io_context& context, uint16_t from, uint16_t to);
    /// Resets all open connections.
    void reset();
    /// Stops forwarding on all open connections for good. New connections work.
    void silence();

    ProxyFaults faults;

private:
    struct Connection;
    void accept();

    boost::asio::io_context& context;
    boost::asio::ip::tcp::acceptor acceptor;
    uint16_t target;
    std::vector<std::weak_ptr<Connection>> connections; ///< Accessed only by the context's thread.
};

/// Kinds of requests, one for each route of `makePlatformConfiguration`.
enum class RequestKind {
    Order, ///< Not idempotent.
    Status, ///< Idempotent.
    Chat, ///< Stream that must not be retried.
    Draft, ///< Stream that may resume on another worker.
    Count
};

const char* name(RequestKind kind);

/// One request of a caller and its result.
struct Attempt {
    std::string id;
    RequestKind kind = RequestKind::Order;
    int vm = 0;
    Time sentAt { 0 };
    Time endedAt { 0 };
    unsigned status = 0; ///< 0 without a response.
    std::string error; ///< Error of the connection.
    bool reportedNotRun = false; ///< The response states that the request did not run.
    bool complete = false; ///< The whole expected response arrived.
    bool cutByDrain = false; ///< The connection closed while the VM was draining, with no other fault that explains it.
};

/// Records attempts and checks the invariants that must hold despite faults.
class InvariantChecker {
public:
    explicit InvariantChecker(Time start);
    /// Records and prints the violation of an invariant.
    /// @param invariant short name of the invariant, as in tests/soak/mutants.txt.
    void reportViolation(const std::string& invariant, const std::string& detail);
    void recordAttempt(const Attempt& attempt);
    /// Compares all attempts with the runs that the workers counted, and checks the orders that the workers accepted.
    void checkRuns(const std::vector<std::unique_ptr<standins::WorkerStandin>>& workers);
    /// Prints the number of attempts by kind and result, and all violations. @return the number of violations.
    size_t printSummary();
    /// Returns the time since the start of the run.
    Time now() const { return transport::monotonicNow() - this->start; }

private:
    std::mutex mutex;
    Time start;
    std::vector<Attempt> attempts;
    std::vector<std::string> violations;
};

/// One VM: a daemon process that is restarted when it exits.
class Daemon {
public:
    Daemon(const Options& options, InvariantChecker& invariants, int number);

    void start();
    /// Sends a signal to the process, if there is one, and records when it disturbs the VM.
    void signal(int signalNumber);
    /// Checks whether the process exited as it should, and restarts it. Call it periodically.
    void supervise();
    /// Kills the process without a restart.
    void terminate();
    /// Changes a setting that affects no invariant, as operators do.
    /// @param sendSignal whether to send SIGHUP, which makes the daemon reload its settings.
    void changeSettings(bool sendSignal);

    Endpoint frontEndpoint() const { return this->endpointAt(0); }
    Endpoint directoryEndpoint() const { return this->endpointAt(1); }
    Endpoint readinessEndpoint() const { return this->endpointAt(2); }
    Endpoint storeEndpoint; ///< Proxy between this VM and the store.

    /// History that the checks of invariants need; guarded by `mutex`.
    mutable std::mutex mutex;
    int incarnation = 0; ///< Number of starts.
    bool running = false;
    bool paused = false;
    Time startedAt { 0 };
    Time lastDisturbedAt { -std::chrono::hours { 1 } }; ///< Last kill, start, pause or end of a pause.
    std::optional<Time> drainingSince; ///< Time of the first SIGTERM since the start.
    Time exitedAt { 0 };

private:
    Endpoint endpointAt(int offset) const;
    void writeSettings(const std::string& logLevel) const;

    const Options& options;
    InvariantChecker& invariants;
    int number;
    pid_t process = 0;
    Time restartAt { 0 };
    bool terminating = false;
};

/// All parts of one run.
struct TestCluster {
    explicit TestCluster(const Options& options);
    ~TestCluster();
    standins::WorkerStandin& addWorker(const std::string& id, const std::string& service);
    /// Writes the next configuration version to the store.
    void configure();
    /// Returns whether the VM is down or paused now, or was disturbed at or after `since`. It does not lock the daemon's mutex.
    bool wasDisturbed(const Daemon& daemon, Time since) const;

    Options options;
    InvariantChecker invariants;
    transport::Runtime runtime { 2 };
    transport::HttpClient client;
    boost::asio::io_context proxyContext;
    std::vector<std::thread> threads;
    standins::StoreStandin store;
    std::vector<std::unique_ptr<standins::WorkerStandin>> workers;
    std::vector<std::unique_ptr<FaultProxy>> workerProxies; ///< By worker.
    std::vector<std::unique_ptr<FaultProxy>> storeProxies; ///< By VM.
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::atomic<bool> stopping { false };
    std::atomic<bool> finalCheckRunning { false };

    std::mutex mutex; ///< Guards the members below.
    int configurationVersion = 0;
    Time configurationWrittenAt { 0 };
    Time workersLastDisturbedAt { -std::chrono::hours { 1 } }; ///< Last start or end of a fault of a worker or of a proxy to one.
    std::vector<Time> storeLastDisturbedAt; ///< Last start or end of a fault of the store or of the VM's proxy to it, by VM.
};

/// Injects the faults of the seed until the duration is over and all have ended, then runs `checkReachability`. Blocks.
void runFaults(TestCluster& cluster);
/// Starts the callers and the checks of the configuration on the cluster's runtime.
void startCallers(TestCluster& cluster);
/// Checks that every VM serves every model and kind of request after the last fault. Blocks.
void checkReachability(TestCluster& cluster);

} // namespace comfreypier::soak
