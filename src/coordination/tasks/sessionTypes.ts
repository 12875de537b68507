import type { Placement } from '../placement/types.js'
import type { CoordinatorTerm } from './exchange.js'
import type { TaskFilter, TaskView } from './table.js'

export type SessionPhase = 'claiming' | 'recovering' | 'active' | 'ended'

/** One host's coordination of the zone in one term. */
export interface Session {
  readonly term: CoordinatorTerm
  getPhase (): SessionPhase
  /** It holds the lease at this moment. */
  isActive (): boolean
  getLeaseDeadline (): number
  listTasks (filter: TaskFilter): TaskView[]
  getTask (id: string): TaskView | undefined
  countTasks (): number
  drainWorker (worker: string, active: boolean): boolean
  countWorkers (): { up: number, known: number }
  getPlacement (): Placement | undefined
  /** Records everything that is known, releases the lease on every worker and ends. */
  release (): Promise<void>
  stop (): void
}
