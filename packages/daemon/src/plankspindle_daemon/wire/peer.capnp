@0xd3c1f0a58b7e4926;

# Messages between entry VMs. Fields are only ever added, never renumbered, so that
# processes of different versions understand each other.

enum Readiness {
  starting @0;
  ready @1;
  overloaded @2;
  leaving @3;
  left @4;
}

struct Heartbeat {
  incarnation @0 :UInt64;
  sequence @1 :UInt64;
  failureDomain @2 :Text;
  callerEndpoint @3 :Text;
  peerEndpoint @4 :Text;
  readiness @5 :Readiness;
  viewDigest @6 :UInt64;
  overShare @7 :List(Text);
  configurationVersion @8 :UInt64;
  headReadAgoMs @9 :UInt32;
  silentUpstreams @10 :List(Text);
  silentIncarnations @11 :List(UInt64);
  isWatched @12 :Bool;
  quarantineDigest @13 :UInt64;
  configurationRevision @14 :UInt64;
  configurationEra @15 :UInt32;
  isCutOff @16 :Bool;
}

struct SlotRequest {
  requestId @0 :UInt64;
  upstream @1 :Text;
  count @2 :UInt16;
  durationMs @3 :UInt32;
  incarnation @4 :UInt64;
}

struct SlotGrant {
  requestId @0 :UInt64;
  upstream @1 :Text;
  count @2 :UInt16;
  durationMs @3 :UInt32;
  borrowerIncarnation @4 :UInt64;
}

struct HeadroomRequest {
  requestId @0 :UInt64;
  service @1 :Text;
  count @2 :UInt16;
  durationMs @3 :UInt32;
  incarnation @4 :UInt64;
}

struct HeadroomGrant {
  requestId @0 :UInt64;
  service @1 :Text;
  count @2 :UInt16;
  durationMs @3 :UInt32;
  holderIncarnation @4 :UInt64;
}

struct ServiceLoad {
  service @0 :Text;
  capacity @1 :UInt32;
  inFlight @2 :UInt32;
  queued @3 :UInt32;
}

struct LoadDigest {
  failureDomain @0 :Text;
  configurationVersion @1 :UInt64;
  loads @2 :List(ServiceLoad);
  configurationRevision @3 :UInt64;
  configurationEra @4 :UInt32;
}

struct ContentRequest {
  version @0 :UInt64;
  offset @1 :UInt32;
  revision @2 :UInt64;
  era @3 :UInt32;
}

struct ContentChunk {
  version @0 :UInt64;
  digest @1 :Text;
  offset @2 :UInt32;
  total @3 :UInt32;
  data @4 :Data;
  revision @5 :UInt64;
  era @6 :UInt32;
}

struct ToldUpstream {
  name @0 :Text;
  service @1 :Text;
  failureDomain @2 :Text;
  endpoint @3 :Text;
  slots @4 :UInt16;
  leaving @5 :Bool;
  coldMs @6 :UInt32;
  incarnation @7 :UInt64;
  sequence @8 :UInt64;
  softwareVersion @9 :Text;
}

struct ListNews {
  bases @0 :List(UInt64);
  version @1 :UInt64;
  listAgeMs @2 :UInt32;
  configurationAgeMs @3 :UInt32;
  configurationVersion @4 :UInt64;
  afterGap @5 :Bool;
  changed @6 :List(ToldUpstream);
  gone @7 :List(Text);
  keepMs @8 :UInt32;
  part @9 :UInt16;
  parts @10 :UInt16 = 1;
  listEra @11 :UInt32;
  configurationRevision @12 :UInt64;
  configurationEra @13 :UInt32;
  baseEra @14 :UInt32;
}

struct Suspect {
  name @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
}

struct Suspicion {
  suspects @0 :List(Suspect);
}

struct CrashReport {
  identity @0 :UInt64;
  life @1 :Text;
  agoMs @2 :UInt64;
}

