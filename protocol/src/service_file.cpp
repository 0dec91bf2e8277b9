/// Service files: what operators declare beside a service's code.
#include "protocol_p.h"

#include <algorithm>

namespace comfreypier::protocol {

namespace {

    const std::vector<std::string_view> urgencyChoices { "urgent", "normal", "background" };
    constexpr std::chrono::microseconds defaultTokenGapTarget { 40000 };
    constexpr std::chrono::microseconds defaultFirstTokenTarget { 570000 };
    constexpr std::chrono::microseconds defaultPlainTarget { 2000000 };

    const std::vector<IniSectionRule>& serviceRules()
    {
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
        auto found = std::find(urgencyChoices.begin(), urgencyChoices.end(), *value);
        return static_cast<Urgency>(found - urgencyChoices.begin());
    }

    std::chrono::microseconds readDuration(const IniSection& section, std::string_view key, std::chrono::microseconds fallback)
    {
        const auto* value = findValue(section, key);
        return value ? *parseDuration(*value) : fallback;
    }

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

    bool isMethod(std::string_view text)
    {
        return !text.empty() && text.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ") == std::string_view::npos;
    }

    /// Parses `POST /orders, PUT /kiln`.
    std::vector<CallPattern> readCallRules(const IniSection& section, std::string_view file, std::vector<ConfigError>& faults)
    {
        std::vector<CallPattern> rules;
        for (const auto& entry : section.entries) {
            if (entry.key != "not_repeatable")
                continue;
            for (const auto& part : splitList(entry.value)) {
                auto space = part.find(' ');
                CallPattern rule { part.substr(0, space), space == std::string::npos ? "" : std::string(trim(part.substr(space))) };
                if (!isMethod(rule.method) || rule.pathPrefix.empty() || rule.pathPrefix.front() != '/')
                    faults.push_back({ std::string(file), entry.line, "'not_repeatable' has '" + part + "', expected a method and a path such as POST /orders" });
                rules.push_back(std::move(rule));
            }
        }
        return rules;
    }

    PlainServiceSpec readPlain(const IniSection& section, const std::string& service, std::string_view file, std::vector<ConfigError>& faults)
    {
        PlainServiceSpec plain;
        plain.name = section.name;
        plain.service = service;
        for (const auto& address : splitList(*findValue(section, "endpoints")))
            plain.endpoints.push_back(transport::parseEndpoint(address).value());
        plain.urgency = readUrgency(section);
        plain.target = readDuration(section, "target", defaultPlainTarget);
        plain.nonRetryable = readCallRules(section, file, faults);
        return plain;
    }

    void checkItemValues(const IniDocument& document, std::vector<ConfigError>& faults)
    {
        constexpr int64_t versionLimit = 1000000;
        for (const auto& section : document.sections) {
            for (const auto& entry : section.entries) {
                if (entry.key == "memory" && parseBytes(entry.value) == uint64_t { 0 })
                    faults.push_back({ document.file, entry.line, "'memory' must be more than 0" });
                if (entry.key != "version")
                    continue;
                auto version = parseInteger(entry.value).value_or(1);
                if (version < 1 || version > versionLimit)
                    faults.push_back({ document.file, entry.line, "'version' is " + entry.value + ", allowed: 1 to 1000000" });
            }
        }
    }

    void addItem(DeploymentSpec& deployment, const ItemSpec& item, std::vector<ConfigError>& faults)
    {
        auto [existing, added] = deployment.items.emplace(item.name, item);
        if (!added)
            faults.push_back({ item.service, 0, "'" + item.name + "' is already declared by service '" + existing->second.service + "'" });
    }

    void checkBases(const DeploymentSpec& deployment, std::vector<ConfigError>& faults)
    {
        for (const auto& [name, item] : deployment.items) {
            if (item.base.empty())
                continue;
            auto base = deployment.items.find(item.base);
            if (base == deployment.items.end())
                faults.push_back({ item.service, 0, "adapter '" + name + "' needs model '" + item.base + "', which no service declares" });
            else if (!base->second.base.empty())
                faults.push_back({ item.service, 0, "adapter '" + name + "' needs '" + item.base + "', which is itself an adapter" });
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
    std::vector<ConfigError> faults;
    checkItemValues(document, faults);
    ServiceSpec service;
    for (const auto& section : document.sections) {
        if (section.kind == "service")
            service.name = *findValue(section, "name");
    }
    for (const auto& section : document.sections) {
        if (section.kind == "model" || section.kind == "adapter")
            service.items.push_back(readItem(section, service.name));
        if (section.kind == "plain")
            service.plainServices.push_back(readPlain(section, service.name, file, faults));
        if (section.kind == "deployment") {
            service.moveWeight = *parseDecimal(*findValue(section, "move_weight"));
            service.setsMoveWeight = true;
        }
    }
    if (!faults.empty())
        return faults;
    return service;
}

Result<DeploymentSpec, std::vector<ConfigError>> mergeServices(const std::vector<ServiceSpec>& services)
{
    DeploymentSpec deployment;
    std::vector<ConfigError> faults;
    std::string weightFrom;
    for (const auto& service : services) {
        for (const auto& item : service.items)
            addItem(deployment, item, faults);
        for (const auto& plain : service.plainServices) {
            if (!deployment.plainServices.emplace(plain.name, plain).second)
                faults.push_back({ service.name, 0, "plain service '" + plain.name + "' is already declared" });
        }
        if (!service.setsMoveWeight)
            continue;
        if (!weightFrom.empty())
            faults.push_back({ service.name, 0, "[deployment] is already set by service '" + weightFrom + "'" });
        weightFrom = service.name;
        deployment.moveWeight = service.moveWeight;
    }
    checkBases(deployment, faults);
    if (!faults.empty())
        return faults;
    return deployment;
}

} // namespace comfreypier::protocol
