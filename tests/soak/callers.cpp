/// Callers, and checks of the directory and of the VMs' configurations.
#include "soak.h"

#include <boost/json.hpp>

namespace comfreypier::soak {

namespace {

    /// Time limit of callers for a response, sent with each request. It is shorter than the timeout of the streaming routes.
    constexpr milliseconds requestTimeout { 3000 };
    /// How much later than `requestTimeout` a response may end without violating the invariant `time`.
    constexpr milliseconds requestTimeoutTolerance { 1000 };
    /// Time for which callers cache a response of the directory, as stated in it.
    constexpr milliseconds directoryTtl { 2000 };
    /// Maximum pause between two requests of one caller.
    constexpr int maxPauseMs = 160;
    /// Time within which the other VMs must stop listing a draining VM in their directory responses.
    constexpr milliseconds drainPropagationTime { 1500 };
    /// Time within which a VM must apply a new configuration: 2000 ms, and 500 ms of tolerance for a busy machine.
    constexpr milliseconds configurationApplyTime { 2000 + 500 };
    /// Time for which a fault of a worker or of the store can still affect requests and configurations after it ended.
    constexpr milliseconds faultEffectTime { 3500 };
    /// Interval of the checks of configurations and of reachability.
    constexpr milliseconds pollInterval { 200 };
    /// Time within which a VM must serve all kinds of requests and models after the last fault. Each is tried at least once.
    constexpr std::chrono::seconds reachabilityTimeout { 15 };
    /// Default of `WorkerStandin::eventsPerStream`.
    constexpr int eventsPerStream = 8;
    /// VM number of a caller that knows no VM.
    constexpr int noVm = -1;

    /// What a caller requests.
    struct RequestSpec {
        RequestKind kind = RequestKind::Order;
        std::string path;
        std::string model; ///< Model, or `model/adapter`. Empty for orders and status requests.
    };

    /// Draws the kind, one of five paths below its route and, for streams, the model.
    RequestSpec drawRequestSpec(Random& random)
    {
        // m1 twice: it is drawn more often than the others.
        static const std::vector<std::string> models { "m1", "m1", "m1/a1", "m1/a2", "m1/a3", "m2", "m3" };
        RequestSpec spec;
        spec.kind = static_cast<RequestKind>(random() % static_cast<size_t>(RequestKind::Count));
        spec.path = std::string("/") + name(spec.kind) + "/x" + std::to_string(random() % 5);
        if (spec.kind == RequestKind::Chat || spec.kind == RequestKind::Draft)
            spec.model = models[random() % models.size()];
        return spec;
    }

    /// Key of a request. A quarter of the callers belongs to each of `Account::Turning` and `Account::Hot`, the others to `Account::Steady`.
    /// Those of `Account::Turning` send a key of the newest versions, some of which have ended, and at times one of no account.
    std::pair<Account, int> drawKey(TestCluster& cluster, int caller, Random& random)
    {
        if (caller % 4 > 1)
            return { Account::Steady, 0 };
        if (caller % 4 == 1)
            return { Account::Hot, 0 };
        if (random() % 8 == 0)
            return { Account::None, 0 };
        std::lock_guard lock(cluster.mutex);
        return { Account::Turning, std::max(0, cluster.configurationVersion - static_cast<int>(random() % 4)) };
    }

    /// Returns the request in the format of the platform's callers. It names an account that is never that of its key. Streams state 500 prompt and 100 output tokens. Their prompts
    /// consist of 300 tokens that all share and 200 tokens that few others have.
    transport::HttpRequest makeRequest(const RequestSpec& spec, const std::string& id, const std::string& key)
    {
        transport::HttpRequest request { spec.kind == RequestKind::Status ? "GET" : "POST", spec.path,
            { { "Host", "h.example" }, { "Attempt-Id", id }, { "Deadline-Ms", std::to_string(requestTimeout.count()) }, { "Authorization", "Bearer " + key }, { "Tenant", "other" } }, "" };
        if (spec.kind != RequestKind::Status)
            request.body = "body of " + id;
        if (!spec.model.empty()) {
            request.headers.push_back({ "Model", spec.model });
            request.headers.push_back({ "Token-Count", "500,100" });
            request.headers.push_back({ "Prompt-Prefix", "a1:300," + std::to_string(std::hash<std::string> {}(id) % 4096) + ":200" });
        }
        return request;
    }

