/// Client accounts: their keys, the priority of their requests and their quotas.
///
/// Uses no fibers, sockets, clocks or locks: the caller passes the current time, and guards shared objects with its own mutex.
/// Answers callers who compete for too little room: each account is served up to its quota over all entry VMs, whatever the others ask for.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace comfreypier::accounts {

/// Monotonic point in time, or a duration.
using Time = std::chrono::nanoseconds;

/// What the numbers of a quota count.
enum class QuotaUnit {
    Requests,
    Tokens, ///< Prompt tokens and output tokens together.
    Count ///< Number of values, for arrays.
};

/// Quota of an account over all VMs: a token bucket that holds `burst` and is refilled at `ratePerSecond`, both in `unit`.
struct Quota {
    QuotaUnit unit = QuotaUnit::Requests;
    double ratePerSecond = 0; ///< 0 is unlimited.
    double burst = 0;
    double defaultTokens = 0; ///< Tokens of a request that states none.
    bool operator==(const Quota&) const = default;
};

/// A client account of the operators' configuration.
struct ClientAccount {
    std::string name; ///< Unique.
    std::vector<std::string> keys; ///< A caller with any of them belongs to the account. Removed once a `KeyTable` was built from them.
    std::optional<uint32_t> priority; ///< Replaces the priority of the route, 0 is the most urgent; nothing if the account has none.
    Quota quota;
    double weight = 0; ///< See `setWeights`.
};

/// Sets the weight of each account, its share relative to the others where room is scarce: the rate of its quota, if all accounts have one and
/// count the same unit, else 0.
void setWeights(std::vector<ClientAccount>& accounts);

/// Size of a key's digest, in bytes.
constexpr size_t keyDigestBytes = 16;

/// Finds the account of a key. Holds digests under a secret of this process instead of the keys: neither a copy of the table nor the time that a
/// lookup takes tells anything about them.
class KeyTable {
public:
    /// @param accounts a key that two accounts have belongs to the first one. Empty keys are left out.
    explicit KeyTable(const std::vector<ClientAccount>& accounts);
    /// Returns the position of the account that has `key` in the list that the table was built from; nothing if none has it.
    std::optional<size_t> find(std::string_view key) const;
    size_t size() const { return this->accountsByDigest.size(); }

private:
    using Digest = std::array<uint8_t, keyDigestBytes>;
    /// A digest is as good as random.
    struct DigestHash {
        size_t operator()(const Digest& digest) const;
    };
    /// Compares in a time that does not depend on the bytes.
    struct DigestEqual {
        bool operator()(const Digest& a, const Digest& b) const;
    };

    std::unordered_map<Digest, size_t, DigestHash, DigestEqual> accountsByDigest;
};

/// Whether a request is taken because of its key.
enum class KeyDecision {
    Accepted, ///< It belongs to an account, or needs none.
    Unknown, ///< No account has its key.
    Outdated, ///< No account has its key in a configuration that is not the newest one.
    Count
};

/// Decides whether a request is taken because of its key.
/// @param needsKey the route takes only requests with a key.
/// @param known an account has the key.
/// @param version version of the configuration in force.
/// @param newestVersion newest version that any VM is known to have.
KeyDecision decideKey(bool needsKey, bool known, uint64_t version, uint64_t newestVersion);

/// Returns what a request counts against a quota.
/// @param tokens prompt tokens and output tokens that the request states together; nothing if it states none.
double quotaCost(const Quota& quota, std::optional<uint64_t> tokens);

/// How exactly a deployment wants quotas to be kept: in any `window`, an account may have (rate x window + burst) x (1 + `overage`) + `slack`.
struct QuotaTolerance {
    Time window { 0 };
    double overage = 0;
    double slack = 0; ///< In the unit of the quota.
};

/// Part of the tolerance that buckets hold in addition to the burst, for callers whose requests come in clumps. The rest is for charges that the
/// VMs do not know of each other yet.
constexpr double bucketToleranceShare = 0.5;

/// Returns the quota that buckets keep.
Quota quotaWithTolerance(const Quota& quota, const QuotaTolerance& tolerance);

// Quotas over all VMs. Rendezvous hashing ranks the VMs for each account. The first one, the holder, keeps the account's bucket and charges the
// requests that the others ask for; the next ones keep copies of it and go on from them. All of them exchange reports of levels.

