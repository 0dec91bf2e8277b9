/// Protocol layer: file formats, log records, problem documents and the adapters to the platform.
///
/// Everything here is plain data with free functions. Parsers never throw; they return typed errors.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>
#include <transport/transport.h>
#include <variant>

namespace comfreypier::protocol {

// ---------------------------------------------------------------- limits and defaults

/// Newest version of the record format that this build reads and writes.
constexpr uint16_t recordVersion = 1;
/// Largest encoded record, in bytes.
constexpr size_t maxRecordBytes = 1024 * 1024;
/// Largest answer of a plain service that is kept for repeats, in bytes.
constexpr size_t maxStoredResponseBytes = 4096;
/// Longest accepted name of a model, adapter, service, worker or node, in bytes.
constexpr size_t maxNameBytes = 64;
/// Largest accepted service file, in bytes.
constexpr size_t maxServiceFileBytes = 256 * 1024;
/// Longest server-sent event line that is buffered, in bytes.
constexpr size_t maxSseBufferBytes = 1024 * 1024;

// ---------------------------------------------------------------- INI files

/// A mistake in a file, with its place.
struct ConfigError {
    std::string file;
    uint32_t line = 0; ///< 1-based; 0 if the fault is about the whole file.
    std::string message;
};

/// Formats `fault` as `file:line: message`.
std::string toString(const ConfigError& fault);

/// One `key = value` line.
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

/// A parsed INI file and the faults of its syntax.
struct IniDocument {
    std::string file;
    std::vector<IniSection> sections;
    std::vector<ConfigError> errors;
};

/// Splits `text` into sections and entries.
/// @param file name used in faults.
IniDocument parseIni(std::string_view file, std::string_view text);

/// What a key's value must look like.
enum class IniType {
    Text, ///< Any non-empty text.
    Name, ///< Letters, digits, `-`, `_`, `.`.
    Integer, ///< Whole number.
    Decimal, ///< Non-negative number.
    Bytes, ///< Number with B, KB, MB or GB.
    Duration, ///< Number with us, ms, s, m or h.
    Flag, ///< `yes` or `no`.
    Address, ///< `IP:port`.
    AddressList, ///< Addresses with commas between.
    Choice, ///< One of `IniKey::choices`.
    Count
};

/// One key that a section may hold.
struct IniKey {
    std::string_view key;
    IniType type = IniType::Text;
    bool required = false;
    std::vector<std::string_view> choices;
};

/// One section that a file may hold.
struct IniSectionRule {
    std::string_view kind;
    bool named = false; ///< The section takes a name.
    bool required = false; ///< The file must hold it.
    bool allowUnknownKeys = false; ///< Any key is accepted with values of `unknownKeyType`.
    IniType unknownKeyType = IniType::Text;
    std::vector<IniKey> keys;
};

/// Appends to `document.errors` everything that `rules` do not allow.
void checkIni(IniDocument& document, const std::vector<IniSectionRule>& rules);

/// Reads typed values of one section and notes those out of range. The document must have passed `checkIni`.
class SectionReader {
public:
    SectionReader(const IniDocument& document, std::string_view kind, std::vector<ConfigError>& faults);

    void text(std::string_view key, std::string& target) const;
    void address(std::string_view key, transport::Endpoint& target) const;
    void flag(std::string_view key, bool& target) const;
    void decimal(std::string_view key, double& target, double most) const;
    void duration(std::string_view key, std::chrono::milliseconds& target, std::chrono::milliseconds least, std::chrono::milliseconds most) const;
    template <class T>
    void integer(std::string_view key, T& target, int64_t least, int64_t most) const
    {
        if (auto value = this->integerIn(key, least, most))
            target = static_cast<T>(*value);
    }
    template <class T>
    void bytes(std::string_view key, T& target, uint64_t least, uint64_t most) const
    {
        if (auto value = this->bytesIn(key, least, most))
            target = static_cast<T>(*value);
    }
    /// Line of the section, or 0.
    uint32_t line() const;

private:
    const IniEntry* find(std::string_view key) const;
    void fault(const IniEntry& entry, const std::string& allowed) const;
    std::optional<int64_t> integerIn(std::string_view key, int64_t least, int64_t most) const;
    std::optional<uint64_t> bytesIn(std::string_view key, uint64_t least, uint64_t most) const;

