/// Parses the settings file of an entry VM.
#include <edge/edge.h>

namespace comfreypier::edge {

namespace {

    using protocol::IniSectionRule;
    using protocol::IniType;
    using protocol::SectionReader;

    constexpr milliseconds maxDuration { 3600 * 1000 }; // one hour
    constexpr std::string_view urgencyOrder = "urgency";

    /// Returns the allowed sections. The three flags of each are `IniSectionRule::named`, `required` and `allowUnknownKeys`; the
    /// flag of a key is `IniKey::required`.
    const std::vector<IniSectionRule>& sectionRules()
    {
        static const std::vector<std::string_view> logLevels { "debug", "info", "warn", "error" };
        static const std::vector<std::string_view> queueOrders { "arrival", urgencyOrder };
        static const std::vector<IniSectionRule> sections {
            { "node", false, true, false, IniType::Text,
                { { "name", IniType::Name, true, {} },
                    { "region", IniType::Name, true, {} },
                    { "data_centre", IniType::Name, true, {} } } },
            { "listen", false, true, false, IniType::Text,
                { { "front", IniType::Address, true, {} },
                    { "directory", IniType::Address, true, {} },
                    { "readiness", IniType::Address, true, {} },
                    { "inner", IniType::Address, true, {} },
                    { "metrics", IniType::Address, true, {} } } },
            { "store", false, true, false, IniType::Text,
                { { "address", IniType::Address, true, {} },
                    { "configuration_bound", IniType::Duration, false, {} } } },
            { "repeats", false, false, false, IniType::Text,
                { { "ratio", IniType::Decimal, false, {} },
                    { "slack", IniType::Integer, false, {} },
                    { "window", IniType::Duration, false, {} },
                    { "first_start", IniType::Flag, false, {} } } },
            { "quotas", false, false, false, IniType::Text,
                { { "window", IniType::Duration, false, {} },
                    { "overage", IniType::Decimal, false, {} },
                    { "slack", IniType::Decimal, false, {} } } },
            { "orders", false, false, false, IniType::Text,
                { { "lease_time", IniType::Duration, false, {} },
                    { "workers_check_tokens", IniType::Flag, false, {} } } },
            { "queue", false, false, false, IniType::Text, { { "order", IniType::Choice, false, queueOrders } } },
            { "drain", false, false, false, IniType::Text, { { "grace", IniType::Duration, false, {} } } },
            { "limits", false, false, false, IniType::Text,
                { { "connections", IniType::Integer, false, {} },
                    { "write_timeout", IniType::Duration, false, {} },
                    { "processor_share", IniType::Decimal, false, {} },
                    { "processor_speed", IniType::Decimal, false, {} },
                    { "link_megabits", IniType::Decimal, false, {} },
                    { "memory_megabytes", IniType::Decimal, false, {} },
                    { "descriptors", IniType::Integer, false, {} } } },
            { "log", false, false, true, IniType::Text, { { "level", IniType::Choice, false, logLevels } } },
        };
        return sections;
    }

} // namespace

double capacityInCores(const Settings& settings)
{
    return std::min(settings.processorShare * settings.processorSpeed, settings.linkMegabits / linkMegabitsPerCore);
}

Result<Settings, std::vector<protocol::ConfigError>> parseSettings(std::string_view file, std::string_view text)
{
    auto document = protocol::parseIni(file, text);
    protocol::checkIni(document, sectionRules());
    if (!document.errors.empty())
        return document.errors;
    Settings settings;
    std::vector<protocol::ConfigError> errors;
    SectionReader node(document, "node", errors);
    node.text("name", settings.node);
    node.text("region", settings.region);
    node.text("data_centre", settings.dataCentre);
    SectionReader listen(document, "listen", errors);
    listen.address("front", settings.front);
    listen.address("directory", settings.directory);
    listen.address("readiness", settings.readiness);
    listen.address("inner", settings.inner);
    listen.address("metrics", settings.metrics);
    SectionReader store(document, "store", errors);
    store.address("address", settings.store);
    store.duration("configuration_bound", settings.configurationBound, milliseconds { 100 }, maxDuration);
    // The numbers below are the smallest and largest allowed values; the smallest decimal is 0.
    SectionReader retries(document, "repeats", errors);
    retries.decimal("ratio", settings.retryRatio, 10);
    retries.integer("slack", settings.retrySlack, 0, 1000000);
    retries.duration("window", settings.retryWindow, milliseconds { 100 }, maxDuration);
    retries.flag("first_start", settings.firstStart);
    SectionReader quotas(document, "quotas", errors);
    quotas.duration("window", settings.quotaWindow, milliseconds { 0 }, maxDuration);
    quotas.decimal("overage", settings.quotaOverage, 10);
    quotas.decimal("slack", settings.quotaSlack, 1e12);
    SectionReader orders(document, "orders", errors);
    orders.duration("lease_time", settings.leaseTime, milliseconds { 100 }, maxDuration);
    orders.flag("workers_check_tokens", settings.workersCheckTokens);
    std::string queueOrder;
    SectionReader(document, "queue", errors).text("order", queueOrder);
    settings.queueByUrgency = queueOrder == urgencyOrder;
    SectionReader(document, "drain", errors).duration("grace", settings.grace, milliseconds { 500 }, maxDuration);
    SectionReader limits(document, "limits", errors);
    limits.integer("connections", settings.connectionLimit, 1, 1000000);
    limits.duration("write_timeout", settings.writeTimeout, milliseconds { 100 }, maxDuration);
    limits.decimal("processor_share", settings.processorShare, 1000);
    limits.decimal("processor_speed", settings.processorSpeed, 1000);
    limits.decimal("link_megabits", settings.linkMegabits, 1e7);
    limits.decimal("memory_megabytes", settings.memoryMegabytes, 1e6);
    limits.integer("descriptors", settings.descriptors, 64, 10000000);
    protocol::readLogLevels(document, settings.logLevel, settings.partLevels, errors);
    if (!errors.empty())
        return errors;
    return settings;
}

} // namespace comfreypier::edge
