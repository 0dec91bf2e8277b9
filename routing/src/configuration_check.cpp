/// Check of a configuration before it is published.
#include "routing_p.h"

#include <algorithm>

namespace comfreypier::routing {

namespace {

    /// Collects the findings about one entry.
    class EntryCheck {
    public:
        EntryCheck(std::vector<ConfigurationFinding>& findings, std::string entry)
            : findings(findings)
            , entry(std::move(entry))
        {
        }
        void error(bool applies, const std::string& text) { this->add(applies, FindingLevel::Error, text); }
        void warn(bool applies, const std::string& text) { this->add(applies, FindingLevel::Warning, text); }

    private:
        void add(bool applies, FindingLevel level, const std::string& text)
        {
            if (applies)
                this->findings.push_back({ level, this->entry, text });
        }

        std::vector<ConfigurationFinding>& findings;
        const std::string entry;
    };

    void checkTargets(const Configuration& configuration, const Route& route, EntryCheck& check)
    {
        uint64_t totalWeight = 0;
        for (const auto& target : route.targets) {
            totalWeight += target.weight;
            check.error(!configuration.services.contains(target.service), "service \"" + target.service + "\" does not exist");
            check.warn(target.weight == 0, "service \"" + target.service + "\" has weight 0 and gets no requests");
        }
        check.error(totalWeight == 0, "no service has a weight above 0");
    }

    void checkRoute(const Configuration& configuration, const Route& route, std::vector<ConfigurationFinding>& findings)
    {
        EntryCheck check(findings, "route " + labelOf(route));
        check.error(!route.pathPrefix.starts_with('/') || !route.pathPrefix.ends_with('/'), "path prefix \"" + route.pathPrefix + "\" does not begin and end with a slash");
        check.error(route.host.empty(), "host is empty, so that no request matches");
        check.error(route.host.find(':') != std::string::npos, "host \"" + route.host + "\" has a port, so that no request matches: those of requests are ignored");
        const auto* found = findRoute(configuration, route.host, route.pathPrefix);
        bool isHidden = found != nullptr && found != &route && found->pathPrefix == route.pathPrefix;
        check.error(isHidden, "never matches: " + (isHidden ? "route " + labelOf(*found) : "") + " has the same host and path prefix and comes first");
        checkTargets(configuration, route, check);
        check.warn(route.timeout > milliseconds { 0 } && route.targetLatency > route.timeout, "target latency of " + formatTime(route.targetLatency) + " is longer than the timeout of " + formatTime(route.timeout));
        check.warn(route.timeout > milliseconds { 0 } && route.targetGap > route.timeout, "target gap of " + formatTime(route.targetGap) + " is longer than the timeout of " + formatTime(route.timeout));
        check.warn(route.targetGap > milliseconds { 0 } && !route.streaming, "target gap has no effect: answers are no streams");
        check.warn(route.maxAttempts > 1 && !route.idempotent && !route.resumable, "more than one attempt has no effect: requests may run once only");
        check.warn(route.open && !configuration.accounts, "takes requests without a key, but there are no client accounts");
    }

    void checkEngine(const EngineSpec& engine, EntryCheck& check)
    {
        std::set<std::string> names;
        for (const auto& model : engine.models) {
            auto label = "model \"" + model.name + "\"";
            check.error(!names.insert(model.name).second, label + " is listed twice; the first entry counts");
            check.error(model.weightsMegabytes > engine.weightsMegabytes, label + " is larger than the memory for weights of a worker");
            check.warn(model.adapterCount > 0 && engine.adapterSlots == 0, label + " has adapters, but workers have no places for any");
            check.warn(model.diskLoadTime > model.storeLoadTime, label + " takes longer to load from disk than from the weight store");
        }
        check.error(engine.models.empty(), "has an engine without models");
        check.error(engine.kvCacheTokens <= 0, "has no memory for requests (KV cache of 0 tokens)");
        check.warn(engine.storeLoadsPerSecond <= 0, "allows no loads from the weight store");
    }

    void checkService(const Configuration& configuration, const Service& service, std::vector<ConfigurationFinding>& findings)
    {
        EntryCheck check(findings, "service " + service.name);
        bool used = std::any_of(configuration.routes.begin(), configuration.routes.end(), [&service](const auto& route) {
            return std::any_of(route.targets.begin(), route.targets.end(), [&service](const auto& target) { return target.service == service.name && target.weight > 0; });
        });
        check.warn(!used, "no route leads to it");
        if (service.engine)
            checkEngine(*service.engine, check);
    }

    void checkAccount(const accounts::ClientAccount& account, std::vector<ConfigurationFinding>& findings)
    {
        EntryCheck check(findings, "client account " + account.name);
        const auto& quota = account.quota;
        bool countsTokens = quota.unit == accounts::QuotaUnit::Tokens;
        check.error(account.name.empty(), "name is empty");
        check.error(quota.ratePerSecond <= 0 && quota.burst > 0, "states a burst without a rate: nothing is limited");
        check.error(quota.ratePerSecond > 0 && quota.burst < (countsTokens ? std::max(1.0, quota.defaultTokens) : 1.0), "burst is smaller than one request, so that all are refused");
        check.warn(countsTokens && quota.ratePerSecond > 0 && quota.defaultTokens <= 0, "requests that state no tokens are not counted");
    }

    void checkCallerLimits(const CallerLimits& limits, std::vector<ConfigurationFinding>& findings)
    {
        EntryCheck check(findings, "limits");
        check.error(limits.maxHeaderBytes == 0, "maximum size of a request's head is 0: all requests are refused");
        check.warn(limits.maxBodyBytes == 0, "maximum size of a request's body is 0: only requests without a body are taken");
        check.error(limits.headerTimeout <= milliseconds { 0 }, "time to send a request's head is 0");
        check.error(limits.idleTimeout <= milliseconds { 0 }, "time for which a connection may be idle is 0");
    }

} // namespace

std::vector<ConfigurationFinding> checkConfiguration(const Configuration& configuration)
{
    std::vector<ConfigurationFinding> findings;
    EntryCheck whole(findings, "");
    whole.warn(configuration.routes.empty(), "has no routes: all requests are refused");
    for (const auto& route : configuration.routes)
        checkRoute(configuration, route, findings);
    for (const auto& [name, service] : configuration.services)
        checkService(configuration, service, findings);
    checkCallerLimits(configuration.limits, findings);
    if (!configuration.accounts)
        return findings;
    bool allNeedKeys = std::none_of(configuration.routes.begin(), configuration.routes.end(), [](const auto& route) { return route.open; });
    whole.error(configuration.keys->size() == 0 && allNeedKeys, "has client accounts without any key, and all routes need one: all requests are refused");
    std::set<std::string> names;
    for (const auto& account : *configuration.accounts) {
        checkAccount(account, findings);
        EntryCheck(findings, "client account " + account.name).error(!names.insert(account.name).second, "is listed twice");
    }
    return findings;
}

} // namespace comfreypier::routing
