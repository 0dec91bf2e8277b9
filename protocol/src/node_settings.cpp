/// Parses the settings file of `comfreypierd`.
#include "protocol_p.h"

#include <functional>

namespace comfreypier::protocol {

namespace {

    using std::chrono::duration_cast;
    using std::chrono::milliseconds;

    const std::vector<IniSectionRule>& settingsRules()
    {
        static const std::vector<std::string_view> levels { "debug", "info", "warn", "error" };
        // Sections: kind, named, required, allowUnknownKeys, unknownKeyType, keys. Keys: key, type, required, choices.
        static const std::vector<IniSectionRule> rules {
            { "node", false, true, false, IniType::Text,
                { { "name", IniType::Name, true, {} },
                    { "region", IniType::Name, true, {} },
                    { "data_centre", IniType::Name, true, {} },
                    { "http", IniType::Address, true, {} },
                    { "rpc", IniType::Address, true, {} },
                    { "threads", IniType::Integer, false, {} } } },
            { "platform", false, true, false, IniType::Text,
                { { "log", IniType::Address, true, {} },
                    { "vm_list", IniType::Address, true, {} } } },
            { "session", false, false, false, IniType::Text,
                { { "ttl", IniType::Duration, false, {} },
                    { "margin", IniType::Duration, false, {} },
                    { "append_interval", IniType::Duration, false, {} },
                    { "snapshot_every", IniType::Integer, false, {} },
                    { "snapshot_interval", IniType::Duration, false, {} },
                    { "key_retention", IniType::Duration, false, {} } } },
            { "limits", false, false, false, IniType::Text,
                { { "header", IniType::Bytes, false, {} },
                    { "body", IniType::Bytes, false, {} },
                    { "answers", IniType::Bytes, false, {} },
                    { "read_timeout", IniType::Duration, false, {} },
                    { "idle_timeout", IniType::Duration, false, {} },
                    { "write_timeout", IniType::Duration, false, {} },
                    { "connections", IniType::Integer, false, {} },
                    { "queue", IniType::Integer, false, {} },
                    { "retry_share", IniType::Decimal, false, {} },
                    { "silence", IniType::Duration, false, {} } } },
            { "drain", false, false, false, IniType::Text,
                { { "limit", IniType::Duration, false, {} },
                    { "leaving_notice", IniType::Duration, false, {} },
                    { "address_hold", IniType::Duration, false, {} } } },
            { "log", false, false, true, IniType::Text, { { "level", IniType::Choice, false, levels } } },
        };
        return rules;
    }

    constexpr milliseconds oneDay { 24 * 3600 * 1000 };
    constexpr milliseconds oneHour { 3600 * 1000 };

    /// Reads the sections `[node]` and `[platform]`.
    void readNode(const SectionReader& node, const SectionReader& platform, NodeSettings& settings)
    {
        node.text("name", settings.node);
        node.text("region", settings.region);
        node.text("data_centre", settings.dataCentre);
        node.address("http", settings.http);
        node.address("rpc", settings.rpc);
        node.integer("threads", settings.threads, 1, 64);
        platform.address("log", settings.log);
        platform.address("vm_list", settings.vmList);
    }

    void readSession(const SectionReader& session, NodeSettings& settings)
    {
        session.duration("ttl", settings.sessionTtl, milliseconds { 200 }, oneHour);
        settings.sessionMargin = settings.sessionTtl / 4; // Default.
        session.duration("margin", settings.sessionMargin, milliseconds { 10 }, oneHour);
        session.duration("append_interval", settings.appendInterval, milliseconds { 0 }, milliseconds { 10000 });
        session.integer("snapshot_every", settings.recordsPerSnapshot, 10, 1000000);
        session.duration("snapshot_interval", settings.snapshotInterval, milliseconds { 1000 }, oneDay);
        session.duration("key_retention", settings.keyRetention, milliseconds { 1000 }, 30 * oneDay);
    }

    void readLimits(const SectionReader& limits, NodeSettings& settings)
    {
        limits.bytes("header", settings.server.maxHeaderBytes, 256, 1024 * 1024);
        limits.bytes("body", settings.server.maxBodyBytes, 1024, 1024 * 1024 * 1024);
        // One answer may hold half of it.
        limits.bytes("answers", settings.answerMemory, 4 * transport::defaultMaxBodyBytes, 1024 * 1024 * 1024);
        limits.duration("read_timeout", settings.server.readTimeout, milliseconds { 10 }, oneHour);
        limits.duration("idle_timeout", settings.server.idleTimeout, milliseconds { 10 }, oneHour);
        limits.duration("write_timeout", settings.server.writeTimeout, milliseconds { 10 }, oneHour);
        limits.integer("connections", settings.server.connectionLimit, 1, 1000000);
        limits.integer("queue", settings.queueLimit, 1, 1000000);
        limits.decimal("retry_share", settings.retryShare, 1.0);
        limits.duration("silence", settings.streamIdleTimeout, milliseconds { 10 }, oneHour);
    }

} // namespace

Result<NodeSettings, std::vector<ConfigError>> parseNodeSettings(std::string_view file, std::string_view text)
{
    auto document = parseIni(file, text);
    checkIni(document, settingsRules());
    if (!document.errors.empty())
        return document.errors;
    NodeSettings settings;
    std::vector<ConfigError> errors;
    SectionReader session(document, "session", errors);
    SectionReader drain(document, "drain", errors);
    readNode({ document, "node", errors }, { document, "platform", errors }, settings);
    readSession(session, settings);
    readLimits({ document, "limits", errors }, settings);
    drain.duration("limit", settings.drainTimeout, milliseconds { 100 }, oneDay);
    drain.duration("leaving_notice", settings.drainNotice, milliseconds { 0 }, milliseconds { 5000 });
    drain.duration("address_hold", settings.addressCacheTtl, milliseconds { 100 }, oneHour);
    readLogLevels(document, settings.logLevel, settings.partLevels, errors);
    if (settings.sessionMargin * 2 > settings.sessionTtl)
        errors.push_back({ std::string(file), session.line(), "'margin' must be at most half of 'ttl'" });
    if (!errors.empty())
        return errors;
    return settings;
}

} // namespace comfreypier::protocol
