/// Membership of the entry VMs and the heartbeats between them.
#pragma once

#include "crash_tracker.h"
#include "duty_rank.h"
#include "forward_queue.h"
#include "forward_tracker.h"
#include "resident_news.h"
#include "send_order.h"
#include "send_pacer.h"

#include <deque>

namespace comfreypier::edge {

/// State of another entry VM, from its member record and its heartbeats.
struct Peer {
    Member member;
    bool isRecorded = false; ///< The store has brought its record. Otherwise only its heartbeats say that it is a member.
    unsigned readsWithoutRecord = 0; ///< Reads of the members since then that brought none.
    std::optional<Member> replaced; ///< Recorded member of the same name that it has replaced without a record.
    bool inGroup = false; ///< The peer belongs to this VM's group.
    Time lastHeartbeatAt { -std::chrono::hours { 1 } }; ///< When its last heartbeat arrived.
    Time lastSentAt { 0 }; ///< When this VM last sent it a heartbeat.
    Time notifiedAt { 0 }; ///< When this VM, as lease holder, last told it changes at once, see `Peers::notifyWaitingPeers`.
    uint64_t sequence = 0; ///< Sequence number of its newest heartbeat.
    // The remaining fields are those of its heartbeats, see `Heartbeat`.
    bool ready = false;
    bool draining = false;
    bool overloaded = false;
    bool readsWorkers = false;
    bool readsConfiguration = false;
    uint64_t configVersion = 0;
    uint64_t leaseToken = 0;
    std::map<std::string, double> demand;
    std::vector<MissingItem> missingItems;
    ForwardTracker forwards; ///< Of a peer in the group: the worker records that it forwards.
};

/// Another VM, for the choice of the VMs that keep the buckets of quotas.
struct PeerView {
    std::string node;
    double capacity = 0; ///< Result of `capacityInCores`.
    bool alive = false; ///< Its heartbeats arrive, or it has not had the time to send one.
    Time heardAt { 0 }; ///< When its last heartbeat arrived.
};

/// Exchanges heartbeats with the other VMs.
class Peers {
public:
    Peers(Vm& vm, transport::Runtime& runtime, CrashTracker& crashes);

    /// Binds the socket.
    /// @return false if the address can't be bound.
    bool start();
    /// Publishes this VM as a member and sends heartbeats until the daemon stops.
    void run();
    /// Sends a full heartbeat now, or as soon as the minimum gap after the last one has passed. Called for changes that other VMs
    /// wait for.
    void sendHeartbeat();
    /// Sends the lease holder a partial heartbeat with this VM's missing items.
    void notifyLeaseHolder();
    /// Deletes this VM's member record from the store.
    void unregister();
    /// Closes the socket.
    void stop() { this->socket.stop(); }

    /// Applies the records of a read of the members. Publishes this VM anew if the store has lost its record.
    void applyMembers(const MemberRecords& records);
    /// Returns the addresses of ready VMs, this one included, for callers in `dataCentre`.
    std::vector<transport::Endpoint> addressesFor(const std::string& dataCentre) const;
    /// Returns whether a reachable VM with `strongerCapacityRatio` times this VM's capacity is ready and neither draining nor
    /// overloaded, so that it can take over the lease.
    bool hasStrongerPeer() const;
    /// Discards the load of unreachable peers.
    void forgetUnreachablePeers();
    /// Returns the newest version of the configuration that any running VM, this one included, has reported to be in force; 0 if none has.
    uint64_t newestConfigurationVersion() const;
    /// Returns the VMs to ask for the record of a configuration, see `orderConfigurationSources`: reachable ones that have this version or a
    /// newer one.
    std::vector<ConfigurationSource> configurationSources(uint64_t version) const;
    /// Returns whether a VM is a member, in this start of it.
    bool isMember(const ConfigurationAsker& asker) const;
    /// Returns the number of VMs with a member record, reachable or not, this one included; 0 until the records have been read.
    uint32_t memberCount() const;

    /// Returns the other VMs with a member record, by name.
    std::vector<PeerView> peerViews() const;
    /// Returns the number that identifies this start of the daemon.
    uint64_t ownIncarnation() const { return this->incarnation; }
    /// Sends a message about quotas to a VM. Does nothing if it has no member record.
    void sendQuota(const std::string& node, QuotaMessage message);

