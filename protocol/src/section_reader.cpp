/// Reads typed values from the sections of a settings file.
#include "protocol_p.h"

namespace comfreypier::protocol {

using std::chrono::milliseconds;

SectionReader::SectionReader(const IniDocument& document, std::string_view kind, std::vector<ConfigError>& errors)
    : document(document)
    , errors(errors)
{
    for (const auto& section : document.sections) {
        if (section.kind == kind)
            this->section = &section;
    }
}

void SectionReader::text(std::string_view key, std::string& target) const
{
    if (const auto* entry = this->find(key))
        target = entry->value;
}

void SectionReader::address(std::string_view key, transport::Endpoint& target) const
{
    if (const auto* entry = this->find(key))
        target = transport::parseEndpoint(entry->value).value();
}

void SectionReader::flag(std::string_view key, bool& target) const
{
    if (const auto* entry = this->find(key))
        target = *parseFlag(entry->value);
}

void SectionReader::decimal(std::string_view key, double& target, double max) const
{
    const auto* entry = this->find(key);
    if (!entry)
        return;
    target = *parseDecimal(entry->value);
    if (target > max)
        this->addRangeError(*entry, "0 to " + std::to_string(max));
}

void SectionReader::duration(std::string_view key, milliseconds& target, milliseconds min, milliseconds max) const
{
    const auto* entry = this->find(key);
    if (!entry)
        return;
    target = std::chrono::duration_cast<milliseconds>(*parseDuration(entry->value));
    if (target < min || target > max)
        this->addRangeError(*entry, formatDuration(min) + " to " + formatDuration(max));
}

uint32_t SectionReader::line() const
{
    return this->section ? this->section->line : 0;
}

const IniEntry* SectionReader::find(std::string_view key) const
{
    if (!this->section)
        return nullptr;
    for (const auto& entry : this->section->entries) {
        if (entry.key == key)
            return &entry;
    }
    return nullptr;
}

void SectionReader::addRangeError(const IniEntry& entry, const std::string& allowed) const
{
    this->errors.push_back({ this->document.file, entry.line, "'" + entry.key + "' is " + entry.value + ", allowed: " + allowed });
}

std::optional<int64_t> SectionReader::checkedInteger(std::string_view key, int64_t min, int64_t max) const
{
    const auto* entry = this->find(key);
    if (!entry)
        return std::nullopt;
    auto value = *parseInteger(entry->value);
    if (value < min || value > max)
        this->addRangeError(*entry, std::to_string(min) + " to " + std::to_string(max));
    return value;
}

std::optional<uint64_t> SectionReader::checkedBytes(std::string_view key, uint64_t min, uint64_t max) const
{
    const auto* entry = this->find(key);
    if (!entry)
        return std::nullopt;
    auto value = *parseBytes(entry->value);
    if (value < min || value > max)
        this->addRangeError(*entry, formatBytes(min) + " to " + formatBytes(max));
    return value;
}

void readLogLevels(const IniDocument& document, transport::LogLevel& level, std::vector<transport::PartLevel>& parts, std::vector<ConfigError>& errors)
{
    for (const auto& section : document.sections) {
        if (section.kind != "log")
            continue;
        for (const auto& entry : section.entries) {
            auto parsed = transport::LogLevel::Info;
            if (!transport::parseLogLevel(entry.value, parsed))
                errors.push_back({ document.file, entry.line, "'" + entry.key + "' is '" + entry.value + "', allowed: debug, info, warn, error" });
            else if (entry.key == "level")
                level = parsed;
            else
                parts.push_back({ entry.key, parsed });
        }
    }
}

} // namespace comfreypier::protocol
