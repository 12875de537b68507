export {
  applyEntry, createReplicatedState, DEFAULT_PRESETS, findOwningZone, listUnfinishedTasks,
  type Acceptance, type ReplicatedState, type Configuration, type JobRecord, type EntryOutcome, type Rejection, type ZoneAuthority
} from './replicatedState.js'
export { createMemoryJournalStore, openFileJournalStore, type FileJournalStore, type JournalStore, type JournalStoreFailure } from './journalStore.js'
export { type ReplicatedLog, type AppliedEntry, type LogFailure, type LogRole, type LogStatus } from './replicatedLog.js'
export {
  configurationChangeSchema, entrySchema, hostSchema, identifierSchema, jobSchema, memberSchema, policySchema,
  resourcesSchema, serviceSchema, taskOutcomeSchema, workerSchema,
  type ConfigurationChange, type Entry, type EntryKind, type Host, type Job, type Member, type Policy, type Resources,
  type Service, type TaskOutcome, type Worker
} from './schemas.js'
export { findIn } from './tables.js'
export { openDisk, type Disk, type DiskFailure } from './disk/index.js'
export {
  describeStoreFailure, openLogStore,
  type HardState, type LoadedLog, type LogStore, type OpenStoreOptions, type StoredEntry, type StoredSnapshot, type StoreFailure
} from './logStore/index.js'
export {
  checkEntry, createReplica, ELECTION_MAX_MS, ELECTION_MIN_MS, HEARTBEAT_MS, MAX_CHUNK_BYTES, MAX_ENTRY_BYTES, MAX_VOTERS,
  type CreateReplicaOptions, type LogLimits, type MembershipFailure, type Replica, type ReplicaFailure, type Voter
} from './replica/index.js'
export * from './workflows/index.js'
