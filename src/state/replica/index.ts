export { createReplica, type CreateReplicaOptions, type Replica } from './replica.js'
export { type ReplicaFailure } from './context.js'
export { type MembershipFailure, type Voter } from './messages.js'
export { ELECTION_MAX_MS, ELECTION_MIN_MS, HEARTBEAT_MS, MAX_CHUNK_BYTES, MAX_ENTRY_BYTES, MAX_VOTERS, type LogLimits } from './timing.js'
