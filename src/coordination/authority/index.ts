export { heartbeatSchema, startSupervisor, type Heartbeat, type Supervisor } from './supervisor.js'
export { CLOCK_RATE_BOUND, compareTerms, formatTerm, GRANT_MS } from './terms.js'
export { createWitnesses, type Witnesses } from './witnesses.js'
