/// RapidCheck generators for protocol values.
#pragma once

#include <protocol/protocol.h>
#include <rapidcheck.h>

namespace comfreypier::testing {

/// Generates a non-empty name of up to 20 characters.
inline rc::Gen<std::string> genName()
{
    return rc::gen::resize(20, rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::elementOf(std::string("abcxyz0189-_.")))));
}

inline rc::Gen<std::string> genBytes()
{
    return rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

/// Generates an entry of any kind. Some of its fields are fixed or derived from others.
inline rc::Gen<protocol::Entry> genEntry()
{
    using namespace protocol;
    auto number = rc::gen::arbitrary<uint64_t>();
    return rc::gen::oneOf(
        rc::gen::map(rc::gen::tuple(genName(), genName()), [](const auto& t) -> Entry { return SessionOpen { std::get<0>(t), "127.0.0.1:1", "127.0.0.1:2", std::get<1>(t), std::chrono::milliseconds { 5000 } }; }),
        rc::gen::just<Entry>(SessionRenew {}),
        rc::gen::just<Entry>(SessionRelease {}),
        rc::gen::map(rc::gen::pair(number, number), [](const auto& p) -> Entry { return SessionExpire { p.first, p.second }; }),
        rc::gen::map(rc::gen::pair(genName(), number), [](const auto& p) -> Entry { return WorkerDeclared { p.first, "127.0.0.1:9", "dc", p.second, p.second + 1 }; }),
        rc::gen::map(genName(), [](const auto& n) -> Entry { return WorkerGone { n }; }),
        rc::gen::map(rc::gen::pair(genName(), number), [](const auto& p) -> Entry { return LoadIntent { p.first, "m@1", p.second, p.second }; }),
        rc::gen::map(rc::gen::pair(genName(), number), [](const auto& p) -> Entry { return LoadResolved { p.first, "m@1", p.second, p.second % 2 == 0, p.second % 3 == 0 }; }),
        rc::gen::map(genName(), [](const auto& n) -> Entry { return UnloadIntent { n, "m@1", true }; }),
        rc::gen::map(genName(), [](const auto& n) -> Entry { return UnloadResolved { n, "m@1" }; }),
        rc::gen::map(genName(), [](const auto& n) -> Entry { return WorkerRestarted { n, 7 }; }),
        rc::gen::map(rc::gen::pair(genName(), genName()), [](const auto& p) -> Entry { return PlanChange { { { p.first, p.second } }, { { p.second, p.first } }, "demand" }; }),
        rc::gen::map(rc::gen::pair(number, number), [](const auto& p) -> Entry { return ActionBegin { { p.first, p.second }, p.first ^ p.second, p.first }; }),
        rc::gen::map(rc::gen::pair(number, genBytes()), [](const auto& p) -> Entry { return ActionEnd { { p.first, 1 }, p.first, 200, "text/plain", p.second, true }; }),
        rc::gen::map(rc::gen::pair(number, number), [](const auto& p) -> Entry { return ActionVoid { { p.first, p.second }, p.second }; }),
        rc::gen::map(number, [](const auto& n) -> Entry { return ActionsForget { n }; }),
        rc::gen::map(rc::gen::pair(genName(), number), [](const auto& p) -> Entry {
            auto base = p.second % 2 == 0 ? std::optional<Offset>(p.second) : std::nullopt;
            return ConfigPublish { p.first, base, "[service]", "someone", p.second % 3 == 0 };
        }),
        rc::gen::map(rc::gen::pair(number, genBytes()), [](const auto& p) -> Entry { return SnapshotPart { p.first, 0, 1, p.second }; }));
}

inline rc::Gen<protocol::Envelope> genEnvelope()
{
    return rc::gen::map(rc::gen::tuple(rc::gen::arbitrary<uint64_t>(), rc::gen::arbitrary<uint64_t>(), rc::gen::container<std::vector<protocol::Entry>>(genEntry())),
        [](const auto& t) { return protocol::Envelope { { std::get<0>(t), std::get<1>(t) }, std::get<1>(t), std::get<2>(t) }; });
}

/// Generates arbitrary bytes, or a prefix of a valid input, in which one byte may be changed.
/// @param valid must not be empty.
inline rc::Gen<std::string> genDamaged(const std::string& valid)
{
    auto damaged = rc::gen::map(rc::gen::tuple(rc::gen::inRange<size_t>(0, valid.size() + 1), rc::gen::inRange<size_t>(0, valid.size()), rc::gen::arbitrary<char>()), [valid](const auto& t) {
        auto text = valid;
        text[std::get<1>(t)] = std::get<2>(t);
        return text.substr(0, std::get<0>(t));
    });
    return rc::gen::oneOf(genBytes(), damaged);
}

} // namespace comfreypier::testing