    const IniDocument& document;
    std::vector<ConfigError>& faults;
    const IniSection* section = nullptr;
};

/// Reads the `[log]` section: `level` and levels of single parts.
void readLogLevels(const IniDocument& document, transport::LogLevel& level, std::vector<transport::PartLevel>& parts, std::vector<ConfigError>& faults);

std::optional<int64_t> parseInteger(std::string_view text);
std::optional<double> parseDecimal(std::string_view text);
/// @return bytes.
std::optional<uint64_t> parseBytes(std::string_view text);
std::optional<std::chrono::microseconds> parseDuration(std::string_view text);
std::optional<bool> parseFlag(std::string_view text);
bool isName(std::string_view text);
std::vector<std::string> splitList(std::string_view text);
std::string formatBytes(uint64_t bytes);
std::string formatDuration(std::chrono::microseconds duration);

// ---------------------------------------------------------------- service files

/// How urgent the callers of a model, adapter or plain service are.
enum class Urgency { Urgent,
    Normal,
    Background,
    Count };

const char* name(Urgency urgency);

/// A declared model, or an adapter on top of one.
struct ItemSpec {
    std::string name;
    std::string service; ///< Service file that declares it.
    std::string base; ///< Model that an adapter needs; empty for a model.
    uint32_t version = 1;
    uint64_t bytes = 0; ///< Accelerator memory.
    Urgency urgency = Urgency::Normal;
    std::chrono::microseconds firstTokenTarget { 0 };
    std::chrono::microseconds tokenGapTarget { 0 };
    bool operator==(const ItemSpec&) const = default;
};

/// Returns the identity under which workers hold `item`: `name@version`.
std::string itemKey(const ItemSpec& item);

/// One method and path prefix of a plain service whose calls may not be repeated.
struct CallPattern {
    std::string method;
    std::string pathPrefix;
    bool operator==(const CallPattern&) const = default;
};

/// A declared plain service.
struct PlainServiceSpec {
    std::string name;
    std::string service;
    std::vector<transport::Endpoint> endpoints;
    Urgency urgency = Urgency::Normal;
    std::chrono::microseconds target { 0 };
    std::vector<CallPattern> nonRetryable;
    bool operator==(const PlainServiceSpec&) const = default;
};

/// Content of one service file.
struct ServiceSpec {
    std::string name;
    std::vector<ItemSpec> items;
    std::vector<PlainServiceSpec> plainServices;
    double moveWeight = 1.0; ///< Weight of moves against attainment; from the file with `[deployment]`.
    bool setsMoveWeight = false;
};

/// Parses and checks one service file.
/// @return the content, or every fault found.
Result<ServiceSpec, std::vector<ConfigError>> parseServiceFile(std::string_view file, std::string_view text);

/// All accepted service files together.
struct DeploymentSpec {
    std::map<std::string, ItemSpec> items; ///< By name.
    std::map<std::string, PlainServiceSpec> plainServices; ///< By name.
    double moveWeight = 1.0;
};

/// Merges service files.
/// @return the deployment, or the faults that only show between files: names declared twice, missing base models.
Result<DeploymentSpec, std::vector<ConfigError>> mergeServices(const std::vector<ServiceSpec>& services);

// ---------------------------------------------------------------- node settings

/// Settings of one `comfreypierd`.
struct NodeSettings {
    std::string node;
    std::string region;
    std::string dataCentre;
    transport::Endpoint http;
    transport::Endpoint rpc;
    transport::Endpoint log;
    transport::Endpoint vmList;
    unsigned threads = 2;
    transport::ServerLimits server;
    std::chrono::milliseconds sessionTtl { 5000 };
    std::chrono::milliseconds sessionMargin { 1250 };
    std::chrono::milliseconds appendInterval { 100 }; ///< Least time between two appends while busy.
    std::chrono::milliseconds addressCacheTtl { 10000 }; ///< How long callers may keep an address answer.
    std::chrono::milliseconds drainTimeout { 120000 };
    std::chrono::milliseconds drainNotice { 1000 }; ///< Time between leaving and the end of new work.
    uint32_t queueLimit = 256; ///< Waiting requests for one model.
    double retryShare = 0.1; ///< Retries allowed per first try.
    std::chrono::milliseconds streamIdleTimeout { 1500 }; ///< Longest gap in a stream before it is resumed.
    uint64_t recordsPerSnapshot = 2000; ///< Records between snapshots.
    std::chrono::milliseconds snapshotInterval { 600000 }; ///< Longest time between snapshots; well below the log's retention.
    std::chrono::milliseconds keyRetention { 6 * 3600 * 1000 }; ///< How long an idempotency key is remembered.
    transport::LogLevel logLevel = transport::LogLevel::Info;
    std::vector<transport::PartLevel> partLevels;
};

/// Parses and checks a settings file.
/// @return the settings, or every fault found.
Result<NodeSettings, std::vector<ConfigError>> parseNodeSettings(std::string_view file, std::string_view text);

// ---------------------------------------------------------------- log records

/// Position of a record in a log stream.
using Offset = uint64_t;
/// A session's number: the offset of the record that opened it.
using SessionId = uint64_t;
/// Marks "no offset" and "no session".
constexpr uint64_t invalidOffset = UINT64_MAX;

/// Unique id of one record, chosen by its writer.
struct RecordId {
    uint64_t high = 0;
    uint64_t low = 0;
    auto operator<=>(const RecordId&) const = default;
};

/// Makes a random id.
RecordId makeRecordId();

/// Hash of an `Idempotency-Key` together with its plain service.
struct ActionKey {
    uint64_t high = 0;
    uint64_t low = 0;
    auto operator<=>(const ActionKey&) const = default;
};

struct SessionOpen {
    std::string node;
    std::string http;
    std::string rpc;
    std::string dataCentre;
    std::chrono::milliseconds ttl { 0 };
    bool operator==(const SessionOpen&) const = default;
};
struct SessionRenew {
    bool operator==(const SessionRenew&) const = default;
};
/// Ends a silent session. Void if a later record of it stands between `lastSeen` and this one.
struct SessionExpire {
    SessionId session = invalidOffset;
    Offset lastSeen = invalidOffset;
    bool operator==(const SessionExpire&) const = default;
};
struct SessionRelease {
    bool operator==(const SessionRelease&) const = default;
};
struct WorkerDeclared {
    std::string worker;
    std::string endpoint;
    std::string dataCentre;
    uint64_t capacity = 0; ///< Bytes for models and adapters.
    uint64_t incarnation = 0; ///< Changes with each start of the engine.
    bool operator==(const WorkerDeclared&) const = default;
};
struct WorkerGone {
    std::string worker;
    bool operator==(const WorkerGone&) const = default;
};
/// Announces one copy of a load order. The copy is sent only after this is read back as valid.
struct LoadIntent {
    std::string worker;
    std::string item;
    uint64_t bytes = 0;
    uint64_t copy = 0; ///< Unique number of this copy of the order.
    bool operator==(const LoadIntent&) const = default;
};
/// Tells that one copy of a load order can have no further effect, or that the item's residency changed.
struct LoadResolved {
    std::string worker;
    std::string item;
    uint64_t copy = 0; ///< 0 if this is about residency alone.
    bool arrived = false; ///< The engine's report lists the copy; otherwise it was never taken.
    bool loaded = false; ///< The engine reported the item as resident.
    bool operator==(const LoadResolved&) const = default;
};
struct UnloadIntent {
    std::string worker;
    std::string item;
    bool lastCopyAllowed = false; ///< The item is no longer declared.
    bool operator==(const UnloadIntent&) const = default;
};
/// Tells that the engine reported the item as absent after its unload order.
struct UnloadResolved {
    std::string worker;
    std::string item;
    bool operator==(const UnloadResolved&) const = default;
};
struct WorkerRestarted {
    std::string worker;
    uint64_t incarnation = 0;
    bool operator==(const WorkerRestarted&) const = default;
};
struct PlanMove {
    std::string worker;
    std::string item;
    auto operator<=>(const PlanMove&) const = default;
};
struct PlanChange {
    std::vector<PlanMove> adds;
    std::vector<PlanMove> drops;
    std::string reason;
    bool operator==(const PlanChange&) const = default;
};
struct ActionBegin {
    ActionKey key;
    uint64_t requestHash = 0;
    uint64_t token = 0; ///< Random number of this try; only its node knows it.
    bool operator==(const ActionBegin&) const = default;
};
struct ActionEnd {
    ActionKey key;
    uint64_t token = 0; ///< Token of the begin that it ends.
    uint16_t status = 0;
    std::string contentType;
    std::string body;
    bool bodyStored = false;
    bool operator==(const ActionEnd&) const = default;
};
/// Takes back the `ActionBegin` with this token, whose request was refused before any byte was sent.
struct ActionVoid {
    ActionKey key;
    uint64_t token = 0;
    bool operator==(const ActionVoid&) const = default;
};
/// Drops ended keys that began before this offset.
struct ActionsForget {
    Offset before = 0;
    bool operator==(const ActionsForget&) const = default;
};
struct ConfigPublish {
    std::string service;
    std::optional<Offset> base; ///< Offset of the version this change was made against; empty for a new file.
    std::string text;
    std::string author;
    bool remove = false;
    bool operator==(const ConfigPublish&) const = default;
};
struct SnapshotPart {
    Offset upTo = 0; ///< The snapshot holds the effect of every record up to this one.
    uint32_t part = 0;
    uint32_t parts = 1;
    std::string data;
    bool operator==(const SnapshotPart&) const = default;
};

using Entry = std::variant<SessionOpen, SessionRenew, SessionExpire, SessionRelease, WorkerDeclared, WorkerGone, LoadIntent,
    LoadResolved, UnloadIntent, UnloadResolved, WorkerRestarted, PlanChange, ActionBegin, ActionEnd, ActionVoid,
    ActionsForget, ConfigPublish, SnapshotPart>;

/// One record of a log stream: several entries of one writer that take effect together.
struct Envelope {
    RecordId id;
    SessionId session = invalidOffset; ///< Writer's session; `invalidOffset` for operators.
    std::vector<Entry> entries;
    bool operator==(const Envelope&) const = default;
};

/// Why a record could not be read.
enum class RecordError { Truncated,
    TooNew,
    UnknownEntry,
    Invalid,
    Count };

const char* name(RecordError error);

std::string encodeEnvelope(const Envelope& envelope);
Result<Envelope, RecordError> decodeEnvelope(std::string_view bytes);

// ---------------------------------------------------------------- snapshots

struct SessionSnapshot {
    SessionId session = invalidOffset;
    Offset lastSeen = invalidOffset;
    SessionOpen open;
    bool operator==(const SessionSnapshot&) const = default;
};
struct ReservationSnapshot {
    std::string item;
    uint64_t bytes = 0;
    std::vector<uint64_t> openCopies;
    bool loaded = false;
    bool unloading = false;
    uint64_t lastCopy = 0;
    bool operator==(const ReservationSnapshot&) const = default;
};
struct WorkerSnapshot {
    WorkerDeclared declared;
    std::vector<ReservationSnapshot> reservations;
    SessionId owner = invalidOffset;
    Offset ownerSince = invalidOffset;
    bool operator==(const WorkerSnapshot&) const = default;
};
struct ActionSnapshot {
    ActionKey key;
    uint64_t requestHash = 0;
    SessionId session = invalidOffset;
    Offset begin = invalidOffset;
    bool ended = false;
    ActionEnd end;
    uint64_t token = 0;
    bool operator==(const ActionSnapshot&) const = default;
};
struct ServiceSnapshot {
    ConfigPublish publish;
    Offset offset = invalidOffset;
    bool operator==(const ServiceSnapshot&) const = default;
};
/// Whole replayed state of one stream at one offset.
struct Snapshot {
    Offset upTo = 0;
    Offset viewOffset = invalidOffset;
    std::vector<RecordId> seenIds;
    std::vector<SessionSnapshot> sessions;
    std::vector<WorkerSnapshot> workers;
    std::vector<PlanMove> plan;
    std::vector<ActionSnapshot> actions;
    std::vector<ServiceSnapshot> services;
    bool operator==(const Snapshot&) const = default;
};

std::string encodeSnapshot(const Snapshot& snapshot);
Result<Snapshot, RecordError> decodeSnapshot(std::string_view bytes);

// ---------------------------------------------------------------- refusals and retries

/// Whether a refused request ran.
enum class RunState { NotRun,
    Ran,
    Unknown,
    Count };

const char* name(RunState state);

/// Why a request was refused.
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
    NotReady,
    Draining,
    NoLiveCopy,
    QueueFull,
    Late,
    PoisonRequest,
    RetryBudget,
    LogUnavailable,
    SessionLapsed,
    KeyReused,
    OutcomeUnknown,
    EndpointFailed,
    EndpointSilent,
    Count
};

