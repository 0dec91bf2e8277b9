/// Daemon processes.
#include "soak.h"

#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace comfreypier::soak {

namespace {

    /// Time until the platform starts an ended process again.
    constexpr milliseconds restartPause { 300 };
    /// Time from SIGTERM until a daemon must have ended, as written into its settings.
    constexpr milliseconds grace { 8000 };
    /// Tolerance for the end of a process on a busy machine.
    constexpr milliseconds exitSlack { 1500 };
    constexpr int portsPerVm = 6;
    constexpr int firstVmPort = 80;

} // namespace

Daemon::Daemon(const Options& options, Ledger& ledger, int number)
    : options(options)
    , ledger(ledger)
    , number(number)
{
}

Endpoint Daemon::at(int offset) const
{
    return { "127.0.0.1", static_cast<uint16_t>(this->options.port + firstVmPort + portsPerVm * this->number + offset) };
}

void Daemon::writeSettings(const std::string& level) const
{
    auto path = this->options.directory / ("vm" + std::to_string(this->number) + ".ini");
    auto fresh = path.string() + ".new";
    std::ofstream(fresh) << "[node]\nname = vm" << this->number << "\nregion = r\ndata_centre = dc\n[listen]\nfront = " << transport::toString(this->at(0)) << "\ndirectory = " << transport::toString(this->at(1))
                         << "\nreadiness = " << transport::toString(this->at(2)) << "\ninner = " << transport::toString(this->at(3)) << "\nmetrics = " << transport::toString(this->at(4))
                         << "\n[store]\naddress = " << transport::toString(this->store) << "\n[orders]\nlease_time = 3000ms\nworkers_check_tokens = yes\n[drain]\ngrace = " << grace.count() << "ms\n[log]\nlevel = " << level << "\n";
    std::filesystem::rename(fresh, path);
}

void Daemon::changeSettings(bool signalled)
{
    this->writeSettings(this->incarnation % 2 == 0 ? "debug" : "info");
    if (signalled)
        this->signal(SIGHUP);
}

void Daemon::start()
{
    this->writeSettings("info");
    auto settings = (this->options.directory / ("vm" + std::to_string(this->number) + ".ini")).string();
    auto log = (this->options.directory / ("vm" + std::to_string(this->number) + ".log")).string();
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string program = this->options.daemon;
    std::string mode = "edge";
    std::string flag = "--config";
    std::array<char*, 5> arguments { program.data(), mode.data(), flag.data(), settings.data(), nullptr };
    bool spawned = posix_spawn(&this->process, program.c_str(), &actions, nullptr, arguments.data(), environ) == 0;
    posix_spawn_file_actions_destroy(&actions);
    std::lock_guard lock(this->mutex);
    if (!spawned) {
        this->ledger.report("start", program + " can't be started");
        this->process = 0;
        return;
    }
    this->incarnation++;
    this->running = true;
    this->paused = false;
    this->startedAt = this->disturbedAt = this->ledger.now();
    this->leavingSince.reset();
}

void Daemon::signal(int number)
{
    std::lock_guard lock(this->mutex);
    if (this->process == 0)
        return;
    auto now = this->ledger.now();
    if (number == SIGTERM && !this->leavingSince)
        this->leavingSince = now;
    if (number == SIGSTOP)
        this->paused = true;
    if (number == SIGCONT)
        this->paused = false;
    if (number != SIGTERM && number != SIGHUP)
        this->disturbedAt = now;
    kill(this->process, number);
}

void Daemon::tend()
{
    std::unique_lock lock(this->mutex);
    auto now = this->ledger.now();
    if (this->process == 0) {
        lock.unlock();
        if (!this->ending && now >= this->restartAt)
            this->start();
        return;
    }
    int status = 0;
    bool undisturbed = this->leavingSince && this->disturbedAt < *this->leavingSince;
    if (waitpid(this->process, &status, WNOHANG) != this->process) {
        if (undisturbed && now > *this->leavingSince + grace + exitSlack) {
            this->ledger.report("stop", "vm" + std::to_string(this->number) + " did not end within its grace");
            this->disturbedAt = now;
        }
        return;
    }
    this->process = 0;
    this->running = false;
    this->exitedAt = now;
    this->restartAt = now + restartPause;
    bool killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
    if (!killed && !(this->leavingSince && WIFEXITED(status)))
        this->ledger.report("crash", "vm" + std::to_string(this->number) + " ended by itself with status " + std::to_string(status));
}

void Daemon::end()
{
    this->ending = true;
    this->signal(SIGCONT);
    this->signal(SIGKILL);
    if (this->process != 0)
        waitpid(this->process, nullptr, 0);
    this->process = 0;
}

} // namespace comfreypier::soak
