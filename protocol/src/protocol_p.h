/// Shared inside the protocol library.
#pragma once

#include <protocol/protocol.h>

namespace comfreypier::protocol {

/// Strips blanks at both ends.
std::string_view trim(std::string_view text);

/// Returns the value of `key`, or null.
const std::string* findValue(const IniSection& section, std::string_view key);

} // namespace comfreypier::protocol
