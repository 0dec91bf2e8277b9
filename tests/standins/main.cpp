/// comfreypier-standins: runs the stand-ins that a settings file describes, each on its own port.
#include "standins.h"

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace comfreypier;
using namespace comfreypier::standins;

namespace {

/// Returns the rules of the settings file: one section `platform`, and a named section for each daemon (`entry`), engine and
/// plain service. Daemons are only listed as VMs; they run elsewhere.
const std::vector<protocol::IniSectionRule>& sectionRules()
{
    using protocol::IniType;
    static const std::vector<protocol::IniSectionRule> value {
        { "platform", false, true, false, IniType::Text,
            { { "log", IniType::Address, true, {} }, { "vm_list", IniType::Address, true, {} }, { "load_time", IniType::Duration, false, {} },
                { "loads_at_once", IniType::Integer, false, {} }, { "adapters_at_once", IniType::Integer, false, {} }, { "threads", IniType::Integer, false, {} } } },
        { "entry", true, false, false, IniType::Text, { { "endpoint", IniType::Address, true, {} }, { "data_centre", IniType::Name, true, {} } } },
        { "engine", true, false, false, IniType::Text,
            { { "endpoint", IniType::Address, true, {} }, { "data_centre", IniType::Name, true, {} }, { "capacity", IniType::Bytes, true, {} },
                { "slots", IniType::Integer, false, {} }, { "fencing", IniType::Flag, false, {} }, { "prefill", IniType::Duration, false, {} }, { "token_gap", IniType::Duration, false, {} } } },
        { "plain", true, false, false, IniType::Text, { { "endpoint", IniType::Address, true, {} } } },
    };
    return value;
}

/// Returns the value of a key, or `fallback` if the section lacks it.
std::string valueOr(const protocol::IniSection& section, std::string_view key, const char* fallback)
{
    for (const auto& entry : section.entries) {
        if (entry.key == key)
            return entry.value;
    }
    return fallback;
}

/// Returns the address in a required key. `checkIni` has checked that it is valid.
Endpoint endpointOf(const protocol::IniSection& section, std::string_view key)
{
    return transport::parseEndpoint(valueOr(section, key, "")).value();
}

/// Returns the configuration in a section `engine`.
EngineConfig engineConfig(const protocol::IniSection& section)
{
    EngineConfig config;
    config.name = section.name;
    config.endpoint = endpointOf(section, "endpoint");
    config.dataCentre = valueOr(section, "data_centre", "");
    config.capacity = *protocol::parseBytes(valueOr(section, "capacity", "0B"));
    config.slots = static_cast<uint32_t>(*protocol::parseInteger(valueOr(section, "slots", "8")));
    config.fencing = *protocol::parseFlag(valueOr(section, "fencing", "yes"));
    config.prefillTime = *protocol::parseDuration(valueOr(section, "prefill", "20ms"));
    config.tokenGap = *protocol::parseDuration(valueOr(section, "token_gap", "5ms"));
    return config;
}

/// All stand-ins of this process and their HTTP servers.
struct StandinHost {
    /// @param platform the section `platform`.
    StandinHost(const protocol::IniSection& platform)
        : runtime(static_cast<unsigned>(*protocol::parseInteger(valueOr(platform, "threads", "1"))))
        , store(std::chrono::duration_cast<std::chrono::milliseconds>(*protocol::parseDuration(valueOr(platform, "load_time", "1s"))),
              static_cast<unsigned>(*protocol::parseInteger(valueOr(platform, "loads_at_once", "4"))),
              static_cast<unsigned>(*protocol::parseInteger(valueOr(platform, "adapters_at_once", "30"))))
    {
    }

    /// Starts a server that passes its requests to `handler`.
    /// @return false if the address can't be bound, which is reported to stderr.
    bool listen(const Endpoint& endpoint, transport::HttpHandler handler)
    {
        transport::ServerLimits limits;
        limits.maxBodyBytes = 64ULL * 1024 * 1024;
        auto makeErrorResponse = [](unsigned status, std::string_view reason) { return HttpResponse { status, {}, std::string(reason) }; };
        this->servers.push_back(std::make_unique<transport::HttpServer>(this->runtime, endpoint, limits, std::move(handler), makeErrorResponse));
        if (this->servers.back()->start())
            return true;
        std::cerr << "standins: cannot listen on " << transport::toString(endpoint) << "\n";
        return false;
    }

    /// Starts a server that passes its requests to a stand-in. Returns like `listen`.
    template <class Standin>
    bool serve(const Endpoint& endpoint, Standin& standin)
    {
        return this->listen(endpoint, [&standin](const HttpRequest& request, ResponseWriter& writer) { standin.serve(request, writer); });
    }

    transport::Runtime runtime;
    WeightStore store;
    LogStandin log;
    VmListStandin vmList;
    std::vector<std::unique_ptr<EngineStandin>> engines;
    std::vector<std::unique_ptr<PlainStandin>> plainServices;
    std::vector<std::unique_ptr<transport::HttpServer>> servers;
};

/// Starts the stand-ins that a section describes. @return false if an address can't be bound.
bool startSection(StandinHost& host, const protocol::IniSection& section)
{
    if (section.kind == "platform")
        return host.serve(endpointOf(section, "log"), host.log) && host.serve(endpointOf(section, "vm_list"), host.vmList);
    auto endpoint = endpointOf(section, "endpoint");
    if (section.kind == "entry") {
        host.vmList.add(section.name, "entry", endpoint, valueOr(section, "data_centre", ""), 0);
        return true;
    }
    if (section.kind == "engine") {
        host.engines.push_back(std::make_unique<EngineStandin>(engineConfig(section), host.store));
        const auto& config = host.engines.back()->settings();
        host.vmList.add(config.name, "worker", config.endpoint, config.dataCentre, config.capacity);
        return host.serve(endpoint, *host.engines.back());
    }
    host.plainServices.push_back(std::make_unique<PlainStandin>());
    return host.serve(endpoint, *host.plainServices.back());
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2) {
        std::cerr << "usage: comfreypier-standins FILE\n";
        return 2;
    }
    std::ifstream file(argv[1]);
    std::stringstream contents;
    contents << file.rdbuf();
    auto document = protocol::parseIni(argv[1], contents.str());
    protocol::checkIni(document, sectionRules());
    for (const auto& error : document.errors)
        std::cerr << protocol::toString(error) << "\n";
    if (!document.errors.empty())
        return 2;
    transport::blockTerminationSignals();
    transport::raiseDescriptorLimit();
    auto platform = std::find_if(document.sections.begin(), document.sections.end(), [](const auto& section) { return section.kind == "platform"; });
    StandinHost host(*platform);
    for (const auto& section : document.sections) {
        if (!startSection(host, section))
            return 1;
    }
    // A wait that times out is repeated.
    while (transport::waitForSignal(std::chrono::milliseconds { 1000 }) != transport::ProcessSignal::Terminate) { }
    std::cout.flush();
    std::_Exit(0);
}