/// Interval at which a VM reports the levels of its buckets.
constexpr std::chrono::milliseconds levelReportInterval { 150 };
/// Part of a bucket that a VM charges before it reports without waiting for the interval. It is lost if the VM stops.
constexpr double maxUnreportedShare = 0.1;
/// Time for which a bucket may be charged since another VM last confirmed it: a VM that was cut off or suspended may have been replaced.
constexpr std::chrono::milliseconds maxConfirmationAge { 500 };
/// Maximum time between a report and the answer that confirms a bucket. Later answers have waited in a suspended VM.
constexpr std::chrono::milliseconds maxReportAnswerTime { 350 };
/// Time for which a VM that knows no level asks the others before it begins with an empty bucket.
constexpr std::chrono::milliseconds emptyStartDelay { 300 };
/// Time without a report after which a VM counts as silent for the exchange of levels.
constexpr std::chrono::milliseconds reportSilence { 500 };
/// Time for which a VM that was asked for an account takes part in the exchange of its levels, whatever its rank.
constexpr std::chrono::milliseconds askedActivityTime { 2000 };
/// Number of other VMs that keep a copy of a bucket.
constexpr size_t copyCount = 2;
/// Number of VMs that are asked about one request, at most.
constexpr size_t maxAskedVms = 3;
/// Time for which a charge is remembered, so that it is neither repeated nor given back twice, and the maximum number of such charges.
constexpr std::chrono::seconds chargeMemoryTime { 30 };
constexpr size_t maxRememberedCharges = 50000;
/// Gap between two calls of `QuotaLedger::recordRunning` from which a VM was suspended.
constexpr std::chrono::seconds suspensionGap { 2 };
/// Time after a start, a suspension or a loss of all other VMs in which an account that appears may be one that the others have charged.
constexpr std::chrono::seconds settlingTime { 5 };
/// Time for which the level of an account that a configuration leaves out is remembered, in case it comes back, and the maximum number of them.
constexpr std::chrono::minutes formerAccountTime { 10 };
constexpr size_t maxFormerAccounts = 5000;
/// Time after which a VM is asked again, as a part of the target latency, and its bounds: an answer takes some milliseconds.
constexpr int askTimeoutTargetPart = 8;
constexpr std::chrono::milliseconds minAskTimeout { 15 };
constexpr std::chrono::milliseconds maxAskTimeout { 40 };
/// Number of times that a VM is asked about one request.
constexpr int asksPerVm = 2;
/// Part of the target latency for which a request waits for answers, and its bounds.
constexpr int askTimeTargetPart = 2;
constexpr std::chrono::milliseconds minAskTime { 60 };
constexpr std::chrono::milliseconds maxAskTime { 250 };
/// Time over which a VM averages the rate of its granted requests.
constexpr std::chrono::seconds grantedRateTime { 10 };

/// Returns what a bucket of this quota holds when it is full. A quota without a burst holds what it gets in a second.
double quotaCapacity(const Quota& quota);

/// Level of a quota, which rises at its rate up to its capacity. May be negative.
class TokenBucket {
public:
    TokenBucket(const Quota& quota, double level, Time now);
    double level(Time now) const;
    /// Adds `amount`, which may be negative. The level stays between minus one capacity and one capacity.
    void add(double amount, Time now);
    void setLevel(double level, Time now);
    /// Returns the time until the bucket has room for `cost`, a day at most: 0 if it has; nothing if it never will.
    std::optional<Time> timeUntil(double cost, Time now) const;
    /// Changes the quota. Requests granted so far stay granted: the level does not rise. If the unit changes, the filled share stays.
    void setQuota(const Quota& quota, Time now);

private:
    Quota quota;
    double levelThen;
    Time then;
};

/// A VM that may keep buckets.
struct QuotaVm {
    std::string name;
    double capacity = 1; ///< Weight of the VM in the choice of holders.
    bool alive = true; ///< Heartbeats of the VM arrive, or may be expected to.
    Time heardAt { 0 }; ///< When anything last came from it; 0 if nothing has.
};

/// Returns the VMs in the order in which they are responsible for an account, the holder first. The order of the others does not depend on one
/// that is added or taken away.
std::vector<std::string> rankQuotaVms(std::string_view account, const std::vector<QuotaVm>& vms);

/// What one VM tells another about a bucket.
struct LevelReport {
    std::string account;
    bool known = false; ///< `level` is known and confirmed.
    double level = 0;
    double charged = 0; ///< What the sender has charged since its start, less what it gave back.
    Time sentAt { 0 }; ///< By the sender's clock.
    // About the newest report that the sender has of the receiver.
    uint64_t receiver = 0; ///< Incarnation of the receiver that sent it. Means nothing to a later one.
    double seen = 0; ///< Its `charged`.
    Time answers { 0 }; ///< Its `sentAt`; 0 if there is none.
    bool wantsAnswer = false;
};

