/// Client accounts: their keys, the priority of their requests and their quotas.
///
/// Uses no fibers, sockets, clocks or locks: the caller passes the current time, and guards shared objects with its own mutex.
/// Answers callers who compete for too little room: each account is served up to its quota over all entry VMs, whatever the others ask for.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace comfreypier::accounts {

/// Monotonic point in time, or a duration.
using Time = std::chrono::nanoseconds;

/// What the numbers of a quota count.
enum class QuotaUnit {
    Requests,
    Tokens, ///< Prompt tokens and output tokens together.
    Count ///< Number of values, for arrays.
};

/// Quota of an account over all VMs: a token bucket that holds `burst` and is refilled at `ratePerSecond`, both in `unit`.
struct Quota {
    QuotaUnit unit = QuotaUnit::Requests;
    double ratePerSecond = 0; ///< 0 is unlimited.
    double burst = 0;
    double defaultTokens = 0; ///< Tokens of a request that states none.
    bool operator==(const Quota&) const = default;
};

/// A client account of the operators' configuration.
struct ClientAccount {
    std::string name; ///< Unique.
    std::vector<std::string> keys; ///< A caller with any of them belongs to the account. Removed once a `KeyTable` was built from them.
    std::optional<uint32_t> priority; ///< Replaces the priority of the route, 0 is the most urgent; nothing if the account has none.
    Quota quota;
};

/// Size of a key's digest, in bytes.
constexpr size_t keyDigestBytes = 16;

/// Finds the account of a key. Holds digests under a secret of this process instead of the keys: neither a copy of the table nor the time that a
/// lookup takes tells anything about them.
class KeyTable {
public:
    /// @param accounts a key that two accounts have belongs to the first one. Empty keys are left out.
    explicit KeyTable(const std::vector<ClientAccount>& accounts);
    /// Returns the position of the account that has `key` in the list that the table was built from; nothing if none has it.
    std::optional<size_t> find(std::string_view key) const;
    size_t size() const { return this->accountsByDigest.size(); }

private:
    using Digest = std::array<uint8_t, keyDigestBytes>;
    /// A digest is as good as random.
    struct DigestHash {
        size_t operator()(const Digest& digest) const;
    };
    /// Compares in a time that does not depend on the bytes.
    struct DigestEqual {
        bool operator()(const Digest& a, const Digest& b) const;
    };

    std::unordered_map<Digest, size_t, DigestHash, DigestEqual> accountsByDigest;
};

/// Whether a request is taken because of its key.
enum class KeyDecision {
    Accepted, ///< It belongs to an account, or needs none.
    Unknown, ///< No account has its key.
    Outdated, ///< No account has its key in a configuration that is not the newest one.
    Count
};

/// Decides whether a request is taken because of its key.
/// @param needsKey the route takes only requests with a key.
/// @param known an account has the key.
/// @param version version of the configuration in force.
/// @param newestVersion newest version that any VM is known to have.
KeyDecision decideKey(bool needsKey, bool known, uint64_t version, uint64_t newestVersion);

/// Returns what a request counts against a quota.
/// @param tokens prompt tokens and output tokens that the request states together; nothing if it states none.
double quotaCost(const Quota& quota, std::optional<uint64_t> tokens);

} // namespace comfreypier::accounts
