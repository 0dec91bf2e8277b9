#include "send_order.h"

#include <algorithm>
#include <edge/edge.h>

namespace comfreypier::edge {

std::vector<transport::Endpoint> SendOrder::next(std::vector<transport::Endpoint> targets)
{
    constexpr auto parts = static_cast<size_t>(forwardRepeats);
    // Rounded up, so that a part is never smaller than a `parts`th of the targets.
    auto first = (targets.size() * (this->bursts++ % parts) + parts - 1) / parts;
    std::rotate(targets.begin(), targets.begin() + static_cast<std::ptrdiff_t>(first), targets.end());
    return targets;
}

} // namespace comfreypier::edge