/// What became of an attempt to charge a request.
enum class ChargeOutcome {
    Granted,
    Refused, ///< Over the quota.
    Unknown, ///< The VM does not know the level.
    Count
};

struct ChargeAnswer {
    ChargeOutcome outcome = ChargeOutcome::Unknown;
    Time retryAfter { 0 }; ///< Of `Refused`: time until the bucket has room.
};

/// Buckets of one VM and its part in the exchange of levels. Each VM subtracts what the others report to have charged, so that a report that is
/// lost, late or repeated does no harm, and two VMs that charge at the same time soon know of each other.
class QuotaLedger {
public:
    /// @param self name of this VM.
    /// @param incarnation differs for each start of it.
    QuotaLedger(std::string self, uint64_t incarnation);
    /// Applies the quotas of a configuration. Accounts that later configurations add begin with a full bucket, as no VM can have charged them;
    /// those of the first configuration of this start, and those that appear within `settlingTime`, begin without a known level, and those that
    /// come back with what they had.
    void setAccounts(const std::vector<ClientAccount>& accounts, Time now);
    /// Records that this VM runs. Called at least once a second: a longer gap shows that it was suspended.
    void recordRunning(Time now);
    /// Sets the VMs, this one included.
    void setVms(std::vector<QuotaVm> vms, Time now);
    /// Returns the VMs that were set; empty before.
    const std::vector<QuotaVm>& knownVms() const { return this->vms; }
    /// Returns whether a VM is one of those that were set.
    bool knows(const std::string& vm) const { return this->aliveByVm.contains(vm); }
    /// Returns the order of the VMs for an account; empty if the account has no quota.
    const std::vector<std::string>& ranking(const std::string& account) const;
    /// Returns whether this VM is the only one.
    bool isAlone() const { return this->vms.size() == 1; }

    /// Charges a request.
    /// @param ask number of the request, unique over all VMs and starts. A number that was granted is not charged again.
    ChargeAnswer charge(const std::string& account, uint64_t ask, double cost, Time now);
    /// Gives back what was charged for a request, and charges nothing for it if it is yet to come.
    void giveBack(uint64_t ask, Time now);
    /// Returns whether accounts have reports that must not wait: much of a bucket was charged, or this VM was asked for an account whose levels
    /// it did not exchange.
    bool hasUrgentReports() const { return this->urgent; }
    /// Returns the reports that are due, with their receivers. Called every `levelReportInterval`, and for urgent reports at once.
    /// @param onlyUrgent leaves out the other accounts.
    std::vector<std::pair<std::string, LevelReport>> takeReports(Time now, bool onlyUrgent);
    /// Applies a report.
    /// @param senderIncarnation differs for each start of the sender.
    /// @return the answer, if the sender wants one.
    std::optional<LevelReport> receive(const std::string& vm, uint64_t senderIncarnation, const LevelReport& report, Time now);
    /// Returns the level of an account; nothing if it is not known or not confirmed.
    std::optional<double> level(const std::string& account, Time now);

private:
    /// What another VM has reported about an account.
    struct Partner {
        uint64_t incarnation = 0;
        double charged = 0;
        Time sentAt { 0 }; ///< By its clock; 0 if it has reported nothing.
        Time heardAt { 0 };
    };
    struct Account {
        Account(const Quota& quota, const TokenBucket& bucket)
            : quota(quota)
            , bucket(bucket)
        {
        }

        Quota quota;
        TokenBucket bucket;
        bool known = false;
        Time confirmedAt { 0 }; ///< Time of the newest own report that another VM has answered.
        Time unknownSince { 0 };
        Time askedAt { -std::chrono::hours { 1 } };
        double charged = 0;
        double unreported = 0; ///< Charged since the last report.
        bool urgent = false; ///< See `hasUrgentReports`.
        std::vector<std::string> ranking;
        Time rankedAt { 0 }; ///< When `ranking` last changed.
        std::map<std::string, Partner> partners;
    };
    struct Charge {
        std::string account; ///< Empty if it was given back before it came.
        double cost = 0; ///< 0 if it was given back.
    };

    /// Returns whether the level may be charged. Forgets a level that was not confirmed in time.
    bool isCurrent(Account& account, Time now) const;
    /// Returns whether this VM takes part in the exchange of an account's levels by itself.
    bool isActive(const Account& account, Time now) const;
    bool isSilent(const std::string& vm, Time now) const;
    LevelReport makeReport(const std::string& name, Account& account, const std::string& receiver, bool wantsAnswer, Time now) const;
    void remember(uint64_t ask, Charge charge, Time now);
    /// Returns what was known of an account that an earlier configuration left out, and forgets it there; nothing if there is none.
    std::optional<Account> takeFormer(const std::string& name, Time now);
    /// Applies a quota. If its unit is another one, what was charged so far can't be given back.
    void applyQuota(Account& account, const ClientAccount& configured, Time now);

