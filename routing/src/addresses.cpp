/// Which VMs callers are sent to.
#include <routing/routing.h>

namespace comfreypier::routing {

std::vector<transport::Endpoint> chooseAddresses(const std::vector<Candidate>& near, const std::vector<Candidate>& far)
{
    std::vector<transport::Endpoint> addresses;
    auto take = [&addresses](const std::vector<Candidate>& from, bool strained) {
        for (const auto& candidate : from) {
            if (candidate.strained == strained)
                addresses.push_back(candidate.front);
        }
    };
    take(near, false);
    // Too few that keep up would be the next to fall behind.
    if (static_cast<double>(addresses.size()) < addressesShare * static_cast<double>(near.size()))
        take(near, true);
    if (addresses.size() < addressesLeast)
        take(far, false);
    if (addresses.empty())
        take(far, true);
    return addresses;
}

} // namespace comfreypier::routing
