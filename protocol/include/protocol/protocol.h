/// Protocol layer: settings and service files, log records and snapshots, HTTP error responses, and the clients of the
/// platform's services, the model engines and the other nodes.
///
/// Mostly plain structs and free functions. Parsers never throw; they return typed errors.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>
#include <transport/transport.h>
#include <variant>

namespace comfreypier::protocol {

/// Version of the record format that this build writes, and the newest that it reads.
constexpr uint16_t recordVersion = 1;
/// Maximum size of an encoded record.
constexpr size_t maxRecordBytes = 1024 * 1024;
/// Maximum size of a plain service's response body that is stored to answer retries with the same idempotency key.
constexpr size_t maxStoredResponseBytes = 4096;
/// Maximum length of the name of a model, adapter, service, worker or node.
constexpr size_t maxNameBytes = 64;
/// Maximum size of a service file.
constexpr size_t maxServiceFileBytes = 256 * 1024;
/// Maximum number of bytes that `SseParser` buffers. A stream with a longer event is rejected.
constexpr size_t maxSseBufferBytes = 1024 * 1024;

/// An error in a settings or service file, with its position.
struct ConfigError {
    std::string file; ///< Name of the file; name of the service in the errors of `mergeServices`.
    uint32_t line = 0; ///< 1-based; 0 if the error concerns the whole file.
    std::string message;
};

/// Formats `error` as `file:line: message`.
std::string toString(const ConfigError& error);

/// One `key = value` line. Both are stored without surrounding whitespace.
struct IniEntry {
    std::string key;
    std::string value;
    uint32_t line = 0;
};

/// One `[kind name]` section.
struct IniSection {
    std::string kind;
    std::string name; ///< Empty for sections that take no name.
    uint32_t line = 0;
    std::vector<IniEntry> entries;
};

/// A parsed INI file and the errors found in it.
struct IniDocument {
    std::string file;
    std::vector<IniSection> sections;
    std::vector<ConfigError> errors;
};

/// Parses INI syntax into sections and entries. Lines that begin with `;` or `#` are comments. Syntax errors, and keys that a section
/// contains twice, are added to `IniDocument::errors`; their lines are skipped.
/// @param file name used in error messages.
/// @param text content of the file.
IniDocument parseIni(std::string_view file, std::string_view text);

/// Type of the value of a key.
enum class IniType {
    Text, ///< Any non-empty text.
    Name, ///< Letters, digits, `-`, `_`, `.`.
    Integer, ///< Signed integer.
    Decimal, ///< Non-negative number.
    Bytes, ///< Number with B, KB, MB or GB.
    Duration, ///< Number with us, ms, s, m or h.
    Flag, ///< `yes` or `no`.
    Address, ///< `IP:port`.
    AddressList, ///< Comma-separated addresses.
    Choice, ///< One of `IniKey::choices`.
    Count
};

/// One key allowed in a section.
struct IniKey {
    std::string_view key;
    IniType type = IniType::Text;
    bool required = false; ///< Every section of the kind must contain it.
    std::vector<std::string_view> choices; ///< Allowed values of a key of type `Choice`.
};

/// One kind of section allowed in a file.
struct IniSectionRule {
    std::string_view kind;
    bool named = false; ///< The section takes a name.
    bool required = false; ///< The file must contain it.
    bool allowUnknownKeys = false; ///< Keys that are not in `keys` are accepted; their values must be of `unknownKeyType`.
    IniType unknownKeyType = IniType::Text;
    std::vector<IniKey> keys;
};

/// Checks `document` against `rules`. Adds each violation to `document.errors` and sorts the errors by line.
void checkIni(IniDocument& document, const std::vector<IniSectionRule>& rules);

/// Reads typed values from one section. The document must have passed `checkIni`.
///
/// The readers leave `target` unchanged if the section or the key is missing. A value out of range is reported as an error, but
/// stored all the same. Ranges include their bounds; that of `decimal` starts at 0.
class SectionReader {
public:
    /// @param kind kind of the section to read.
    /// @param errors receives the errors. Must outlive the reader, as must `document`.
    SectionReader(const IniDocument& document, std::string_view kind, std::vector<ConfigError>& errors);

