/// Typed reading of settings files.
#include "protocol_p.h"

namespace comfreypier::protocol {

using std::chrono::milliseconds;

SectionReader::SectionReader(const IniDocument& document, std::string_view kind, std::vector<ConfigError>& faults)
    : document(document)
    , faults(faults)
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

void SectionReader::decimal(std::string_view key, double& target, double most) const
{
    const auto* entry = this->find(key);
    if (!entry)
        return;
    target = *parseDecimal(entry->value);
    if (target > most)
        this->fault(*entry, "0 to " + std::to_string(most));
}

void SectionReader::duration(std::string_view key, milliseconds& target, milliseconds least, milliseconds most) const
{
    const auto* entry = this->find(key);
    if (!entry)
        return;
    target = std::chrono::duration_cast<milliseconds>(*parseDuration(entry->value));
    if (target < least || target > most)
        this->fault(*entry, formatDuration(least) + " to " + formatDuration(most));
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

void SectionReader::fault(const IniEntry& entry, const std::string& allowed) const
{
    this->faults.push_back({ this->document.file, entry.line, "'" + entry.key + "' is " + entry.value + ", allowed: " + allowed });
}

std::optional<int64_t> SectionReader::integerIn(std::string_view key, int64_t least, int64_t most) const
{
    const auto* entry = this->find(key);
    if (!entry)
        return std::nullopt;
    auto value = *parseInteger(entry->value);
    if (value < least || value > most)
        this->fault(*entry, std::to_string(least) + " to " + std::to_string(most));
    return value;
}

std::optional<uint64_t> SectionReader::bytesIn(std::string_view key, uint64_t least, uint64_t most) const
{
    const auto* entry = this->find(key);
    if (!entry)
        return std::nullopt;
    auto value = *parseBytes(entry->value);
    if (value < least || value > most)
        this->fault(*entry, formatBytes(least) + " to " + formatBytes(most));
    return value;
}

void readLogLevels(const IniDocument& document, transport::LogLevel& level, std::vector<transport::PartLevel>& parts, std::vector<ConfigError>& faults)
{
    for (const auto& section : document.sections) {
        if (section.kind != "log")
            continue;
        for (const auto& entry : section.entries) {
            auto parsed = transport::LogLevel::Info;
            if (!transport::parseLogLevel(entry.value, parsed))
                faults.push_back({ document.file, entry.line, "'" + entry.key + "' is '" + entry.value + "', allowed: debug, info, warn, error" });
            else if (entry.key == "level")
                level = parsed;
            else
                parts.push_back({ entry.key, parsed });
        }
    }
}

} // namespace comfreypier::protocol
