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
/// Point in time, as the time since the start of the run.
using Time = std::chrono::nanoseconds;
using Random = std::mt19937_64;
using transport::Endpoint;

/// Options of one run.
struct Options {
    uint64_t seed = 1;
    std::chrono::seconds duration { 60 }; ///< Time with faults.
    int vmCount = 3;
    int callerCount = 24; ///< Callers that send requests concurrently.
    uint16_t basePort = 30000; ///< First of 200 ports.
    std::string daemonPath; ///< Path of the daemon's executable.
    std::filesystem::path outputDirectory; ///< Directory for the daemons' settings and logs.
};

/// Faults of a `FaultProxy`.
struct ProxyFaults {
    std::atomic<bool> refusing { false }; ///< Resets new connections.
    std::atomic<bool> holdRequests { false }; ///< Holds back bytes to the target while set.
    std::atomic<bool> holdResponses { false }; ///< Holds back bytes from the target while set.
    std::atomic<int> delayMs { 0 }; ///< Delay of each chunk of bytes; 0 for none.
};

/// TCP proxy on loopback that injects connection faults. Faults may be set, and `reset` and `silence` called, on any thread.
class FaultProxy {
public:
    /// Listens on port `from` and forwards connections to port `to`, both on loopback.
    FaultProxy(boost::asio::io_context& context, uint16_t from, uint16_t to);
    /// Closes all open connections with a TCP reset, soon after the call returns.
    void reset();
    /// Stops forwarding on all open connections for good, without closing them, soon after the call returns. New connections work.
    void silence();

    ProxyFaults faults;

private:
    struct Connection;
    void accept();

