/// Lookups of routes, services and models in the configuration.
#include <algorithm>
#include <routing/routing.h>
#include <xxhash.h>

namespace comfreypier::routing {

namespace {

    std::string_view withoutPort(std::string_view host)
    {
        return host.substr(0, host.rfind(':'));
    }

    bool equalIgnoringCase(std::string_view a, std::string_view b)
    {
        return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
    }

} // namespace

uint64_t hashText(std::string_view text, uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

const Route* findRoute(const Configuration& configuration, std::string_view host, std::string_view path)
{
    const Route* best = nullptr;
    for (const auto& route : configuration.routes) {
        if (!path.starts_with(route.pathPrefix) || !equalIgnoringCase(route.host, withoutPort(host)))
            continue;
        if (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())
            best = &route;
    }
    return best;
}

const Service* pickService(const Configuration& configuration, const Route& route, std::string_view key)
{
    uint64_t totalWeight = 0;
    for (const auto& target : route.targets)
        totalWeight += target.weight;
    if (totalWeight == 0)
        return nullptr;
    auto position = hashText(key) % totalWeight;
    for (const auto& target : route.targets) {
        if (position < target.weight) {
            auto found = configuration.services.find(target.service);
            return found == configuration.services.end() ? nullptr : &found->second;
        }
        position -= target.weight;
    }
    // Not reached: `position` starts below the total weight.
    return nullptr;
}

const ModelSpec* findModel(const Service& service, std::string_view name)
{
    if (!service.engine)
        return nullptr;
    for (const auto& model : service.engine->models) {
        if (model.name == name)
            return &model;
    }
    return nullptr;
}

} // namespace comfreypier::routing
