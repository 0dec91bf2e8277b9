/// Quotas of client accounts: asks the VM that keeps an account's bucket to charge each request, and answers for the buckets of this VM.
#pragma once

#include "peers.h"

namespace comfreypier::edge {

/// A request that was charged.
struct QuotaCharge {
    std::string account; ///< Empty if nothing was charged.
    uint64_t ask = 0;
    double cost = 0;
    std::string vm; ///< VM that charged it; empty if the own recent rate decided.
};

/// Decision about a request.
struct QuotaDecision {
    bool granted = true;
    bool known = true; ///< A VM that knows the level has decided.
    std::optional<Time> retryAfter; ///< Of a refusal: time until there is room; nothing if there never will be.
    QuotaCharge charge; ///< Of a granted request.
    std::string decidedBy; ///< VM that decided; empty if none was asked.
};

/// Decides about requests of accounts with a quota. Used on the I/O thread only.
class QuotaTask {
public:
    QuotaTask(Vm& vm, Peers& peers);

    /// Exchanges levels with the other VMs until the daemon stops. Does nothing while no account has a quota.
    void run();
    /// Charges a request. May wait for the answers of other VMs, for a part of the target latency.
    /// @param cost result of `accounts::quotaCost`.
    QuotaDecision charge(const accounts::ClientAccount& account, double cost, milliseconds targetLatency);
    /// Gives back what was charged for a request that has not run, and clears `charge`.
    void giveBack(QuotaCharge& charge);
    /// Handles a message of another VM.
    void receive(const std::string& node, uint64_t incarnation, const QuotaMessage& message);
    /// Returns what was granted and refused by account, in Prometheus text format.
    std::string formatMetrics() const;

private:
    /// An ask that waits for an answer.
    struct Pending {
        transport::Event event; ///< Set when an answer has come.
        accounts::AskSequence sequence;
    };
    /// What was decided about the requests of an account, in the unit of its quota.
    struct Totals {
        double granted = 0;
        double refused = 0;
        double returned = 0; ///< Part of `granted` that was given back.
    };

    accounts::QuotaTolerance tolerance() const;
    /// Applies the configuration if it has changed.
    void applyConfiguration();
    /// Applies the configuration and the members.
    void update();
    /// Asks the VMs that may know the level, one after the other.
    /// @param decidedBy set to the VM that decided.
    /// @return nothing if none knows it or answers in time.
    std::optional<accounts::ChargeAnswer> ask(const std::string& account, uint64_t number, double cost, milliseconds targetLatency, std::string& decidedBy);
    void sendReports(bool onlyUrgent);
    void sendReturn(const std::string& node, uint64_t number);
    /// Returns the totals of an account, or those of all further accounts if too many names are known.
    Totals& totals(const std::string& account);

    Vm& vm;
    Peers& peers;
    accounts::QuotaLedger ledger;
    accounts::QuotaContacts contacts;
    ConfigurationPtr configuration; ///< Applied to `ledger`.
    bool hasQuotas = false;
    uint64_t lastAsk; ///< Number of the last ask. Starts at random, so that the numbers of all VMs and starts differ.
    std::map<uint64_t, Pending*> pending; ///< By number of the ask.
    std::map<std::string, accounts::GrantedRate> grantedRates; ///< By account.
    std::map<std::string, Totals> totalsByAccount;
    transport::Log log { "quota" };
};

} // namespace comfreypier::edge
