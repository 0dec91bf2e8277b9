/// Which VMs callers are sent to.
#include <routing/routing.h>

namespace comfreypier::routing {

std::vector<transport::Endpoint> chooseAddresses(const std::vector<AddressCandidate>& near, const std::vector<AddressCandidate>& far)
{
    std::vector<transport::Endpoint> addresses;
    auto take = [&addresses](const std::vector<AddressCandidate>& from, bool strained) {
        for (const auto& candidate : from) {
            if (candidate.overloaded == strained)
                addresses.push_back(candidate.endpoint);
        }
    };
    take(near, false);
    // Too few that keep up would be the next to fall behind.
    if (static_cast<double>(addresses.size()) < minAddressShare * static_cast<double>(near.size()))
        take(near, true);
    if (addresses.size() < minAddresses)
        take(far, false);
    if (addresses.empty())
        take(far, true);
    return addresses;
}

} // namespace comfreypier::routing