    boost::asio::io_context& context;
    boost::asio::ip::tcp::acceptor acceptor;
    uint16_t target; ///< Port to which connections are forwarded.
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

/// Returns the name of the kind, which is also its route's first path segment.
const char* name(RequestKind kind);

/// Client accounts of a run, and callers that belong to none.
enum class Account {
    Steady, ///< Sends half to three quarters of its quota, always with the same key.
    Turning, ///< Each configuration takes away its older key and adds one. Within its quota, which counts tokens.
    Hot, ///< Sends many times its quota.
    Count,
    None = Count ///< The caller's key belongs to no account.
};

/// Returns the accounts of a version of the configuration, in the order of `Account`.
std::vector<accounts::ClientAccount> makeAccounts(int version);
/// Returns the key of `Account::Turning` that comes with `version` and ends with the next but one; those of the other accounts have version 0.
/// That of `Account::None` is never valid.
std::string makeKey(Account account, int version = 0);
/// Beginning of all keys.
constexpr std::string_view keyPrefix = "soak-key-";
/// Tolerance of the quotas, which the daemons' settings state.
constexpr accounts::QuotaTolerance quotaTolerance { std::chrono::seconds { 8 }, 0.1, 5 };

/// What must become of a request because of its key.
enum class KeyExpectation {
    Any,
    Taken, ///< Must not be refused with 401.
    Refused ///< Must not reach a worker.
};

/// One request of a caller and its result.
struct Attempt {
    std::string id; ///< Sent as `Attempt-Id`; unique in the run.
    RequestKind kind = RequestKind::Order;
    int vm = 0; ///< Number of the VM that received the request.
    Time sentAt { 0 };
    Time endedAt { 0 }; ///< Time of the whole response or of the connection's error.
    unsigned status = 0; ///< 0 without a response.
    std::string error; ///< Name of the connection's error; empty with a response.
    bool reportedNotRun = false; ///< The response states that the request did not run.
    bool complete = false; ///< The whole expected response arrived.
    bool toldLeaving = false; ///< The response says that the worker that sent it leaves.
    Time vmDisturbedAt { 0 }; ///< `Daemon::lastDisturbedAt` at the end of the attempt.
    bool cutByDrain = false; ///< The connection closed while the VM was draining, with no other fault that explains it.
    Account account = Account::None; ///< Account to which the request's key belongs, or once belonged.
    int keyVersion = 0; ///< Version that brought the key.
    double cost = 0; ///< What it counts against the account's quota.
    KeyExpectation keyExpectation = KeyExpectation::Any;
};

/// Records attempts and checks the invariants that must hold despite faults. All functions may be called on any thread.
class InvariantChecker {
public:
    /// @param start start of the run, as `transport::monotonicNow()` returned it.
    explicit InvariantChecker(Time start);
    /// Records and prints the violation of an invariant.
    /// @param invariant short name of the invariant, as in tests/soak/mutants.txt.
    void reportViolation(const std::string& invariant, const std::string& detail);
    /// Keeps a finished attempt for `checkRuns` and `printSummary`.
    void recordAttempt(const Attempt& attempt);
    /// Compares all attempts with the runs that the workers counted, and checks the orders that the workers accepted.
    void checkRuns(const std::vector<std::unique_ptr<standins::WorkerStandin>>& workers);
    /// Checks that VMs send workers no requests after those have said that they leave, or before the time that they named.
    /// @param disturbedTimes by worker: starts and ends of faults of its connections.
    void checkSignals(const std::vector<std::unique_ptr<standins::WorkerStandin>>& workers, const std::vector<std::vector<Time>>& disturbedTimes);
    /// Checks which requests reached workers with which account, and the accounts' quotas.
    /// @param lossTimes times at which the levels of all quotas may have been lost, in order.
    void checkAccounts(const std::vector<std::unique_ptr<standins::WorkerStandin>>& workers, const std::vector<Time>& lossTimes);
    /// Checks that no log of a VM in the directory contains a key.
    void checkLogs(const std::filesystem::path& directory);
    /// Prints the number of attempts by kind and result, and all violations. @return the number of violations.
    size_t printSummary();
    /// Returns the time since the start of the run.
    Time now() const { return transport::monotonicNow() - this->start; }

private:
    /// Checks that an account had no more than its quota in any window of the tolerance or longer, and that none of its requests was refused while it had room.
    /// @param sent its requests.
    /// @param ranAt when each request that ran arrived at a worker first.
    void checkQuota(const accounts::ClientAccount& account, std::vector<const Attempt*> sent, const std::map<std::string, Time>& ranAt, const std::vector<Time>& lossTimes);

    std::mutex mutex; ///< Guards `attempts` and `violations`.
    Time start; ///< On the monotonic clock.
    std::vector<Attempt> attempts;
    std::vector<std::string> violations; ///< Lines of the form `SECONDS INVARIANT: DETAIL`.
};

/// One VM: a daemon process that is restarted when it exits. Only the thread that constructs it may call its functions, except the
/// endpoints'; callers and checks on other threads read the history.
class Daemon {
public:
    /// @param number from 0; determines the VM's name and ports.
    Daemon(const Options& options, InvariantChecker& invariants, int number);

    /// Writes the settings file and starts the process. Reports a violation if that fails.
    void start();
    /// Sends a signal to the process, if there is one, and records it in the history. SIGTERM and SIGHUP do not count as
    /// disturbances, because the daemon must handle them without loss.
    void signal(int signalNumber);
    /// Checks whether the process exited as it should, and restarts it. Call it periodically.
    void supervise();
    /// Kills the process without a restart.
    void terminate();
    /// Writes a settings file with a log level that depends on the number of starts, which affects no invariant, as operators do.
    /// @param sendSignal whether to send SIGHUP, which makes the daemon reload its settings.
    void changeSettings(bool sendSignal);

    Endpoint frontEndpoint() const { return this->endpointAt(0); }
    Endpoint directoryEndpoint() const { return this->endpointAt(1); }
    Endpoint readinessEndpoint() const { return this->endpointAt(2); }
    Endpoint storeEndpoint; ///< Proxy between this VM and the store. Set it before `start`.

