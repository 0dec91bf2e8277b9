/// VM list whose reads lag behind its changes.
#include "standins.h"

namespace comfreypier::standins {

void VmListStandin::add(const std::string& name, const std::string& role, const Endpoint& endpoint, const std::string& dataCentre, uint64_t capacity)
{
    std::lock_guard lock(this->mutex);
    this->vms[name] = { role, endpoint, dataCentre, capacity };
    this->versions.push_back({ transport::monotonicNow(), this->render() });
}

std::string VmListStandin::render() const
{
    std::string json = "[";
    for (const auto& [name, vm] : this->vms) {
        if (vm.state == "gone")
            continue;
        json += json.size() > 1 ? ",\n" : "";
        json += R"({"name":)" + protocol::jsonQuote(name) + R"(,"role":")" + vm.role + R"(","endpoint":")" + transport::toString(vm.endpoint)
            + R"(","data_centre":")" + vm.dataCentre + R"(","state":")" + vm.state + R"(","capacity":)" + std::to_string(vm.capacity) + "}";
    }
    return json + "]\n";
}

void VmListStandin::serve(const HttpRequest& request, ResponseWriter& writer)
{
    if (this->faults.serve(request, writer))
        return;
    if (this->faults.isEnabled("outage")) {
        sendBody(writer, 503, "{}");
        return;
    }
    std::lock_guard lock(this->mutex);
    auto now = transport::monotonicNow();
    if (request.method == "POST") {
        auto vm = this->vms.find(transport::queryValue(request.target, "name"));
        if (vm == this->vms.end()) {
            sendBody(writer, 404, "{}");
            return;
        }
        vm->second.state = transport::queryValue(request.target, "state");
        this->versions.push_back({ now, this->render() });
        sendBody(writer, 200, "{}");
        return;
    }
    auto lag = std::chrono::milliseconds { static_cast<int>(this->faults.get("lag_ms")) };
    // The first version left is the newest one that is at least `lag` old, if there is any.
    while (this->versions.size() > 1 && this->versions[1].first + lag <= now)
        this->versions.pop_front();
    sendBody(writer, 200, this->versions.empty() ? "[]" : this->versions.front().second);
}

} // namespace comfreypier::standins
