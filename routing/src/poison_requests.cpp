/// Detection of poison requests: which contents and which parts of prompts crash workers.
#include <algorithm>
#include <routing/routing.h>

namespace comfreypier::routing {

namespace {

    /// A worker crash is blamed on the requests that broke off there within this time before it became known. Workers publish a new
    /// entry when they are back, after some seconds.
    constexpr Time crashAttributionWindow = std::chrono::seconds { 10 };
    /// Time for which a part is held off that workers have answered before; doubled with each crash beyond the limit.
    constexpr Time answeredPartHoldTime = std::chrono::seconds { 5 };
    constexpr size_t maxHoldDoublings = 16;
    /// Maximum delay of news between VMs for which answers are remembered that may clear a crash.
    constexpr Time maxNewsDelay = std::chrono::seconds { 5 };
    /// Maximum number of parts of which the last progress is remembered. Those older than `maxNewsDelay` are forgotten first.
    constexpr size_t maxProgressTimes = 4096;
    /// Lifetimes of evidence: that of causes that are or were held off, of others, and of evidence that was cleared.
    constexpr Time heldEvidenceLifetime = std::chrono::hours { 24 };
    constexpr Time openEvidenceLifetime = std::chrono::hours { 1 };
    constexpr Time clearedEvidenceLifetime = std::chrono::minutes { 1 };
    /// Maximum number of causes with evidence. The oldest are forgotten first.
    constexpr size_t maxCauses = 4096;
    /// Interval between two removals of expired evidence.
    constexpr Time expiryInterval = std::chrono::seconds { 1 };
    /// Number of heartbeats that carry own evidence, because datagrams may be lost, and evidence that is relayed.
    constexpr int ownRepeats = 5;
    constexpr int relayRepeats = 2;
    /// Maximum number of changes, and of held-off causes in turn, in one heartbeat.
    constexpr size_t maxChangesSent = 48;
    constexpr size_t reportsInTurn = 4;
    /// Number of crashes that a cause must have more than another one that was there in most of the same crashes, to explain it.
    constexpr size_t explainingCrashes = 2;
    /// Number of crashes from which a cause that was never answered is held off even if all were at the same moment.
    constexpr size_t sureCrashes = 4;

    uint32_t crashLimit(CrashCause::Kind kind)
    {
        return kind == CrashCause::Kind::Content ? poisonCrashLimit : poisonPartCrashLimit;
    }

    /// Returns the number of crashes that both contain.
    size_t countShared(const std::map<uint64_t, Time>& a, const std::map<uint64_t, Time>& b)
    {
        return static_cast<size_t>(std::count_if(a.begin(), a.end(), [&b](const auto& crash) { return b.contains(crash.first); }));
    }

    /// Returns whether the crashes that are not among those of `others` would be enough.
    bool hasOwnCrashes(CrashCause::Kind kind, const std::map<uint64_t, Time>& crashes, const std::map<uint64_t, Time>& others)
    {
        return crashes.size() - countShared(crashes, others) >= crashLimit(kind);
    }

    /// Returns whether a cause with `crashes` is held off only because it occurred together with another one, which has more.
    /// @param others crashes of the other cause.
    bool explains(CrashCause::Kind kind, const std::map<uint64_t, Time>& others, const std::map<uint64_t, Time>& crashes)
    {
        if (hasOwnCrashes(kind, crashes, others))
            return false;
        bool seldomTogether = countShared(crashes, others) < crashLimit(kind);
        return others.size() >= crashes.size() + (seldomTogether ? 1 : explainingCrashes);
    }

