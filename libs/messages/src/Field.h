#pragma once

namespace masticwall {

/**
 * The keys of the CBOR maps in messages and log records. Numbers are never reused, so
 * that processes of different releases understand each other.
 */
enum class Field : int
{
  Vm = 1, ///< VM's name; in a SuspectCount: the reporter
  Incarnation = 2,
  Sequence = 3,
  Key = 4, ///< digest of a caller and its idempotency key
  Request = 5,
  MadeAtMs = 6, ///< Claim::madeAtMs and ConfigRecord::writtenAtMs
  Claims = 7,
  Releases = 8,
  ClaimStatus = 9,
  Holder = 10,
  Claim = 11,
  Id = 12,
  Operation = 13,
  Preset = 14,
  Section = 15,
  Base = 16, ///< version that a change is based on
  Version = 17,
  Text = 18,
  Sections = 19,
  ActivePreset = 20,
  SwitchVersion = 21,
  Revision = 22,
  Vms = 23,
  State = 24,
  Status = 25,
  Headers = 26,
  Body = 27,
  Name = 28,
  Role = 29,
  Region = 30,
  DataCentre = 31,
  Service = 32,
  Host = 33,
  Port = 34,
  ControlPort = 35,
  OperatorPort = 36,
  Instance = 37,
  Leaving = 38,
  CrashCount = 39,
  Suspects = 40,
  IsSectionsDelta = 41,
  Slots = 42,
  IsWarmingUp = 43,
  AgeMs = 44,
  IsRetained = 45,
  MayWait = 46,
  ReadSequence = 47,
  Removed = 48,
  Capacity = 49,
  Compressed = 50, ///< another map, compressed; the only field of its map
  IsVmsDelta = 51,
  ClearedCount = 52,
  Rank = 53,
  PerSecond = 54,
  Permits = 55, ///< wanted or granted
  NextInMs = 56,
  Era = 57,
  IsLastResort = 58,
  Evacuated = 59, ///< maps of DataCentre and, if not 0, KeptForMs
  Tenant = 60,
  Returned = 61, ///< permits that were not used
  KeptForMs = 62,
  Tenants = 63,
  Ahead = 64, ///< permits for calls that are expected
  IsRelayed = 65,
  IsKnown = 66,
  RetryAfterMs = 67,
};

} // namespace masticwall
