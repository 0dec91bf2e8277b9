/// Entry point of `comfreypier`, the command-line client for operators.
#include <algorithm>
#include <boost/program_options.hpp>
#include <client/client.h>
#include <iostream>
#include <thread>

namespace {

namespace options = boost::program_options;
using namespace comfreypier;

/// A command with its help and the number of arguments that it takes.
struct CommandHelp {
    const char* name;
    const char* arguments; ///< Placeholders of the arguments, for the help.
    const char* text;
    size_t minArguments;
    size_t maxArguments;
};

/// Maximum number of arguments of the commands that take any number of them.
constexpr size_t unlimitedArguments = 1000;
constexpr std::array commands {
    CommandHelp { "check", "DIR", "checks all service files in DIR and reports each error with file and line", 1, 1 },
    CommandHelp { "diff", "DIR", "shows what publishing DIR would change", 1, 1 },
    CommandHelp { "publish", "DIR", "publishes the files in DIR that differ, and waits until they are active on all live nodes", 1, unlimitedArguments },
    CommandHelp { "status", "", "shows the nodes and their sessions", 0, 0 },
    CommandHelp { "models", "", "lists the declared models and adapters with their number of available copies", 0, 0 },
    CommandHelp { "placement", "", "shows the models and adapters on each worker", 0, 0 },
    CommandHelp { "history", "", "lists the published changes and their verdicts", 0, 0 },
    CommandHelp { "explain", "MODEL", "shows the latest placement decisions for a model or adapter", 1, 1 },
    CommandHelp { "check-configuration", "FILE", "checks a configuration of the users' platform before it is sent: errors, entries without effect, contradicting limits", 1, 1 },
    CommandHelp { "explain-request", "ID LOG...", "reports from the VMs' logs how a request ended and why", 2, unlimitedArguments },
};

constexpr const char* exitHelp = "exit codes: 0 success, 1 errors or differences found, 2 invalid arguments, 3 no response, 4 conflict with another change,\n"
                                 "            5 change rejected as invalid, 6 accepted but not active everywhere in time, 7 does not fit the workers\n";

options::options_description makeOptions()
{
    options::options_description description("options");
    description.add_options()("node", options::value<std::vector<std::string>>()->composing(), "entry VM to query, IP:port; may be given several times");
    description.add_options()("json", "print JSON")("author", options::value<std::string>()->default_value("operator"), "author of the change, kept in the history");
    description.add_options()("base", options::value<std::vector<std::string>>()->composing(), "publish: SERVICE=OFFSET that the change is based on");
    description.add_options()("remove", "publish: remove the services named by the arguments")("dry-run", "publish: only check the change");
    description.add_options()("in-force", options::value<std::string>(), "check-configuration: file with the configuration in force, with which to compare");
    description.add_options()("wait-ms", options::value<int64_t>()->default_value(10000), "publish: time limit in milliseconds");
    description.add_options()("version", "print the version")("help", "print this help");
    return description;
}

void printHelp(const options::options_description& description)
{
    std::cout << "usage: comfreypier COMMAND [ARGUMENTS] [options]\n\ncommands:\n";
    for (const auto& command : commands)
        std::cout << "  " << command.name << " " << command.arguments << "\n      " << command.text << "\n";
    std::cout << "\n"
              << description << exitHelp;
}

/// Prints an error in the arguments and returns the exit code for it.
int usageError(const std::string& text)
{
    std::cerr << "comfreypier: " << text << "\nusage: comfreypier COMMAND [ARGUMENTS] [options], see --help\n";
    return client::ExitUsage;
}

/// Fills `invocation` from the parsed options. Returns an error message, or an empty string.
std::string fillInvocation(const options::variables_map& values, client::Invocation& invocation)
{
    auto words = values["words"].as<std::vector<std::string>>();
    invocation.command = words[0];
    invocation.arguments.assign(words.begin() + 1, words.end());
    invocation.json = values.count("json") > 0;
    invocation.remove = values.count("remove") > 0;
    invocation.dryRun = values.count("dry-run") > 0;
    invocation.author = values["author"].as<std::string>();
    invocation.publishTimeout = std::chrono::milliseconds { values["wait-ms"].as<int64_t>() };
    if (values.count("in-force") > 0)
        invocation.inForce = values["in-force"].as<std::string>();
    if (values.count("base") > 0)
        invocation.baseOverrides = values["base"].as<std::vector<std::string>>();
    auto command = std::find_if(commands.begin(), commands.end(), [&](const CommandHelp& help) { return invocation.command == help.name; });
    if (command == commands.end())
        return "unknown command '" + invocation.command + "'";
    auto count = invocation.arguments.size();
    if (count < command->minArguments || count > command->maxArguments)
        return "'" + invocation.command + "' takes " + (command->maxArguments == 0 ? "no argument" : command->arguments);
    if (values.count("node") > 0) {
        for (const auto& text : values["node"].as<std::vector<std::string>>()) {
            auto node = transport::parseEndpoint(text);
            if (!node)
                return "--node is '" + text + "', expected IP:port";
            invocation.nodes.push_back(node.value());
        }
    }
    if (invocation.nodes.empty() && invocation.command != "check" && invocation.command != "check-configuration" && invocation.command != "explain-request")
        return "--node is missing";
    return {};
}

/// Runs the command on a fiber, then exits the process with its exit code, without stopping the runtime.
int run(const client::Invocation& invocation)
{
    transport::Runtime runtime(1);
    transport::HttpClient httpClient;
    std::atomic<bool> done { false };
    int code = client::ExitOk;
    runtime.spawn([&] {
        code = client::runCommand(invocation, httpClient);
        done = true;
    });
    while (!done)
        std::this_thread::sleep_for(std::chrono::milliseconds { 1 });
    std::cout.flush();
    std::_Exit(code);
}

} // namespace

int main(int argc, char** argv)
{
    auto visibleOptions = makeOptions();
    options::options_description allOptions;
    allOptions.add(visibleOptions).add_options()("words", options::value<std::vector<std::string>>());
    options::positional_options_description positional;
    positional.add("words", -1); // Any number of words.
    options::variables_map values;
    try {
        options::store(options::command_line_parser(argc, argv).options(allOptions).positional(positional).run(), values);
        options::notify(values);
    } catch (const options::error& error) {
        return usageError(error.what());
    }
    if (values.count("version") > 0) {
        std::cout << "comfreypier " << COMFREYPIER_VERSION << "\n";
        return client::ExitOk;
    }
    if (values.count("help") > 0 || values.count("words") == 0) {
        printHelp(visibleOptions);
        return values.count("help") > 0 ? client::ExitOk : client::ExitUsage;
    }
    client::Invocation invocation;
    auto error = fillInvocation(values, invocation);
    if (!error.empty())
        return usageError(error);
    return run(invocation);
}
