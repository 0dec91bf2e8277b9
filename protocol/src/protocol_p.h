/// Helpers shared within the protocol library.
#pragma once

#include <protocol/protocol.h>

namespace comfreypier::protocol {

/// Removes spaces, tabs and carriage returns at both ends.
std::string_view trim(std::string_view text);

/// Returns the value of `key` in `section`, or null if it is missing.
const std::string* findValue(const IniSection& section, std::string_view key);

} // namespace comfreypier::protocol