    /// Returns the demand of all VMs that are alive by model, in worker seconds per second.
    std::map<std::string, double> totalDemand() const;
    /// Adds work that this VM sent to a worker to its demand.
    /// @param seconds worker time.
    void recordWork(const std::string& model, double seconds);
    /// Returns the missing models and adapters of all reachable VMs, this one included.
    std::vector<MissingItem> allMissingItems() const;
    /// Registers that a request on this VM waits for an item, until `removeMissingItem`.
    void addMissingItem(const MissingItem& item);
    /// Ends one registration by `addMissingItem`.
    void removeMissingItem(const MissingItem& item);
    /// Records that a request that uses an adapter was sent to a worker.
    /// @param adapter with all fields set.
    void recordAdapterUse(const MissingItem& adapter);

    /// Sets what this VM reports as lease holder. Notifies waiting peers if models or adapters changed.
    /// @param leaseToken fencing token, or 0 if this VM does not hold the lease.
    /// @param leasePosition position of the newest lease record.
    /// @param resident models and adapters by worker, as in `Heartbeat::resident`.
    void setLeaseState(uint64_t leaseToken, const LogPosition& leasePosition, ResidentItems resident);
    /// Returns whether a reachable peer reports that it holds the lease.
    bool hasReachableLeaseHolder() const;
    /// Returns the highest fencing token that a reachable peer reports, or 0.
    uint64_t highestPeerToken() const;
    /// Returns whether at least half of the other members are reachable, which makes a majority with this VM.
    bool reachesMajority() const;

    /// Records that a worker said in an answer that it leaves, and tells the other VMs if it is news. An answer that is no statement of a known
    /// worker is only logged and counted.
    /// @param worker the worker as it was called. Another one may have answered, see `routing::statementSender`.
    /// @param source what the answer shows about its sender.
    /// @param evidence kind of the answer, for the log.
    void recordLeaving(const routing::WorkerEntry& worker, const routing::AnswerSource& source, const char* evidence);
    /// Records that a worker turned this VM away and named the time after which it wants the next call. The parameters are as above.
    void recordHold(const routing::WorkerEntry& worker, const routing::AnswerSource& source, milliseconds delay, const char* evidence);
    /// Records what a worker's answer to a report, a probe or an order says of it.
    template <class Value>
    void recordStatements(const routing::WorkerEntry& worker, const platform::WorkerReply<Value>& reply, const char* evidence)
    {
        if (reply.leaving)
            this->recordLeaving(worker, reply.source, evidence);
        if (reply.retryAfter)
            this->recordHold(worker, reply.source, *reply.retryAfter, evidence);
    }
    /// Logs and counts a statement that is none of a known worker.
    /// @param statement what the answer says, for the log.
    void recordIgnored(const routing::WorkerEntry& worker, const routing::AnswerSource& source, const std::string& statement);

