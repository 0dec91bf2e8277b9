#include "duty_rank.h"

#include <routing/routing.h>

namespace comfreypier::edge {

DutyRank dutyRank(std::string_view node, double capacity)
{
    return { static_cast<float>(capacity), routing::hashText(node) };
}

} // namespace comfreypier::edge
