/// Tests of the check of a configuration before it is sent.
#include <algorithm>
#include <criterion/criterion.h>
#include <ctime>
#include <platform/platform.h>
#include <rapidcheck.h>

using namespace comfreypier;
using platform::checkConfigurationText;
using routing::FindingLevel;

namespace {

constexpr std::string_view soundConfiguration = R"({"version":7,"routes":[
{"name":"order","host":"h.example","path-prefix":"/order/","kind":"non_idempotent","timeout-ms":1500,"target-latency-ms":150,"priority":1,"service":"app","max-attempts":1},
{"name":"chat","host":"h.example","path-prefix":"/chat/","kind":"streaming","timeout-ms":6000,"target-latency-ms":400,"target-gap-ms":100,"service":"llm","max-attempts":2,"resumable":true}],
"services":[{"name":"app","max-conns":100},{"name":"llm","max-conns":100,"engine":{"slots":8,"kv-capacity":200000,"weights-mb":100,"adapter-slots":2,"loads-per-s":5,
"models":[{"name":"m1","weights-mb":40,"load-s":2,"disk-load-s":1,"adapters":3,"adapter-mb":1}]}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":100000,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"a","api-keys":["0123456789abcdef0"],"unit":"token_count","raw-tokens":200,"rate-per-s":1000,"burst":1000},{"name":"b","api-keys":["0123456789abcdef1"]}]})";

/// Returns the sound configuration with the first `from` replaced.
std::string replaced(const std::string& from, const std::string& to)
{
    std::string text(soundConfiguration);
    auto at = text.find(from);
    cr_assert_neq(at, std::string::npos, "%s", from.c_str());
    return text.replace(at, from.size(), to);
}

bool hasFinding(const std::string& text, FindingLevel level, const std::string& entry, const std::string& part)
{
    auto checked = checkConfigurationText(text);
    return std::any_of(checked.findings.begin(), checked.findings.end(), [&](const auto& finding) {
        return finding.level == level && finding.entry == entry && finding.text.find(part) != std::string::npos;
    });
}

} // namespace

Test(configuration_check, sound_configuration_has_no_findings)
{
    auto checked = checkConfigurationText(soundConfiguration);
    cr_assert(checked.configuration.has_value());
    for (const auto& finding : checked.findings)
        cr_assert_fail("%s: %s", finding.entry.c_str(), finding.text.c_str());
}

// Each change makes requests fail, or an entry useless, in another way.
Test(configuration_check, each_fault_is_named_with_its_entry)
{
    struct Case {
        const char* from;
        const char* to;
        FindingLevel level;
        const char* entry;
        const char* text;
    };
    for (const auto& item : std::vector<Case> {
             { R"("service":"app")", R"("service":"apq")", FindingLevel::Error, "route order", "service \"apq\" does not exist" },
             { R"("service":"app")", R"("service":"apq")", FindingLevel::Warning, "service app", "no route leads to it" },
             { R"("path-prefix":"/chat/")", R"("path-prefix":"/order/")", FindingLevel::Error, "route chat", "never matches: route order" },
             { R"("host":"h.example")", R"("host":"h.example:80")", FindingLevel::Error, "route order", "has a port" },
             { R"("path-prefix":"/chat/")", R"("path-prefix":"/chat")", FindingLevel::Error, "route chat", "does not begin and end" },
             { R"("service":"app")", R"("traffic-split":[{"service":"app","weight":0}])", FindingLevel::Error, "route order", "no service has a weight above 0" },
             { R"("target-latency-ms":150)", R"("target-latency-ms":1600)", FindingLevel::Warning, "route order", "longer than the timeout" },
             { R"("max-attempts":1)", R"("max-attempts":2)", FindingLevel::Warning, "route order", "may run once only" },
             { R"("kind":"streaming")", R"("kind":"stream")", FindingLevel::Error, "route chat", "unknown value \"stream\"" },
             { R"("timeout-ms":1500)", R"("timeout-ms":"1500")", FindingLevel::Error, "route order", "\"timeout-ms\" is not a number" },
             { R"("weights-mb":40)", R"("weights-mb":140)", FindingLevel::Error, "service llm", "larger than the memory" },
             { R"("adapter-slots":2)", R"("adapter-slots":0)", FindingLevel::Warning, "service llm", "no places" },
             { R"("idle-timeout-ms":15000)", R"("idle-timeout-ms":0)", FindingLevel::Error, "limits", "may be idle is 0" },
             { R"("name":"b")", R"("name":"a")", FindingLevel::Error, "client account a", "listed twice" },
             { "0123456789abcdef1", "0123456789abcdef0", FindingLevel::Error, "client account b", "key 0 is also a key of client account a" },
             { "0123456789abcdef1", "", FindingLevel::Error, "client account b", "key 0 is empty" },
             { "0123456789abcdef1", "short", FindingLevel::Error, "client account b", "key 0 has only 5 characters" },
             { "0123456789abcdef1", "0123456789abcde", FindingLevel::Error, "client account b", "key 0 has only 15 characters" },
             { "0123456789abcdef1", "0123456789abcdef ", FindingLevel::Error, "client account b", "key 0 has a character that a header can't carry" },
             { R"(["0123456789abcdef1"])", R"(["0123456789abcdef1",7])", FindingLevel::Error, "client account b", "key 1 is not a text" },
             { R"(["0123456789abcdef1"])", R"(["0123456789abcdef1","0123456789abcdef1"])", FindingLevel::Warning, "client account b", "key 1 is listed twice" },
             { R"(["0123456789abcdef1"])", "[]", FindingLevel::Warning, "client account b", "has no key" },
             { R"("burst":1000)", R"("burst":100)", FindingLevel::Error, "client account a", "smaller than one request" },
             { R"("rate-per-s":1000)", R"("rate-per-s":-1)", FindingLevel::Error, "client account a", "\"rate-per-s\" is negative" },
             { R"("rate-per-s":1000)", R"("rate-per-s":0)", FindingLevel::Error, "client account a", "burst without a rate" },
             { R"("burst":1000)", R"("burst":-1)", FindingLevel::Error, "client account a", "\"burst\" is negative" },
             { R"("raw-tokens":200)", R"("raw-tokens":-1)", FindingLevel::Error, "client account a", "\"raw-tokens\" is negative" },
             { R"("raw-tokens":200)", R"("raw-tokens":0)", FindingLevel::Warning, "client account a", "state no tokens are not counted" },
             { R"("unit":"token_count")", R"("unit":"requests")", FindingLevel::Error, "client account a", "the quota counts requests" },
             { R"("unit":"token_count")", R"("unit":"tokens")", FindingLevel::Error, "client account a", "unknown value \"tokens\"" },
             { R"("unit":"token_count")", R"("priority":-1,"unit":"token_count")", FindingLevel::Error, "client account a", "\"priority\" is negative" },
             { R"("version":7,)", "", FindingLevel::Error, "", "lacks a valid version" },
             { R"({"version")", R"("version")", FindingLevel::Error, "", "not a JSON object" } })
        cr_assert(hasFinding(replaced(item.from, item.to), item.level, item.entry, item.text), "%s -> %s: %s: %s", item.from, item.to, item.entry, item.text);
}

// Guards against a check that takes minutes for a large configuration. That of each pair of routes looked through all of them.
Test(configuration_check, thousands_of_routes_are_checked_in_a_second)
{
    auto configuration = *checkConfigurationText(soundConfiguration).configuration;
    auto sound = configuration.routes.front();
    for (int i = 0; i < 2000; i++) {
        sound.name = "r" + std::to_string(i);
        sound.pathPrefix = "/r/" + std::to_string(i) + "/";
        configuration.routes.push_back(sound);
    }
    configuration.routes.push_back(sound);
    configuration.routes.back().name = "hidden";
    auto before = std::clock();
    auto findings = routing::checkConfiguration(configuration);
    auto seconds = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    cr_assert_eq(findings.size(), 1U);
    cr_assert_eq(findings[0].entry, "route hidden");
    cr_assert_lt(seconds, 1.0, "%g s", seconds);
}

// Findings are printed and kept in logs of builds.
Test(configuration_check, no_finding_contains_a_key)
{
    for (const auto& text : { replaced("0123456789abcdef1", "0123456789abcdef0"), replaced("0123456789abcdef1", "secret") }) {
        for (const auto& finding : checkConfigurationText(text).findings)
            cr_assert(finding.text.find("0123456789abcdef") == std::string::npos && finding.text.find("secret") == std::string::npos);
    }
}

Test(configuration_check, differences_are_named_by_entry_and_field)
{
    auto before = *checkConfigurationText(soundConfiguration).configuration;
    cr_assert(routing::compareConfigurations(before, before).empty());
    auto after = *checkConfigurationText(replaced(R"("rate-per-s":1000)", R"("rate-per-s":900)")).configuration;
    auto changes = routing::compareConfigurations(before, after);
    cr_assert_eq(changes.size(), 1U);
    cr_assert_eq(changes[0].entry, "client account a");
    cr_assert_eq(changes[0].text, "rate 1000/s -> 900/s");
    after.routes.pop_back();
    after.services["new"].name = "new";
    changes = routing::compareConfigurations(before, after);
    using Kind = routing::ConfigurationChange::Kind;
    for (const auto& expected : { routing::ConfigurationChange { Kind::Removed, "route chat", "" }, routing::ConfigurationChange { Kind::Added, "service new", "" } })
        cr_assert(std::find(changes.begin(), changes.end(), expected) != changes.end(), "%s", expected.entry.c_str());
}

// Names of routes need not differ. A change of the second one must not go unseen.
Test(configuration_check, differences_of_routes_with_the_same_name_are_named)
{
    auto before = *checkConfigurationText(replaced(R"("name":"chat")", R"("name":"order")")).configuration;
    auto after = before;
    after.routes[1].priority = 3;
    auto changes = routing::compareConfigurations(before, after);
    cr_assert_eq(changes.size(), 1U);
    cr_assert_eq(changes[0].entry, "route order (2)");
    after.routes.pop_back();
    changes = routing::compareConfigurations(before, after);
    cr_assert_eq(changes.size(), 1U);
    cr_assert_eq(changes[0].kind, routing::ConfigurationChange::Kind::Removed);
}

// Guards against a crash of the tool on a damaged file.
Test(configuration_check, damaged_texts_are_handled)
{
    cr_assert(rc::check("a configuration with other bytes in it has findings or is decoded", [] {
        std::string text(soundConfiguration);
        auto count = *rc::gen::inRange(1, 4);
        for (int i = 0; i < count; i++)
            text[*rc::gen::inRange<size_t>(0, text.size())] = *rc::gen::elementOf(std::string("0-9\"{}[],:ax\\"));
        auto checked = checkConfigurationText(text);
        RC_ASSERT((checked.configuration.has_value() || !checked.findings.empty()));
    }));
}
