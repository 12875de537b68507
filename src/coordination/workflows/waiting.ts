import type { Queue, WorkflowRecord, WorkflowsState } from '../../state/index.js'
import { formatStepName } from './candidates.js'
import { findNextStart, listWaiting, type WaitingGroup } from './plan.js'

/** Placement state of a group, kept while some of its tasks wait. */
export interface GroupProgress {
  /** Since when the group has waited without a running task of its step. A group of long-running tasks counts as idle even while others of its step run. */
  idleSince: number | undefined
  /** The group has been idle so long that a task of it may start despite excess load. */
  isStarved: boolean
  /** Time until which the group is tried only on workers whose free capacity has grown, because no other worker had enough. */
  blockedUntil: number
  /** Some tasks of the group could not be placed when it was last tried. */
  isBlocked: boolean
  /** The group waits for the scheduler: workers have capacity for some of its tasks, but their session hosts are busy, or the pass reached its limit of assignments. */
  isSchedulerLimited: boolean
}

export interface TrackedGroup {
  stepName: string
  /** The step name, with a suffix for the group of interrupted tasks. */
  key: string
  /** Groups of one class fit on the same workers, apart from the limits of groups with `hasWorkerLimit`. Undefined for a group that is never skipped because another one did not fit, for example a gang. */
  equivalenceClass: string | undefined
  hasWorkerLimit: boolean
  group: WaitingGroup
  progress: GroupProgress
}

export interface WaitingIndex {
  /** Lists all waiting groups, in no particular order. */
  list (wallTime: number): TrackedGroup[]
  /** Marks the waiting tasks of one workflow, or of all, as possibly changed. */
  markChanged (workflow: string | undefined): void
}

interface WorkflowGroups { tracked: TrackedGroup[], /** Wall-clock time in ms at which the next occurrence starts. */ nextStartAt: number }

/** Caches the waiting groups of each open workflow until it changes, as most workflows do not change between two scheduling passes. */
export function createWaitingIndex (getState: () => WorkflowsState): WaitingIndex {
  const groupsByWorkflow = new Map<string, WorkflowGroups>()
  const changed = new Set<string>()
  /** Workflows that have not ended, including those without waiting tasks. */
  const openWorkflows = new Set<string>()
  let lastWorkflows: WorkflowsState['workflows'] | undefined

  const remove = (id: string): void => {
    groupsByWorkflow.delete(id)
    openWorkflows.delete(id)
  }

  const update = (record: WorkflowRecord, queue: Queue | undefined, wallTime: number): void => {
    const { id } = record.workflow
    openWorkflows.add(id)
    const previous = new Map(groupsByWorkflow.get(id)?.tracked.map(({ key, progress }) => [key, progress]))
    const tracked = listWaiting(record, queue, wallTime).map((group): TrackedGroup => {
      const stepName = formatStepName(group.record.workflow.id, group.occurrence, group.stepNumber)
      const key = getGroupKey(stepName, group)
      const progress = previous.get(key)
      return { stepName, key, equivalenceClass: getEquivalenceClass(group), hasWorkerLimit: group.step.maxPerWorker !== undefined, group, progress: progress ?? { idleSince: undefined, isStarved: false, blockedUntil: -Infinity, isBlocked: false, isSchedulerLimited: false } }
    })
    const nextStartAt = findNextStart(record, wallTime)
    if (tracked.length > 0 || nextStartAt < Infinity) groupsByWorkflow.set(id, { tracked, nextStartAt })
    else groupsByWorkflow.delete(id)
  }

  return {
    markChanged: (workflow) => {
      if (workflow === undefined) openWorkflows.forEach((id) => changed.add(id))
      else changed.add(workflow)
    },
    list: (wallTime) => {
      const { workflows, catalog } = getState()
      const queues = new Map(catalog?.queues.map((queue) => [queue.name, queue]) ?? [])
      // A snapshot has replaced the whole state.
      if (lastWorkflows !== workflows) [...openWorkflows, ...Object.keys(workflows)].forEach((id) => changed.add(id))
      lastWorkflows = workflows
      groupsByWorkflow.forEach(({ nextStartAt }, id) => { if (wallTime >= nextStartAt || workflows[id]?.outcome !== undefined || workflows[id] === undefined) changed.add(id) })
      changed.forEach((id) => {
        const record = workflows[id]
        if (record === undefined || record.outcome !== undefined) remove(id)
        else update(record, queues.get(record.queue), wallTime)
      })
      changed.clear()
      return [...groupsByWorkflow.values()].flatMap(({ tracked }) => tracked)
    }
  }
}

export interface OpenWorkflows {
  list (): WorkflowRecord[]
  /** Records that a workflow was accepted or has ended; without a name, the whole index is rebuilt. */
  markChanged (workflow?: string): void
}

/** Keeps the ids of the workflows that have not ended, because the state holds many times as many ended ones. */
export function createOpenWorkflows (getState: () => WorkflowsState): OpenWorkflows {
  const openWorkflows = new Set<string>()
  let lastWorkflows: WorkflowsState['workflows'] | undefined
  return {
    markChanged: (workflow) => {
      if (workflow === undefined) lastWorkflows = undefined
      else openWorkflows.add(workflow)
    },
    list: () => {
      const { workflows } = getState()
      // A snapshot has replaced the whole state.
      if (lastWorkflows !== workflows) {
        openWorkflows.clear()
        Object.keys(workflows).forEach((id) => openWorkflows.add(id))
      }
      lastWorkflows = workflows
      const records: WorkflowRecord[] = []
      openWorkflows.forEach((id) => {
        const record = workflows[id]
        if (record === undefined || record.outcome !== undefined) openWorkflows.delete(id)
        else records.push(record)
      })
      return records
    }
  }
}

function getEquivalenceClass ({ record, step, advice, isResumed }: WaitingGroup): string | undefined {
  if (advice !== undefined || step.gang || step.rackSensitive || step.lasting) return undefined
  return [record.service, step.image, step.cores, step.memoryMb, step.accelerators, step.requiredLabel, step.tailTargetMs, step.fills, isResumed].join()
}

function getGroupKey (stepName: string, { isResumed }: WaitingGroup): string {
  return `${stepName}${isResumed === true ? '#resumed' : ''}`
}
