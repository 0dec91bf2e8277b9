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
        result.errors.push_back({ directory, 0, "directory contains no .ini files" });
    std::vector<protocol::ServiceSpec> specs;
    for (const auto& path : paths) {
        std::ifstream file(path);
        std::stringstream text;
        text << file.rdbuf();
        auto parsed = protocol::parseServiceFile(path.string(), text.str());
        if (!parsed) {
            result.errors.insert(result.errors.end(), parsed.error().begin(), parsed.error().end());
            continue;
        }
        specs.push_back(parsed.value());
        result.files.push_back({ path.string(), text.str(), parsed.value() });
    }
    if (!result.errors.empty())
        return result;
    auto merged = protocol::mergeServices(specs);
    if (!merged)
        result.errors = merged.error();
    return result;
}

void printErrors(const std::vector<protocol::ConfigError>& errors, bool asJson)
{
    if (!asJson) {
        for (const auto& error : errors)
            std::cerr << protocol::toString(error) << "\n";
        return;
    }
    json::array list;
    for (const auto& error : errors)
        list.push_back({ { "file", error.file }, { "line", error.line }, { "message", error.message } });
    std::cout << json::serialize(json::object { { "faults", std::move(list) } }) << "\n";
}

int runCheck(const Invocation& invocation)
{
    auto local = readServiceDir(invocation.arguments[0]);
    if (invocation.json || !local.errors.empty())
        printErrors(local.errors, invocation.json);
    else
        std::cout << local.files.size() << " service files are valid\n";
    return local.errors.empty() ? ExitOk : ExitProblemsFound;
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
    if (!local.errors.empty()) {
        printErrors(local.errors, invocation.json);
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
