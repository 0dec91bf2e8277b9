/// Which VM of a group does what one VM does for all: reading the worker stream, exchanging summaries.
#pragma once

#include <cstdint>
#include <string_view>

namespace comfreypier::edge {

/// VMs with more capacity go first, as these duties send much to many VMs; among equal ones the hash of the name decides. All VMs rank alike:
/// they read names and capacities in the member records.
struct DutyRank {
    float capacity = 0; ///< See `Member::capacity`, in the precision of its record.
    uint64_t hash = 0;

    /// @return true if this VM goes before the other one.
    bool operator<(const DutyRank& other) const { return this->capacity != other.capacity ? this->capacity > other.capacity : this->hash < other.hash; }
};

/// @param node name of the VM.
/// @param capacity see `Member::capacity`; of this VM, or from the record of another one.
DutyRank dutyRank(std::string_view node, double capacity);

} // namespace comfreypier::edge