    /// Called when this VM has learnt that a worker leaves. Set before `start`.
    std::function<void()> onLeaveNews = [] {};
    /// Called when a VM, this one included, reports missing items.
    std::function<void()> onMissingItems;
    /// Forwards a record of the worker stream to the other VMs of the group.
    void forwardEntry(const ForwardedEntry& entry);
    /// Returns whether enough other VMs of the group read the worker stream and forward it without a loss. Only VMs that go before this one
    /// count, so that the first ones are the readers.
    /// @param ownReadAt when this VM's last complete read of the stream began.
    bool enoughPeersReadWorkers(Time ownReadAt) const;
    /// Returns whether enough other VMs of the group follow the configuration and the members, so that this VM need not. Never, if all VMs
    /// form one group.
    bool enoughPeersFollowStore() const;
    /// Tells the group at once which version of the configuration this VM has, if this VM reads the store for it.
    void announceConfiguration();
    /// Tells the group at regular intervals that this VM reads the store for it, until the daemon stops. Only in large groups, whose
    /// heartbeats come less often.
    void announceReader();
    /// Returns whether this VM has recently read the worker stream.
    std::function<bool()> readsWorkers;
    /// Returns whether this VM has recently read the configuration.
    std::function<bool()> readsConfiguration;
    /// Called with the worker records of each heartbeat; there may be none.
    std::function<void(const std::vector<ForwardedEntry>&)> onForwardedEntries;
    /// Called with the position of the newest lease record for each heartbeat of a lease holder.
    std::function<void(const LogPosition&)> onLeaseClaim;
    /// Called with the configuration version of each heartbeat.
    std::function<void(uint64_t)> onConfigurationVersion;
    /// Called when heartbeats of a VM without a member record of that start have come for some time: the own read of the members may hang.
    std::function<void()> onUnknownMember;
    /// Called with each message about quotas, and the name and incarnation of its sender.
    std::function<void(const std::string&, uint64_t, const QuotaMessage&)> onQuota;
    /// Called for each use of an adapter by any VM, this one included.
    std::function<void(const MissingItem&)> onAdapterUse;

private:
    /// Returns the entry of the worker whose statement an answer is; nothing if it is none, or the worker is unknown.
    std::optional<routing::WorkerEntry> findSender(const routing::WorkerEntry& called, const routing::AnswerSource& source) const;
    /// Builds this VM's next heartbeat.
    /// @param partial includes only this VM's state and missing items.
    Heartbeat makeHeartbeat(bool partial);
    /// Adds the workers whose models or adapters have recently changed, and a few others in turn. The caller must hold the lock.
    void fillResident(Heartbeat& heartbeat);
    /// Sends the VMs that have missing items the models and adapters that have just become resident. Where there are several groups, only those
    /// that the VM has not been told at once; full heartbeats repeat them.
    void notifyWaitingPeers();
    /// Addresses of the VMs that receive one heartbeat.
    struct Targets {
        std::vector<transport::Endpoint> leaseHolder; ///< The VM that reports that it holds the lease, if any.
        std::vector<transport::Endpoint> group; ///< Other VMs of this VM's group.
        std::vector<transport::Endpoint> crossGroup; ///< VMs of other groups.
    };
    /// Chooses the VMs that receive the next full heartbeat: the lease holder, because it plans by the demand, and the group. VMs of
    /// other groups take turns, some of them in each heartbeat. Sets `Peer::lastSentAt` of those chosen.
    Targets chooseTargets(Time now);
    /// Sends a heartbeat to each of `targets`, in parts if it is too large for a datagram, and counts what was sent and what was dropped.
    void sendTo(const std::vector<transport::Endpoint>& targets, const Heartbeat& heartbeat);
    /// Returns whether this VM reads the store for its group, as fewer than the needed number of VMs that go before it do. In one group of
    /// all VMs, each that reads does.
    bool isReader() const;
    /// Sends the group a partial heartbeat with the worker records that are due.
    void sendReaderHeartbeat();
    // The caller must hold the lock for the next eight functions.
    /// Returns whether there are several groups.
    bool hasOtherGroups() const { return this->groupPeerCount < this->peers.size(); }
    /// Returns the number of VMs of the group that go before this one, read the worker stream and were heard within `silence`.
    /// @param counts further condition. Optional.
    size_t readersBefore(Time silence, const std::function<bool(const Peer&)>& counts = {}) const;
    /// Updates which peers are in this VM's group, after the members have changed.
    void updateGroup();
    /// Returns the interval between heartbeats to the group.
    milliseconds groupInterval() const;
    /// Returns the time without a heartbeat after which a peer counts as unreachable.
    milliseconds timeoutFor(const Peer& peer) const;
    /// Returns whether the last heartbeat of a peer is younger than its timeout.
    bool isReachable(const Peer& peer, Time now) const;
    /// Returns whether a peer counts as running. Uses a longer timeout than `isReachable`, so that a few lost heartbeats do not
    /// change the total demand.
    bool isAlive(const Peer& peer, Time now) const;
    /// Returns whether a peer is reachable and reports that it holds the lease.
    bool isLeaseHolder(const Peer& peer, Time now) const;
    /// Returns the minimum gap between two full heartbeats. Takes the lock itself.
    Time minHeartbeatGap() const;
    /// Returns this VM's rank. Needs no lock.
    DutyRank ownDutyRank() const;
    /// Returns whether this VM exchanges the summaries for its group: no reachable peer of the group goes before it.
    bool isGroupLeader(Time now) const;
    /// Tells the fleet which VMs share the limits of workers, if that has changed.
    void updateLimitSharers();
    /// Sends the summed loads of this VM's group to the other groups, if there are any and this VM is the one that does it.
    void sendSummary();
    /// Applies the leaving workers that another VM names.
    void applyLeaveReports(const Heartbeat& heartbeat);
    /// Applies a summary of another group, and passes it on to this VM's group if it came from there.
    void receiveSummary(Heartbeat summary);
    /// Applies a heartbeat datagram. Ignores heartbeats of unknown VMs or earlier incarnations, and those that arrive late.
    void receive(std::string_view bytes);
    /// Applies the member record that a heartbeat of its VM carries.
    void applySenderRecord(const Heartbeat& heartbeat);
    /// Records a heartbeat of an unknown member. The caller must hold the lock.
    /// @return whether `onUnknownMember` is to be called.
    bool recordUnknownSender(const Heartbeat& heartbeat, Time now);
    /// Returns this VM's member record.
    Member ownMember() const;
    /// Returns this VM's member record shortly after it was published, while VMs that read the members seldom may not have it.
    std::optional<Member> newMember() const;
    /// Writes this VM's member record to the store. Sets `isPublished` if the store accepted it in its newest era.
    void publishMember();
    /// Applies a member record.
    /// @param member nothing if the VM left.
    /// @param fromStore a heartbeat has brought it otherwise.
    void applyMember(const std::string& node, const std::optional<Member>& member, bool fromStore);
    /// Returns whether a member record of a heartbeat is left out: that start of the VM was refused before, or too many are not recorded. The
    /// caller must hold the lock.
    bool isRefused(const std::string& node, const Member& member) const;
    /// Drops the peers of which a read of the members that has just ended should have brought a record. Those that they replaced come back.
    void dropUnrecorded();
    /// Returns whether the store came back from a copy that lacks the record of this start of the VM.
    bool isOwnRecordLost(const MemberRecords& records) const;
    /// Remembers an incarnation of a VM that has been replaced or has left. The caller must hold the lock.
    void recordFormerIncarnation(const std::string& node, uint64_t incarnation);

