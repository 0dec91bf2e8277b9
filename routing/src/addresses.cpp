/// Choice of the VM addresses that the directory returns to callers.
#include <routing/routing.h>

namespace comfreypier::routing {

std::vector<transport::Endpoint> chooseAddresses(const std::vector<AddressCandidate>& local, const std::vector<AddressCandidate>& remote)
{
    std::vector<transport::Endpoint> addresses;
    // Appends those of the candidates that are overloaded, or those that are not.
    auto append = [&addresses](const std::vector<AddressCandidate>& candidates, bool overloaded) {
        for (const auto& candidate : candidates) {
            if (candidate.overloaded == overloaded)
                addresses.push_back(candidate.endpoint);
        }
    };
    append(local, false);
    // If less than half of the VMs are not overloaded, sending all callers to them would overload them next.
    if (static_cast<double>(addresses.size()) < minAddressShare * static_cast<double>(local.size()))
        append(local, true);
    if (addresses.size() < minAddresses)
        append(remote, false);
    if (addresses.empty())
        append(remote, true);
    return addresses;
}

} // namespace comfreypier::routing
