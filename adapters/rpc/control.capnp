# Control messages between nodes (docs/design.md, section 7).
@0xb6e0bc28a2beb136;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("hemlockshelf::wire");

struct Sender {
  vm @0 :Text;
  failureDomain @1 :Text;
  region @2 :Text;
}

struct AcknowledgedUpstream {
  instance @0 :Text;
  startedMs @1 :UInt64;
  # Wall-clock time.
  sequence @2 :UInt64;
  withdrawnUntilMs @3 :UInt64;
  # Wall-clock time up to which its starts have deregistered.
  drained @4 :Bool;
  hasStart @5 :Bool;
  hasSequence @6 :Bool;
  isWithdrawn @7 :Bool;
  # Whether the number is known. Nodes before this field do not set it; their
  # numbers are known unless they are 0.
}

struct MemberRecord {
  vm @0 :Text;
  failureDomain @1 :Text;
  region @2 :Text;
  gateAddress @3 :Text;
  controlAddress @4 :Text;
  incarnation @5 :UInt64;
  sequence @6 :UInt64;
  state @7 :UInt8;
  down @8 :Bool;
  account @9 :Text;
  service @10 :Text;
  slots @11 :UInt32;
  connections @12 :UInt32;
  adminAddress @13 :Text;
  link @14 :UInt64;
  # Bits per second; 0 if it is not known.
  platformLost @15 :Bool;
  platformRoundTripUs @16 :UInt32;
  # Microseconds; 0 if it is not known.
  acknowledged @17 :AcknowledgedUpstream;
  # Null if there is nothing that a restarted node has to know.
  upstreamVersion @18 :Text;
  # Version of the upstream's software; empty if it is not known.
  rollouts @19 :List(RolloutPlan);
  # Plans of the roll-outs that the member leads.
}

struct RolloutPlan {
  service @0 :Text;
  version @1 :Text;
  # Version that the roll-out moves the service's calls to.
  sharePermille @2 :UInt16;
  # Share of the service's calls that the version gets.
  step @3 :UInt8;
  epoch @4 :UInt64;
  # Plans of a service are ordered by epoch, then by step.
}

struct RolloutCounts {
  service @0 :Text;
  route @1 :Text;
  target @2 :Bool;
  # Whether the counts are those of the version that is rolled out.
  answers @3 :UInt64;
  failures @4 :UInt64;
  totalMs @5 :UInt64;
  # Sum of the durations of the answers.
  slow @6 :UInt64;
  # Answers that took longer than the route's target latency.
  inProgress @7 :UInt32;
}

struct TokenRequest {
  account @0 :Text;
  count @1 :UInt32;
}

struct TokenGrant {
  granted @0 :UInt32;
  waitMs @1 :UInt32;
  # Time until the grantor has further tokens; 0 if it granted all.
  unknownAccount @2 :Bool;
  # Whether the grantor's configuration does not have the account.
}

struct Heartbeat {
  sender @0 :Sender;
  incarnation @1 :UInt64;
  revision @2 :UInt64;
  hashHigh @3 :UInt64;
  hashLow @4 :UInt64;
  membershipRoot @5 :UInt64;
  joining @6 :Bool;
  # Asks what the sender acknowledged to its upstream before it started.
  acknowledged @7 :AcknowledgedUpstream;
  # In an answer to a joining node; null if the receiver does not know.
  confirmationAgeMs @8 :UInt32;
  # One more than the age of the sender's confirmation that its accounts are
  # current; 0 if it has none.
  platformEra @9 :UInt64;
  # Latest era of the platform's tables that the sender has heard of; 0 if none.
}

enum Scope {
  global @0;
  region @1;
  domain @2;
}

struct Push {
  sender @0 :Sender;
  scope @1 :Scope;
  origin @2 :Text;
  # Orders the members of the tree.
  seed @3 :UInt64;
  # Positions that the receiver serves, on a ring.
  firstPosition @4 :UInt64;
  positionCount @5 :UInt64;
  # Highest revision of the deltas, or the one that is offered without them.
  revision @6 :UInt64;
  # JSON, a zstd frame if it is long; empty if there are none.
  deltas @7 :Data;
  records @8 :List(MemberRecord);
}

struct Config {
  enum Kind {
    current @0;
    deltas @1;
    snapshot @2;
    busy @3;
  }
  kind @0 :Kind;
  # As the deltas of a push; a snapshot is always a zstd frame.
  payload @1 :Data;
  retryAfterMs @2 :UInt32;
}

interface Control {
  heartbeat @0 (request :Heartbeat) -> (answer :Heartbeat);
  push @1 (request :Push) -> (revision :UInt64);
  fetchConfig @2 (sender :Sender, fromRevision :UInt64, whole :Bool)
      -> (config :Config);
  # `whole` asks for a snapshot, after deltas that could not be applied.
  memberDigest @3 (sender :Sender, buckets :List(UInt64))
      -> (differing :UInt64, records :List(MemberRecord));
  # Bit n of `differing` stands for bucket n.
  probe @4 (sender :Sender, target :Text) -> (reachable :Bool);
  grantTokens @5 (sender :Sender, requests :List(TokenRequest))
      -> (isGrantor :Bool, grants :List(TokenGrant));
  # `grants` has one entry for each request, in the same order.
  reportRollout @6 (sender :Sender, counts :List(RolloutCounts))
      -> (plans :List(RolloutPlan));
  # Counts since the start of the sender; the answer has the receiver's plans.
  lendShare @7 (sender :Sender) -> (lent :Bool);
  # Asks for the receiver's share of the quotas, for 1 s from the question on.
}
