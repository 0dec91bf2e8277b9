/// Differences between two configurations.
#include "routing_p.h"

#include <algorithm>
#include <cstdio>

namespace comfreypier::routing {

namespace {

    using Kind = ConfigurationChange::Kind;
    /// Names and values of an entry's fields, as text.
    using Fields = std::map<std::string, std::string>;

    std::string toText(double number)
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.15g", number);
        return text.data();
    }

    std::string toText(bool value)
    {
        return value ? "yes" : "no";
    }

    Fields fieldsOf(const Route& route)
    {
        std::string targets;
        for (const auto& target : route.targets)
            targets += (targets.empty() ? "" : ",") + target.service + ":" + std::to_string(target.weight);
        return { { "host", route.host }, { "path prefix", route.pathPrefix }, { "services", targets }, { "streaming", toText(route.streaming) }, { "idempotent", toText(route.idempotent) },
            { "resumable", toText(route.resumable) }, { "timeout", formatTime(route.timeout) }, { "target latency", formatTime(route.targetLatency) }, { "target gap", formatTime(route.targetGap) },
            { "priority", std::to_string(route.priority) }, { "attempts", std::to_string(route.maxAttempts) }, { "open", toText(route.open) } };
    }

    Fields fieldsOf(const ModelSpec& model)
    {
        return { { "weights", toText(model.weightsMegabytes) + " MB" }, { "adapters", std::to_string(model.adapterCount) }, { "adapter", toText(model.adapterMegabytes) + " MB" },
            { "load from store", formatTime(model.storeLoadTime) }, { "load from disk", formatTime(model.diskLoadTime) } };
    }

    Fields fieldsOf(const Service& service)
    {
        Fields fields { { "connections", std::to_string(service.connectionLimit) }, { "engine", toText(service.engine.has_value()) } };
        if (!service.engine)
            return fields;
        const auto& engine = *service.engine;
        fields.insert({ { "slots", std::to_string(engine.slots) }, { "KV cache", toText(engine.kvCacheTokens) + " tokens" }, { "memory for weights", toText(engine.weightsMegabytes) + " MB" },
            { "places for adapters", std::to_string(engine.adapterSlots) }, { "loads from store", toText(engine.storeLoadsPerSecond) + "/s" }, { "backups", toText(engine.supportsBackups) } });
        return fields;
    }

    Fields fieldsOf(const accounts::ClientAccount& account)
    {
        const auto& quota = account.quota;
        return { { "priority", account.priority ? std::to_string(*account.priority) : "-" }, { "unit", quota.unit == accounts::QuotaUnit::Tokens ? "tokens" : "requests" },
            { "rate", toText(quota.ratePerSecond) + "/s" }, { "burst", toText(quota.burst) }, { "default tokens", toText(quota.defaultTokens) } };
    }

    Fields fieldsOf(const CallerLimits& limits)
    {
        return { { "head", std::to_string(limits.maxHeaderBytes) + " bytes" }, { "body", std::to_string(limits.maxBodyBytes) + " bytes" }, { "time to send a head", formatTime(limits.headerTimeout) },
            { "idle time", formatTime(limits.idleTimeout) } };
    }

    /// Adds a change if any field differs.
    void compareFields(const std::string& entry, const Fields& before, const Fields& after, std::vector<ConfigurationChange>& changes)
    {
        std::string text;
        auto addField = [&text](const std::string& field, const std::string& from, const std::string& to) {
            if (from != to)
                text += (text.empty() ? "" : ", ") + field + " " + from + " -> " + to;
        };
        for (const auto& [field, value] : before)
            addField(field, value, after.contains(field) ? after.at(field) : "-");
        for (const auto& [field, value] : after) {
            if (!before.contains(field))
                addField(field, "-", value);
        }
        if (!text.empty())
            changes.push_back({ Kind::Changed, entry, text });
    }

    /// Compares two sets of entries.
    /// @param kind word before the name of each entry.
    template <class Entry>
    void compareEntries(const std::string& kind, const std::map<std::string, const Entry*>& before, const std::map<std::string, const Entry*>& after, std::vector<ConfigurationChange>& changes)
    {
        for (const auto& [name, entry] : before) {
            auto found = after.find(name);
            if (found == after.end())
                changes.push_back({ Kind::Removed, kind + name, "" });
            else
                compareFields(kind + name, fieldsOf(*entry), fieldsOf(*found->second), changes);
        }
        for (const auto& [name, entry] : after) {
            if (!before.contains(name))
                changes.push_back({ Kind::Added, kind + name, "" });
        }
    }

    /// Further entries with the same name get its number, for example `order (2)`.
    template <class Entry, class Name>
    std::map<std::string, const Entry*> byName(const std::vector<Entry>& entries, Name&& nameOf)
    {
        std::map<std::string, const Entry*> result;
        std::map<std::string, int> counts;
        for (const auto& entry : entries) {
            auto name = nameOf(entry);
            auto count = ++counts[name];
            result.try_emplace(count == 1 ? name : name + " (" + std::to_string(count) + ")", &entry);
        }
        return result;
    }

    std::map<std::string, const Service*> servicesOf(const Configuration& configuration)
    {
        std::map<std::string, const Service*> result;
        for (const auto& [name, service] : configuration.services)
            result.emplace(name, &service);
        return result;
    }

    std::map<std::string, const ModelSpec*> modelsOf(const Configuration& configuration)
    {
        std::map<std::string, const ModelSpec*> result;
        for (const auto& [name, service] : configuration.services) {
            for (size_t i = 0; service.engine && i < service.engine->models.size(); i++)
                result.try_emplace(name + "/" + service.engine->models[i].name, &service.engine->models[i]);
        }
        return result;
    }

    std::map<std::string, const accounts::ClientAccount*> accountsOf(const Configuration& configuration)
    {
        if (!configuration.accounts)
            return {};
        return byName(*configuration.accounts, [](const auto& account) { return account.name; });
    }

} // namespace

std::string formatTime(milliseconds time)
{
    return std::to_string(time.count()) + " ms";
}

std::string labelOf(const Route& route)
{
    return route.name.empty() ? route.host + route.pathPrefix : route.name;
}

const char* name(Kind kind)
{
    constexpr std::array<const char*, static_cast<size_t>(Kind::Count)> names { "added", "removed", "changed" };
    return names[static_cast<size_t>(kind)];
}

std::vector<ConfigurationChange> compareConfigurations(const Configuration& before, const Configuration& after)
{
    std::vector<ConfigurationChange> changes;
    compareFields("version", { { "number", std::to_string(before.version) } }, { { "number", std::to_string(after.version) } }, changes);
    compareEntries("route ", byName(before.routes, labelOf), byName(after.routes, labelOf), changes);
    compareEntries("service ", servicesOf(before), servicesOf(after), changes);
    compareEntries("model ", modelsOf(before), modelsOf(after), changes);
    compareEntries("client account ", accountsOf(before), accountsOf(after), changes);
    compareFields("client accounts", { { "in use", toText(before.accounts.has_value()) } }, { { "in use", toText(after.accounts.has_value()) } }, changes);
    compareFields("limits", fieldsOf(before.limits), fieldsOf(after.limits), changes);
    return changes;
}

} // namespace comfreypier::routing