    /// Returns whether the response belongs to the attempt and contains everything that a worker sends.
    bool isComplete(const Attempt& attempt, const transport::HttpResponse& response)
    {
        if (transport::findHeader(response.headers, "Attempt-Id") != attempt.id)
            return false;
        if (attempt.kind == RequestKind::Order || attempt.kind == RequestKind::Status)
            return response.body.ends_with(" to " + attempt.id);
        std::string expectedBody;
        for (int i = 1; i <= eventsPerStream; i++)
            expectedBody += standins::streamEvent(i, attempt.id);
        return response.body == expectedBody;
    }

    /// Returns whether a response with this status states that the request did not run. Besides 404 for an unknown route these are
    /// the statuses of `impliesNotRun` in edge/src/relay.cpp.
    bool statesNotRun(unsigned status)
    {
        return status == 401 || status == 404 || status == 408 || status == 421 || status == 429 || status == 503;
    }

    /// Returns what must become of the attempt because of its key.
    KeyExpectation expectKey(TestCluster& cluster, const Attempt& attempt)
    {
        if (attempt.account != Account::Turning)
            return attempt.account == Account::None ? KeyExpectation::Refused : KeyExpectation::Taken;
        auto vm = static_cast<size_t>(attempt.vm);
        std::vector<Time> disturbedAt;
        for (const auto& daemon : cluster.daemons) {
            std::lock_guard lock(daemon->mutex);
            disturbedAt.push_back(daemon->running && !daemon->paused && !daemon->drainingSince ? daemon->lastDisturbedAt : attempt.endedAt);
        }
        disturbedAt[vm] = attempt.vmDisturbedAt;
        std::lock_guard lock(cluster.mutex);
        const auto& writtenAt = cluster.configurationsWrittenAt;
        auto isInForce = [&](size_t version) {
            // A VM that was disturbed reads the configuration like a new one.
            auto since = std::max(writtenAt[version], disturbedAt[vm]);
            auto readsStore = [&](size_t reader) { return cluster.storeLastDisturbedAt[reader] + faultEffectTime < since; };
            bool isRead = readsStore(vm);
            // A VM that has run all the time gets it from one that reads the store.
            for (size_t peer = 0; peer < disturbedAt.size() && disturbedAt[vm] + configurationApplyTime < since; peer++)
                isRead = isRead || (readsStore(peer) && disturbedAt[peer] + configurationApplyTime < since);
            return isRead && attempt.sentAt > since + configurationApplyTime;
        };
        auto firstVersion = static_cast<size_t>(attempt.keyVersion);
        auto endVersion = firstVersion + 2;
        bool isFirst = firstVersion == 0; // It comes with version 1 as well.
        for (auto version = endVersion; version < writtenAt.size(); version++) {
            if (isInForce(version))
                return KeyExpectation::Refused;
        }
        return writtenAt.size() <= endVersion && isInForce(isFirst ? 1 : firstVersion) ? KeyExpectation::Taken : KeyExpectation::Any;
    }

