/// comfreypierd: reads its settings file, runs until SIGTERM, drains and exits.
#include <boost/program_options.hpp>
#include <daemon/daemon.h>
#include <edge/edge.h>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

namespace options = boost::program_options;
using namespace comfreypier;

/// Exit codes.
enum ExitCode {
    ExitOk = 0,
    ExitCutOff = 1, ///< Requests were still open at the drain limit and were cut off.
    ExitUsage = 2, ///< Invalid arguments or settings.
    ExitAddress = 3, ///< An address could not be bound.
};

/// Maximum wait for a signal. In edge mode also the interval at which the settings file is checked for changes.
constexpr std::chrono::milliseconds signalPollInterval { 1000 };

constexpr const char* usage = "usage: comfreypierd [edge] --config FILE [--check]\n"
                              "  edge: serve the users' platform; FILE then holds the settings of one of its entry VMs\n";
constexpr const char* exitHelp = "exit codes: 0 drained, or the settings are valid; 1 requests were cut off at the drain limit;\n"
                                 "            2 invalid arguments or settings; 3 an address cannot be bound\n";

int reportValidSettings()
{
    std::cout << "settings are valid\n";
    return ExitOk;
}

/// Parses the command line. If it is not valid, prints the error and the usage and returns nothing.
std::optional<options::variables_map> parseArguments(int argc, char** argv, const options::options_description& description)
{
    options::variables_map values;
    try {
        options::positional_options_description positions;
        positions.add("mode", 1);
        options::store(options::command_line_parser(argc, argv).options(description).positional(positions).run(), values);
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << "comfreypierd: " << error.what() << "\n"
                  << usage;
        return std::nullopt;
    }
    return values;
}

/// Returns the contents of a file, or nothing if it cannot be read.
std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Reads and parses a settings file. Prints all of its errors to stderr.
/// @param parse takes the path, for its error messages, and the text. Returns the settings or a list of errors.
/// @return nothing if the file cannot be read or is not valid.
template <class Settings, class Parse>
std::optional<Settings> readSettings(const std::string& path, Parse&& parse)
{
    auto text = readFile(path);
    if (!text) {
        std::cerr << path << ":0: the file cannot be read\n";
        return std::nullopt;
    }
    auto settings = parse(path, *text);
    if (settings)
        return settings.value();
    for (const auto& fault : settings.error())
        std::cerr << protocol::toString(fault) << "\n";
    return std::nullopt;
}

/// Sets up signals, the descriptor limit and logging. Must be called before any thread starts, because threads inherit the
/// blocked signals.
template <class Settings>
void prepareProcess(const Settings& settings)
{
    transport::blockTerminationSignals();
    transport::raiseDescriptorLimit();
    transport::setUpLogging(settings.logLevel, settings.partLevels);
}

/// Starts a daemon. Ends the process if an address cannot be bound.
template <class Daemon>
void startOrExit(Daemon& daemon)
{
    if (daemon.start())
        return;
    std::cerr << "comfreypierd: an address cannot be bound\n";
    std::_Exit(ExitAddress);
}

/// Serves the users' platform until SIGTERM or SIGINT, then drains and ends the process without running destructors. Reloads the
/// settings when their file has changed; invalid ones are reported and ignored.
int runEdge(const std::string& path, const edge::Settings& settings)
{
    prepareProcess(settings);
    edge::Edge daemon(settings);
    startOrExit(daemon);
    auto text = readFile(path);
    while (transport::waitForSignal(signalPollInterval) != transport::ProcessSignal::Terminate) {
        // Compares the contents, because the file may also change without a signal.
        auto newText = readFile(path);
        if (newText == text)
            continue;
        text = newText;
        if (auto newSettings = readSettings<edge::Settings>(path, edge::parseSettings))
            daemon.reload(*newSettings);
    }
    auto code = daemon.drain() ? ExitOk : ExitCutOff;
    std::_Exit(code);
}

/// Runs a node until SIGTERM or SIGINT, then drains and ends the process without running destructors.
int runDaemon(const protocol::NodeSettings& settings)
{
    prepareProcess(settings);
    daemon::Daemon daemon(settings);
    startOrExit(daemon);
    while (transport::waitForSignal(signalPollInterval) != transport::ProcessSignal::Terminate) { }
    auto code = daemon.drain() ? ExitOk : ExitCutOff;
    std::cerr.flush();
    std::_Exit(code);
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description description("options");
    description.add_options()("config", options::value<std::string>(), "settings file")("mode", options::value<std::string>()->default_value("node"), "node or edge")("check", "check the settings and exit")("version", "print the version")("help", "print this help");
    auto values = parseArguments(argc, argv, description);
    if (!values)
        return ExitUsage;
    if (values->count("help") > 0) {
        std::cout << usage << description << exitHelp;
        return ExitOk;
    }
    if (values->count("version") > 0) {
        std::cout << "comfreypierd " << COMFREYPIER_VERSION << "\n";
        return ExitOk;
    }
    if (values->count("config") == 0) {
        std::cerr << usage;
        return ExitUsage;
    }
    auto path = (*values)["config"].as<std::string>();
    bool check = values->count("check") > 0;
    if ((*values)["mode"].as<std::string>() == "edge") {
        auto settings = readSettings<edge::Settings>(path, edge::parseSettings);
        if (!settings)
            return ExitUsage;
        return check ? reportValidSettings() : runEdge(path, *settings);
    }
    auto settings = readSettings<protocol::NodeSettings>(path, protocol::parseNodeSettings);
    if (!settings)
        return ExitUsage;
    return check ? reportValidSettings() : runDaemon(*settings);
}
