/// Actions: requests with an idempotency key. Each key runs at most once; the order of records in the log decides which
/// request wins.
#include <coordination/coordination.h>

namespace comfreypier::coordination {

namespace {

    // An action key consists of two 64-bit hashes of the same text with different seeds (the ASCII codes of `comf` and `pier`).
    // With other seeds, a retry would not find the key of its first attempt in the log.
    constexpr uint64_t highHashSeed = 0x636f6d66;
    constexpr uint64_t lowHashSeed = 0x70696572;

} // namespace

Verdict applyActionBegin(Actions& actions, const protocol::ActionBegin& begin, SessionId writer, Offset offset)
{
    auto [entry, added] = actions.try_emplace(begin.key);
    if (!added)
        return Verdict::KeyTaken;
    entry->second = { begin.requestHash, writer, offset, begin.token, std::nullopt };
    return Verdict::Applied;
}

Verdict applyActionEnd(Actions& actions, const protocol::ActionEnd& end)
{
    auto entry = actions.find(end.key);
    if (entry == actions.end() || entry->second.token != end.token || entry->second.end)
        return Verdict::Void;
    entry->second.end = end;
    return Verdict::Applied;
}

Verdict applyActionVoid(Actions& actions, const protocol::ActionVoid& voided)
{
    auto entry = actions.find(voided.key);
    if (entry == actions.end() || entry->second.token != voided.token || entry->second.end)
        return Verdict::Void;
    actions.erase(entry);
    return Verdict::Applied;
}

Verdict applyActionsForget(Actions& actions, const protocol::ActionsForget& forget)
{
    std::erase_if(actions, [&](const auto& entry) { return entry.second.begin < forget.before; });
    return Verdict::Applied;
}

IdempotencyDecision checkIdempotencyKey(const Actions& actions, const std::map<SessionId, Session>& sessions, const ActionKey& key, uint64_t requestHash)
{
    auto entry = actions.find(key);
    if (entry == actions.end())
        return IdempotencyDecision::Run;
    const auto& action = entry->second;
    if (action.requestHash != requestHash)
        return IdempotencyDecision::KeyReused;
    if (action.end)
        return IdempotencyDecision::Recorded;
    return sessions.contains(action.session) ? IdempotencyDecision::Wait : IdempotencyDecision::Unknown;
}

ActionKey makeActionKey(std::string_view service, std::string_view headerValue)
{
    // The null byte separates the two, so that for example ("a", "bc") and ("ab", "c") differ.
    auto text = std::string(service) + '\0' + std::string(headerValue);
    return { protocol::contentHash(text, highHashSeed), protocol::contentHash(text, lowHashSeed) };
}

} // namespace comfreypier::coordination
