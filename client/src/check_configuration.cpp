/// The command `check-configuration`: checks a configuration before it is sent and compares it with the version in force.
#include "client_p.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <platform/platform.h>

namespace comfreypier::client {

namespace {

    const char* name(routing::FindingLevel level)
    {
        return level == routing::FindingLevel::Error ? "error" : "warning";
    }

    std::optional<std::string> readFile(const std::string& path)
    {
        std::ifstream file(path, std::ios::binary);
        if (!file)
            return std::nullopt;
        return std::string(std::istreambuf_iterator<char>(file), {});
    }

    /// Returns how many keys each account gains and loses, without naming any.
    std::vector<routing::ConfigurationChange> compareKeys(const platform::AccountKeys& before, const platform::AccountKeys& after)
    {
        std::vector<routing::ConfigurationChange> changes;
        for (const auto& [account, keys] : after) {
            auto known = before.find(account);
            if (known == before.end())
                continue;
            auto isIn = [](const auto& set) { return [&set](const auto& key) { return set.contains(key); }; };
            auto kept = std::count_if(keys.begin(), keys.end(), isIn(known->second));
            auto added = static_cast<std::ptrdiff_t>(keys.size()) - kept;
            auto removed = static_cast<std::ptrdiff_t>(known->second.size()) - kept;
            if (added + removed > 0)
                changes.push_back({ routing::ConfigurationChange::Kind::Changed, "client account " + account, "keys +" + std::to_string(added) + " -" + std::to_string(removed) });
        }
        return changes;
    }

    void printText(const std::string& path, const std::vector<routing::ConfigurationFinding>& findings, const std::vector<routing::ConfigurationChange>& changes)
    {
        for (const auto& finding : findings)
            std::cout << path << ": " << name(finding.level) << ": " << finding.entry << (finding.entry.empty() ? "" : ": ") << finding.text << "\n";
        for (const auto& change : changes)
            std::cout << routing::name(change.kind) << " " << change.entry << (change.text.empty() ? "" : ": ") << change.text << "\n";
    }

    void printJson(const std::vector<routing::ConfigurationFinding>& findings, const std::vector<routing::ConfigurationChange>& changes)
    {
        json::array findingList;
        for (const auto& finding : findings)
            findingList.push_back(json::object { { "level", name(finding.level) }, { "entry", finding.entry }, { "text", finding.text } });
        json::array changeList;
        for (const auto& change : changes)
            changeList.push_back(json::object { { "kind", routing::name(change.kind) }, { "entry", change.entry }, { "text", change.text } });
        std::cout << json::serialize(json::object { { "findings", std::move(findingList) }, { "changes", std::move(changeList) } }) << "\n";
    }

} // namespace

int runCheckConfiguration(const Invocation& invocation)
{
    auto text = readFile(invocation.arguments[0]);
    auto textInForce = invocation.inForce.empty() ? std::nullopt : readFile(invocation.inForce);
    for (const auto* path : { text ? nullptr : &invocation.arguments[0], textInForce || invocation.inForce.empty() ? nullptr : &invocation.inForce }) {
        if (path != nullptr) {
            std::cerr << "comfreypier: cannot read '" << *path << "'\n";
            return ExitUsage;
        }
    }
    auto checked = platform::checkConfigurationText(*text);
    std::vector<routing::ConfigurationChange> changes;
    if (textInForce && checked.configuration) {
        auto inForce = platform::checkConfigurationText(*textInForce);
        if (!inForce.configuration) {
            std::cerr << "comfreypier: '" << invocation.inForce << "' is no configuration\n";
            return ExitUsage;
        }
        changes = routing::compareConfigurations(*inForce.configuration, *checked.configuration);
        auto keyChanges = compareKeys(inForce.keys, checked.keys);
        changes.insert(changes.end(), keyChanges.begin(), keyChanges.end());
        if (checked.configuration->version <= inForce.configuration->version)
            checked.findings.push_back({ routing::FindingLevel::Error, "", "version " + std::to_string(checked.configuration->version) + " is not newer than version " + std::to_string(inForce.configuration->version) + " in force" });
    }
    invocation.json ? printJson(checked.findings, changes) : printText(invocation.arguments[0], checked.findings, changes);
    bool hasErrors = std::any_of(checked.findings.begin(), checked.findings.end(), [](const auto& finding) { return finding.level == routing::FindingLevel::Error; });
    return hasErrors ? ExitProblemsFound : ExitOk;
}

} // namespace comfreypier::client
