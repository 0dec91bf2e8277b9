@0xd2f0a7c35b9e4417;
# RPC interface between the daemons on the entry VMs.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("comfreypier::protocol::wire");

# A state update (PeerUpdate in protocol.h).
struct News {
  kind @0 :UInt8;  # Value of PeerUpdateKind.
  name @1 :Text;
  session @2 :UInt64;
  counter @3 :UInt64;
  draining @4 :Bool;
  configOffset @5 :UInt64;
  running @6 :UInt16;
  waiting @7 :UInt16;
  slots @8 :UInt16;
  firstTokenUs @9 :UInt32;
  tokenGapUs @10 :UInt32;
  count @11 :UInt32;
}

# A gossip message (GossipMessage in protocol.h).
struct Gossip {
  from @0 :Text;
  news @1 :List(News);
}

# Encoded snapshots of replayed state (PeerState in protocol.h).
struct State {
  config @0 :Data;
  region @1 :Data;
}

# Calls that a node accepts (PeerHandlers in protocol.h).
interface Peer {
  gossip @0 (message :Gossip) -> (reply :Gossip);
  fetchState @1 () -> (state :State);
}
