/// The operators' client: checks, compares and publishes service files, and shows what runs.
#pragma once

#include <coordination/coordination.h>

namespace comfreypier::client {

/// Exit codes of `comfreypier`.
enum ExitCode {
    ExitOk = 0,
    ExitProblemsFound = 1, ///< `check` found faults, or `diff` found differences.
    ExitUsage = 2,
    ExitUnreachable = 3, ///< No node or no log service answers.
    ExitConflict = 4, ///< Another change was accepted first.
    ExitInvalid = 5, ///< The change was rejected as not valid.
    ExitNotActive = 6, ///< Accepted, but not in force everywhere in time.
    ExitInsufficientMemory = 7, ///< The declared set is larger than the workers' memory.
};

/// A command and its arguments.
struct Invocation {
    std::string command;
    std::vector<std::string> arguments;
    std::vector<transport::Endpoint> nodes; ///< Entry VMs to ask; the first that answers is used.
    std::string author;
    std::vector<std::string> baseOverrides; ///< `service=offset` that replaces the version seen now.
    bool json = false;
    bool dryRun = false;
    bool remove = false;
    std::chrono::milliseconds publishTimeout { 10000 }; ///< Longest time `publish` waits.
};

/// Runs one command on a fiber and returns its exit code.
int runCommand(const Invocation& invocation, transport::HttpClient& client);

/// One line of a text comparison.
struct DiffLine {
    char mark = ' '; ///< ' ' in both, '-' only in the old text, '+' only in the new.
    std::string text;
};

/// Compares two texts line by line.
std::vector<DiffLine> diffLines(std::string_view before, std::string_view after);

/// One line of a VM's log.
struct LogLine {
    std::string file; ///< Name of the log it stands in.
    std::string text;
};

/// Joins what the VMs' logs tell of a request: its own lines, its cause, and what happened around it to its workers, its model
/// and its VM. @return nothing if no line names the request.
std::optional<std::string> explainRequest(const std::string& id, const std::vector<LogLine>& lines);

} // namespace comfreypier::client