    void text(std::string_view key, std::string& target) const;
    void address(std::string_view key, transport::Endpoint& target) const;
    void flag(std::string_view key, bool& target) const;
    void decimal(std::string_view key, double& target, double max) const;
    void duration(std::string_view key, std::chrono::milliseconds& target, std::chrono::milliseconds min, std::chrono::milliseconds max) const;
    template <class T>
    void integer(std::string_view key, T& target, int64_t min, int64_t max) const
    {
        if (auto value = this->checkedInteger(key, min, max))
            target = static_cast<T>(*value);
    }
    template <class T>
    void bytes(std::string_view key, T& target, uint64_t min, uint64_t max) const
    {
        if (auto value = this->checkedBytes(key, min, max))
            target = static_cast<T>(*value);
    }
    /// @return line of the section header, or 0 if the file does not contain the section.
    uint32_t line() const;

private:
    /// Returns the entry of `key`, or null if the section or the key is missing.
    const IniEntry* find(std::string_view key) const;
    /// @param allowed range for the error message, such as `1 to 64`.
    void addRangeError(const IniEntry& entry, const std::string& allowed) const;
    /// Returns the value of `key`, also if it is out of range, or nothing if the key is missing.
    std::optional<int64_t> checkedInteger(std::string_view key, int64_t min, int64_t max) const;
    std::optional<uint64_t> checkedBytes(std::string_view key, uint64_t min, uint64_t max) const;

