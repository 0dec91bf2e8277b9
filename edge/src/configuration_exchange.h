/// How VMs pass the record of the configuration on to each other, for those that the store turns away or does not answer.
///
/// The record holds the keys of client accounts: it is neither logged nor served to callers.
#pragma once

#include "store_era.h"

#include <memory>
#include <string>
#include <transport/transport.h>

namespace comfreypier::edge {

/// The record of the configuration in force, as operators wrote it to the store.
struct ConfigurationRecord {
    std::string value;
    uint64_t version = 0;
    LogPosition position; ///< Where the store had it.
};

using ConfigurationRecordPtr = std::shared_ptr<const ConfigurationRecord>;

/// A VM that has a newer configuration than this one.
struct ConfigurationSource {
    std::string node;
    std::string dataCentre;
    transport::Endpoint address; ///< Its listener for counters and the configuration.
};

/// A VM that asks for the record. Its incarnation is known to VMs only.
struct ConfigurationAsker {
    std::string node;
    uint64_t incarnation = 0; ///< See `Member::incarnation`.
};

/// Maximum number of VMs that are asked for one version.
constexpr size_t maxConfigurationSources = 3;

/// Returns the VMs to ask, the first one first: those of the own data centre go before others. Which of them depends on the VM that asks, so
/// that not all ask the same one.
/// @param node name of the VM that asks.
/// @param dataCentre its data centre.
std::vector<ConfigurationSource> orderConfigurationSources(std::vector<ConfigurationSource> sources, std::string_view node, std::string_view dataCentre);

transport::HttpRequest makeConfigurationRequest(const ConfigurationAsker& asker);
/// @return nothing if the request names no VM.
std::optional<ConfigurationAsker> decodeConfigurationAsker(const transport::HttpRequest& request);
bool isConfigurationRequest(const transport::HttpRequest& request);
/// Memory that an answer with a record takes beside the record.
constexpr size_t configurationChunkBytes = 64 * 1024;
/// Sends the record in chunks, without a copy of the whole.
/// @param record null while no configuration is known; the answer is 404 then.
/// @param isInForce returns whether the record still is the newest. If not, the answer ends unfinished.
void sendConfiguration(const ConfigurationRecordPtr& record, transport::ResponseWriter& writer, const std::function<bool()>& isInForce);
/// Returns the answer to those that are no member.
transport::HttpResponse makeConfigurationDenial();
/// Returns the answer of a VM that has no memory left for another copy of the record.
transport::HttpResponse makeConfigurationRefusal();
/// @return nothing if the answer holds no record. VMs of earlier versions answer with their counters.
std::optional<ConfigurationRecord> decodeConfigurationResponse(const transport::HttpResponse& response);

} // namespace comfreypier::edge