    /// Checks the invariants that a single attempt can violate, and sets its `cutByDrain` and `keyExpectation`.
    /// @param incarnation `Daemon::incarnation` when the attempt was sent.
    void checkAttempt(TestCluster& cluster, Attempt& attempt, int incarnation)
    {
        if (attempt.status == 200 && !attempt.complete)
            cluster.invariants.reportViolation("own_answer", attempt.id + " got a wrong or incomplete response");
        if (attempt.status == 404)
            cluster.invariants.reportViolation("route", attempt.id + " was sent to a VM that does not know its route");
        auto& daemon = *cluster.daemons[static_cast<size_t>(attempt.vm)];
        bool vmUndisturbed = false;
        bool vmDraining = false;
        {
            std::lock_guard lock(daemon.mutex);
            attempt.vmDisturbedAt = daemon.paused || !daemon.running ? attempt.endedAt : daemon.lastDisturbedAt;
            vmUndisturbed = daemon.incarnation == incarnation && daemon.lastDisturbedAt < attempt.sentAt && !daemon.paused;
            vmDraining = daemon.drainingSince && *daemon.drainingSince < attempt.endedAt;
        }
        attempt.keyExpectation = expectKey(cluster, attempt);
        auto duration = attempt.endedAt - attempt.sentAt;
        if (vmUndisturbed && attempt.error != "refused" && duration > requestTimeout + requestTimeoutTolerance)
            cluster.invariants.reportViolation("time", attempt.id + " took " + std::to_string(std::chrono::duration_cast<milliseconds>(duration).count()) + " ms");
        bool workersUndisturbed = false;
        {
            std::lock_guard lock(cluster.mutex);
            workersUndisturbed = cluster.workersLastDisturbedAt + faultEffectTime < attempt.sentAt;
        }
        attempt.cutByDrain = vmUndisturbed && vmDraining && workersUndisturbed && attempt.error == "closed";
    }

    /// Queries the directory of a random VM, and checks that it lists no VM that has been draining for long.
    /// @return the VMs that it lists; none if it does not respond.
    std::vector<int> resolveVms(TestCluster& cluster, Random& random)
    {
        auto queriedVm = random() % cluster.daemons.size();
        auto& daemon = *cluster.daemons[queriedVm];
        auto queriedAt = cluster.invariants.now();
        transport::CallLimits limits;
        limits.connect = limits.response = milliseconds { 500 };
        auto response = cluster.client.call(daemon.directoryEndpoint(), { "GET", "/v1/resolve?name=h.example&region=r&zone=dc", {}, {} }, limits);
        std::vector<int> vms;
        if (!response || response.value().status != 200)
            return vms;
        auto body = boost::json::parse(response.value().body);
        for (const auto& item : body.at("addrs").as_array()) {
            for (size_t i = 0; i < cluster.daemons.size(); i++) {
                auto& listed = *cluster.daemons[i];
                if (item.as_string() != transport::toString(listed.frontEndpoint()))
                    continue;
                vms.push_back(static_cast<int>(i));
                // A violation only if the listed VM drains undisturbed and the queried VM could receive its updates all the time.
                std::scoped_lock lock(listed.mutex);
                if (listed.drainingSince && *listed.drainingSince + drainPropagationTime < queriedAt
                    && !cluster.wasDisturbed(daemon, *listed.drainingSince - drainPropagationTime)
                    && listed.lastDisturbedAt < *listed.drainingSince)
                    cluster.invariants.reportViolation("leaving",
                        "vm" + std::to_string(queriedVm) + " lists vm" + std::to_string(i) + ", which is draining");
            }
        }
        return vms;
    }

