@0xb8f1c9d2a4e07356;
# Calls between entry VMs.

struct VmBeat {
  # What one VM says of itself, and what it heard of others.
  name @0 :Text;
  incarnation @1 :UInt64;
  # Highest revision in force at the sender.
  revision @2 :UInt64;
  leaving @3 :Bool;
  # Hybrid logical clock of the sender, microseconds.
  clock @4 :UInt64;
  # VMs that the sender hears well, so that a cut link is not read as a death.
  heard @5 :List(HeardVm);
}

struct HeardVm {
  name @0 :Text;
  incarnation @1 :UInt64;
  # Milliseconds since the sender last heard it.
  ageMillis @2 :UInt32;
}

struct ConfigText {
  revision @0 :UInt64;
  hash @1 :Text;
  writeId @2 :Text;
  text @3 :Text;
}

# One life of a VM.
struct HolderId {
  # IP and port where its peers reach it.
  address @0 :Text;
  incarnation @1 :UInt64;
}

# Amounts are millionths of a unit, spans are microseconds.
struct QuotaMessage {
  union {
    ask :group {
      tag @0 :UInt64;
      serial @1 :UInt64;
      need @2 :UInt64;
      want @3 :UInt64;
      length @4 :UInt64;
    }
    grant :group {
      tag @5 :UInt64;
      serial @6 :UInt64;
      granted @7 :UInt64;
      retryAfter @8 :UInt64;
    }
    report :group {
      tag @9 :UInt64;
      serial @10 :UInt64;
      spent @11 :UInt64;
      returned @12 :UInt64;
    }
    probe :group {
      serial @13 :UInt64;
      # Absent where the sender asks to be heard itself.
      subject @14 :HolderId;
    }
    echo :group {
      serial @15 :UInt64;
      subject @16 :HolderId;
      silentFor @17 :UInt64;
    }
    leaseAsk :group {
      tag @18 :UInt64;
      serial @19 :UInt64;
      ask @20 :UInt64;
    }
    leaseGrant :group {
      tag @21 :UInt64;
      serial @22 :UInt64;
      ask @23 :UInt64;
      rate @24 :UInt64;
      burst @25 :UInt64;
      tokens @26 :UInt64;
    }
    leaseReturn :group {
      tag @27 :UInt64;
      serial @28 :UInt64;
      rate @29 :UInt64;
      burst @30 :UInt64;
      tokens @31 :UInt64;
    }
    leaseRecall :group {
      tag @32 :UInt64;
    }
  }
}

interface VmPeer {
  # Exchanges heartbeats.
  beat @0 (beat :VmBeat) -> (beat :VmBeat);
  # The accepted file that the callee has in force; empty text where it has none newer.
  config @1 (above :UInt64) -> (config :ConfigText);
  # Messages about allowance, taken in their order.
  quota @3 (from :HolderId, messages :List(QuotaMessage)) -> ();
  # Events after a position in the callee's ring, each as JSON.
  events @2 (after :UInt64, most :UInt32) -> (events :List(Text), next :UInt64, lost :UInt64);
}

# A customer at one VM; all parts are of the customer's limit, 0 to 1.
struct CustomerNeed {
  customer @0 :Text;
  # Requests a second that are asked for there.
  demand @1 :Float32;
  # The part that the VM may use now.
  share @2 :Float32;
  # What it used up in the window.
  used @3 :Float32;
  # What it wants to hold.
  want @4 :Float32;
  # The part that one request takes.
  one @5 :Float32;
  # What a head last told that all VMs held.
  total @6 :Float32;
  # How long that still counts, milliseconds.
  totalLeft @7 :UInt32;
  # The life of that head.
  totalHead @8 :UInt64;
}

# The part of a customer's limit that a VM may use from now on.
struct CustomerShare {
  customer @0 :Text;
  share @1 :Float32;
  # What all VMs together hold.
  total @2 :Float32;
}

# A key of the key space; the value is left out where the caller knows this revision.
struct SpaceKey {
  key @0 :Text;
  revision @1 :UInt64;
  value @2 :Data;
  isKnown @3 :Bool;
}

interface GatewayPeer {
  # What the caller needs, answered with the shares that it may use from now on; one that is leaving
  # uses none any more. `life` differs for each start of the caller's, and of the
  # callee's, process, `ageMs` is how long the
  # caller's has run.
  shares @0 (from :Text, entries :List(CustomerNeed), isLeaving :Bool, life :UInt64, ageMs :UInt32) -> (isHead :Bool, entries :List(CustomerShare), life :UInt64);
  # All keys that the callee knows.
  space @1 (above :UInt64) -> (revision :UInt64, isSettled :Bool, keys :List(SpaceKey));
}
