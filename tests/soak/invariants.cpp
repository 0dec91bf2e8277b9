/// Records attempts and checks the invariants: what callers observed against what the workers ran.
#include "soak.h"

#include <fstream>
#include <iostream>

namespace comfreypier::soak {

namespace {

    /// A request may be in flight while its VM closes the connection. The loss is allowed if no worker ran the request and the
    /// connection ended within this time of sending.
    constexpr milliseconds maxInFlightTime { 200 };
    /// Time after a VM has passed on an answer with which a worker says that it leaves, from which the VM must not send it new requests.
    constexpr milliseconds leavePropagationTime { 2000 };
    /// Time after a worker named a time from which requests count, and the number of them that is allowed until that time ends.
    constexpr milliseconds holdTolerance { 500 };
    constexpr int maxRequestsInHold = 2;
    /// Longest effect of a fault of connections: requests and answers that were held back arrive.
    constexpr milliseconds connectionFaultEffect { 6000 };

    /// Part of the burst by which the own count of an account's bucket may differ from that of the VMs, for charges that VMs lost.
    constexpr double bucketDoubt = 0.25;

    /// Returns the most that an account may have in a window, which is at least as long as that of the tolerance.
    double allowedCost(const accounts::Quota& quota, Time window)
    {
        window = std::max(window, quotaTolerance.window);
        return (quota.ratePerSecond * std::chrono::duration<double>(window).count() + quota.burst) * (1 + quotaTolerance.overage) + quotaTolerance.slack;
    }

    /// What an account had in a window.
    struct WindowUse {
        double cost = 0;
        double allowed = 1;
        Time from { 0 };
        Time to { 0 };
    };

    /// Returns the use in the window with the largest share of what is allowed. A request counts if it was sent, arrived and so was charged
    /// within the window.
    /// @param ran times of arrival, with the requests.
    WindowUse findWorstWindow(const accounts::Quota& quota, const std::vector<std::pair<Time, const Attempt*>>& ran)
    {
        WindowUse worst;
        for (const auto& [unused, first] : ran) {
            double cost = 0;
            for (const auto& [arrivedAt, attempt] : ran) {
                if (attempt->sentAt < first->sentAt)
                    continue;
                cost += attempt->cost;
                auto allowed = allowedCost(quota, arrivedAt - first->sentAt);
                if (cost / allowed > worst.cost / worst.allowed)
                    worst = { cost, allowed, first->sentAt, arrivedAt };
            }
        }
        return worst;
    }

    /// Returns the lowest level of an account's bucket from `from` to `to` that its requests and lost levels explain.
    /// @param events in order: times and costs, or nothing for a lost level.
    double lowestLevel(const accounts::Quota& quota, const std::vector<std::pair<Time, std::optional<double>>>& events, Time from, Time to)
    {
        double level = 0;
        double lowest = quota.burst;
        Time then { 0 };
        auto fillUntil = [&](Time at) {
            level = std::min(quota.burst, level + quota.ratePerSecond * std::chrono::duration<double>(at - std::exchange(then, at)).count());
        };
        for (const auto& [at, cost] : events) {
            if (at > to)
                break;
            if (then < from && at >= from) {
                fillUntil(from);
                lowest = level;
            }
            fillUntil(at);
            level = cost ? level - *cost : std::min(level, 0.0);
            if (at >= from)
                lowest = std::min(lowest, level);
        }
        if (then < from)
            fillUntil(from);
        return std::min(lowest, level);
    }

    /// Returns the time in seconds with three decimal places.
    std::string formatSeconds(Time time)
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(time).count());
        return text.data();
    }

} // namespace

const char* name(RequestKind kind)
{
    constexpr std::array<const char*, static_cast<size_t>(RequestKind::Count)> names { "order", "status", "chat", "draft" };
    return names[static_cast<size_t>(kind)];
}

InvariantChecker::InvariantChecker(Time start)
    : start(start)
{
}

void InvariantChecker::reportViolation(const std::string& invariant, const std::string& detail)
{
    auto line = formatSeconds(this->now()) + " " + invariant + ": " + detail;
    std::lock_guard lock(this->mutex);
    this->violations.push_back(line);
    std::cout << "BROKEN " << line << std::endl;
}

void InvariantChecker::recordAttempt(const Attempt& attempt)
{
    std::lock_guard lock(this->mutex);
    this->attempts.push_back(attempt);
}