    Vm& vm;
    CrashTracker& crashes;
    transport::DatagramSocket socket;
    uint64_t incarnation; ///< See `Member::incarnation`.
    // The next six are used only on the I/O thread.
    bool isPublished = false; ///< The store has this VM's member record.
    LogPosition publishedAt; ///< Position of that record.
    uint64_t sequence = 0; ///< Sequence number of the last heartbeat.
    Time publishedSince { 0 }; ///< When the store accepted that record.
    SendPacer readerHeartbeatPacer; ///< Of heartbeats that tell the group that this VM reads the store for it.
    SendPacer heartbeatPacer; ///< Of full heartbeats.
    mutable std::mutex mutex;
    std::map<std::string, Peer> peers; ///< By VM name; without this VM.
    /// Heartbeats of a VM or of a start of it that is not known as a member.
    struct UnknownSender {
        uint64_t incarnation = 0;
        Time since { 0 }; ///< When the first came, or `onUnknownMember` was last called for it.
    };
    std::map<std::string, UnknownSender> unknownSenders; ///< By VM name.
    /// Names and incarnations of VMs that have been replaced or have left, the oldest first. A restored store may bring their records back.
    std::deque<std::pair<std::string, uint64_t>> formerIncarnations;
    /// Names and incarnations of VMs whose heartbeats said that they were members, but of which the store had no record. The oldest first.
    std::deque<std::pair<std::string, uint64_t>> refusedIncarnations;
    bool membersChanged = true; ///< The VMs that share the limits of workers are to be set anew.
    size_t groupPeerCount = 0; ///< Number of peers in this VM's group.
    placement::WorkAverage averageWork; ///< This VM's demand.
    std::map<MissingItem, uint32_t> missingItems; ///< With the number of requests that wait for each.
    ForwardQueue forwardQueue;
    SendOrder groupOrder; ///< Of full heartbeats. Used only on the I/O thread.
    SendOrder relayOrder; ///< Of summaries that are passed on. Used only on the I/O thread.
    std::set<MissingItem> usedAdapters; ///< Since the last full heartbeat.
    // The next three are set by `setLeaseState`.
    uint64_t leaseToken = 0;
    LogPosition leasePosition;
    ResidentNews resident;
    Time dropLoggedAt { -std::chrono::hours { 1 } }; ///< When dropped heartbeats were last logged.
    transport::Log log { "peers" };
};

} // namespace comfreypier::edge
