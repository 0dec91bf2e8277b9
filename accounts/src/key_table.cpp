#include <accounts/accounts.h>
#include <cstdlib>
#include <cstring>
#include <sodium.h>

namespace comfreypier::accounts {

namespace {

    using Secret = std::array<uint8_t, crypto_generichash_KEYBYTES>;

    /// Returns the secret of this process.
    const Secret& processSecret()
    {
        static const Secret secret = [] {
            Secret bytes {};
            // Fails only if the system has no source of random numbers.
            if (sodium_init() < 0)
                std::abort();
            randombytes_buf(bytes.data(), bytes.size());
            return bytes;
        }();
        return secret;
    }

    std::array<uint8_t, keyDigestBytes> digestOf(std::string_view key)
    {
        std::array<uint8_t, keyDigestBytes> digest {};
        const auto& secret = processSecret();
        crypto_generichash(digest.data(), digest.size(), reinterpret_cast<const unsigned char*>(key.data()), key.size(), secret.data(), secret.size());
        return digest;
    }

} // namespace

size_t KeyTable::DigestHash::operator()(const Digest& digest) const
{
    size_t hash = 0;
    std::memcpy(&hash, digest.data(), sizeof hash);
    return hash;
}

bool KeyTable::DigestEqual::operator()(const Digest& a, const Digest& b) const
{
    return sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

KeyTable::KeyTable(const std::vector<ClientAccount>& accounts)
{
    for (size_t i = 0; i < accounts.size(); i++) {
        for (const auto& key : accounts[i].keys) {
            if (!key.empty())
                this->accountsByDigest.try_emplace(digestOf(key), i);
        }
    }
}

std::optional<size_t> KeyTable::find(std::string_view key) const
{
    auto found = key.empty() ? this->accountsByDigest.end() : this->accountsByDigest.find(digestOf(key));
    return found == this->accountsByDigest.end() ? std::nullopt : std::optional(found->second);
}

KeyDecision decideKey(bool needsKey, bool known, uint64_t version, uint64_t newestVersion)
{
    if (known || !needsKey)
        return KeyDecision::Accepted;
    return newestVersion > version ? KeyDecision::Outdated : KeyDecision::Unknown;
}

double quotaCost(const Quota& quota, std::optional<uint64_t> tokens)
{
    if (quota.unit == QuotaUnit::Requests)
        return 1;
    return tokens ? static_cast<double>(*tokens) : quota.defaultTokens;
}

} // namespace comfreypier::accounts
