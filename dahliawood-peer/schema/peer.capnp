@0xb8f1c9d2a4e07356;
# RPC between entry VMs.

struct VmBeat {
  # A heartbeat: the state of the sender, and the VMs that it hears.
  name @0 :Text;
  incarnation @1 :UInt64;
  # Highest configuration revision in force at the sender.
  revision @2 :UInt64;
  leaving @3 :Bool;
  # Hybrid logical clock of the sender, in microseconds.
  clock @4 :UInt64;
  # VMs from which the sender receives heartbeats, so that a failed link is not mistaken for a
  # failed VM.
  heard @5 :List(HeardVm);
}

struct HeardVm {
  name @0 :Text;
  incarnation @1 :UInt64;
  # Milliseconds since the sender last heard the VM.
  ageMillis @2 :UInt32;
}

struct ConfigText {
  revision @0 :UInt64;
  hash @1 :Text;
  writeId @2 :Text;
  text @3 :Text;
}

# One incarnation of a VM.
struct HolderId {
  # IP address and port at which other VMs reach it.
  address @0 :Text;
  incarnation @1 :UInt64;
}

# Amounts are in millionths of a unit, durations in microseconds.
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
      # Absent if the sender asks for proof of its own liveness.
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
  # Returns the accepted file in force at the callee; the text is empty if its revision is not
  # above `above`.
  config @1 (above :UInt64) -> (config :ConfigText);
  # Delivers quota messages, which the callee processes in their order.
  quota @3 (from :HolderId, messages :List(QuotaMessage)) -> ();
  # Returns events after a position in the callee's ring buffer, each as JSON.
  events @2 (after :UInt64, most :UInt32) -> (events :List(Text), next :UInt64, lost :UInt64);
}

# What one customer uses and needs at one VM; all shares are fractions of the customer's limit,
# 0 to 1.
struct CustomerNeed {
  customer @0 :Text;
  # Requests per second that arrive at the VM.
  demand @1 :Float32;
  # The share that is allocated to the VM now.
  share @2 :Float32;
  # The share that the VM used up in the current window.
  used @3 :Float32;
  # The share that the VM requests.
  want @4 :Float32;
  # The share that one request consumes.
  one @5 :Float32;
  # The sum of all VMs' shares, as a coordinator last reported it.
  total @6 :Float32;
  # How long that sum stays valid, in milliseconds.
  totalLeft @7 :UInt32;
  # The incarnation of that coordinator.
  totalHead @8 :UInt64;
  # How long ago the VM asked for that sum, in milliseconds, and 1; 0 from VMs that only tell `totalLeft`.
  totalAge @9 :UInt32;
}

# The share of a customer's limit that a VM may use from now on.
struct CustomerShare {
  customer @0 :Text;
  share @1 :Float32;
  # The sum of all VMs' shares.
  total @2 :Float32;
}

# A key of the key space; the value is left out if the caller already knows this revision.
struct SpaceKey {
  key @0 :Text;
  revision @1 :UInt64;
  value @2 :Data;
  isKnown @3 :Bool;
  # Not 0 if a value of this many bytes is left out, to be fetched in parts.
  leftOut @4 :UInt32;
}

# A change of a key of the key space: a write, or a removal.
struct SpaceChange {
  key @0 :Text;
  revision @1 :UInt64;
  value @2 :Data;
  isGone @3 :Bool;
  # Not 0 if a value of this many bytes is left out, to be fetched in parts.
  leftOut @4 :UInt32;
}

# What a VM saw of a request that may crash targets, or of a target's process.
struct Sighting {
  kind @0 :SightingKind;
  # The request's identity; absent for a process.
  identityHigh @1 :UInt64;
  identityLow @2 :UInt64;
  # Hash of the target's process; absent for a completion.
  process @3 :UInt64;
  # How long ago the request was sent to the process, in milliseconds; only for a crash.
  sentAgoMs @4 :UInt32;
  # How long ago it was seen, in milliseconds.
  seenAgoMs @5 :UInt32;
}

enum SightingKind {
  # A process ended while a request was in flight there.
  crash @0;
  # A request completed.
  completion @1;
  # A process is gone.
  processGone @2;
}

# The load that a target reported to some VM. 16 bytes: hundreds of them pass in a call.
struct LoadEntry {
  # Hash of the target's process.
  process @0 :UInt64;
  running @1 :UInt8;
  slots @2 :UInt8;
  waiting @3 :UInt16;
  # How long ago the report was made, at the latest, when this was sent; milliseconds.
  ageMs @4 :UInt16;
  # How long work takes at the target, in hundredths of the usual time; 0 if it did not say.
  pace @5 :UInt16;
}

# The latest span in which the store is known to have answered anybody without a pause in which leases could
# end. Times are relative, because clocks of VMs do not agree.
struct AnswerSpan {
  # Whether the callee knows of an answer; if not, the rest is empty.
  isKnown @0 :Bool;
  # How long before this response the first answer was.
  sinceMs @1 :UInt32;
  # Time from the arrival of the call until the last answer, negative if that was before it.
  untilOffsetMs @2 :Int32;
  # Whether there was a pause before the span in which leases could end.
  isAfterOutage @3 :Bool;
}