    const IniDocument& document;
    std::vector<ConfigError>& errors;
    const IniSection* section = nullptr; ///< Null if the file does not contain the section.
};

/// Reads the `[log]` section: the key `level` sets the default level, every other key the level of the part that it names.
/// @param level unchanged if the key `level` is missing or invalid.
/// @param errors receives an error for each value that is not a level.
void readLogLevels(const IniDocument& document, transport::LogLevel& level, std::vector<transport::PartLevel>& parts, std::vector<ConfigError>& errors);

/// Parses a signed decimal integer. Like the other parsers of values, returns nothing unless all of `text` is valid.
std::optional<int64_t> parseInteger(std::string_view text);
/// Parses a finite non-negative number.
std::optional<double> parseDecimal(std::string_view text);
/// Parses a size with a decimal unit, such as `24GB`.
/// @return size in bytes.
std::optional<uint64_t> parseBytes(std::string_view text);
/// Parses a duration with a unit, such as `1.5s`.
std::optional<std::chrono::microseconds> parseDuration(std::string_view text);
/// Parses `yes` or `no`.
std::optional<bool> parseFlag(std::string_view text);
/// Tells whether `text` is a valid name: letters, digits, `-`, `_` and `.`, at most `maxNameBytes` long.
bool isName(std::string_view text);
/// Splits a comma-separated list, trims the parts and skips empty ones.
std::vector<std::string> splitList(std::string_view text);
/// Formats a size for `parseBytes`, in the largest unit that needs at most three decimals.
std::string formatBytes(uint64_t bytes);
/// Formats a duration for `parseDuration`, in the largest of `s`, `ms` and `us` that needs no fraction.
std::string formatDuration(std::chrono::microseconds duration);

/// Priority of the requests for a model, adapter or plain service.
enum class Urgency { Urgent,
    Normal,
    Background,
    Count };

const char* name(Urgency urgency);

/// A model declared in a service file, or an adapter for one.
struct ItemSpec {
    std::string name;
    std::string service; ///< Service whose file declares it.
    std::string base; ///< Base model of an adapter; empty for a model.
    uint32_t version = 1;
    uint64_t bytes = 0; ///< Accelerator memory that it occupies.
    Urgency urgency = Urgency::Normal;
    std::chrono::microseconds firstTokenTarget { 0 }; ///< Target for the time to the first token.
    std::chrono::microseconds tokenGapTarget { 0 }; ///< Target for the time between two tokens.
    bool operator==(const ItemSpec&) const = default;
};

/// Returns the key that identifies `item` on the workers: `name@version`.
std::string itemKey(const ItemSpec& item);

/// Method and path prefix that select calls to a plain service.
struct CallPattern {
    std::string method;
    std::string pathPrefix;
    bool operator==(const CallPattern&) const = default;
};

/// A plain service (not a model) declared in a service file.
struct PlainServiceSpec {
    std::string name;
    std::string service; ///< Service whose file declares it.
    std::vector<transport::Endpoint> endpoints;
    Urgency urgency = Urgency::Normal;
    std::chrono::microseconds target { 0 }; ///< Latency target.
    std::vector<CallPattern> nonRetryable; ///< Calls that must not be retried.
    bool operator==(const PlainServiceSpec&) const = default;
};

/// Content of one service file.
struct ServiceSpec {
    std::string name;
    std::vector<ItemSpec> items;
    std::vector<PlainServiceSpec> plainServices;
    double moveWeight = 1.0; ///< Cost of moving items relative to meeting latency targets. Set by the file with `[deployment]`.
    bool setsMoveWeight = false; ///< The file has a `[deployment]` section.
};

/// Parses and validates one service file.
/// @return the content, or all errors found.
Result<ServiceSpec, std::vector<ConfigError>> parseServiceFile(std::string_view file, std::string_view text);

/// Merged content of all accepted service files.
struct DeploymentSpec {
    std::map<std::string, ItemSpec> items; ///< By name.
    std::map<std::string, PlainServiceSpec> plainServices; ///< By name.
    double moveWeight = 1.0; ///< See `ServiceSpec::moveWeight`.
};

/// Merges service files.
/// @return the deployment, or the errors that involve several files: names or `[deployment]` declared twice, and adapters
///         whose base model is missing or is itself an adapter.
Result<DeploymentSpec, std::vector<ConfigError>> mergeServices(const std::vector<ServiceSpec>& services);

/// Settings of one `comfreypierd` process.
struct NodeSettings {
    std::string node; ///< Name of this node.
    std::string region; ///< The nodes of a region share a log stream.
    std::string dataCentre;
    transport::Endpoint http; ///< Address on which the node serves callers.
    transport::Endpoint rpc; ///< Address on which the node serves other nodes.
    transport::Endpoint log; ///< The platform's log service.
    transport::Endpoint vmList; ///< The platform's VM list.
    unsigned threads = 2; ///< Number of I/O threads.
    transport::ServerLimits server;
    std::chrono::milliseconds sessionTtl { 5000 }; ///< Time without a renewal after which other nodes expire the node's session.
    /// The node stops using its session this long before the TTL ends, to allow for clock drift.
    std::chrono::milliseconds sessionMargin { 1250 };
    std::chrono::milliseconds appendInterval { 100 }; ///< Minimum time between two appends under load.
    /// How long callers may cache the addresses of the nodes. A draining node accepts connections at least this long.
    std::chrono::milliseconds addressCacheTtl { 10000 };
    std::chrono::milliseconds drainTimeout { 120000 }; ///< Time limit for finishing open requests when the node drains.
    std::chrono::milliseconds drainNotice { 1000 }; ///< Time between the start of draining and the end of accepting new work.
    uint64_t answerMemory = 64 * 1024 * 1024; ///< Bytes that answers of others may hold together while they are read.
    uint32_t queueLimit = 256; ///< Maximum number of waiting requests per model.
    double retryShare = 0.1; ///< Retry budget: retries allowed per first attempt.
    /// Maximum time without data on a stream before it is resumed on another worker.
    std::chrono::milliseconds streamIdleTimeout { 1500 };
    uint64_t recordsPerSnapshot = 2000; ///< Number of records after which the next snapshot is due.
    /// Maximum time between snapshots. Must stay well below the log's retention.
    std::chrono::milliseconds snapshotInterval { 600000 };
    std::chrono::milliseconds keyRetention { 6 * 3600 * 1000 }; ///< How long an idempotency key is remembered.
    transport::LogLevel logLevel = transport::LogLevel::Info;
    std::vector<transport::PartLevel> partLevels;
};

/// Parses and validates a settings file.
/// @return the settings, or all errors found.
Result<NodeSettings, std::vector<ConfigError>> parseNodeSettings(std::string_view file, std::string_view text);

/// Position of a record in a log stream.
using Offset = uint64_t;
/// Identifies a session: the offset of the record that opened it.
using SessionId = uint64_t;
/// Stands for "no offset" and "no session".
constexpr uint64_t invalidOffset = UINT64_MAX;

/// Unique id of a record, chosen by its writer. Readers use it to drop a record that was appended twice.
struct RecordId {
    uint64_t high = 0; ///< Random number of the writer.
    uint64_t low = 0; ///< Number of the record, counted by the writer.
    auto operator<=>(const RecordId&) const = default;
};

/// Returns two random numbers, for new ids, tokens, jitter and random choices.
RecordId makeRandomId();

/// Hash of an `Idempotency-Key` and the name of the plain service that it was sent to.
struct ActionKey {
    uint64_t high = 0;
    uint64_t low = 0;
    auto operator<=>(const ActionKey&) const = default;
};

/// Opens a session for a node. The offset of the record becomes the `SessionId`.
struct SessionOpen {
    std::string node;
    std::string http; ///< Address on which the node serves callers, as `address:port`.
    std::string rpc; ///< Address on which the node serves other nodes, as `address:port`.
    std::string dataCentre;
    std::chrono::milliseconds ttl { 0 };
    bool operator==(const SessionOpen&) const = default;
};
/// Extends the writer's session by its TTL.
struct SessionRenew {
    bool operator==(const SessionRenew&) const = default;
};
/// Ends a session that is no longer renewed. Has no effect if the log has a record of that session between `lastSeen` and
/// this one.
struct SessionExpire {
    SessionId session = invalidOffset;
    Offset lastSeen = invalidOffset; ///< Offset of the newest record of the session that the writer had seen.
    bool operator==(const SessionExpire&) const = default;
};
/// Ends the writer's own session.
struct SessionRelease {
    bool operator==(const SessionRelease&) const = default;
};
/// Declares a worker and the capacity of its engine.
struct WorkerDeclared {
    std::string worker;
    std::string endpoint; ///< Address of the engine, as `address:port`.
    std::string dataCentre;
    uint64_t capacity = 0; ///< Accelerator memory for models and adapters, in bytes.
    uint64_t incarnation = 0; ///< Changes with each start of the engine.
    bool operator==(const WorkerDeclared&) const = default;
};
/// Removes a worker.
struct WorkerGone {
    std::string worker;
    bool operator==(const WorkerGone&) const = default;
};
/// Announces one copy of a load order, that is, one attempt to send it. The copy is sent to the engine only after this entry
/// was read back from the log and found valid.
struct LoadIntent {
    std::string worker;
    std::string item; ///< Result of `itemKey`, as in all entries about workers and the plan.
    uint64_t bytes = 0;
    uint64_t copy = 0; ///< Unique number of this copy.
    bool operator==(const LoadIntent&) const = default;
};
/// Records that a copy of a load order can have no further effect, or that the item became resident or absent.
struct LoadResolved {
    std::string worker;
    std::string item;
    uint64_t copy = 0; ///< 0 if only the residency changed.
    bool arrived = false; ///< The engine's report lists the copy; otherwise the engine never accepted it.
    bool loaded = false; ///< The engine reported the item as resident.
    bool operator==(const LoadResolved&) const = default;
};
/// Announces an unload order.
struct UnloadIntent {
    std::string worker;
    std::string item;
    bool lastCopyAllowed = false; ///< The item may lose its last copy, because it is no longer declared.
    bool operator==(const UnloadIntent&) const = default;
};
/// Records that the engine reported the item as absent after the unload order.
struct UnloadResolved {
    std::string worker;
    std::string item;
    bool operator==(const UnloadResolved&) const = default;
};
/// Records that a worker's engine was started again.
struct WorkerRestarted {
    std::string worker;
    uint64_t incarnation = 0; ///< Incarnation after the restart.
    bool operator==(const WorkerRestarted&) const = default;
};
/// One item on one worker: an element of the placement plan, not a move between workers.
struct PlanMove {
    std::string worker;
    std::string item;
    auto operator<=>(const PlanMove&) const = default;
};
/// Changes the placement plan.
struct PlanChange {
    std::vector<PlanMove> adds;
    std::vector<PlanMove> drops;
    std::string reason; ///< Shown to operators.
    bool operator==(const PlanChange&) const = default;
};
/// Claims an idempotency key before its request is sent to the plain service.
struct ActionBegin {
    ActionKey key;
    uint64_t requestHash = 0; ///< Hash of the request, to detect that the key is reused for a different one.
    uint64_t token = 0; ///< Random number of this attempt; only the node that made it knows it.
    bool operator==(const ActionBegin&) const = default;
};
/// Records the end of the request of an idempotency key.
struct ActionEnd {
    ActionKey key;
    uint64_t token = 0; ///< Token of the matching `ActionBegin`.
    uint16_t status = 0; ///< HTTP status; 0 if no response came.
    std::string contentType;
    std::string body;
    bool bodyStored = false; ///< False if no response came or its body was larger than `maxStoredResponseBytes`.
    bool operator==(const ActionEnd&) const = default;
};
/// Voids the `ActionBegin` with this token, because its request was refused before any byte was sent.
struct ActionVoid {
    ActionKey key;
    uint64_t token = 0;
    bool operator==(const ActionVoid&) const = default;
};
/// Drops the idempotency keys whose `ActionBegin` lies before this offset.
struct ActionsForget {
    Offset before = 0;
    bool operator==(const ActionsForget&) const = default;
};
/// Publishes or removes a service file.
struct ConfigPublish {
    std::string service;
    std::optional<Offset> base; ///< Offset of the version that the author changed; empty for a new file.
    std::string text;
    std::string author;
    bool remove = false; ///< Removes the service file instead of publishing `text`.
    bool operator==(const ConfigPublish&) const = default;
};
/// One part of an encoded `Snapshot`.
struct SnapshotPart {
    Offset upTo = 0; ///< Offset of the first record that the snapshot does not include.
    uint32_t part = 0; ///< Index of this part, starting at 0.
    uint32_t parts = 1; ///< Number of parts of the snapshot.
    std::string data;
    bool operator==(const SnapshotPart&) const = default;
};

/// One state change within a record.
using Entry = std::variant<SessionOpen, SessionRenew, SessionExpire, SessionRelease, WorkerDeclared, WorkerGone, LoadIntent,
    LoadResolved, UnloadIntent, UnloadResolved, WorkerRestarted, PlanChange, ActionBegin, ActionEnd, ActionVoid,
    ActionsForget, ConfigPublish, SnapshotPart>;

/// One record of a log stream: entries of one writer that are applied together.
struct Envelope {
    RecordId id;
    SessionId session = invalidOffset; ///< Session of the writer; `invalidOffset` for operators.
    std::vector<Entry> entries;
    bool operator==(const Envelope&) const = default;
};

/// Why a record could not be decoded.
enum class RecordError {
    Truncated, ///< The bytes are not a complete Cap'n Proto message.
    TooNew, ///< Written in a newer version than `recordVersion`.
    UnknownEntry, ///< Holds an entry of a kind that this build does not know.
    Invalid, ///< Holds no version.
    Count
};

const char* name(RecordError error);

std::string encodeEnvelope(const Envelope& envelope);
Result<Envelope, RecordError> decodeEnvelope(std::string_view bytes);

/// Snapshot of a session.
struct SessionSnapshot {
    SessionId session = invalidOffset;
    Offset lastSeen = invalidOffset; ///< Offset of the newest record of the session.
    SessionOpen open;
    bool operator==(const SessionSnapshot&) const = default;
};
/// Snapshot of the memory reserved on a worker for one item.
struct ReservationSnapshot {
    std::string item;
    uint64_t bytes = 0;
    std::vector<uint64_t> openCopies; ///< Copies of the load order that may still arrive at the engine.
    bool loaded = false; ///< The engine reported the item as resident.
    bool unloading = false; ///< An `UnloadIntent` was applied. The item takes no further requests.
    uint64_t lastCopy = 0; ///< Copy that arrived last; 0 if none has.
    bool operator==(const ReservationSnapshot&) const = default;
};
/// Snapshot of a worker.
struct WorkerSnapshot {
    WorkerDeclared declared;
    std::vector<ReservationSnapshot> reservations;
    SessionId owner = invalidOffset; ///< Session of the node that owns the worker.
    Offset ownerSince = invalidOffset; ///< Fencing number of the owner's orders.
    bool operator==(const WorkerSnapshot&) const = default;
};
/// Snapshot of an idempotency key.
struct ActionSnapshot {
    ActionKey key;
    uint64_t requestHash = 0;
    SessionId session = invalidOffset; ///< Session of the node that wrote the `ActionBegin`.
    Offset begin = invalidOffset; ///< Offset of the `ActionBegin`.
    bool ended = false; ///< An `ActionEnd` was applied.
    ActionEnd end; ///< Valid if `ended` is set.
    uint64_t token = 0; ///< Token of the `ActionBegin`.
    bool operator==(const ActionSnapshot&) const = default;
};
/// Snapshot of a published service file.
struct ServiceSnapshot {
    ConfigPublish publish;
    Offset offset = invalidOffset; ///< Offset of the record that published it.
    bool operator==(const ServiceSnapshot&) const = default;
};
/// Complete state of one stream, as replayed up to one offset.
struct Snapshot {
    Offset upTo = 0; ///< Offset of the first record that is not included.
    Offset viewOffset = invalidOffset; ///< Offset of the record that last changed the set of live sessions.
    std::vector<RecordId> seenIds; ///< Newest accepted record of each writer, to drop duplicates.
    std::vector<SessionSnapshot> sessions;
    std::vector<WorkerSnapshot> workers;
    std::vector<PlanMove> plan;
    std::vector<ActionSnapshot> actions;
    std::vector<ServiceSnapshot> services;
    bool operator==(const Snapshot&) const = default;
};

std::string encodeSnapshot(const Snapshot& snapshot);
Result<Snapshot, RecordError> decodeSnapshot(std::string_view bytes);

/// Whether a refused request was executed.
enum class RunState { NotRun,
    Ran,
    Unknown,
    Count };

const char* name(RunState state);

/// Why a request was refused. `name(RefusalReason)` returns the name used in problem documents and metrics.
enum class RefusalReason {
    MalformedHttp,
    HeaderTooLarge,
    BodyTooLarge,
    RequestTooSlow,
    NotFound,
    MethodNotAllowed,
    BadJson,
    UnknownModel,
    UnknownService,
    NotReady, ///< The node is still reading the log.
    Draining, ///< The node is about to stop.
    NoLiveCopy, ///< No reachable worker has the model loaded.
    QueueFull,
    Late, ///< The latency target cannot be met now.
    PoisonRequest, ///< Workers crashed while they ran requests with this content.
    RetryBudget, ///< A retry would be needed, but `NodeSettings::retryShare` allows none now.
    LogUnavailable, ///< The log service does not answer, so the idempotency key can't be claimed.
    SessionLapsed, ///< The node has no live session, so the idempotency key can't be claimed.
    KeyReused, ///< The idempotency key was used for a different request.
    OutcomeUnknown, ///< The request may have run; its response is lost.
    EndpointFailed, ///< The plain service could not be reached or failed.
    EndpointSilent, ///< The plain service did not respond in time.
    Count
};

const char* name(RefusalReason reason);
/// HTTP status of a response that refuses a request for `reason`.
unsigned httpStatus(RefusalReason reason);

/// Why a request was retried.
enum class RetryReason {
    ConnectFailed, ///< The connection could not be established. No byte was sent.
    EngineRefused, ///< The engine answered with a status other than 200.
    StreamCut, ///< The connection closed before the end of the stream, the stream was malformed, or a sent plain call failed.
    StreamSilent, ///< No data came for `NodeSettings::streamIdleTimeout`.
    MismatchedResponse, ///< The response belonged to another request.
    Count
};

const char* name(RetryReason reason);

/// A refused request.
struct Refusal {
    RefusalReason reason = RefusalReason::NotReady;
    RunState runState = RunState::NotRun;
    std::chrono::milliseconds retryAfter { 0 }; ///< Zero omits the `Retry-After` header.
    std::string detail;
};

/// Builds the response for `refusal`, with an RFC 9457 problem document as its body.
transport::HttpResponse toResponse(const Refusal& refusal);

/// The fields of a completion request that routing uses. The body itself is forwarded unchanged.
struct CompletionRequest {
    std::string model;
    bool stream = false;
    uint32_t maxTokens = 0; ///< 0 if the request does not set it.
    uint32_t promptBytes = 0; ///< Size of the prompt, or of the messages as JSON.
    uint64_t prefixHash = 0; ///< Hash of the start of the prompt, to find workers that may have it cached.
    uint64_t contentHash = 0; ///< Hash of the whole body, to recognize poison requests.
};

/// Why a completion request could not be parsed.
enum class CompletionError { BadJson, ///< Not a JSON object, or nested too deeply.
    NoModel, ///< `model` is missing or not a string.
    Count };

/// Parses the JSON body of a completion request.
Result<CompletionRequest, CompletionError> parseCompletion(std::string_view body);

/// Returns `text` as a JSON string literal, with quotes.
std::string jsonQuote(std::string_view text);

/// Hashes `bytes`. The result is the same on every node.
uint64_t contentHash(std::string_view bytes, uint64_t seed = 0);

/// One server-sent event.
struct SseEvent {
    std::string_view raw; ///< Bytes of the event, including the blank line that ends it.
    std::string_view data; ///< Value of the last `data` field; empty if there is none.
    std::optional<uint64_t> id; ///< Index of the token, starting at 1. Not set if the `id` field is missing or not a number.
};

/// Why a stream of server-sent events could not be parsed.
enum class SseError {
    TooLong, ///< More than `maxSseBufferBytes` would have to be buffered.
    Count
};

/// State of the parser that splits a byte stream, whose lines end with LF, into events. Take all events with `nextSseEvent` before
/// the next `feedSse`, so that the buffer holds at most one partial event.
struct SseParser {
    std::string buffer;
    size_t consumed = 0; ///< Bytes at the start of `buffer` that belong to returned events.
};

/// Adds received bytes to the buffer and drops the events that were already returned.
/// @return true, or an error; the bytes are then not added.
Result<bool, SseError> feedSse(SseParser& parser, std::string_view bytes);
/// Reads the next complete event. Its views are valid until the next `feedSse`.
/// @return false if the buffer holds no complete event.
bool nextSseEvent(SseParser& parser, SseEvent& event);

/// Why an operation on the log failed.
enum class LogError {
    Unavailable, ///< The service refused the operation or, for a read, did not answer. It had no effect.
    NoAnswer, ///< No usable answer to an append, which may have taken effect.
    Invalid, ///< The answer could not be decoded.
    Count
};

const char* name(LogError error);

/// One record as stored in the log.
struct LogRecord {
    Offset offset = 0;
    std::string bytes;
};

/// Result of one read. The records start at the requested offset, or at `first` if that is later.
struct LogPage {
    Offset first = 0; ///< Oldest retained offset.
    Offset end = 0; ///< One past the newest offset.
    std::vector<LogRecord> records;
};

/// Client of the platform's log service. To support another wire format, add another function that returns this struct.
struct LogService {
    /// Appends one record and returns its offset.
    std::function<Result<Offset, LogError>(std::string_view stream, std::string_view bytes)> append;
    /// Reads the records from offset `from` on. Waits up to `wait` for the first one.
    std::function<Result<LogPage, LogError>(std::string_view stream, Offset from, std::chrono::milliseconds wait)> read;
};

/// Returns a client of the log service over HTTP. `client` must outlive it.
LogService makeHttpLog(transport::HttpClient& client, const transport::Endpoint& endpoint);

/// Encodes a page in the wire format of the HTTP log service.
std::string encodeLogPage(const LogPage& page);
/// Decodes a page of the HTTP log service.
/// @return nothing if `bytes` are not a complete page.
std::optional<LogPage> decodeLogPage(std::string_view bytes);

/// What a VM runs.
enum class VmRole {
    Entry, ///< A node that serves callers.
    Worker, ///< A model engine.
    Plain, ///< A plain service.
    Count
};

/// One VM in the platform's VM list.
struct Vm {
    std::string name;
    transport::Endpoint endpoint;
    std::string dataCentre;
    VmRole role = VmRole::Worker;
    bool leaving = false; ///< The platform is about to remove the VM.
    uint64_t capacity = 0; ///< Accelerator memory for models, in bytes; 0 for other roles than `Worker`.
};

/// Client of the platform's VM list.
struct VmListService {
    /// Fetches the whole list. Fails with `Malformed` if the response is not the list.
    std::function<Result<std::vector<Vm>, transport::IoError>()> list;
};

/// Returns a client of the VM list over HTTP. `client` must outlive it.
VmListService makeHttpVmList(transport::HttpClient& client, const transport::Endpoint& endpoint);

/// Parses the JSON form of the VM list. Skips VMs that are not valid.
/// @return nothing if `json` is not a JSON array.
std::optional<std::vector<Vm>> parseVmList(std::string_view json);

/// A model or adapter on an engine.
struct EngineItem {
    std::string item; ///< Result of `itemKey`.
    bool loaded = false; ///< False while it is being loaded.
};

/// State that an engine reports about itself. It may be outdated.
struct EngineReport {
    uint64_t incarnation = 0; ///< Changes with each start of the engine.
    uint64_t capacity = 0; ///< Accelerator memory for models and adapters, in bytes.
    uint64_t used = 0; ///< Accelerator memory in use, in bytes.
    std::vector<EngineItem> items;
    std::vector<uint64_t> arrivedCopies; ///< Copies of load orders that reached this incarnation of the engine.
    uint32_t running = 0; ///< Requests being processed.
    uint32_t waiting = 0; ///< Requests in the queue.
    uint32_t slots = 0; ///< Maximum number of requests processed at once.
    std::chrono::microseconds firstTokenTime { 0 }; ///< Prefill time of an average request.
    std::chrono::microseconds tokenGap { 0 }; ///< Time between two tokens of a stream.
};

enum class EngineOrderKind { Load,
    Unload,
    Count };

/// An order to load or unload an item.
struct EngineOrder {
    EngineOrderKind kind = EngineOrderKind::Load;
    std::string item;
    uint64_t bytes = 0; ///< Accelerator memory that the item occupies.
    uint64_t copy = 0; ///< Unique number of this copy of the order; see `LoadIntent`.
    uint64_t fence = 0; ///< Fencing number. The engine refuses orders with an older one than it has seen.
};

/// Result of sending an order to an engine.
enum class OrderOutcome {
    Accepted, ///< The engine confirmed the order.
    StaleFence, ///< The engine refused the order because of its fencing number.
    NotSent, ///< No byte reached the engine.
    Unknown, ///< No usable answer; the order may have arrived.
    Count
};

/// Client of the engines' control interface.
struct EngineService {
    /// Fetches an engine's report. Fails with `Malformed` if the response is not a report.
    std::function<Result<EngineReport, transport::IoError>(const transport::Endpoint&)> report;
    /// Sends an order to an engine, once.
    std::function<OrderOutcome(const transport::Endpoint&, const EngineOrder&)> order;
};

/// Returns a client of the engines' control interface over HTTP. `client` must outlive it.
EngineService makeHttpEngine(transport::HttpClient& client);

/// Parses the JSON form of a report. Missing numbers are 0.
/// @return nothing if `json` is not an object with an `incarnation`.
std::optional<EngineReport> parseEngineReport(std::string_view json);
std::string toJson(const EngineOrder& order);
/// Parses the JSON form of an order.
/// @return nothing if `kind` or `item` is missing or invalid.
std::optional<EngineOrder> parseEngineOrder(std::string_view json);

/// Subject of a peer update.
enum class PeerUpdateKind { Node, ///< State of a node.
    Worker, ///< Load of a worker.
    Demand, ///< Rate of requests for an item at a node.
    PoisonRequest, ///< Crashes of workers that ran requests with the same content.
    Count };

/// Version of a peer update. An update with a newer session, or with the same session and a higher counter, replaces the
/// older one.
struct PeerUpdateVersion {
    uint64_t session = 0; ///< Session of the node that made the update; 0 if it had none.
    uint64_t counter = 0; ///< Number of the update, counted by that node.
    auto operator<=>(const PeerUpdateVersion&) const = default;
};

/// Identifies the subject of a peer update.
struct PeerUpdateKey {
    PeerUpdateKind kind = PeerUpdateKind::Node;
    std::string name; ///< Name of the node or worker, `node/item`, or content hash in hexadecimal.
    auto operator<=>(const PeerUpdateKey&) const = default;
};

/// One state update that nodes exchange by gossip, without the log. The fields that a kind does not use stay 0.
struct PeerUpdate {
    PeerUpdateKey key;
    PeerUpdateVersion version;
    bool draining = false; ///< Node, worker: is draining.
    uint64_t configOffset = 0; ///< Node: offset of the configuration in force.
    uint32_t running = 0; ///< Node, worker: requests being processed.
    uint32_t waiting = 0; ///< Worker: requests in the queue.
    uint32_t slots = 0; ///< Worker: maximum number of requests processed at once.
    std::chrono::microseconds firstTokenTime { 0 }; ///< Worker: prefill time of an average request.
    std::chrono::microseconds tokenGap { 0 }; ///< Worker: time between two tokens of a stream.
    uint32_t count = 0; ///< Demand: request rate in requests per 1000 s; poison request: number of crashes.
};

/// One gossip message.
struct GossipMessage {
    std::string from; ///< Name of the sending node.
    std::vector<PeerUpdate> updates;
};

/// Replayed state that a node sends to one that starts while the log is unavailable.
struct PeerState {
    std::string config; ///< Encoded snapshot of the configuration stream; empty if the node has none.
    std::string region; ///< Encoded snapshot of the region's stream; empty if the node has none.
};

/// Handlers of calls from other nodes. They run on the RPC thread and must not block.
struct PeerHandlers {
    std::function<GossipMessage(const GossipMessage&)> gossip;
    std::function<PeerState()> state;
};

/// Cap'n Proto RPC server and client for calls between nodes. Runs its own thread.
class PeerRpc {
public:
    /// Starts the server on `listen`. Blocks until it accepts calls or has failed to start; see `isListening`.
    PeerRpc(transport::Endpoint listen, PeerHandlers handlers);
    ~PeerRpc();
    PeerRpc(const PeerRpc&) = delete;
    PeerRpc& operator=(const PeerRpc&) = delete;

    /// Exchanges updates with a peer. Must be called on a fiber.
    /// @return the peer's reply, or `Refused` if this server did not start, `Timeout`, or `Closed` if the call failed.
    Result<GossipMessage, transport::IoError> gossip(const transport::Endpoint& peer, const GossipMessage& message, std::chrono::milliseconds timeout);
    /// Fetches a peer's replayed state. Must be called on a fiber. Fails like `gossip`.
    Result<PeerState, transport::IoError> fetchState(const transport::Endpoint& peer, std::chrono::milliseconds timeout);
    /// False if the address could not be bound.
    bool isListening() const;
    /// Returns the total size of the gossip messages sent by `gossip` so far, in bytes, without framing and replies.
    uint64_t gossipBytesSent() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace comfreypier::protocol
