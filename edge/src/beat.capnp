@0xc41d8a7f2be05963;
# Heartbeat datagrams between the entry VMs, and the member record that each VM publishes about itself.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("comfreypier::edge::wire");

struct Member {
  incarnation @0 :UInt64;
  inner @1 :Text;
  front @2 :Text;
  dataCentre @3 :Text;
  capacity @4 :Float32;
}

struct Load {
  worker @0 :UInt32;
  prefillTokens @1 :UInt32;
  memoryTokens @2 :UInt32;
  requests @3 :UInt16;
}

# A prompt prefix that a VM has just sent to a worker. `chain` is the hash of the prefix.
struct Sent {
  worker @0 :UInt32;
  chain @1 :UInt64;
  tokens @2 :UInt32;
}

struct Demand {
  model @0 :Text;
  work @1 :Float32;
}

# A missing adapter on a worker or, without a worker, a model that no worker holds. Also names an adapter in use.
struct Want {
  worker @0 :Text;
  model @1 :Text;
  adapter @2 :Text;
}

struct Resident {
  worker @0 :Text;
  items @1 :List(Text);
}

# No longer sent: `CrashReport` replaces it.
struct Suspect {
  content @0 :UInt64;
  crashes @1 :UInt8;
}

# A worker crashed while it ran a request with this cause. `kind` 0 is the content of a request, 1 a part of a prompt.
struct CrashReport {
  kind @0 :UInt8;
  cause @1 :UInt64;
  crash @2 :UInt64;
  ageMs @3 :UInt32;
  cleared @4 :Bool;
  answeredBefore @5 :Bool;
}

# Requests per second that a worker takes from all VMs together, or 0 if it no longer names a limit. `worker` stands for its id and start.
struct Limit {
  worker @0 :UInt64;
  limit @1 :Float64;
  ageMs @2 :UInt32;
}

# Recent outcomes of a worker. `answered` counts all outcomes, failures included.
struct Outcome {
  worker @0 :UInt32;
  failed @1 :Float32;
  answered @2 :Float32;
}

# A forwarded record of the worker stream.
struct Entry {
  worker @0 :Text;
  value @1 :Data;
  offset @2 :UInt64;
  number @3 :UInt64;
  era @4 :UInt64;
  fromCopy @5 :Bool;
}

# Asks the receiver to charge a request. `number` is unique over all VMs and starts.
struct QuotaAsk {
  account @0 :Text;
  number @1 :UInt64;
  cost @2 :Float64;
}

# Answers a `QuotaAsk`. `outcome` is a value of `accounts::ChargeOutcome`.
struct QuotaAnswer {
  number @0 :UInt64;
  outcome @1 :UInt8;
  retryAfterMs @2 :UInt32;
}

# See `accounts::LevelReport`. Times are in nanoseconds.
struct QuotaLevel {
  account @0 :Text;
  known @1 :Bool;
  level @2 :Float64;
  charged @3 :Float64;
  seen @4 :Float64;
  sentAt @5 :Int64;
  answers @6 :Int64;
  wantsAnswer @7 :Bool;
  receiver @8 :UInt64;
}

# A heartbeat. `heartbeat_codec.h` describes the fields. Some have other names there: `number` is `sequence`, `leaving` `draining`,
# `strained` `overloaded`, `sent` `sentPrefixes`, `wants` `missingItems`, `used` `usedAdapters`, `entries` `forwardedEntries`,
# `crashes` `crashReports`, `limits` `limitReports` and `leavingWorkers` `leaveReports`. The four about quotas make up `quota`. `leaseOffset` and `leaseEra` make up
# `leasePosition`.
struct Beat {
  node @0 :Text;
  incarnation @1 :UInt64;
  number @2 :UInt64;
  ready @3 :Bool;
  leaving @4 :Bool;
  leaseToken @5 :UInt64;
  loads @6 :List(Load);
  sent @7 :List(Sent);
  demand @8 :List(Demand);
  wants @9 :List(Want);
  resident @10 :List(Resident);
  suspects @11 :List(Suspect);
  configVersion @12 :UInt64;
  used @13 :List(Want);
  leaseOffset @14 :UInt64;
  readsWorkers @15 :Bool;
  entries @16 :List(Entry);
  partial @17 :Bool;
  strained @18 :Bool;
  outcomes @19 :List(Outcome);
  forwardedCount @20 :UInt64;
  summaryOf @21 :Text;
  relayed @22 :Bool;
  crashes @23 :List(CrashReport);
  limits @24 :List(Limit);
  leavingWorkers @25 :List(UInt64); # Stand for id and start, as in `Limit`.
  storeEra @26 :UInt64;
  leaseEra @27 :UInt64;
  quotaAsks @28 :List(QuotaAsk);
  quotaAnswers @29 :List(QuotaAnswer);
  quotaLevels @30 :List(QuotaLevel);
  quotaReturns @31 :List(UInt64); # Numbers of asks whose charge is given back.
  readsConfiguration @32 :Bool;
  member @33 :Data; # The sender's member record.
}
