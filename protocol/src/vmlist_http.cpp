/// HTTP client of the platform's VM list.
#include "protocol_p.h"

#include <boost/json.hpp>

namespace comfreypier::protocol {

namespace json = boost::json;

namespace {

    constexpr std::chrono::milliseconds listTimeout { 2000 };

    /// Returns the string at `key`, or an empty string if it is missing or not a string.
    std::string readString(const json::object& object, std::string_view key)
    {
        const auto* value = object.if_contains(json::string_view(key.data(), key.size()));
        return value && value->is_string() ? std::string(value->get_string()) : std::string {};
    }

    std::optional<VmRole> parseRole(const std::string& text)
    {
        if (text == "entry")
            return VmRole::Entry;
        if (text == "worker")
            return VmRole::Worker;
        if (text == "plain")
            return VmRole::Plain;
        return std::nullopt;
    }

    /// @return nothing if role, endpoint or name is missing or invalid.
    std::optional<Vm> parseVm(const json::value& value)
    {
        if (!value.is_object())
            return std::nullopt;
        const auto& object = value.get_object();
        auto role = parseRole(readString(object, "role"));
        auto endpoint = transport::parseEndpoint(readString(object, "endpoint"));
        Vm vm;
        vm.name = readString(object, "name");
        if (!role || !endpoint || !isName(vm.name))
            return std::nullopt;
        vm.role = *role;
        vm.endpoint = endpoint.value();
        vm.dataCentre = readString(object, "data_centre");
        vm.leaving = readString(object, "state") == "leaving";
        vm.capacity = readNumber(object, "capacity");
        return vm;
    }

} // namespace

std::optional<std::vector<Vm>> parseVmList(std::string_view text)
{
    json::error_code error;
    auto value = json::parse({ text.data(), text.size() }, error);
    if (error || !value.is_array())
        return std::nullopt;
    std::vector<Vm> vms;
    for (const auto& element : value.get_array()) {
        if (auto vm = parseVm(element))
            vms.push_back(std::move(*vm));
    }
    return vms;
}

VmListService makeHttpVmList(transport::HttpClient& client, const transport::Endpoint& endpoint)
{
    return { [&client, endpoint]() -> Result<std::vector<Vm>, transport::IoError> {
        transport::CallLimits limits;
        limits.response = listTimeout;
        auto response = client.call(endpoint, { "GET", "/vms", {}, {} }, limits);
        if (!response)
            return response.error();
        auto vms = response.value().status == 200 ? parseVmList(response.value().body) : std::nullopt;
        if (!vms)
            return transport::IoError::Malformed;
        return std::move(*vms);
    } };
}

} // namespace comfreypier::protocol