    /// @param answered whether workers have answered requests with the cause before.
    bool hasEnoughCrashes(CrashCause::Kind kind, const std::map<uint64_t, Time>& crashes, bool answered)
    {
        if (crashes.size() < crashLimit(kind))
            return false;
        if (!answered && crashes.size() >= sureCrashes)
            return true;
        auto [first, last] = std::minmax_element(crashes.begin(), crashes.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
        return last->second - first->second >= minPoisonCrashSpread;
    }

} // namespace

std::set<CrashCause> crashCauses(const RequestShape& shape)
{
    std::set<CrashCause> causes { { CrashCause::Kind::Content, shape.contentHash } };
    for (size_t i = 0; i + 1 < shape.parts.size(); i++)
        causes.insert({ CrashCause::Kind::Part, shape.parts[i].id });
    return causes;
}

void PoisonRequests::recordBroken(const WorkerEntry& worker, const std::set<CrashCause>& causes, Time now)
{
    while (!this->brokenRequests.empty() && this->brokenRequests.front().at < now - crashAttributionWindow)
        this->brokenRequests.pop_front();
    this->brokenRequests.push_back({ worker.id, workerStart(worker), causes, now });
}

size_t PoisonRequests::recordCrash(const std::string& worker, Time now)
{
    size_t blamed = 0;
    bool changed = this->removeExpired(now);
    for (const auto& request : this->brokenRequests) {
        if (request.worker != worker || request.at < now - crashAttributionWindow)
            continue;
        blamed++;
        for (const auto& cause : request.causes)
            changed = this->apply(cause, request.crash, request.at, false, false, ownRepeats, now) || changed;
    }
    this->forgetBroken(worker);
    if (changed)
        this->updateHolds();
    return blamed;
}

void PoisonRequests::forgetBroken(const std::string& worker)
{
    std::erase_if(this->brokenRequests, [&worker](const auto& request) { return request.worker == worker; });
}

void PoisonRequests::recordProgress(const std::set<CrashCause>& causes, Time now)
{
    bool changed = false;
    for (const auto& cause : causes) {
        // Contents are hardly ever repeated, so only progress that clears known evidence matters.
        if (cause.kind == CrashCause::Kind::Part)
            this->progressTimes[cause] = now;
        auto found = this->evidence.find(cause);
        if (found == this->evidence.end())
            continue;
        for (auto& [crash, item] : found->second)
            changed = this->clear(cause, crash, item, ownRepeats, now) || changed;
    }
    if (this->progressTimes.size() > maxProgressTimes)
        std::erase_if(this->progressTimes, [now](const auto& item) { return item.second < now - maxNewsDelay; });
    if (this->progressTimes.size() > maxProgressTimes)
        this->progressTimes.clear();
    if (changed)
        this->updateHolds();
}

void PoisonRequests::merge(const std::vector<CrashReport>& reports, bool relay, Time now)
{
    bool changed = false;
    for (const auto& report : reports)
        changed = this->apply(report.cause, report.crash, now - report.age, report.cleared, report.answeredBefore, relay ? relayRepeats : 0, now) || changed;
    if (changed)
        this->updateHolds();
}

bool PoisonRequests::clear(const CrashCause& cause, uint64_t crash, Evidence& item, int repeats, Time now)
{
    if (item.cleared)
        return false;
    item.cleared = true;
    item.clearedAt = now;
    this->pendingReports[{ cause, crash }] = repeats;
    return true;
}

bool PoisonRequests::apply(const CrashCause& cause, uint64_t crash, Time at, bool cleared, bool answeredBefore, int repeats, Time now)
{
    auto [found, added] = this->evidence[cause].try_emplace(crash, Evidence { at, cleared, now });
    auto& item = found->second;
    if (added)
        this->pendingReports[{ cause, crash }] = repeats;
    bool newlyAnswered = (answeredBefore || this->progressTimes.contains(cause)) && this->answered.insert(cause).second;
    if (newlyAnswered)
        this->pendingReports[{ cause, crash }] = ownRepeats;
    // This VM may have seen an answer after the crash, before it learnt of the crash.
    auto progress = this->progressTimes.find(cause);
    bool answered = progress != this->progressTimes.end() && progress->second > item.at;
    bool nowCleared = answered ? this->clear(cause, crash, item, ownRepeats, now) : cleared && this->clear(cause, crash, item, repeats, now);
    return added || nowCleared || newlyAnswered;
}

std::vector<CrashReport> PoisonRequests::takeReports(Time now)
{
    if (this->removeExpired(now))
        this->updateHolds();
    std::vector<CrashReport> reports;
    auto addReport = [&](const EvidenceKey& key) {
        const auto& item = this->evidence.at(key.first).at(key.second);
        reports.push_back({ key.first, key.second, now - item.at, item.cleared, this->answered.contains(key.first) });
    };
    for (auto it = this->pendingReports.begin(); it != this->pendingReports.end() && reports.size() < maxChangesSent;) {
        bool known = this->evidence.contains(it->first.first) && this->evidence.at(it->first.first).contains(it->first.second);
        if (known && it->second > 0)
            addReport(it->first);
        it = known && --it->second > 0 ? std::next(it) : this->pendingReports.erase(it);
    }
    std::set<EvidenceKey> held;
    for (const auto& hold : this->holds) {
        for (const auto& cause : hold.causes) {
            for (const auto& [crash, at] : this->openCrashes(cause))
                held.emplace(cause, crash);
        }
    }
    auto next = held.upper_bound(this->lastSentInTurn);
    for (size_t i = 0; i < std::min(reportsInTurn, held.size()); i++, next++) {
        if (next == held.end())
            next = held.begin();
        this->lastSentInTurn = *next;
        addReport(*next);
    }
    return reports;
}

PoisonRequests::CrashTimes PoisonRequests::openCrashes(const CrashCause& cause) const
{
    CrashTimes open;
    auto found = this->evidence.find(cause);
    if (found == this->evidence.end())
        return open;
    for (const auto& [crash, item] : found->second) {
        if (!item.cleared)
            open.emplace(crash, item.at);
    }
    return open;
}

void PoisonRequests::updateHolds()
{
    std::map<CrashCause, CrashTimes> suspects;
    for (const auto& [cause, crashes] : this->evidence) {
        auto open = this->openCrashes(cause);
        if (hasEnoughCrashes(cause.kind, open, this->answered.contains(cause)))
            suspects.emplace(cause, std::move(open));
    }
    auto isExplained = [&suspects](const CrashCause& cause, const CrashTimes& crashes) {
        return std::any_of(suspects.begin(), suspects.end(), [&](const auto& other) { return other.first.kind == cause.kind && explains(cause.kind, other.second, crashes); });
    };
    std::map<CrashCause, CrashTimes> unexplained;
    for (const auto& [cause, crashes] : suspects) {
        if (!isExplained(cause, crashes))
            unexplained.emplace(cause, crashes);
    }
    // A part that workers have answered before is sound if one that they never answered was there as well.
    std::erase_if(unexplained, [&](const auto& item) {
        return this->answered.contains(item.first) && std::any_of(unexplained.begin(), unexplained.end(), [&](const auto& other) {
            return !this->answered.contains(other.first) && other.first.kind == item.first.kind && !hasOwnCrashes(item.first.kind, item.second, other.second);
        });
    });
    this->holds.clear();
    for (const auto& [cause, crashes] : unexplained) {
        auto newest = std::max_element(crashes.begin(), crashes.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
        // A part that was answered before may be sound and have had bad luck: it is tried again soon, and later after each further crash.
        Time holdTime = poisonHoldTime;
        if (this->answered.contains(cause))
            holdTime = std::min<Time>(poisonHoldTime, answeredPartHoldTime * (1 << std::min<size_t>(crashes.size() - crashLimit(cause.kind), maxHoldDoublings)));
        Hold hold { { cause }, newest->second + holdTime };
        for (const auto& [other, otherCrashes] : unexplained) {
            if (cause.kind == CrashCause::Kind::Part && other.kind == cause.kind && !hasOwnCrashes(cause.kind, crashes, otherCrashes) && !hasOwnCrashes(cause.kind, otherCrashes, crashes))
                hold.causes.insert(other);
        }
        this->holds.push_back(std::move(hold));
    }
}

std::set<CrashCause> PoisonRequests::findPoison(const std::set<CrashCause>& causes, Time now) const
{
    for (const auto& hold : this->holds) {
        if (now < hold.until && std::includes(causes.begin(), causes.end(), hold.causes.begin(), hold.causes.end()))
            return hold.causes;
    }
    return {};
}

std::vector<std::set<CrashCause>> PoisonRequests::heldOff(Time now) const
{
    std::vector<std::set<CrashCause>> groups;
    for (const auto& hold : this->holds) {
        if (now < hold.until && std::find(groups.begin(), groups.end(), hold.causes) == groups.end())
            groups.push_back(hold.causes);
    }
    return groups;
}

bool PoisonRequests::removeExpired(Time now)
{
    if (now < this->expiredAt + expiryInterval)
        return false;
    this->expiredAt = now;
    bool changed = false;
    for (auto it = this->evidence.begin(); it != this->evidence.end();) {
        auto& crashes = it->second;
        auto openLifetime = this->openCrashes(it->first).size() >= crashLimit(it->first.kind) ? heldEvidenceLifetime : openEvidenceLifetime;
        auto removed = std::erase_if(crashes, [&](const auto& item) {
            return item.second.cleared ? now - item.second.clearedAt > clearedEvidenceLifetime : now - item.second.at > openLifetime;
        });
        changed = changed || removed > 0;
        it = crashes.empty() ? this->evidence.erase(it) : std::next(it);
    }
    std::erase_if(this->answered, [this](const auto& cause) { return !this->evidence.contains(cause); });
    auto newestCrash = [](const auto& item) {
        return std::max_element(item.second.begin(), item.second.end(), [](const auto& a, const auto& b) { return a.second.at < b.second.at; })->second.at;
    };
    while (this->evidence.size() > maxCauses) {
        this->evidence.erase(std::min_element(this->evidence.begin(), this->evidence.end(), [&](const auto& a, const auto& b) { return newestCrash(a) < newestCrash(b); }));
        changed = true;
    }
    return changed;
}

} // namespace comfreypier::routing
