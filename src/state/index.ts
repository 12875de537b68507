export {
  applyEntry, createAgreedState, DEFAULT_PRESETS, findOwner, listOpenTasks,
  type Acceptance, type AgreedState, type Configuration, type JobRecord, type Outcome, type Rejection, type ZoneAuthority
} from './agreedState.js'
export { createMemoryJournalStore, openFileJournalStore, type FileJournalStore, type JournalStore, type JournalStoreFailure } from './journalStore.js'
export { type AgreedLog, type Applied, type LogFailure, type LogRole, type LogStatus } from './agreedLog.js'
export {
  configurationChangeSchema, entrySchema, hostSchema, identifierSchema, jobSchema, memberSchema, policySchema,
  resourcesSchema, serviceSchema, taskOutcomeSchema, workerSchema,
  type ConfigurationChange, type Entry, type EntryKind, type Host, type Job, type Member, type Policy, type Resources,
  type Service, type TaskOutcome, type Worker
} from './schemas.js'
