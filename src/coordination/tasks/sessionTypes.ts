import type { Placement } from '../placement/types.js'
import type { CoordinatorTerm } from './exchange.js'
import type { TaskFilter, TaskView } from './table.js'

/**
 * `claiming`: waits until a majority of each witness set has granted the lease. `recovering`: reads the journal of the
 * previous coordinator and waits until its own journal is writable. `active`: handles the workers' replies and starts tasks.
 */
export type SessionPhase = 'claiming' | 'recovering' | 'active' | 'ended'

/** One host's work as coordinator of the zone during one term. */
export interface Session {
  readonly term: CoordinatorTerm
  getPhase (): SessionPhase
  /** The coordinator has recovered the journal and holds its lease at this moment. */
  isActive (): boolean
  getLeaseDeadline (): number
  listTasks (filter: TaskFilter): TaskView[]
  getTask (id: string): TaskView | undefined
  countTasks (): number
  drainWorker (worker: string, active: boolean): boolean
  countWorkers (): { up: number, known: number }
  getPlacement (): Placement | undefined
  /** Waits for pending journal records for a limited time, releases the lease on every worker and ends. */
  release (): Promise<void>
  /** Ends without releasing the lease. */
  stop (): void
}
