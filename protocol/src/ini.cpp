/// Parses INI files and checks them against rules for their sections and keys.
#include "protocol_p.h"

#include <algorithm>

namespace comfreypier::protocol {

namespace {

    void addError(IniDocument& document, uint32_t line, std::string message)
    {
        document.errors.push_back({ document.file, line, std::move(message) });
    }

    /// @param line line without surrounding whitespace that begins with `[`.
    void parseSectionHeader(IniDocument& document, std::string_view line, uint32_t lineNumber)
    {
        if (line.back() != ']') {
            addError(document, lineNumber, "section header has no closing ']'");
            return;
        }
        auto header = trim(line.substr(1, line.size() - 2));
        auto space = header.find_first_of(" \t");
        IniSection section;
        section.kind = std::string(header.substr(0, space));
        if (space != std::string_view::npos)
            section.name = std::string(trim(header.substr(space)));
        section.line = lineNumber;
        document.sections.push_back(std::move(section));
    }

    /// Adds a `key = value` line to the last section, or an error to the document.
    void parseEntry(IniDocument& document, std::string_view line, uint32_t lineNumber)
    {
        auto separator = line.find('=');
        if (separator == std::string_view::npos) {
            addError(document, lineNumber, "expected 'key = value'");
            return;
        }
        if (document.sections.empty()) {
            addError(document, lineNumber, "key stands before the first section");
            return;
        }
        IniEntry entry { std::string(trim(line.substr(0, separator))), std::string(trim(line.substr(separator + 1))), lineNumber };
        auto& entries = document.sections.back().entries;
        bool isDuplicate = std::any_of(entries.begin(), entries.end(), [&](const IniEntry& other) { return other.key == entry.key; });
        if (isDuplicate)
            addError(document, lineNumber, "key '" + entry.key + "' stands twice in this section");
        else
            entries.push_back(std::move(entry));
    }

    /// Returns what a value of `type` looks like, for the message `expected ...`.
    const char* describeType(IniType type)
    {
        switch (type) {
        case IniType::Name:
            return "a name of letters, digits, '-', '_' and '.', at most 64 long";
        case IniType::Integer:
            return "a whole number";
        case IniType::Decimal:
            return "a number of 0 or more";
        case IniType::Bytes:
            return "a size such as 24GB, 180MB or 4096B";
        case IniType::Duration:
            return "a time such as 800ms, 1.5s or 2m";
        case IniType::Flag:
            return "yes or no";
        case IniType::Address:
            return "an IP address and port such as 127.0.0.1:8080";
        case IniType::AddressList:
            return "IP numbers and ports with commas between";
        default:
            return "text";
        }
    }

    /// Returns whether `value` contains at least one address, and only valid ones.
    bool isAddressList(std::string_view value)
    {
        auto parts = splitList(value);
        return !parts.empty() && std::all_of(parts.begin(), parts.end(), [](const std::string& part) { return bool(transport::parseEndpoint(part)); });
    }

    /// Returns whether `value` is valid for `type`. A choice only has to be non-empty here; `checkChoice` checks its value.
    bool hasType(std::string_view value, IniType type)
    {
        switch (type) {
        case IniType::Name:
            return isName(value);
        case IniType::Integer:
            return parseInteger(value).has_value();
        case IniType::Decimal:
            return parseDecimal(value).has_value();
        case IniType::Bytes:
            return parseBytes(value).has_value();
        case IniType::Duration:
            return parseDuration(value).has_value();
        case IniType::Flag:
            return parseFlag(value).has_value();
        case IniType::Address:
            return bool(transport::parseEndpoint(value));
        case IniType::AddressList:
            return isAddressList(value);
        default:
            return !value.empty();
        }
    }

    void checkChoice(IniDocument& document, const IniEntry& entry, const IniKey& key)
    {
        if (std::find(key.choices.begin(), key.choices.end(), entry.value) != key.choices.end())
            return;
        std::string allowed;
        for (auto choice : key.choices)
            allowed += (allowed.empty() ? "" : ", ") + std::string(choice);
        addError(document, entry.line, "'" + entry.key + "' is '" + entry.value + "', allowed: " + allowed);
    }

    void checkValue(IniDocument& document, const IniEntry& entry, IniType type)
    {
        if (!hasType(entry.value, type))
            addError(document, entry.line, "'" + entry.key + "' is '" + entry.value + "', expected " + describeType(type));
    }