const char* name(RefusalReason reason);
/// HTTP status that goes with `reason`.
unsigned httpStatus(RefusalReason reason);

/// Why a request was sent again.
enum class RetryReason {
    ConnectFailed,
    EngineRefused,
    StreamCut,
    StreamSilent,
    MismatchedResponse,
    Count
};

const char* name(RetryReason reason);

/// One refusal.
struct Refusal {
    RefusalReason reason = RefusalReason::NotReady;
    RunState runState = RunState::NotRun;
    std::chrono::milliseconds retryAfter { 0 }; ///< Zero leaves the field out.
    std::string detail;
};

/// Builds the RFC 9457 problem document for `refusal`.
transport::HttpResponse toResponse(const Refusal& refusal);

// ---------------------------------------------------------------- completions

/// What the system reads of a completion request. The body is passed on unchanged.
struct CompletionRequest {
    std::string model;
    bool stream = false;
    uint32_t maxTokens = 0; ///< 0 if not given.
    uint32_t promptBytes = 0;
    uint64_t prefixHash = 0; ///< Hash of the first bytes of the prompt.
    uint64_t contentHash = 0; ///< Hash of the whole body.
};

enum class CompletionError { BadJson,
    NoModel,
    Count };

Result<CompletionRequest, CompletionError> parseCompletion(std::string_view body);