    std::string self;
    uint64_t incarnation;
    std::vector<QuotaVm> vms;
    std::map<std::string, bool> aliveByVm;
    bool hasAccounts = false; ///< `setAccounts` was called.
    Time runningAt { 0 }; ///< When `recordRunning` was last called; 0 before.
    Time settlesAt { 0 }; ///< End of the last `settlingTime`.
    bool isCutOff = false; ///< There are other VMs, and none is alive.
    std::map<std::string, Account> accounts; ///< Those with a quota.
    std::map<std::string, std::pair<Time, Account>> formerAccounts; ///< Those that a configuration has left out, and when.
    std::map<std::string, Time> unansweredSince; ///< Of VMs that have not reported since a report was sent to them.
    std::unordered_map<uint64_t, Charge> charges; ///< By ask number.
    std::deque<std::pair<Time, uint64_t>> chargeTimes; ///< The oldest first.
    bool urgent = false; ///< An account is.
    uint64_t rounds = 0; ///< Calls of `takeReports` for all accounts.
};

/// Remembers which VMs left asks unanswered, and chooses the VMs to ask.
class QuotaContacts {
public:
    /// Returns the VMs to ask about an account, the first one first. VMs that are not alive, and those from which nothing came since they left
    /// an ask unanswered, are left out.
    std::vector<std::string> choose(const std::vector<std::string>& ranking, const std::vector<QuotaVm>& vms) const;
    void recordSilence(const std::string& vm, Time now) { this->silentAt[vm] = now; }
    void recordAnswer(const std::string& vm) { this->silentAt.erase(vm); }

private:
    std::map<std::string, Time> silentAt;
};

/// Course of the asks about one request: the chosen VMs are asked one after the other, each of them twice, until one answers that knows the
/// level. Bounded by the target latency of the request's route.
class AskSequence {
public:
    enum class Action {
        Ask, ///< Ask `Step::vm`.
        Wait, ///< Wait for an answer until `Step::until`.
        Done, ///< A VM has decided, or none will.
        Count
    };
    struct Step {
        Action action = Action::Done;
        std::string vm;
        Time until { 0 };
    };

    /// @param vms result of `QuotaContacts::choose`.
    AskSequence(std::vector<std::string> vms, Time targetLatency, Time now);
    /// Returns what is to be done now.
    Step next(Time now);
    /// Records the answer of a VM. Also of one that was given up for a later one.
    /// @return whether it decides.
    bool recordAnswer(const std::string& vm, const ChargeAnswer& answer);
    /// Returns the decision, or nothing.
    const std::optional<ChargeAnswer>& decision() const { return this->answer; }
    /// Returns the VM that decided; empty if none has.
    const std::string& decidedBy() const { return this->answeredBy; }
    /// Returns the VMs that were asked and have not answered. They may have charged the request.
    const std::vector<std::string>& unanswered() const { return this->open; }
    /// Returns the VMs that left all their asks unanswered.
    std::vector<std::string> silentVms() const;

private:
    std::vector<std::string> vms;
    Time timeout; ///< After which a VM is asked again, or the next one.
    Time end;
    size_t position = 0; ///< In `vms`.
    int asks = 0; ///< Sent to the VM at `position`.
    Time waitUntil { 0 };
    std::vector<std::string> open;
    std::vector<std::string> givenUp; ///< VMs that did not answer before the next one was asked.
    std::optional<ChargeAnswer> answer;
    std::string answeredBy;
};

/// Decides about requests of an account while no VM that knows its level answers: grants no more than this VM's own recent rate, without a
/// burst. All VMs together then stay below what was granted before.
class GrantedRate {
public:
    /// Records what a VM with the bucket has decided.
    void record(double cost, bool granted, Time now);
    /// Grants a request if the own rate has room for it.
    bool tryGrant(double cost, Time now);

private:
    /// Returns the rate up to `answeredAt`, reduced by the share that was refused.
    double rate() const;

    // Cost, decayed over `grantedRateTime` up to `answeredAt`.
    double granted = 0;
    double refused = 0;
    double largestCost = 0;
    Time firstAt { 0 }; ///< When the first request was granted; 0 before.
    Time answeredAt { 0 };
    double level = 0; ///< Room at `levelAt`.
    Time levelAt { 0 };
};

} // namespace comfreypier::accounts