void InvariantChecker::checkRuns(const std::vector<std::unique_ptr<standins::WorkerStandin>>& workers)
{
    std::map<std::string, int> runsByRequestId;
    std::map<uint64_t, std::string> holdersByToken;
    for (const auto& worker : workers) {
        std::lock_guard lock(worker->mutex);
        for (const auto& [id, count] : worker->runsByRequestId)
            runsByRequestId[id] += count;
        if (worker->overcommits > 0)
            this->reportViolation("memory", worker->id + " received " + std::to_string(worker->overcommits) + " orders that exceed its memory or adapter slots");
        // A fencing token belongs to one lease holder.
        for (const auto& order : worker->orders) {
            auto [knownHolder, isNewToken] = holdersByToken.emplace(order.token, order.holder);
            if (!isNewToken && knownHolder->second != order.holder)
                this->reportViolation("holder", "fencing token " + std::to_string(order.token) + " was used by " + knownHolder->second + " and " + order.holder);
        }
    }
    // A copy, because `reportViolation` locks the mutex.
    std::vector<Attempt> recordedAttempts;
    {
        std::lock_guard lock(this->mutex);
        recordedAttempts = this->attempts;
    }
    for (const auto& attempt : recordedAttempts) {
        auto found = runsByRequestId.find(attempt.id);
        auto count = found == runsByRequestId.end() ? 0 : found->second;
        // These kinds must not be retried after they may have run.
        bool atMostOnce = attempt.kind == RequestKind::Order || attempt.kind == RequestKind::Chat;
        if (atMostOnce && count > 1)
            this->reportViolation("once", attempt.id + " ran " + std::to_string(count) + " times");
        bool lostInFlight = count == 0 && attempt.endedAt - attempt.sentAt < maxInFlightTime;
        if (attempt.cutByDrain && !lostInFlight)
            this->reportViolation("drain", attempt.id + " was cut off by the graceful shutdown of vm" + std::to_string(attempt.vm));
        if (attempt.reportedNotRun && count > 0)
            this->reportViolation("not_run", attempt.id + " was refused with " + std::to_string(attempt.status) + " and ran " + std::to_string(count) + " times");
    }
}

void InvariantChecker::checkSignals(const std::vector<std::unique_ptr<standins::WorkerStandin>>& workers, const std::vector<std::vector<Time>>& disturbedTimes)
{
    std::map<std::string, Attempt> attemptsById;
    {
        std::lock_guard lock(this->mutex);
        for (const auto& attempt : this->attempts)
            attemptsById.emplace(attempt.id, attempt);
    }
    size_t leavesTold = 0;
    size_t timesTold = 0;
    for (size_t number = 0; number < workers.size(); number++) {
        auto& worker = *workers[number];
        std::lock_guard lock(worker.mutex);
        // The arrivals of each VM at each start of the worker, with the attempts that they belong to.
        std::map<std::pair<int, int64_t>, std::vector<std::pair<const standins::WorkerArrival*, const Attempt*>>> arrivals;
        for (const auto& arrival : worker.arrivals) {
            auto attempt = attemptsById.find(arrival.requestId);
            if (attempt != attemptsById.end())
                arrivals[{ attempt->second.vm, arrival.startedAtMs }].emplace_back(&arrival, &attempt->second);
        }
        for (const auto& [source, list] : arrivals) {
            auto subject = " reached " + worker.id + " from vm" + std::to_string(source.first);
            std::optional<Time> toldLeavingAt;
            for (const auto& [arrival, attempt] : list) {
                if (arrival->toldLeaving && attempt->toldLeaving)
                    toldLeavingAt = std::min(toldLeavingAt.value_or(attempt->endedAt), attempt->endedAt);
            }
            leavesTold += toldLeavingAt ? 1 : 0;
            for (const auto& [arrival, attempt] : list) {
                if (toldLeavingAt && attempt->sentAt > *toldLeavingAt + leavePropagationTime && attempt->vmDisturbedAt < *toldLeavingAt)
                    this->reportViolation("leave", attempt->id + subject + ", which had said " + formatSeconds(attempt->sentAt - *toldLeavingAt) + " s before that it leaves");
                if (!arrival->toldRetryAfter)
                    continue;
                timesTold++;
                auto toldAt = arrival->at - this->start;
                auto endsAt = toldAt + std::chrono::duration_cast<Time>(std::chrono::duration<double>(*arrival->toldRetryAfter));
                bool disturbed = std::any_of(disturbedTimes[number].begin(), disturbedTimes[number].end(), [&](auto at) { return at > toldAt - connectionFaultEffect && at < endsAt; });
                int count = 0;
                for (const auto& [other, otherAttempt] : list) {
                    auto at = other->at - this->start;
                    count += at > toldAt + holdTolerance && at < endsAt ? 1 : 0;
                    disturbed = disturbed || (at < endsAt && otherAttempt->endedAt > toldAt && otherAttempt->vmDisturbedAt > toldAt - holdTolerance);
                }
                if (!disturbed && count > maxRequestsInHold)
                    this->reportViolation("hold", std::to_string(count) + " requests" + subject + ", which had named " + std::to_string(*arrival->toldRetryAfter) + " s at " + formatSeconds(toldAt));
            }
        }
    }
    std::cout << leavesTold << " leaves told to VMs, " << timesTold << " refusals that name a time" << std::endl;
}

