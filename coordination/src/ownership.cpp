/// Ownership by rendezvous hashing over the live sessions.
#include <coordination/coordination.h>
#include <xxhash.h>

namespace comfreypier::coordination {

SessionId rendezvousOwner(const std::map<SessionId, Session>& sessions, std::string_view key)
{
    SessionId best = protocol::invalidOffset;
    uint64_t bestWeight = 0;
    for (const auto& [id, session] : sessions) {
        auto weight = XXH64(key.data(), key.size(), XXH64(session.open.node.data(), session.open.node.size(), 0));
        if (best == protocol::invalidOffset || weight > bestWeight) {
            best = id;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace comfreypier::coordination
