/// The commands `check` and `diff`, and reading and validation of service files.
#include "client_p.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace comfreypier::client {

LocalFiles readServiceDir(const std::string& directory)
{
    LocalFiles result;
    std::error_code error;
    std::vector<std::filesystem::path> paths;
    for (const auto& entry : std::filesystem::directory_iterator(directory, error)) {
        if (entry.path().extension() == ".ini")
            paths.push_back(entry.path());
    }
    std::sort(paths.begin(), paths.end());
    if (paths.empty())
        result.faults.push_back({ directory, 0, "directory contains no .ini files" });
    std::vector<protocol::ServiceSpec> specs;
    for (const auto& path : paths) {
        std::ifstream file(path);
        std::stringstream text;
        text << file.rdbuf();
        auto parsed = protocol::parseServiceFile(path.string(), text.str());
        if (!parsed) {
            result.faults.insert(result.faults.end(), parsed.error().begin(), parsed.error().end());
            continue;
        }
        specs.push_back(parsed.value());
        result.files.push_back({ path.string(), text.str(), parsed.value() });
    }
    if (!result.faults.empty())
        return result;
    auto merged = protocol::mergeServices(specs);
    if (!merged)
        result.faults = merged.error();
    return result;
}

void printFaults(const std::vector<protocol::ConfigError>& faults, bool asJson)
{
    if (!asJson) {
        for (const auto& fault : faults)
            std::cerr << protocol::toString(fault) << "\n";
        return;
    }
    json::array list;
    for (const auto& fault : faults)
        list.push_back({ { "file", fault.file }, { "line", fault.line }, { "message", fault.message } });
    std::cout << json::serialize(json::object { { "faults", std::move(list) } }) << "\n";
}

int runCheck(const Invocation& invocation)
{
    auto local = readServiceDir(invocation.arguments[0]);
    if (invocation.json || !local.faults.empty())
        printFaults(local.faults, invocation.json);
    else
        std::cout << local.files.size() << " service files are valid\n";
    return local.faults.empty() ? ExitOk : ExitProblemsFound;
}

void printDiff(const std::string& name, std::string_view before, std::string_view after)
{
    std::cout << "--- " << name << "\n";
    for (const auto& line : diffLines(before, after)) {
        if (line.mark != ' ')
            std::cout << line.mark << " " << line.text << "\n";
    }
}

int runDiff(const Invocation& invocation, transport::HttpClient& client)
{
    auto local = readServiceDir(invocation.arguments[0]);
    if (!local.faults.empty()) {
        printFaults(local.faults, invocation.json);
        return ExitProblemsFound;
    }
    auto remote = fetchConfig(invocation, client);
    if (!remote) {
        std::cerr << "comfreypier: no node responded\n";
        return ExitUnreachable;
    }
    json::array changes;
    for (const auto& file : local.files) {
        auto accepted = remote->services.find(file.spec.name);
        auto before = accepted == remote->services.end() ? std::string {} : accepted->second.text;
        if (before == file.text)
            continue;
        auto base = accepted == remote->services.end() ? json::value(nullptr) : json::value(accepted->second.offset);
        changes.push_back({ { "service", file.spec.name }, { "base", base } });
        if (!invocation.json)
            printDiff(file.spec.name + (base.is_null() ? " (new)" : " (accepted at offset " + json::serialize(base) + ")"), before, file.text);
    }
    bool same = changes.empty();
    if (invocation.json)
        std::cout << json::serialize(json::object { { "changes", std::move(changes) } }) << "\n";
    else if (same)
        std::cout << "no differences\n";
    return same ? ExitOk : ExitProblemsFound;
}

} // namespace comfreypier::client
