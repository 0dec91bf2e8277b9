/// Named fault values, and the helper that sends a body.
#include "standins.h"

#include <charconv>

namespace comfreypier::standins {

void sendBody(ResponseWriter& writer, unsigned status, const std::string& body)
{
    writer.send({ status, { { "Content-Type", "application/json" } }, body });
}

Faults::Faults(std::map<std::string, double> defaults)
    : values(std::move(defaults))
{
}

double Faults::get(const std::string& name) const
{
    std::lock_guard lock(this->mutex);
    return this->values.at(name);
}

bool Faults::occurs(const std::string& name)
{
    std::lock_guard lock(this->mutex);
    return std::uniform_real_distribution<>(0, 1)(this->generator) < this->values.at(name);
}

bool Faults::serve(const HttpRequest& request, ResponseWriter& writer)
{
    if (transport::targetPath(request.target) != "/fault")
        return false;
    std::lock_guard lock(this->mutex);
    std::string text;
    for (auto& [name, value] : this->values) {
        auto newValue = transport::queryValue(request.target, name);
        if (!newValue.empty())
            std::from_chars(newValue.data(), newValue.data() + newValue.size(), value);
        text += name + "=" + std::to_string(value) + "\n";
    }
    sendBody(writer, 200, text);
    return true;
}

} // namespace comfreypier::standins
