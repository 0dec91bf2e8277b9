/// Choice of the VMs that keep and answer for an account's bucket.
#include <accounts/accounts.h>
#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace comfreypier::accounts {

std::vector<std::string> rankQuotaVms(std::string_view account, const std::vector<QuotaVm>& vms)
{
    auto seed = XXH3_64bits(account.data(), account.size());
    std::vector<std::pair<double, const QuotaVm*>> scores;
    scores.reserve(vms.size());
    for (const auto& vm : vms) {
        // Uniform between 0 and 1, both excluded. The lowest score is that of an exponential variable at the rate `capacity`.
        auto uniform = (static_cast<double>(XXH3_64bits_withSeed(vm.name.data(), vm.name.size(), seed) >> 11) + 0.5) / static_cast<double>(1ULL << 53);
        scores.emplace_back(-std::log(uniform) / std::max(vm.capacity, 1e-6), &vm);
    }
    std::sort(scores.begin(), scores.end(), [](const auto& a, const auto& b) { return a.first != b.first ? a.first < b.first : a.second->name < b.second->name; });
    std::vector<std::string> names;
    names.reserve(scores.size());
    for (const auto& [score, vm] : scores)
        names.push_back(vm->name);
    return names;
}

std::vector<std::string> QuotaContacts::choose(const std::vector<std::string>& ranking, const std::vector<QuotaVm>& vms) const
{
    std::vector<std::string> chosen;
    for (const auto& name : ranking) {
        if (chosen.size() == maxAskedVms)
            break;
        auto vm = std::find_if(vms.begin(), vms.end(), [&name](const auto& candidate) { return candidate.name == name; });
        if (vm == vms.end() || !vm->alive)
            continue;
        auto silent = this->silentAt.find(name);
        if (silent == this->silentAt.end() || vm->heardAt > silent->second)
            chosen.push_back(name);
    }
    return chosen;
}

} // namespace comfreypier::accounts
