/// The client accounts of a run and their keys.
#include "soak.h"

namespace comfreypier::soak {

std::string makeKey(Account account, int version)
{
    return std::string(keyPrefix) + "of-account-" + std::to_string(static_cast<int>(account)) + "-" + std::to_string(version);
}

std::vector<accounts::ClientAccount> makeAccounts(int version)
{
    using accounts::QuotaUnit;
    std::vector<accounts::ClientAccount> list(static_cast<size_t>(Account::Count));
    // 24 callers send at most some 220 requests a second together, half of them those of the first account.
    list[static_cast<size_t>(Account::Steady)] = { "steady", { makeKey(Account::Steady) }, std::nullopt, { QuotaUnit::Requests, 150, 60, 0 } };
    list[static_cast<size_t>(Account::Turning)] = { "turning", { makeKey(Account::Turning, version - 1), makeKey(Account::Turning, version) }, std::nullopt, { QuotaUnit::Tokens, 30000, 15000, 100 } };
    list[static_cast<size_t>(Account::Hot)] = { "hot", { makeKey(Account::Hot) }, std::nullopt, { QuotaUnit::Requests, 5, 40, 0 } };
    return list;
}

} // namespace comfreypier::soak
