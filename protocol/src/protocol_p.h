/// Helpers shared within the protocol library.
#pragma once

#include <boost/json.hpp>
#include <protocol/protocol.h>

namespace comfreypier::protocol {

/// Removes spaces, tabs and carriage returns at both ends.
std::string_view trim(std::string_view text);

/// Returns the value of `key` in `section`, or null if it is missing.
const std::string* findValue(const IniSection& section, std::string_view key);

/// Reads a number that another party sent as JSON.
/// @return nothing unless it is a whole number from 0 that fits the type.
std::optional<uint64_t> toNumber(const boost::json::value& value);

/// Returns the number at `key`, or 0 if it is missing or none that `toNumber` reads.
uint64_t readNumber(const boost::json::object& object, std::string_view key);

} // namespace comfreypier::protocol
