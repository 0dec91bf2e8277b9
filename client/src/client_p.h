/// Internal declarations of the client library.
#pragma once

#include <boost/json.hpp>
#include <client/client.h>

namespace comfreypier::client {

namespace json = boost::json;

/// A valid service file on disk.
struct LocalFile {
    std::string path;
    std::string text;
    protocol::ServiceSpec spec;
};

/// The service files of a directory, and the errors found in them.
struct LocalFiles {
    std::vector<LocalFile> files;
    std::vector<protocol::ConfigError> errors;
};

/// Reads and validates all `*.ini` files in `directory`: each by itself and, if all are valid, all of them together. A directory
/// without such files is an error.
LocalFiles readServiceDir(const std::string& directory);

/// An accepted service file, as reported by a node.
struct RemoteFile {
    protocol::Offset offset = 0; ///< Offset of the log record that published it.
    std::string text;
};

/// A node's configuration, as reported by the node.
struct RemoteConfig {
    protocol::Offset nextOffset = 0; ///< Offset of the next record that the node will read from the configuration log.
    std::map<std::string, RemoteFile> services; ///< By service name.
};

/// Sends a GET request to the nodes of the invocation in turn, and returns the body of the first response with status
/// 200, or nothing if there is none.
std::optional<std::string> queryNodes(const Invocation& invocation, transport::HttpClient& client, const std::string& target);
/// Sends a GET request to a node, and returns the body of its response, or nothing if the call fails or the status is not 200.
std::optional<std::string> queryNode(const transport::Endpoint& node, transport::HttpClient& client, const std::string& target);
/// Parses a JSON object, or returns nothing if `text` is not one.
std::optional<json::object> parseObject(const std::string& text);
/// Fetches the configuration from the first node that responds. Returns nothing if none does or its response is not valid.
std::optional<RemoteConfig> fetchConfig(const Invocation& invocation, transport::HttpClient& client);
/// Parses a node's response to `/admin/config`, or returns nothing if it is not a JSON object with `services`.
std::optional<RemoteConfig> parseConfig(const std::string& text);

// One function for each command; they return its exit code. `runShow` runs all commands that only show a node's state.
int runCheck(const Invocation& invocation);
int runDiff(const Invocation& invocation, transport::HttpClient& client);
int runPublish(const Invocation& invocation, transport::HttpClient& client);
int runExplainRequest(const Invocation& invocation);
int runCheckConfiguration(const Invocation& invocation);
int runShow(const Invocation& invocation, transport::HttpClient& client);

/// Prints the lines that differ between two texts, under a heading with `name`.
void printDiff(const std::string& name, std::string_view before, std::string_view after);
/// Prints the errors of service files, one per line to stderr, or as JSON to stdout.
void printErrors(const std::vector<protocol::ConfigError>& errors, bool asJson);

} // namespace comfreypier::client
