/// Starts, signals and supervises the daemon processes.
#include "soak.h"

#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace comfreypier::soak {

namespace {

    /// Delay before a process that exited is restarted, as the platform does.
    constexpr milliseconds restartDelay { 300 };
    /// Time from SIGTERM until a daemon must have exited, as written to its settings.
    constexpr milliseconds gracePeriod { 8000 };
    /// Tolerance for the exit of a process on a busy machine.
    constexpr milliseconds exitTolerance { 1500 };
    /// Distance between the first ports of two VMs, of which each uses five.
    constexpr int portsPerVm = 6;
    /// Offset of the first VM's ports from the base port.
    constexpr int vmPortOffset = 80;

} // namespace

Daemon::Daemon(const Options& options, InvariantChecker& invariants, int number)
    : options(options)
    , invariants(invariants)
    , number(number)
{
}

Endpoint Daemon::endpointAt(int offset) const
{
    return { "127.0.0.1", static_cast<uint16_t>(this->options.basePort + vmPortOffset + portsPerVm * this->number + offset) };
}

void Daemon::writeSettings(const std::string& logLevel) const
{
    auto path = this->options.outputDirectory / ("vm" + std::to_string(this->number) + ".ini");
    auto temporaryPath = path.string() + ".new";
    std::ofstream(temporaryPath) << "[node]\nname = vm" << this->number << "\nregion = r\ndata_centre = dc\n[listen]\nfront = "
                                 << transport::toString(this->endpointAt(0)) << "\ndirectory = " << transport::toString(this->endpointAt(1))
                                 << "\nreadiness = " << transport::toString(this->endpointAt(2))
                                 << "\ninner = " << transport::toString(this->endpointAt(3)) << "\nmetrics = " << transport::toString(this->endpointAt(4))
                                 << "\n[store]\naddress = " << transport::toString(this->storeEndpoint)
                                 << "\n[orders]\nlease_time = 3000ms\nworkers_check_tokens = yes\n[drain]\ngrace = " << gracePeriod.count() << "ms\n[quotas]\nwindow = " << std::chrono::duration_cast<milliseconds>(quotaTolerance.window).count() << "ms\noverage = " << quotaTolerance.overage
                                 << "\nslack = " << quotaTolerance.slack << "\n[log]\nlevel = " << logLevel << "\n";
    std::filesystem::rename(temporaryPath, path);
}

void Daemon::changeSettings(bool sendSignal)
{
    this->writeSettings(this->incarnation % 2 == 0 ? "debug" : "info");
    if (sendSignal)
        this->signal(SIGHUP);
}

void Daemon::start()
{
    this->writeSettings("info");
    auto settings = (this->options.outputDirectory / ("vm" + std::to_string(this->number) + ".ini")).string();
    auto log = (this->options.outputDirectory / ("vm" + std::to_string(this->number) + ".log")).string();
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string program = this->options.daemonPath;
    std::string mode = "edge";
    std::string flag = "--config";
    std::array<char*, 5> arguments { program.data(), mode.data(), flag.data(), settings.data(), nullptr };
    bool spawned = posix_spawn(&this->process, program.c_str(), &actions, nullptr, arguments.data(), environ) == 0;
    posix_spawn_file_actions_destroy(&actions);
    std::lock_guard lock(this->mutex);
    if (!spawned) {
        this->invariants.reportViolation("start", program + " cannot be started");
        this->process = 0;
        return;
    }
    this->incarnation++;
    this->running = true;
    this->paused = false;
    this->startedAt = this->lastDisturbedAt = this->invariants.now();
    this->drainingSince.reset();
}

void Daemon::signal(int signalNumber)
{
    std::lock_guard lock(this->mutex);
    if (this->process == 0)
        return;
    auto now = this->invariants.now();
    if (signalNumber == SIGTERM && !this->drainingSince)
        this->drainingSince = now;
    if (signalNumber == SIGSTOP)
        this->paused = true;
    if (signalNumber == SIGCONT)
        this->paused = false;
    if (signalNumber != SIGTERM && signalNumber != SIGHUP)
        this->lastDisturbedAt = now;
    kill(this->process, signalNumber);
}

void Daemon::supervise()
{
    std::unique_lock lock(this->mutex);
    auto now = this->invariants.now();
    if (this->process == 0) {
        lock.unlock();
        if (!this->terminating && now >= this->restartAt)
            this->start();
        return;
    }
    int status = 0;
    bool drainUndisturbed = this->drainingSince && this->lastDisturbedAt < *this->drainingSince;
    if (waitpid(this->process, &status, WNOHANG) != this->process) {
        if (drainUndisturbed && now > *this->drainingSince + gracePeriod + exitTolerance) {
            this->invariants.reportViolation("stop", "vm" + std::to_string(this->number) + " did not exit within its drain grace period");
            this->lastDisturbedAt = now; // Prevents a second report.
        }
        return;
    }
    this->process = 0;
    this->running = false;
    this->exitedAt = now;
    this->restartAt = now + restartDelay;
    // Only SIGKILL, which the test sends, and a drain may end the process.
    bool killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
    if (!killed && !(this->drainingSince && WIFEXITED(status)))
        this->invariants.reportViolation("crash", "vm" + std::to_string(this->number) + " exited unexpectedly with wait status " + std::to_string(status));
}

void Daemon::terminate()
{
    this->terminating = true;
    this->signal(SIGCONT); // Ends a pause.
    this->signal(SIGKILL);
    if (this->process != 0)
        waitpid(this->process, nullptr, 0);
    this->process = 0;
}

} // namespace comfreypier::soak