struct Quarantined {
  identity @0 :UInt64;
  agoMs @1 :UInt64;
  trials @2 :UInt16;
  lives @3 :List(Text);
}

struct Clearance {
  identity @0 :UInt64;
  agoMs @1 :UInt64;
}

struct CrashNews {
  reports @0 :List(CrashReport);
  watched @1 :List(UInt64);
  quarantined @2 :List(Quarantined);
  cleared @3 :List(Clearance);
  suspected @4 :List(UInt64);
}

struct ShareClaim {
  incarnation @0 :UInt64;
  sentMs @1 :UInt64;
  shards @2 :List(UInt8);
  fleetSize @3 :UInt32;
}

struct ShareLease {
  claimIncarnation @0 :UInt64;
  claimSentMs @1 :UInt64;
  shards @2 :List(UInt8);
  fleetSize @3 :UInt32;
  idleMs @4 :List(UInt32);
}

struct TokenRequest {
  requestId @0 :UInt64;
  workspace @1 :Text;
  count @2 :UInt32;
  limitPerS @3 :Float64 = -1;
  heardAgoMs @4 :UInt64;
}

struct TokenGrant {
  requestId @0 :UInt64;
  workspace @1 :Text;
  count @2 :UInt32;
  retryAfterMs @3 :UInt32;
  hasShare @4 :Bool;
  isOfLimit @5 :Bool;
}

struct LimitNews {
  life @0 :Text;
  limitPerS @1 :Float64;
  isSilent @2 :Bool;
  number @3 :UInt64;
  agoMs @4 :UInt64;
}

struct LimitQuestion {
  life @0 :Text;
  agoMs @1 :UInt64;
}

struct VersionOutcomes {
  operation @0 :Text;
  failureDomain @1 :Text;
  baselineAnswers @2 :UInt64;
  baselineBad @3 :UInt64;
  targetAnswers @4 :UInt64;
  targetBad @5 :UInt64;
}

struct UpstreamOutcomes {
  operation @0 :Text;
  upstream @1 :Text;
  answers @2 :UInt64;
  bad @3 :UInt64;
}

struct RolloutReport {
  incarnation @0 :UInt64;
  failureDomain @1 :Text;
  isOfDomain @2 :Bool;
  service @3 :Text;
  order @4 :UInt64;
  stage @5 :Text;
  vms @6 :UInt32;
  emptiedVms @7 :UInt32;
  requests @8 :UInt64;
  exposed @9 :UInt64;
  outcomes @10 :List(VersionOutcomes);
  badUpstreams @11 :List(UpstreamOutcomes);
}

struct RolloutDirective {
  service @0 :Text;
  order @1 :UInt64;
  stage @2 :Text;
  baselineVersion @3 :Text;
  targetVersion @4 :Text;
  movingMs @5 :UInt32;
  endsInMs @6 :Int32;
  reason @7 :Text;
  canaryShare @8 :Float64;
}

struct PeerMessage {
  sender @0 :Text;
  union {
    heartbeat @1 :Heartbeat;
    slotRequest @2 :SlotRequest;
    slotGrant @3 :SlotGrant;
    headroomRequest @4 :HeadroomRequest;
    headroomGrant @5 :HeadroomGrant;
    loadDigest @6 :LoadDigest;
    contentRequest @7 :ContentRequest;
    contentChunk @8 :ContentChunk;
    listNews @9 :ListNews;
    suspicion @10 :Suspicion;
    crashNews @11 :CrashNews;
    shareClaim @12 :ShareClaim;
    shareLease @13 :ShareLease;
    tokenRequest @14 :TokenRequest;
    tokenGrant @15 :TokenGrant;
    limitNews @16 :LimitNews;
    rolloutReport @17 :RolloutReport;
    rolloutDirective @18 :RolloutDirective;
    limitQuestion @19 :LimitQuestion;
  }
}
