/// Parses service files, in which operators declare models, adapters and plain services, and merges them.
#include "protocol_p.h"

#include <algorithm>

namespace comfreypier::protocol {

namespace {

    /// Values of `urgency`, in the order of `Urgency`.
    const std::vector<std::string_view> urgencyChoices { "urgent", "normal", "background" };
    // Targets of items and plain services whose sections set none.
    constexpr std::chrono::microseconds defaultTokenGapTarget { 40000 };
    constexpr std::chrono::microseconds defaultFirstTokenTarget { 570000 };
    constexpr std::chrono::microseconds defaultPlainTarget { 2000000 };

    const std::vector<IniSectionRule>& serviceRules()
    {
        // Sections: kind, named, required, allowUnknownKeys, unknownKeyType, keys. Keys: key, type, required, choices.
        static const std::vector<IniSectionRule> rules {
            { "service", false, true, false, IniType::Text, { { "name", IniType::Name, true, {} } } },
            { "deployment", false, false, false, IniType::Text, { { "move_weight", IniType::Decimal, true, {} } } },
            { "model", true, false, false, IniType::Text,
                { { "memory", IniType::Bytes, true, {} },
                    { "version", IniType::Integer, false, {} },
                    { "urgency", IniType::Choice, false, urgencyChoices },
                    { "first_token_target", IniType::Duration, false, {} },
                    { "token_gap_target", IniType::Duration, false, {} } } },
            { "adapter", true, false, false, IniType::Text,
                { { "model", IniType::Name, true, {} },
                    { "memory", IniType::Bytes, true, {} },
                    { "version", IniType::Integer, false, {} },
                    { "urgency", IniType::Choice, false, urgencyChoices },
                    { "first_token_target", IniType::Duration, false, {} },
                    { "token_gap_target", IniType::Duration, false, {} } } },
            { "plain", true, false, false, IniType::Text,
                { { "endpoints", IniType::AddressList, true, {} },
                    { "urgency", IniType::Choice, false, urgencyChoices },
                    { "target", IniType::Duration, false, {} },
                    { "not_repeatable", IniType::Text, false, {} } } },
        };
        return rules;
    }

    Urgency readUrgency(const IniSection& section)
    {
        const auto* value = findValue(section, "urgency");
        if (!value)
            return Urgency::Normal;
        auto choice = std::find(urgencyChoices.begin(), urgencyChoices.end(), *value);
        return static_cast<Urgency>(choice - urgencyChoices.begin());
    }

    std::chrono::microseconds readDuration(const IniSection& section, std::string_view key, std::chrono::microseconds defaultValue)
    {
        const auto* value = findValue(section, key);
        return value ? *parseDuration(*value) : defaultValue;
    }

    /// Reads a `[model]` or `[adapter]` section; only an adapter has the key `model`.
    ItemSpec readItem(const IniSection& section, const std::string& service)
    {
        ItemSpec item;
        item.name = section.name;
        item.service = service;
        if (const auto* base = findValue(section, "model"))
            item.base = *base;
        if (const auto* version = findValue(section, "version"))
            item.version = static_cast<uint32_t>(*parseInteger(*version));
        item.bytes = *parseBytes(*findValue(section, "memory"));
        item.urgency = readUrgency(section);
        item.firstTokenTarget = readDuration(section, "first_token_target", defaultFirstTokenTarget);
        item.tokenGapTarget = readDuration(section, "token_gap_target", defaultTokenGapTarget);
        return item;
    }

    /// Returns whether `text` has the form of an HTTP method: upper-case letters only.
    bool isMethod(std::string_view text)
    {
        return !text.empty() && text.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ") == std::string_view::npos;
    }

    /// Reads a list of methods and path prefixes, such as `POST /orders, PUT /kiln`.
    std::vector<CallPattern> readNonRetryable(const IniSection& section, std::string_view file, std::vector<ConfigError>& errors)
    {
        std::vector<CallPattern> patterns;
        for (const auto& entry : section.entries) {
            if (entry.key != "not_repeatable")
                continue;
            for (const auto& part : splitList(entry.value)) {
                auto space = part.find(' ');
                CallPattern pattern { part.substr(0, space), space == std::string::npos ? "" : std::string(trim(part.substr(space))) };
                if (!isMethod(pattern.method) || pattern.pathPrefix.empty() || pattern.pathPrefix.front() != '/')
                    errors.push_back({ std::string(file), entry.line, "'not_repeatable' has '" + part + "', expected a method and a path such as POST /orders" });
                patterns.push_back(std::move(pattern));
            }
        }
        return patterns;
    }