/// Quotes `text` as a JSON string.
std::string jsonQuote(std::string_view text);

/// Hashes `bytes`; the same on every node.
uint64_t contentHash(std::string_view bytes, uint64_t seed = 0);

// ---------------------------------------------------------------- server-sent events

/// One server-sent event.
struct SseEvent {
    std::string_view raw; ///< The event's bytes with the blank line behind it.
    std::string_view data;
    std::optional<uint64_t> id; ///< Index of the token, from 1.
};

enum class SseError { TooLong,
    Count };

/// Splits a byte stream into events. Buffers one partial event at most.
struct SseParser {
    std::string buffer;
    size_t consumed = 0;
};

/// Adds received bytes.
Result<bool, SseError> feedSse(SseParser& parser, std::string_view bytes);
/// Takes the next whole event; its views stay valid until the next `feedSse`.
bool nextSseEvent(SseParser& parser, SseEvent& event);

// ---------------------------------------------------------------- platform: log service

/// Why an operation on the log did not give a definite answer.
enum class LogError {
    Unavailable, ///< Refused before it took effect.
    NoAnswer, ///< It may have taken effect.
    Invalid, ///< The service's answer made no sense.
    Count
};

const char* name(LogError error);

struct LogRecord {
    Offset offset = 0;
    std::string bytes;
};

