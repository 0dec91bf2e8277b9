/// The other entry VMs: who they are, what they tell and what they are told.
#pragma once

#include "vm_p.h"

namespace comfreypier::edge {

/// What this VM knows of a peer.
struct Peer {
    Member member;
    bool near = false; ///< In this VM's group.
    Time heardAt { -std::chrono::hours { 1 } };
    Time toldAt { 0 };
    uint64_t sequence = 0; ///< Of the newest beat.
    bool ready = false;
    bool draining = false;
    bool overloaded = false;
    bool readsWorkers = false;
    uint64_t leaseToken = 0;
    std::map<std::string, double> demand;
    std::vector<MissingItem> missingItems;
};

/// Exchanges beats with the other VMs.
class Peers {
public:
    Peers(Vm& vm, transport::Runtime& runtime);

    /// Binds the socket. @return false if the address can't be bound.
    bool start();
    /// Publishes this VM as a member, then sends beats until the daemon stops.
    void run();
    /// Sends a beat at once, for news that others wait for; a little later if there was one just now.
    void sendHeartbeat();
    /// Tells the holder of the lease at once what this VM misses.
    void notifyLeaseHolder();
    /// Takes this VM from the members.
    void unregister();
    void stop() { this->socket.stop(); }

    /// Takes over a member record.
    void applyMember(const std::string& node, const std::optional<Member>& member);
    /// Addresses for callers in `dataCentre`: VMs that are ready, this one included.
    std::vector<transport::Endpoint> addressesFor(const std::string& dataCentre) const;
    /// Tells whether a VM with much more capacity is ready to give orders.
    bool hasStrongerPeer() const;
    /// Forgets the load of peers that fell silent.
    void forgetUnreachablePeers();
    /// VMs that were heard of lately, with this one.
    uint32_t aliveVmCount() const;

    /// Demand of all VMs by model.
    std::map<std::string, double> totalDemand() const;
    /// Notes work that this VM sent.
    void recordWork(const std::string& model, double seconds);
    /// Adapters and models that VMs miss now, this one included.
    std::vector<MissingItem> allMissingItems() const;
    /// Notes that this VM misses something, until `removeMissingItem`.
    void addMissingItem(const MissingItem& want);
    void removeMissingItem(const MissingItem& want);
    /// Notes that a request was sent to an adapter.
    void recordAdapterUse(const MissingItem& adapter);

    /// Adapters that this VM reports as holder of the lease, and its token.
    void setLeaseState(uint64_t leaseToken, uint64_t leaseOffset, std::map<std::string, std::set<std::string>> resident);
    /// Tells whether some peer says that it holds the lease.
    bool hasReachableLeaseHolder() const;
    /// Highest fencing token that a live peer claims, or 0.
    uint64_t highestPeerToken() const;
    /// Tells whether at least half of the other members were heard of lately.
    bool reachesMajority() const;

    /// Called when some VM misses something.
    std::function<void()> onMissingItems;
    /// Passes a record of the workers' stream on to the other VMs.
    void forwardEntry(const ForwardedEntry& entry);
    /// Tells whether enough other VMs read the workers' stream and pass it on.
    bool enoughPeersReadWorkers() const;
    /// Tells whether this VM does so.
    std::function<bool()> readsWorkers;
    /// Called with the records that a peer passes on.
    std::function<void(const std::vector<ForwardedEntry>&)> onForwardedEntries;
    /// Called with the newest lease record for each beat of a holder.
    std::function<void(uint64_t)> onLeaseClaim;
    /// Called with the configuration version of each beat.
    std::function<void(uint64_t)> onConfigurationVersion;
    /// Called for each use of an adapter by some VM.
    std::function<void(const MissingItem&)> onAdapterUse;
    /// Counts of contents that crash workers.
    routing::CrashSuspects poisonRequests;
    std::mutex poisonRequestsMutex;

private:
    /// @param partial leaves out all but what this VM misses and its state.
    Heartbeat makeBeat(bool partial);
    void fillResident(Heartbeat& beat);
    /// Tells the VMs that miss something what has just become resident.
    void tellWaiting();
    /// VMs that one beat goes to.
    struct Targets {
        std::vector<transport::Endpoint> holder; ///< At most one.
        std::vector<transport::Endpoint> near;
        std::vector<transport::Endpoint> far;
    };
    Targets chooseTargets(Time now);
    void sendTo(const std::vector<transport::Endpoint>& targets, const Heartbeat& beat);
    // The lock must be held for the next six.
    /// Works out which peers are in this VM's group, after the members have changed.
    void regroup();
    /// Pause between two beats to the group.
    milliseconds interval() const;
    /// Silence after which a peer is left out.
    milliseconds silence(const Peer& peer) const;
    bool isHeard(const Peer& peer, Time now) const;
    /// The same with more patience: a few lost beats do not change how many VMs there are and what they need.
    bool isLive(const Peer& peer, Time now) const;
    /// Tells whether a peer gives orders.
    bool isHolder(const Peer& peer, Time now) const;
    /// Least pause between two urgent beats.
    Time urgentInterval() const;
    void receive(std::string_view bytes);
    bool publish();

    Vm& vm;
    transport::DatagramSocket socket;
    uint64_t incarnation;
    uint64_t number = 0;
    Time beatenAt { 0 };
    mutable std::mutex mutex;
    std::map<std::string, Peer> peers;
    size_t nearCount = 0; ///< Of them.
    placement::WorkAverage work;
    std::map<MissingItem, uint32_t> wants; ///< With the number of requests that miss it.
    std::vector<std::pair<ForwardedEntry, int>> passed; ///< With the number of beats that still carry it.
    std::set<MissingItem> used; ///< Since the last beat.
    uint64_t leaseToken = 0;
    uint64_t leaseOffset = 0;
    std::map<std::string, std::set<std::string>> resident;
    std::map<std::string, Time> residentChangedAt; ///< By worker.
    std::string residentTold; ///< Worker after which the next beat goes on.
    bool beatPending = false;
    transport::Log log { "peers" };
};

} // namespace comfreypier::edge
