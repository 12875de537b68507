import type { Entry } from '../state/index.js'

/** Creates an entry with realistic content, for tests and benchmarks, as the functions below do. */
export function createMemberEntry (id: string, requestId?: string): Entry {
  const quota = { cores: 8, memoryBytes: 1e9, accelerators: 0 }
  return { kind: 'member.put', requestId, member: { id, tokenHash: '0'.repeat(64), quota, weight: 1 } }
}

/** The member of the job is `parish`. */
export function createJobEntry (id: string, requestId?: string, command = 'match catalogue'): Entry {
  const size = { cores: 1, memoryBytes: 1e9, accelerators: 0 }
  return {
    kind: 'job.create',
    requestId,
    job: { id, member: 'parish', jobClass: 'match', size, tasks: 10, expectedRunMs: 60_000, urgent: false, idempotent: true, command },
    zones: [{ availabilityZone: 'almendral', tasks: 10 }],
    wallTime: 1
  }
}

export function createWorkerEntry (id: string): Entry {
  const capacity = { cores: 32, memoryBytes: 125e9, accelerators: 0 }
  return { kind: 'worker.register', worker: { id, availabilityZone: 'almendral', rack: 'rack-1', capacity, url: '' } }
}
