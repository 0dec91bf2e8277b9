/// Command-line client for operators: checks, compares and publishes service files, and shows the state of the system.
#pragma once

#include <coordination/coordination.h>

namespace comfreypier::client {

/// Exit codes of `comfreypier`.
enum ExitCode {
    ExitOk = 0,
    ExitProblemsFound = 1, ///< `check` found invalid files, `check-configuration` found errors, `diff` found differences, `publish --remove` named an
                           ///< unpublished service, or `explain-request` found no log line of the request.
    ExitUsage = 2, ///< Invalid arguments, or a log file that cannot be read.
    ExitUnreachable = 3, ///< No node responded, or the log service did not.
    ExitConflict = 4, ///< Another change to the same service was accepted first.
    ExitInvalid = 5, ///< The change was rejected as invalid.
    ExitNotActive = 6, ///< The change was accepted, but is not active on all live nodes within the time limit.
    ExitInsufficientMemory = 7, ///< The declared models and adapters do not fit in the workers' memory.
};

/// A command and its arguments.
struct Invocation {
    std::string command; ///< Name of the command, such as `publish`.
    std::vector<std::string> arguments; ///< Words after the command, without options.
    std::vector<transport::Endpoint> nodes; ///< Entry VMs to query; the first that responds is used.
    std::string author; ///< Name of the author of a change, kept in the history.
    std::vector<std::string> baseOverrides; ///< `SERVICE=OFFSET`: version that a change is based on, in place of the current one.
    bool json = false; ///< Prints JSON.
    bool dryRun = false; ///< `publish` only checks the change.
    std::string inForce; ///< `check-configuration`: file with the configuration in force; empty to compare with none.
    bool remove = false; ///< `publish` removes the services named by the arguments.
    /// Time limit for `publish`, until the change is active on all live nodes.
    std::chrono::milliseconds publishTimeout { 10000 };
};

/// Runs a command and returns its exit code. Must be called on a fiber of a `Runtime`.
int runCommand(const Invocation& invocation, transport::HttpClient& client);

/// A line of a comparison of two texts.
struct DiffLine {
    char mark = ' '; ///< ' ' in both texts, '-' only in the old one, '+' only in the new one.
    std::string text;
};

/// Compares two texts line by line, by their longest common subsequence.
std::vector<DiffLine> diffLines(std::string_view before, std::string_view after);

/// A line of a VM's log.
struct LogLine {
    std::string file; ///< Name of the log file.
    std::string text;
};

/// Reports how a request ended: its log lines, the cause, and related events of about the same time that concern its VM, its
/// workers, its model or the lease.
/// @param id attempt ID of the request.
/// @param lines lines of the logs of all VMs.
/// @return nothing if no line names the request.
std::optional<std::string> explainRequest(const std::string& id, const std::vector<LogLine>& lines);

} // namespace comfreypier::client
