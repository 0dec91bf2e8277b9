/// comfreypierd: reads its settings, runs until SIGTERM, drains and ends.
#include <boost/program_options.hpp>
#include <daemon/daemon.h>
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

constexpr const char* usage = "usage: comfreypierd --config FILE [--check]\n";
constexpr const char* exitHelp = "exit codes: 0 drained or settings are good, 1 requests were cut off at the drain limit,\n"
                                 "            2 wrong arguments or settings, 3 an address can't be bound\n";

std::optional<options::variables_map> parseArguments(int argc, char** argv, const options::options_description& description)
{
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << "comfreypierd: " << error.what() << "\n"
                  << usage;
        return std::nullopt;
    }
    return values;
}

std::optional<protocol::NodeSettings> readSettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ":0: the file can't be read\n";
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    auto settings = protocol::parseNodeSettings(path, text.str());
    if (settings)
        return settings.value();
    for (const auto& fault : settings.error())
        std::cerr << protocol::toString(fault) << "\n";
    return std::nullopt;
}

int runDaemon(const protocol::NodeSettings& settings)
{
    transport::blockTerminationSignals();
    transport::raiseDescriptorLimit();
    transport::setUpLogging(settings.logLevel, settings.partLevels);
    daemon::Daemon daemon(settings);
    if (!daemon.start()) {
        std::cerr << "comfreypierd: an address can't be bound\n";
        std::_Exit(ExitAddress);
    }
    transport::waitForTermination();
    auto code = daemon.drain() ? ExitOk : ExitCutOff;
    std::cerr.flush();
    std::_Exit(code);
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description description("options");
    description.add_options()("config", options::value<std::string>(), "settings file")("check", "check the settings and exit")("version", "print the version")("help", "print this help");
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
    auto settings = readSettings((*values)["config"].as<std::string>());
    if (!settings)
        return ExitUsage;
    if (values->count("check") > 0) {
        std::cout << "settings are good\n";
        return ExitOk;
    }
    return runDaemon(*settings);
}