/// One read of a stream. The records start at the wanted offset, or at `first` if that is later.
struct LogPage {
    Offset first = 0; ///< Oldest kept offset.
    Offset end = 0; ///< One past the newest offset.
    std::vector<LogRecord> records;
};

/// The platform's log service. A further wire format is one more maker of this struct.
struct LogService {
    /// Appends one record and returns its offset.
    std::function<Result<Offset, LogError>(std::string_view stream, std::string_view bytes)> append;
    /// Reads from `from`, waiting up to `wait` for a record.
    std::function<Result<LogPage, LogError>(std::string_view stream, Offset from, std::chrono::milliseconds wait)> read;
};

/// Log service over HTTP.
LogService makeHttpLog(transport::HttpClient& client, const transport::Endpoint& endpoint);

/// Encodes a page as the HTTP log service sends it.
std::string encodeLogPage(const LogPage& page);
std::optional<LogPage> decodeLogPage(std::string_view bytes);

// ---------------------------------------------------------------- platform: VM list

enum class VmRole { Entry,
    Worker,
    Plain,
    Count };

/// One VM of the platform's list.
struct Vm {
    std::string name;
    transport::Endpoint endpoint;
    std::string dataCentre;
    VmRole role = VmRole::Worker;
    bool leaving = false;
    uint64_t capacity = 0; ///< Bytes of accelerator memory for models; 0 for other roles.
};

/// The platform's VM list.
struct VmListService {
    std::function<Result<std::vector<Vm>, transport::IoError>()> list;
};

VmListService makeHttpVmList(transport::HttpClient& client, const transport::Endpoint& endpoint);

/// Parses the list's JSON form.
std::optional<std::vector<Vm>> parseVmList(std::string_view json);

// ---------------------------------------------------------------- model engines

/// An item that an engine holds.
struct EngineItem {
    std::string item;
    bool loaded = false; ///< False while it is still being loaded.
};