    /// Sends one request to the VM, waits for the response, checks it and records the attempt.
    void sendAttempt(TestCluster& cluster, const RequestSpec& spec, const std::pair<Account, int>& key, int vm, const std::string& id)
    {
        auto& daemon = *cluster.daemons[static_cast<size_t>(vm)];
        int incarnation = 0;
        {
            std::lock_guard lock(daemon.mutex);
            incarnation = daemon.incarnation;
        }
        Attempt attempt;
        attempt.id = id;
        attempt.kind = spec.kind;
        attempt.vm = vm;
        std::tie(attempt.account, attempt.keyVersion) = key;
        // As `makeAccounts` and `makeRequest` state.
        attempt.cost = attempt.account != Account::Turning ? 1 : spec.model.empty() ? 100
                                                                                    : 600;
        attempt.sentAt = cluster.invariants.now();
        transport::CallLimits limits;
        limits.connect = milliseconds { 500 };
        // Longer than `checkAttempt` allows, so that a late response is seen as late.
        limits.response = requestTimeout + 2 * requestTimeoutTolerance;
        auto response = cluster.client.call(daemon.frontEndpoint(), makeRequest(spec, id, makeKey(key.first, key.second)), limits);
        attempt.endedAt = cluster.invariants.now();
        if (response) {
            attempt.status = response.value().status;
            attempt.reportedNotRun = statesNotRun(attempt.status);
            attempt.complete = attempt.status == 200 && isComplete(attempt, response.value());
            attempt.toldLeaving = transport::findHeader(response.value().headers, "Server-Leaving") == "1";
        } else
            attempt.error = transport::name(response.error());
        checkAttempt(cluster, attempt, incarnation);
        cluster.invariants.recordAttempt(attempt);
    }

    /// Sends requests, one at a time, until the run stops. Each caller draws its own sequence from the seed and its number.
    void runCaller(TestCluster& cluster, int number)
    {
        Random random(cluster.options.seed * 1000 + static_cast<uint64_t>(number));
        Random keyRandom(cluster.options.seed * 1000 + 500 + static_cast<uint64_t>(number));
        // A third of the callers stay with a VM until its process has exited. The others query the directory again when its
        // response has expired.
        bool staysWithVm = number % 3 == 0;
        int vm = noVm;
        Time resolvedAt { 0 };
        for (int i = 0; !cluster.stopping; i++) {
            if (vm == noVm || (!staysWithVm && cluster.invariants.now() - resolvedAt > directoryTtl)) {
                auto listed = resolveVms(cluster, random);
                vm = listed.empty() ? noVm : listed[random() % listed.size()];
                resolvedAt = cluster.invariants.now();
            }
            if (vm != noVm) {
                auto spec = drawRequestSpec(random);
                auto id = "c" + std::to_string(number) + "-" + std::to_string(i);
                sendAttempt(cluster, spec, drawKey(cluster, number, keyRandom), vm, id);
                auto& daemon = *cluster.daemons[static_cast<size_t>(vm)];
                std::lock_guard lock(daemon.mutex);
                if (!daemon.running)
                    vm = noVm;
            }
            transport::sleepFor(milliseconds { 1 + static_cast<int>(random() % maxPauseMs) });
        }
    }

    /// Requests a route that exists only in this version of the configuration. @return the status, or 0 without a response.
    unsigned probeRoute(TestCluster& cluster, const Daemon& daemon, int version)
    {
        transport::CallLimits limits;
        limits.connect = limits.response = milliseconds { 1000 };
        auto id = "probe-" + std::to_string(daemon.frontEndpoint().port) + "-" + std::to_string(transport::monotonicNow().count());
        auto response = cluster.client.call(daemon.frontEndpoint(),
            { "GET", "/v" + std::to_string(version) + "/x", { { "Host", "h.example" }, { "Attempt-Id", id }, { "Deadline-Ms", "900" } }, {} }, limits);
        return response ? response.value().status : 0;
    }