    /// Checks that the rule allows the key of `entry`, and that the value has the type of the key.
    void checkEntry(IniDocument& document, const IniSection& section, const IniEntry& entry, const IniSectionRule& rule)
    {
        auto key = std::find_if(rule.keys.begin(), rule.keys.end(), [&](const IniKey& candidate) { return candidate.key == entry.key; });
        if (key == rule.keys.end() && rule.allowUnknownKeys) {
            checkValue(document, entry, rule.unknownKeyType);
            return;
        }
        if (key == rule.keys.end()) {
            std::string allowed;
            for (const auto& candidate : rule.keys)
                allowed += (allowed.empty() ? "" : ", ") + std::string(candidate.key);
            addError(document, entry.line, "unknown key '" + entry.key + "' in [" + section.kind + "], allowed: " + allowed);
            return;
        }
        if (key->type == IniType::Choice)
            checkChoice(document, entry, *key);
        else
            checkValue(document, entry, key->type);
    }

    void checkSection(IniDocument& document, const IniSection& section, const IniSectionRule& rule)
    {
        if (rule.named && !isName(section.name))
            addError(document, section.line, "[" + section.kind + "] needs a name, expected " + describeType(IniType::Name));
        if (!rule.named && !section.name.empty())
            addError(document, section.line, "[" + section.kind + "] takes no name");
        for (const auto& entry : section.entries)
            checkEntry(document, section, entry, rule);
        for (const auto& key : rule.keys) {
            bool present = std::any_of(section.entries.begin(), section.entries.end(), [&](const IniEntry& entry) { return entry.key == key.key; });
            if (key.required && !present)
                addError(document, section.line, "[" + section.kind + (section.name.empty() ? "" : " " + section.name) + "] lacks '" + std::string(key.key) + "'");
        }
    }

    /// Adds an error for each section whose kind and name an earlier section has.
    void checkDuplicateSections(IniDocument& document)
    {
        for (size_t i = 0; i < document.sections.size(); i++) {
            for (size_t j = 0; j < i; j++) {
                const auto& section = document.sections[i];
                const auto& first = document.sections[j];
                if (section.kind != first.kind || section.name != first.name)
                    continue;
                addError(document, section.line, "section [" + section.kind + (section.name.empty() ? "" : " " + section.name) + "] stands twice, first at line " + std::to_string(first.line));
                break;
            }
        }
    }

} // namespace

std::string_view trim(std::string_view text)
{
    constexpr std::string_view whitespace = " \t\r";
    auto start = text.find_first_not_of(whitespace);
    if (start == std::string_view::npos)
        return {};
    auto end = text.find_last_not_of(whitespace);
    return text.substr(start, end - start + 1);
}

const std::string* findValue(const IniSection& section, std::string_view key)
{
    for (const auto& entry : section.entries) {
        if (entry.key == key)
            return &entry.value;
    }
    return nullptr;
}

std::string toString(const ConfigError& error)
{
    return error.file + ":" + std::to_string(error.line) + ": " + error.message;
}

IniDocument parseIni(std::string_view file, std::string_view text)
{
    IniDocument document;
    document.file = std::string(file);
    uint32_t lineNumber = 0;
    while (!text.empty()) {
        lineNumber++;
        auto end = text.find('\n');
        auto line = trim(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        if (line.empty() || line.front() == ';' || line.front() == '#')
            continue;
        if (line.front() == '[')
            parseSectionHeader(document, line, lineNumber);
        else
            parseEntry(document, line, lineNumber);
    }
    return document;
}

void checkIni(IniDocument& document, const std::vector<IniSectionRule>& rules)
{
    auto sections = document.sections;
    for (const auto& section : sections) {
        auto rule = std::find_if(rules.begin(), rules.end(), [&](const IniSectionRule& candidate) { return candidate.kind == section.kind; });
        if (rule != rules.end()) {
            checkSection(document, section, *rule);
            continue;
        }
        std::string allowed;
        for (const auto& candidate : rules)
            allowed += (allowed.empty() ? "" : ", ") + std::string(candidate.kind);
        addError(document, section.line, "unknown section [" + section.kind + "], allowed: " + allowed);
    }
    checkDuplicateSections(document);
    for (const auto& rule : rules) {
        bool present = std::any_of(sections.begin(), sections.end(), [&](const IniSection& section) { return section.kind == rule.kind; });
        if (rule.required && !present)
            addError(document, 0, "section [" + std::string(rule.kind) + "] is missing");
    }
    std::stable_sort(document.errors.begin(), document.errors.end(), [](const ConfigError& a, const ConfigError& b) { return a.line < b.line; });
}

} // namespace comfreypier::protocol