/// An engine's own report; it lags.
struct EngineReport {
    uint64_t incarnation = 0;
    uint64_t capacity = 0;
    uint64_t used = 0;
    std::vector<EngineItem> items;
    std::vector<uint64_t> arrivedCopies; ///< Load orders that reached this incarnation.
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t slots = 0;
    std::chrono::microseconds firstTokenTime { 0 }; ///< Prefill time of an average request.
    std::chrono::microseconds tokenGap { 0 };
};

enum class EngineOrderKind { Load,
    Unload,
    Count };

struct EngineOrder {
    EngineOrderKind kind = EngineOrderKind::Load;
    std::string item;
    uint64_t bytes = 0;
    uint64_t copy = 0;
    uint64_t fence = 0;
};

/// What became of one sent order.
enum class OrderOutcome {
    Accepted, ///< The engine answered that it took the order.
    StaleFence, ///< The engine refused the fencing number.
    NotSent, ///< No byte reached the engine.
    Unknown, ///< No answer came.
    Count
};

/// The engines' control interface.
struct EngineService {
    std::function<Result<EngineReport, transport::IoError>(const transport::Endpoint&)> report;
    std::function<OrderOutcome(const transport::Endpoint&, const EngineOrder&)> order;
};

EngineService makeHttpEngine(transport::HttpClient& client);

std::optional<EngineReport> parseEngineReport(std::string_view json);
std::string toJson(const EngineOrder& order);
std::optional<EngineOrder> parseEngineOrder(std::string_view json);

// ---------------------------------------------------------------- calls between nodes

/// What a news entry tells of.
enum class PeerUpdateKind { Node,
    Worker,
    Demand,
    PoisonRequest,
    Count };

/// Version of a news entry: newer sessions and counters replace older ones.
struct PeerUpdateVersion {
    uint64_t session = 0;
    uint64_t counter = 0;
    auto operator<=>(const PeerUpdateVersion&) const = default;
};

/// Identity of a news entry.
struct PeerUpdateKey {
    PeerUpdateKind kind = PeerUpdateKind::Node;
    std::string name; ///< Node, worker, `node/item` or content hash.
    auto operator<=>(const PeerUpdateKey&) const = default;
};

/// One fact that spreads between nodes without the log. The fields that a kind does not use stay 0.
struct PeerUpdate {
    PeerUpdateKey key;
    PeerUpdateVersion version;
    bool draining = false; ///< Node, worker: leaves.
    uint64_t configOffset = 0; ///< Node: configuration in force.
    uint32_t running = 0; ///< Node, worker: requests now.
    uint32_t waiting = 0; ///< Worker.
    uint32_t slots = 0; ///< Worker.
    std::chrono::microseconds firstTokenTime { 0 }; ///< Worker.
    std::chrono::microseconds tokenGap { 0 }; ///< Worker.
    uint32_t count = 0; ///< Demand: requests in the last interval; suspect: crashes.
};

/// One gossip message.
struct GossipMessage {
    std::string from;
    std::vector<PeerUpdate> updates;
};

/// Replayed state that a node hands to one that starts while the log is down.
struct PeerState {
    std::string config; ///< Encoded snapshot; empty if the node has none.
    std::string region; ///< Encoded snapshot; empty if the node has none.
};

/// Answers calls of other nodes. Runs on the RPC thread and must not block.
struct PeerHandlers {
    std::function<GossipMessage(const GossipMessage&)> gossip;
    std::function<PeerState()> state;
};

/// Cap'n Proto RPC between nodes, on a thread of its own.
class PeerRpc {
public:
    /// Starts the server on `listen`.
    PeerRpc(transport::Endpoint listen, PeerHandlers handlers);
    ~PeerRpc();
    PeerRpc(const PeerRpc&) = delete;
    PeerRpc& operator=(const PeerRpc&) = delete;

    /// Exchanges news with a peer. Must run on a fiber.
    Result<GossipMessage, transport::IoError> gossip(const transport::Endpoint& peer, const GossipMessage& message, std::chrono::milliseconds timeout);
    /// Fetches a peer's replayed state. Must run on a fiber.
    Result<PeerState, transport::IoError> fetchState(const transport::Endpoint& peer, std::chrono::milliseconds timeout);
    /// False if the address could not be bound.
    bool isListening() const;
    /// Bytes of news sent so far, without framing.
    uint64_t gossipBytesSent() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace comfreypier::protocol
