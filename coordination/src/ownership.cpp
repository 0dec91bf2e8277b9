/// Ownership by rendezvous hashing over the live sessions. When a session ends, only the keys that it owned change their
/// owner; when one opens, only the keys that it wins.
#include <coordination/coordination.h>
#include <xxhash.h>

namespace comfreypier::coordination {

SessionId rendezvousOwner(const std::map<SessionId, Session>& sessions, std::string_view key)
{
    SessionId owner = protocol::invalidOffset;
    uint64_t highestWeight = 0;
    for (const auto& [id, session] : sessions) {
        // The weight depends on the node's name, not on its session, so that a node gets its keys back in a new session.
        auto weight = XXH64(key.data(), key.size(), XXH64(session.open.node.data(), session.open.node.size(), 0));
        if (owner == protocol::invalidOffset || weight > highestWeight) {
            owner = id;
            highestWeight = weight;
        }
    }
    return owner;
}

} // namespace comfreypier::coordination