void InvariantChecker::checkAccounts(const std::vector<std::unique_ptr<standins::WorkerStandin>>& workers, const std::vector<Time>& lossTimes)
{
    std::map<std::string, Attempt> attemptsById;
    {
        std::lock_guard lock(this->mutex);
        for (const auto& attempt : this->attempts)
            attemptsById.emplace(attempt.id, attempt);
    }
    auto accounts = makeAccounts(1);
    std::map<std::string, Time> ranAt; // First arrival at a worker that ran it.
    for (const auto& worker : workers) {
        std::lock_guard lock(worker->mutex);
        for (const auto& arrival : worker->arrivals) {
            auto attempt = attemptsById.find(arrival.requestId);
            if (attempt == attemptsById.end())
                continue;
            const auto& [id, sent] = *attempt;
            auto subject = id + " with a key of version " + std::to_string(sent.keyVersion) + " reached " + worker->id + " from vm" + std::to_string(sent.vm);
            if (sent.keyExpectation == KeyExpectation::Refused)
                this->reportViolation("key", subject + " although the key belongs to no account");
            else if (arrival.carriesKey || arrival.account != accounts[static_cast<size_t>(sent.account)].name)
                this->reportViolation("account", subject + " as of account \"" + arrival.account + "\"" + (arrival.carriesKey ? " and with the key" : ""));
            if (worker->runsByRequestId.contains(id)) {
                auto [known, isNew] = ranAt.emplace(id, arrival.at - this->start);
                known->second = std::min(known->second, arrival.at - this->start);
            }
        }
    }
    std::map<Account, std::vector<const Attempt*>> attemptsByAccount;
    for (const auto& [id, attempt] : attemptsById) {
        attemptsByAccount[attempt.account].push_back(&attempt);
        if (attempt.keyExpectation == KeyExpectation::Taken && attempt.status == 401)
            this->reportViolation("key", id + " with a key of version " + std::to_string(attempt.keyVersion) + " was refused by vm" + std::to_string(attempt.vm));
    }
    for (size_t number = 0; number < accounts.size(); number++)
        this->checkQuota(accounts[number], attemptsByAccount[static_cast<Account>(number)], ranAt, lossTimes);
}

void InvariantChecker::checkQuota(const accounts::ClientAccount& account, std::vector<const Attempt*> sent, const std::map<std::string, Time>& ranAt, const std::vector<Time>& lossTimes)
{
    std::sort(sent.begin(), sent.end(), [](const auto* a, const auto* b) { return a->sentAt < b->sentAt; });
    std::vector<std::pair<Time, std::optional<double>>> events;
    std::vector<std::pair<Time, const Attempt*>> ran;
    for (const auto* attempt : sent) {
        if (attempt->status != 429 && attempt->status != 401)
            events.emplace_back(attempt->sentAt, attempt->cost);
        if (auto found = ranAt.find(attempt->id); found != ranAt.end())
            ran.emplace_back(found->second, attempt);
    }
    std::sort(ran.begin(), ran.end());
    auto worst = findWorstWindow(account.quota, ran);
    auto use = std::to_string(worst.cost) + " of " + std::to_string(worst.allowed) + " from " + formatSeconds(worst.from) + " to " + formatSeconds(worst.to);
    if (worst.cost > worst.allowed)
        this->reportViolation("quota", account.name + " had " + use);
    for (const auto& at : lossTimes)
        events.emplace_back(at, std::nullopt);
    std::sort(events.begin(), events.end());
    size_t refused = 0;
    for (const auto* attempt : sent) {
        if (attempt->status != 429)
            continue;
        refused++;
        auto level = lowestLevel(account.quota, events, attempt->sentAt, attempt->endedAt);
        if (level >= attempt->cost + bucketDoubt * account.quota.burst)
            this->reportViolation("within", attempt->id + " of account " + account.name + " was refused by vm" + std::to_string(attempt->vm) + " at " + formatSeconds(attempt->endedAt) + " with " + std::to_string(level) + " left");
    }
    std::cout << "account " << account.name << ": " << sent.size() << " requests, " << refused << " over its quota, at most " << use << std::endl;
}

void InvariantChecker::checkLogs(const std::filesystem::path& directory)
{
    for (const auto& entry : std::filesystem::directory_iterator(directory)) {
        if (entry.path().extension() != ".log" || entry.path().stem() == "soak")
            continue;
        std::ifstream file(entry.path());
        for (std::string line; std::getline(file, line);) {
            if (line.find(keyPrefix) != std::string::npos)
                return this->reportViolation("account", entry.path().filename().string() + " contains a key");
        }
    }
}

size_t InvariantChecker::printSummary()
{
    std::lock_guard lock(this->mutex);
    std::map<std::string, size_t> counts;
    for (const auto& attempt : this->attempts)
        counts[std::string(name(attempt.kind)) + " " + (attempt.status != 0 ? std::to_string(attempt.status) : attempt.error)]++;
    for (const auto& [result, count] : counts)
        std::cout << result << " " << count << "\n";
    for (const auto& line : this->violations)
        std::cout << "broken: " << line << "\n";
    std::cout << this->attempts.size() << " attempts, " << this->violations.size() << " violations" << std::endl;
    return this->violations.size();
}

} // namespace comfreypier::soak
