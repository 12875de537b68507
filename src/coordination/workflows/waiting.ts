import type { Queue, WorkflowRecord, WorkflowsState } from '../../state/index.js'
import { getPeerKey } from './candidates.js'
import { getOccurrenceStart, listWaiting, type WaitingGroup } from './plan.js'

/** What placing remembers of a group while some of it waits. */
export interface GroupProgress {
  /** Since when nothing of it runs. */
  idleSince: number | undefined
  /** It has waited so long that it is placed even at a risk. */
  isStarved: boolean
  /** No worker had room for it; until then it is tried only on workers that have more room than before. */
  blockedUntil: number
  /** Some of it had no room when it was last tried. */
  isBlocked: boolean
  /** Workers have room for some of it, and the scheduler has not come to it. */
  isBehind: boolean
}

export interface WaitingWork {
  key: string
  /** Groups of one kind have room on the same workers, `isBounded` ones only on some of those; absent where that depends on the group itself. */
  kind: string | undefined
  isBounded: boolean
  group: WaitingGroup
  progress: GroupProgress
}

export interface WaitingIndex {
  /** All waiting groups, in no particular order. */
  list (wallTime: number): WaitingWork[]
  /** The waiting tasks of a workflow, or of all, may have changed. */
  markChanged (workflow: string | undefined): void
}

interface Known { works: WaitingWork[], /** Wall-clock ms at which a next occurrence is due. */ dueAt: number }

/** Keeps the waiting tasks of each open workflow until it changes; most workflows do not change between two passes. */
export function createWaitingIndex (getState: () => WorkflowsState): WaitingIndex {
  const known = new Map<string, Known>()
  const changed = new Set<string>()
  /** Workflows that have not ended, also those of which nothing waits. */
  const open = new Set<string>()
  let source: WorkflowsState['workflows'] | undefined

  const remove = (id: string): void => {
    known.delete(id)
    open.delete(id)
  }

  const update = (record: WorkflowRecord, queue: Queue | undefined, wallTime: number): void => {
    const { id } = record.workflow
    open.add(id)
    const before = known.get(id)?.works ?? []
    const works = listWaiting(record, queue, wallTime).map((group): WaitingWork => {
      const key = getGroupKey(group)
      const progress = before.find((work) => work.key === key)?.progress
      return { key, kind: getKind(group), isBounded: group.step.maxPerWorker !== undefined, group, progress: progress ?? { idleSince: undefined, isStarved: false, blockedUntil: -Infinity, isBlocked: false, isBehind: false } }
    })
    const dueAt = findNextStart(record, wallTime)
    if (works.length > 0 || dueAt < Infinity) known.set(id, { works, dueAt })
    else known.delete(id)
  }

  return {
    markChanged: (workflow) => {
      if (workflow === undefined) open.forEach((id) => changed.add(id))
      else changed.add(workflow)
    },
    list: (wallTime) => {
      const { workflows, catalog } = getState()
      const queues = new Map(catalog?.queues.map((queue) => [queue.name, queue]) ?? [])
      // A snapshot replaces the state as a whole.
      if (source !== workflows) [...open, ...Object.keys(workflows)].forEach((id) => changed.add(id))
      source = workflows
      known.forEach(({ dueAt }, id) => { if (wallTime >= dueAt || workflows[id]?.outcome !== undefined || workflows[id] === undefined) changed.add(id) })
      changed.forEach((id) => {
        const record = workflows[id]
        if (record === undefined || record.outcome !== undefined) remove(id)
        else update(record, queues.get(record.queue), wallTime)
      })
      changed.clear()
      return [...known.values()].flatMap(({ works }) => works)
    }
  }
}

export interface OpenWorkflows {
  list (): WorkflowRecord[]
  /** A workflow was accepted or has ended; nothing is known any more when none is named. */
  markChanged (workflow?: string): void
}

/** Keeps the ids of the workflows that have not ended; those that have are many times as many. */
export function createOpenWorkflows (getState: () => WorkflowsState): OpenWorkflows {
  const open = new Set<string>()
  let source: WorkflowsState['workflows'] | undefined
  return {
    markChanged: (workflow) => {
      if (workflow === undefined) source = undefined
      else open.add(workflow)
    },
    list: () => {
      const { workflows } = getState()
      // A snapshot replaces the state as a whole.
      if (source !== workflows) {
        open.clear()
        Object.keys(workflows).forEach((id) => open.add(id))
      }
      source = workflows
      const records: WorkflowRecord[] = []
      open.forEach((id) => {
        const record = workflows[id]
        if (record === undefined || record.outcome !== undefined) open.delete(id)
        else records.push(record)
      })
      return records
    }
  }
}

function findNextStart (record: WorkflowRecord, wallTime: number): number {
  const { recurrence } = record.workflow
  if (recurrence === undefined) return Infinity
  const starts = Array.from({ length: recurrence.count }, (_, occurrence) => getOccurrenceStart(record, occurrence))
  return Math.min(Infinity, ...starts.filter((start) => start > wallTime))
}

function getKind ({ record, step, advice, isResumed }: WaitingGroup): string | undefined {
  if (advice !== undefined || step.gang || step.rackSensitive || step.lasting) return undefined
  return [record.service, step.image, step.cores, step.memoryMb, step.accelerators, step.requiredLabel, step.tailTargetMs, step.fills, isResumed].join()
}

function getGroupKey ({ record, occurrence, stepNumber, isResumed }: WaitingGroup): string {
  return `${getPeerKey(record.workflow.id, occurrence, stepNumber)}${isResumed === true ? '#resumed' : ''}`
}