    PlainServiceSpec readPlainService(const IniSection& section, const std::string& service, std::string_view file, std::vector<ConfigError>& errors)
    {
        PlainServiceSpec plain;
        plain.name = section.name;
        plain.service = service;
        for (const auto& address : splitList(*findValue(section, "endpoints")))
            plain.endpoints.push_back(transport::parseEndpoint(address).value());
        plain.urgency = readUrgency(section);
        plain.target = readDuration(section, "target", defaultPlainTarget);
        plain.nonRetryable = readNonRetryable(section, file, errors);
        return plain;
    }

    /// Checks `memory` and `version`, whose ranges `checkIni` does not know.
    void checkItemRanges(const IniDocument& document, std::vector<ConfigError>& errors)
    {
        constexpr int64_t maxVersion = 1000000;
        for (const auto& section : document.sections) {
            for (const auto& entry : section.entries) {
                if (entry.key == "memory" && parseBytes(entry.value) == uint64_t { 0 })
                    errors.push_back({ document.file, entry.line, "'memory' must be more than 0" });
                if (entry.key != "version")
                    continue;
                auto version = parseInteger(entry.value).value_or(1);
                if (version < 1 || version > maxVersion)
                    errors.push_back({ document.file, entry.line, "'version' is " + entry.value + ", allowed: 1 to 1000000" });
            }
        }
    }

    /// Adds a model or adapter, or an error if its name is already taken.
    void addItem(DeploymentSpec& deployment, const ItemSpec& item, std::vector<ConfigError>& errors)
    {
        auto [existing, added] = deployment.items.emplace(item.name, item);
        if (!added)
            errors.push_back({ item.service, 0, "'" + item.name + "' is already declared by service '" + existing->second.service + "'" });
    }

    /// Checks that the base of each adapter is a declared model.
    void checkBaseModels(const DeploymentSpec& deployment, std::vector<ConfigError>& errors)
    {
        for (const auto& [name, item] : deployment.items) {
            if (item.base.empty())
                continue;
            auto base = deployment.items.find(item.base);
            if (base == deployment.items.end())
                errors.push_back({ item.service, 0, "adapter '" + name + "' needs model '" + item.base + "', which no service declares" });
            else if (!base->second.base.empty())
                errors.push_back({ item.service, 0, "adapter '" + name + "' needs '" + item.base + "', which is itself an adapter" });
        }
    }

} // namespace

const char* name(Urgency urgency)
{
    constexpr std::array<const char*, static_cast<size_t>(Urgency::Count)> names { "urgent", "normal", "background" };
    return names[static_cast<size_t>(urgency)];
}

std::string itemKey(const ItemSpec& item)
{
    return item.name + "@" + std::to_string(item.version);
}

Result<ServiceSpec, std::vector<ConfigError>> parseServiceFile(std::string_view file, std::string_view text)
{
    if (text.size() > maxServiceFileBytes)
        return std::vector<ConfigError> { { std::string(file), 0, "file is larger than " + formatBytes(maxServiceFileBytes) } };
    auto document = parseIni(file, text);
    checkIni(document, serviceRules());
    if (!document.errors.empty())
        return document.errors;
    std::vector<ConfigError> errors;
    checkItemRanges(document, errors);
    ServiceSpec service;
    for (const auto& section : document.sections) {
        if (section.kind == "service")
            service.name = *findValue(section, "name");
    }
    for (const auto& section : document.sections) {
        if (section.kind == "model" || section.kind == "adapter")
            service.items.push_back(readItem(section, service.name));
        if (section.kind == "plain")
            service.plainServices.push_back(readPlainService(section, service.name, file, errors));
        if (section.kind == "deployment") {
            service.moveWeight = *parseDecimal(*findValue(section, "move_weight"));
            service.setsMoveWeight = true;
        }
    }
    if (!errors.empty())
        return errors;
    return service;
}

Result<DeploymentSpec, std::vector<ConfigError>> mergeServices(const std::vector<ServiceSpec>& services)
{
    DeploymentSpec deployment;
    std::vector<ConfigError> errors;
    std::string moveWeightService; // Last service that set `moveWeight`; empty if none has.
    for (const auto& service : services) {
        for (const auto& item : service.items)
            addItem(deployment, item, errors);
        for (const auto& plain : service.plainServices) {
            if (!deployment.plainServices.emplace(plain.name, plain).second)
                errors.push_back({ service.name, 0, "plain service '" + plain.name + "' is already declared" });
        }
        if (!service.setsMoveWeight)
            continue;
        if (!moveWeightService.empty())
            errors.push_back({ service.name, 0, "[deployment] is already set by service '" + moveWeightService + "'" });
        moveWeightService = service.name;
        deployment.moveWeight = service.moveWeight;
    }
    checkBaseModels(deployment, errors);
    if (!errors.empty())
        return errors;
    return deployment;
}

} // namespace comfreypier::protocol