    /// History that the checks of invariants need; guarded by `mutex`.
    mutable std::mutex mutex;
    int incarnation = 0; ///< Number of starts.
    bool running = false; ///< The process was started and its exit has not been noticed.
    bool paused = false; ///< Stopped with SIGSTOP.
    Time startedAt { 0 };
    /// Last kill, start, pause or end of a pause. At first long before the run, so that it does not count as recent.
    Time lastDisturbedAt { -std::chrono::hours { 1 } };
    std::optional<Time> drainingSince; ///< Time of the first SIGTERM since the start.
    Time exitedAt { 0 };

private:
    /// @param offset which of the VM's ports, from 0.
    Endpoint endpointAt(int offset) const;
    /// Replaces the settings file atomically, because the daemon may read it at any time.
    void writeSettings(const std::string& logLevel) const;

    const Options& options;
    InvariantChecker& invariants;
    int number;
    pid_t process = 0; ///< 0 if no process runs.
    Time restartAt { 0 }; ///< Earliest time of the next start.
    bool terminating = false; ///< `terminate` was called, so the process is not restarted.
};

/// All parts of one run.
struct TestCluster {
    explicit TestCluster(const Options& options);
    ~TestCluster();
    /// Starts a worker and its proxy. The worker publishes the proxy's address, so that the daemons' calls pass through it.
    standins::WorkerStandin& addWorker(const std::string& id, const std::string& service);
    /// Writes the next configuration version to the store. It has a route `/vVERSION/` that no other version has.
    void configure();
    /// Returns whether the VM is down or paused now, or was disturbed at or after `since`. It does not lock the daemon's mutex.
    bool wasDisturbed(const Daemon& daemon, Time since) const;
    /// Returns whether the VM knows the level of the accounts' quotas, if others that know it were disturbed.
    bool knowsQuotas(size_t vm);

    Options options;
    InvariantChecker invariants;
    transport::Runtime runtime { 2 }; ///< Runs the stand-ins, callers and checks, on two threads.
    transport::HttpClient client;
    boost::asio::io_context proxyContext; ///< Run by one thread.
    std::vector<std::thread> threads; ///< The thread of `proxyContext`.
    standins::StoreStandin store;
    std::vector<std::unique_ptr<standins::WorkerStandin>> workers;
    std::vector<std::unique_ptr<FaultProxy>> workerProxies; ///< By worker.
    std::vector<std::unique_ptr<FaultProxy>> storeProxies; ///< By VM.
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::atomic<bool> stopping { false }; ///< Callers and configuration checks end.
    std::atomic<bool> finalCheckRunning { false }; ///< `checkReachability` is in progress.

    std::mutex mutex; ///< Guards the members below.
    int configurationVersion = 0; ///< Newest version in the store.
    std::vector<Time> configurationsWrittenAt { Time { 0 } }; ///< When each version was written, by version. The first stands for version 0.
    Time workersLastDisturbedAt { -std::chrono::hours { 1 } }; ///< Last start or end of a fault of a worker or of a proxy to one.
    std::vector<std::vector<Time>> connectionsDisturbedAt; ///< Starts and ends of faults of the connections to a worker, by worker.
    std::vector<Time> quotaLossTimes; ///< Times at which fewer than two VMs knew the level of the quotas. Accessed only by `runFaults` until its end.
    std::vector<Time> storeLastDisturbedAt; ///< Last start or end of a fault of the store or of the VM's proxy to it, by VM.
};

/// Injects the faults of the seed until the duration is over, waits until all have ended and all VMs run without draining, then
/// runs `checkReachability`. Blocks.
void runFaults(TestCluster& cluster);
/// Starts the callers and the checks of the configuration on the cluster's runtime.
void startCallers(TestCluster& cluster);
/// Checks that every VM serves orders, status requests, and chats with every model and adapter after the last fault. Blocks.
void checkReachability(TestCluster& cluster);

} // namespace comfreypier::soak
