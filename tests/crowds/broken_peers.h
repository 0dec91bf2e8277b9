/// Workers, or a store, that send bytes that are no answer, without end.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

/// Model that only broken workers hold.
constexpr const char* brokenWorkersModel = "m3";

/// Peers of the daemon that answer every call in the same way.
struct BrokenPeers {
    int workers = 0; ///< Workers of models, each on a port of its own.
    bool isStore = false; ///< One peer in place of the store.
    /// Makes the begin of the answer to a request. Empty if there are no such peers.
    std::function<std::string(const std::string& request)> makeBegin;
    std::string repeated; ///< Sent after the begin, again and again.
    size_t repeatedBytes = SIZE_MAX; ///< Then the connection stays open, and nothing more is sent.
};

/// Returns the head of a worker's stream that answers a request, without the blank line after it.
std::string streamHead(const std::string& request);
/// Returns the head of such a stream in chunks.
std::string chunkedStreamHead(const std::string& request);

/// Returns the call that writes a worker's entry to the store.
/// @param slots streams that it runs at once.
std::string makeEntryRequest(int worker, int port, int slots);

/// Starts the peers on the ports from `firstPort`. They serve until the process ends.
void startBrokenPeers(const BrokenPeers& peers, int firstPort);
