/// comfreypierd: reads its settings, runs until SIGTERM, drains and ends.
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
    ExitCutOff = 1, ///< Requests were still open when the drain limit passed.
    ExitUsage = 2, ///< Wrong arguments or settings.
    ExitAddress = 3, ///< A listener could not be opened.
};

/// Time between two looks for a signal.
constexpr std::chrono::milliseconds signalPoll { 1000 };

constexpr const char* usage = "usage: comfreypierd [edge] --config FILE [--check]\n"
                              "  edge: serve the users' platform; the file then holds the settings of one entry VM there\n";
constexpr const char* exitHelp = "exit codes: 0 drained or settings are good, 1 requests were cut off at the drain limit,\n"
                                 "            2 wrong arguments or settings, 3 an address can't be bound\n";

int reportGood()
{
    std::cout << "settings are good\n";
    return ExitOk;
}

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

/// @return nothing if the file can't be read.
std::optional<std::string> readText(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Reads a settings file with `parse` and prints its faults.
template <class Settings, class Parse>
std::optional<Settings> readSettings(const std::string& path, Parse&& parse)
{
    auto text = readText(path);
    if (!text) {
        std::cerr << path << ":0: the file can't be read\n";
        return std::nullopt;
    }
    auto settings = parse(path, *text);
    if (settings)
        return settings.value();
    for (const auto& fault : settings.error())
        std::cerr << protocol::toString(fault) << "\n";
    return std::nullopt;
}

/// Must run before any thread starts.
template <class Settings>
void prepareProcess(const Settings& settings)
{
    transport::blockTerminationSignals();
    transport::raiseDescriptorLimit();
    transport::setUpLogging(settings.logLevel, settings.partLevels);
}

template <class Daemon>
void startOrExit(Daemon& daemon)
{
    if (daemon.start())
        return;
    std::cerr << "comfreypierd: an address can't be bound\n";
    std::_Exit(ExitAddress);
}

int runEdge(const std::string& path, const edge::Settings& settings)
{
    prepareProcess(settings);
    edge::Edge daemon(settings);
    startOrExit(daemon);
    auto text = readText(path);
    while (transport::waitForSignal(signalPoll) != transport::ProcessSignal::Terminate) {
        // The file may also change without a signal.
        auto current = readText(path);
        if (current == text)
            continue;
        text = current;
        if (auto changed = readSettings<edge::Settings>(path, edge::parseSettings))
            daemon.reload(*changed);
    }
    auto code = daemon.drain() ? ExitOk : ExitCutOff;
    std::_Exit(code);
}

int runDaemon(const protocol::NodeSettings& settings)
{
    prepareProcess(settings);
    daemon::Daemon daemon(settings);
    startOrExit(daemon);
    while (transport::waitForSignal(signalPoll) != transport::ProcessSignal::Terminate) { }
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
        return check ? reportGood() : runEdge(path, *settings);
    }
    auto settings = readSettings<protocol::NodeSettings>(path, protocol::parseNodeSettings);
    if (!settings)
        return ExitUsage;
    return check ? reportGood() : runDaemon(*settings);
}