    /// Checks, until the run stops, that a VM applies new configurations in time and never returns to an older one.
    void checkConfigurations(TestCluster& cluster, size_t vm)
    {
        auto& daemon = *cluster.daemons[vm];
        int activeVersion = 0; // Newest version that the process has served; 0 if none.
        int incarnation = 0;
        for (; !cluster.stopping; transport::sleepFor(pollInterval)) {
            int version = 0;
            Time configurationWrittenAt { 0 };
            bool storeUndisturbed = false;
            {
                std::lock_guard lock(cluster.mutex);
                version = cluster.configurationVersion;
                configurationWrittenAt = cluster.configurationsWrittenAt.back();
                storeUndisturbed = cluster.storeLastDisturbedAt[vm] + faultEffectTime < configurationWrittenAt;
            }
            auto queriedAt = cluster.invariants.now();
            {
                std::lock_guard lock(daemon.mutex);
                if (std::exchange(incarnation, daemon.incarnation) != daemon.incarnation)
                    activeVersion = 0;
                if (!daemon.running || daemon.drainingSince)
                    continue;
            }
            auto status = probeRoute(cluster, daemon, version);
            // A version that the VM has applied must have replaced the previous one.
            auto previousStatus = activeVersion > 0 && activeVersion == version ? probeRoute(cluster, daemon, version - 1) : 0;
            {
                std::scoped_lock lock(daemon.mutex, cluster.mutex);
                // Ignores responses that may come from before a restart or are for a version that is no longer the newest.
                if (daemon.incarnation != incarnation || cluster.configurationVersion != version || daemon.drainingSince)
                    continue;
                // Checked again, because a fault of the store may have begun during the requests.
                storeUndisturbed = storeUndisturbed && cluster.storeLastDisturbedAt[vm] + faultEffectTime < configurationWrittenAt;
            }
            auto subject = "vm" + std::to_string(vm) + " version " + std::to_string(version);
            if (activeVersion == version && (status == 404 || previousStatus == 200))
                cluster.invariants.reportViolation("configuration", subject + " is no longer in force");
            if (status == 200)
                activeVersion = version;
            // A violation only if no fault of the store or the VM explains the delay.
            if (status == 404 && storeUndisturbed && queriedAt > configurationWrittenAt + configurationApplyTime
                && !cluster.wasDisturbed(daemon, configurationWrittenAt - configurationApplyTime))
                cluster.invariants.reportViolation("configuration", subject + " was not applied in time");
        }
    }

} // namespace

void startCallers(TestCluster& cluster)
{
    for (int i = 0; i < cluster.options.callerCount; i++)
        cluster.runtime.spawn([&cluster, i] { runCaller(cluster, i); });
    for (size_t i = 0; i < cluster.daemons.size(); i++)
        cluster.runtime.spawn([&cluster, i] { checkConfigurations(cluster, i); });
}

void checkReachability(TestCluster& cluster)
{
    std::atomic<size_t> remainingVms { cluster.daemons.size() };
    for (size_t vm = 0; vm < cluster.daemons.size(); vm++) {
        cluster.runtime.spawn([&cluster, &remainingVms, vm] {
            std::vector<RequestSpec> specs { { RequestKind::Order, "/order/x", "" }, { RequestKind::Status, "/status/x", "" } };
            for (const auto* model : { "m1", "m2", "m3", "m1/a1", "m1/a2", "m1/a3" })
                specs.push_back({ RequestKind::Chat, "/chat/x", model });
            auto deadline = cluster.invariants.now() + reachabilityTimeout;
            for (const auto& spec : specs) {
                std::string lastResult;
                bool answered = false;
                for (int i = 0; !answered && (i == 0 || cluster.invariants.now() < deadline); i++) {
                    transport::CallLimits limits;
                    limits.response = requestTimeout + requestTimeoutTolerance;
                    auto id = "last-" + std::to_string(vm) + "-" + spec.model + spec.path + std::to_string(i);
                    auto response = cluster.client.call(cluster.daemons[vm]->frontEndpoint(), makeRequest(spec, id, makeKey(Account::Steady)), limits);
                    answered = response && response.value().status == 200;
                    lastResult = response ? std::to_string(response.value().status) + " " + response.value().body : transport::name(response.error());
                    if (!answered)
                        transport::sleepFor(pollInterval);
                }
                if (!answered)
                    cluster.invariants.reportViolation("reach", "vm" + std::to_string(vm) + " does not serve " + name(spec.kind) + " " + spec.model + ": " + lastResult);
            }
            remainingVms--;
        });
    }
    while (remainingVms > 0)
        std::this_thread::sleep_for(pollInterval);
}

} // namespace comfreypier::soak