interface GatewayPeer {
  # Reports what the caller needs and returns the shares that it may use from now on; a caller that
  # is leaving no longer uses any. `isHead` tells whether the callee is the coordinator. `life` is
  # the incarnation of the caller, and of the callee in the response: different for each start of
  # its process. `ageMs` is how long the caller's process has run, in milliseconds. If the caller
  # `wantsTable`, the response `hasTable`, the sums over all VMs of all customers, unless the callee
  # may not know them all. The caller `hasTable` of the latest coordinator before: its sums that still
  # count are among the entries. It `hasAbsent` VMs that it does not find on the list any more, and that
  # may be cut off.
  shares @0 (from :Text, entries :List(CustomerNeed), isLeaving :Bool, life :UInt64, ageMs :UInt32, wantsTable :Bool, hasTable :Bool, hasAbsent :Bool) -> (isHead :Bool, entries :List(CustomerShare), life :UInt64, hasTable :Bool, table :List(CustomerShare));
  # Returns all keys that the callee knows, without the values of keys last written at or below
  # revision `above`. The date is that of the callee's copy, as in `changes`. Long values are left out
  # if the caller `takesParts`.
  space @1 (above :UInt64, takesParts :Bool) -> (revision :UInt64, isSettled :Bool, keys :List(SpaceKey), isDated :Bool, dateOffsetMs :Int32, dateStamp :UInt64, answers :AnswerSpan);
  # Returns the changes after revision `after` as soon as there are any, or none after `waitMs`
  # milliseconds. `isCurrent` tells whether the callee's copy follows the store at this time; if
  # not, the rest is empty. `isTooOld` tells that the callee does not have all changes since
  # `after`. Removals of leased keys are to be held back for another `settlesInMs` milliseconds.
  # If `isDated`, the callee's copy had all changes `dateOffsetMs` milliseconds after the call arrived,
  # or before it if negative; `dateStamp` is the same time by the callee's clock. If the caller sends
  # the stamp that it was told last, or 1, a later date is news too, as changes are; 0 if dates are not
  # news to it. Long values are left out if the caller `takesParts`.
  changes @2 (after :UInt64, waitMs :UInt32, knownStamp :UInt64, takesParts :Bool) -> (isCurrent :Bool, isTooOld :Bool, revision :UInt64, settlesInMs :UInt32, changes :List(SpaceChange), isDated :Bool, dateOffsetMs :Int32, dateStamp :UInt64, answers :AnswerSpan);
  # Tells the callee what the caller has seen or heard lately, and returns the same of the callee; all
  # that it remembers of crashes if the caller `isNew`, that is, has just started.
  sightings @3 (isNew :Bool, entries :List(Sighting)) -> (entries :List(Sighting));
  # Tells a collector the loads that the caller has seen lately, and returns those that the collector
  # has learned since position `after` of its log. `caller` is the hash of the caller's name;
  # `isCollector` tells that the caller collects for another region, which gets no entries in return.
  # `life` is the callee's incarnation: in the request the one to which `after` and `clock` belong, 0
  # if there is none. `clock` is a reading of the callee's clock, in microseconds: in the request the
  # one of its last response plus the time since that arrived, so that the callee knows for how long
  # the request was under way. `isServing` tells whether the callee collects; if not, the rest is
  # empty.
  loads @4 (caller :UInt64, isCollector :Bool, life :UInt64, after :UInt64, clock :UInt64, entries :List(LoadEntry)) -> (isServing :Bool, life :UInt64, next :UInt64, clock :UInt64, entries :List(LoadEntry));
  # Returns up to `most` bytes from `offset` on of the value that `key` had at `revision`, compressed as a
  # zlib stream of `length` bytes in all; nothing if the callee does not have it any more.
  part @5 (key :Text, revision :UInt64, offset :UInt32, most :UInt32) -> (length :UInt32, data :Data);
}

struct HeaderField {
  name @0 :Text;
  value @1 :Data;
}

# A request of a caller that the sender cannot send to any target itself. Its route, customer and limit
# have been checked.
struct ForwardedRequest {
  # Name of the sender.
  from @0 :Text;
  method @1 :Text;
  target @2 :Text;
  fields @3 :List(HeaderField);
  body @4 :Data;
  # Version of the configuration by which it was routed, and the service that this gave.
  version @5 :UInt64;
  service @6 :Text;
  # Name of the customer, empty if the route needs none.
  customer @7 :Text;
  # Time since it arrived, and until its deadline, in milliseconds.
  spentMs @8 :UInt32;
  leftMs @9 :UInt32;
  # Targets to which it may still be sent.
  triesLeft @10 :UInt32;
  # Whether it was sent to a target before.
  isRetry @11 :Bool;
}

enum ForwardRefusal {
  # The callee reaches no target either, or is shutting down.
  unreachable @0;
  # The callee has an older configuration, or no such route or customer.
  outdated @1;
  # The callee works on too many requests of other VMs.
  overloaded @2;
  # No target would start to run it in time.
  busy @3;
  # No target may serve it.
  noTarget @4;
  # It crashes targets.
  quarantined @5;
  # A target may have run it, but gave no complete response.
  targetFailed @6;
  # A target may have run it, but did not respond before the deadline.
  targetTimeout @7;
}

struct ForwardOutcome {
  union {
    answered :group {
      status @0 :UInt16;
      fields @1 :List(HeaderField);
      body @2 :Data;
      # Id of the target that gave the response.
      targetId @3 :Text;
    }
    refused :group {
      cause @4 :ForwardRefusal;
      retryAfterMs @5 :UInt32;
    }
  }
}

interface RequestForwarder {
  # Sends a request to a target and returns the target's response. Dropping the call cancels the
  # request.
  forward @0 (request :ForwardedRequest) -> (outcome :ForwardOutcome);
}
