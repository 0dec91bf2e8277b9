/// Shared inside the client library.
#pragma once

#include <boost/json.hpp>
#include <client/client.h>

namespace comfreypier::client {

namespace json = boost::json;

/// A service file on disk.
struct LocalFile {
    std::string path;
    std::string text;
    protocol::ServiceSpec spec;
};

/// All service files of a directory.
struct LocalFiles {
    std::vector<LocalFile> files;
    std::vector<protocol::ConfigError> faults;
};

/// Reads and checks every `*.ini` file in `directory`.
LocalFiles readServiceDir(const std::string& directory);

/// An accepted service file as a node shows it.
struct RemoteFile {
    protocol::Offset offset = 0;
    std::string text;
};

/// Configuration as a node shows it.
struct RemoteConfig {
    protocol::Offset next = 0;
    std::map<std::string, RemoteFile> services;
};

/// Asks the nodes of the invocation, in order, and returns the first answer.
std::optional<std::string> askNodes(const Invocation& invocation, transport::HttpClient& client, const std::string& target);
/// Asks one node.
std::optional<std::string> askNode(const transport::Endpoint& node, transport::HttpClient& client, const std::string& target);
/// Parses a JSON object.
std::optional<json::object> parseObject(const std::string& text);
std::optional<RemoteConfig> fetchConfig(const Invocation& invocation, transport::HttpClient& client);
std::optional<RemoteConfig> parseConfig(const std::string& text);

int runCheck(const Invocation& invocation);
int runDiff(const Invocation& invocation, transport::HttpClient& client);
int runPublish(const Invocation& invocation, transport::HttpClient& client);
int runExplainRequest(const Invocation& invocation);
int runShow(const Invocation& invocation, transport::HttpClient& client);

/// Prints a comparison with the file's name.
void printDiff(const std::string& name, std::string_view before, std::string_view after);
void printFaults(const std::vector<protocol::ConfigError>& faults, bool asJson);

} // namespace comfreypier::client
