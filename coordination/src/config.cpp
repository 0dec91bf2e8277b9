/// Replay of the configuration stream.
#include <coordination/coordination.h>

namespace comfreypier::coordination {

namespace {

    using protocol::ConfigPublish;

    /// Returns the errors as the text of a verdict's `detail`.
    std::string formatErrors(const std::vector<protocol::ConfigError>& errors)
    {
        std::string text;
        for (const auto& error : errors)
            text += (text.empty() ? "" : "; ") + protocol::toString(error);
        return text;
    }

    /// Parses service files and merges them into one deployment.
    /// @return the deployment, or the errors of the first invalid file or of the merge.
    Result<protocol::DeploymentSpec, std::vector<protocol::ConfigError>> mergeFiles(const std::map<std::string, AcceptedFile>& files)
    {
        std::vector<protocol::ServiceSpec> services;
        for (const auto& [name, file] : files) {
            auto parsed = protocol::parseServiceFile(name, file.publish.text);
            if (!parsed)
                return parsed.error();
            services.push_back(std::move(parsed.value()));
        }
        return protocol::mergeServices(services);
    }

    /// Checks that a change is based on the accepted version of its service, or on none if the service is not published.
    /// @return `Applied` or `Conflict`.
    /// @param detail receives the reason for a conflict.
    Verdict checkBase(const ConfigState& state, const ConfigPublish& publish, std::string& detail)
    {
        auto accepted = state.services.find(publish.service);
        std::optional<Offset> current;
        if (accepted != state.services.end())
            current = accepted->second.offset;
        if (current == publish.base)
            return Verdict::Applied;
        detail = current ? "version " + std::to_string(*current) + " is accepted" : "the service is not published";
        return Verdict::Conflict;
    }

    /// Checks that a file can be parsed and declares the service under which it is published. A removal has no file to check.
    /// @param detail receives the reason if it does not.
    bool declaresOwnService(const ConfigPublish& publish, std::string& detail)
    {
        if (publish.remove)
            return true;
        auto parsed = protocol::parseServiceFile(publish.service, publish.text);
        if (!parsed) {
            detail = formatErrors(parsed.error());
            return false;
        }
        if (parsed.value().name == publish.service)
            return true;
        detail = "the file is of service '" + parsed.value().name + "'";
        return false;
    }

    /// Applies all publishes of one record, or none of them if one is rejected.
    /// @param detail receives the reason for the rejection.
    Verdict applyPublishes(ConfigState& state, Offset offset, const std::vector<ConfigPublish>& publishes, std::string& detail)
    {
        auto files = state.services;
        for (const auto& publish : publishes) {
            auto verdict = checkBase(state, publish, detail);
            if (verdict != Verdict::Applied)
                return verdict;
            if (!declaresOwnService(publish, detail))
                return Verdict::InvalidFile;
            if (publish.remove)
                files.erase(publish.service);
            else
                files[publish.service] = { publish, offset };
        }
        auto merged = mergeFiles(files);
        if (!merged) {
            detail = formatErrors(merged.error());
            return Verdict::InvalidFile;
        }
        state.services = std::move(files);
        state.deployment = std::move(merged.value());
        return Verdict::Applied;
    }

    void addHistory(ConfigState& state, PublishOutcome outcome)
    {
        state.history.push_back(std::move(outcome));
        if (state.history.size() > maxHistoryEntries)
            state.history.erase(state.history.begin());
    }

} // namespace

std::vector<Verdict> applyConfigRecord(ConfigState& state, Offset offset, const Envelope& envelope)
{
    state.next = offset + 1;
    std::vector<Verdict> verdicts(envelope.entries.size(), Verdict::Duplicate);
    if (!acceptRecord(state.writers, envelope.id))
        return verdicts;
    std::vector<ConfigPublish> publishes;
    for (const auto& entry : envelope.entries) {
        if (const auto* publish = std::get_if<ConfigPublish>(&entry))
            publishes.push_back(*publish);
    }
    // Such a record carries parts of a snapshot, which do not change the state.
    if (publishes.empty())
        return std::vector<Verdict>(envelope.entries.size(), Verdict::Applied);
    std::string detail;
    auto verdict = applyPublishes(state, offset, publishes, detail);
    for (const auto& publish : publishes)
        addHistory(state, { offset, envelope.id, publish.service, publish.author, verdict, detail });
    return std::vector<Verdict>(envelope.entries.size(), verdict);
}

protocol::Snapshot makeSnapshot(const ConfigState& state)
{
    protocol::Snapshot snapshot;
    snapshot.upTo = state.next;
    for (const auto& [writer, entry] : state.writers.writers)
        snapshot.seenIds.push_back({ writer, entry.lastNumber });
    for (const auto& [name, file] : state.services)
        snapshot.services.push_back({ file.publish, file.offset });
    return snapshot;
}

ConfigState restoreConfig(const protocol::Snapshot& snapshot)
{
    ConfigState state;
    state.next = snapshot.upTo;
    for (const auto& id : snapshot.seenIds)
        acceptRecord(state.writers, id);
    for (const auto& saved : snapshot.services)
        state.services[saved.publish.service] = { saved.publish, saved.offset };
    // The deployment stays empty if the files cannot be merged.
    if (auto merged = mergeFiles(state.services))
        state.deployment = std::move(merged.value());
    return state;
}

} // namespace comfreypier::coordination
