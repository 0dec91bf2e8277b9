@0xb7d1c4a90f3e5a21;
# Wire format of log records and snapshots, version 1. Fields may be added, but never changed or removed.
# The structs of the same names in protocol.h explain the fields; ...State is called ...Snapshot there.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("comfreypier::protocol::wire");

struct Envelope {
  version @0 :UInt16;
  idHigh @1 :UInt64;
  idLow @2 :UInt64;
  session @3 :UInt64;
  entries @4 :List(Entry);
}

struct Entry {
  union {
    sessionOpen @0 :SessionOpen;
    sessionRenew @1 :Void;
    sessionExpire @2 :SessionExpire;
    sessionRelease @3 :Void;
    workerDeclared @4 :WorkerDeclared;
    workerGone @5 :Text;
    loadIntent @6 :LoadIntent;
    loadResolved @7 :LoadResolved;
    unloadIntent @8 :UnloadIntent;
    unloadResolved @9 :UnloadResolved;
    workerRestarted @10 :WorkerRestarted;
    planChange @11 :PlanChange;
    actionBegin @12 :ActionBegin;
    actionEnd @13 :ActionEnd;
    actionVoid @14 :ActionVoid;
    actionsForget @15 :UInt64;
    configPublish @16 :ConfigPublish;
    snapshotPart @17 :SnapshotPart;
  }
}

struct SessionOpen {
  node @0 :Text;
  http @1 :Text;
  rpc @2 :Text;
  dataCentre @3 :Text;
  ttlMs @4 :UInt32;
}

struct SessionExpire {
  session @0 :UInt64;
  lastSeen @1 :UInt64;
}

struct WorkerDeclared {
  worker @0 :Text;
  endpoint @1 :Text;
  dataCentre @2 :Text;
  capacity @3 :UInt64;
  incarnation @4 :UInt64;
}

struct LoadIntent {
  worker @0 :Text;
  item @1 :Text;
  bytes @2 :UInt64;
  copy @3 :UInt64;
}

struct LoadResolved {
  worker @0 :Text;
  item @1 :Text;
  copy @2 :UInt64;
  loaded @3 :Bool;
  arrived @4 :Bool;
}

struct UnloadIntent {
  worker @0 :Text;
  item @1 :Text;
  lastCopyAllowed @2 :Bool;
}

struct UnloadResolved {
  worker @0 :Text;
  item @1 :Text;
}

struct WorkerRestarted {
  worker @0 :Text;
  incarnation @1 :UInt64;
}

struct PlanMove {
  worker @0 :Text;
  item @1 :Text;
}

struct PlanChange {
  adds @0 :List(PlanMove);
  drops @1 :List(PlanMove);
  reason @2 :Text;
}

struct ActionBegin {
  keyHigh @0 :UInt64;
  keyLow @1 :UInt64;
  requestHash @2 :UInt64;
  token @3 :UInt64;
}

struct ActionEnd {
  keyHigh @0 :UInt64;
  keyLow @1 :UInt64;
  token @2 :UInt64;
  status @3 :UInt16;
  contentType @4 :Text;
  body @5 :Data;
  bodyKept @6 :Bool;  # ActionEnd::bodyStored in protocol.h.
}

struct ActionVoid {
  keyHigh @0 :UInt64;
  keyLow @1 :UInt64;
  token @2 :UInt64;
}

struct ConfigPublish {
  service @0 :Text;
  base @1 :UInt64;  # Valid if `based` is set.
  text @2 :Text;
  author @3 :Text;
  remove @4 :Bool;
  based @5 :Bool;
}

struct SnapshotPart {
  upTo @0 :UInt64;
  part @1 :UInt32;
  parts @2 :UInt32;
  data @3 :Data;
}

struct Snapshot {
  upTo @0 :UInt64;
  seenIds @1 :List(UInt64);  # Two numbers for each id: high, low.
  sessions @2 :List(SessionState);
  workers @3 :List(WorkerState);
  plan @4 :List(PlanMove);
  actions @5 :List(ActionState);
  services @6 :List(ServiceState);
  viewOffset @7 :UInt64;
}

struct SessionState {
  session @0 :UInt64;
  lastSeen @1 :UInt64;
  open @2 :SessionOpen;
}

struct WorkerState {
  declared @0 :WorkerDeclared;
  reservations @1 :List(ReservationState);
  owner @2 :UInt64;
  ownerSince @3 :UInt64;
}

struct ReservationState {
  item @0 :Text;
  bytes @1 :UInt64;
  openCopies @2 :List(UInt64);
  loaded @3 :Bool;
  unloading @4 :Bool;
  lastCopy @5 :UInt64;
}

struct ActionState {
  keyHigh @0 :UInt64;
  keyLow @1 :UInt64;
  requestHash @2 :UInt64;
  session @3 :UInt64;
  begin @4 :UInt64;
  ended @5 :Bool;
  end @6 :ActionEnd;
  token @7 :UInt64;
}

struct ServiceState {
  publish @0 :ConfigPublish;
  offset @1 :UInt64;
}
