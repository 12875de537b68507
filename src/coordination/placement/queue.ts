import type { TaskRecord } from './records.js'

/** Waiting tasks of one shape, oldest first. They are equal in member, class, declared size and the other properties that placement depends on, so that a worker that rejects one of them rejects all. */
export interface WaitingGroup {
  member: string
  shape: string
  urgent: boolean
  resumed: boolean
  service: string | undefined
  tasks: Set<TaskRecord>
}

export interface WaitingQueue {
  readonly size: number
  add (record: TaskRecord): void
  remove (record: TaskRecord): void
  /** Groups of one member: replicas first, then resumed tasks, and within these in the order of the oldest task. */
  list (member: string): WaitingGroup[]
  listMembers (): string[]
  /** The oldest waiting task of the same shape, which is examined for the whole group. */
  findHead (record: TaskRecord): TaskRecord | undefined
}

export function createWaitingQueue (): WaitingQueue {
  const members = new Map<string, Map<string, WaitingGroup>>()
  let size = 0
  return {
    get size () { return size },
    add: (record) => {
      const { member } = record.task
      const groups = members.get(member) ?? new Map<string, WaitingGroup>()
      members.set(member, groups)
      const shape = getShape(record)
      const group = groups.get(shape) ?? createGroup(record, shape)
      groups.set(shape, group)
      if (group.tasks.has(record)) return
      group.tasks.add(record)
      size += 1
    },
    remove: (record) => {
      const groups = members.get(record.task.member)
      const shape = getShape(record)
      const group = groups?.get(shape)
      if (groups === undefined || group === undefined || !group.tasks.delete(record)) return
      size -= 1
      if (group.tasks.size === 0) groups.delete(shape)
      if (groups.size === 0) members.delete(record.task.member)
    },
    list: (member) => [...members.get(member)?.values() ?? []].sort(compareGroups),
    listMembers: () => [...members.keys()],
    findHead: (record) => {
      const group = members.get(record.task.member)?.get(getShape(record))
      return group === undefined ? undefined : getHead(group)
    }
  }
}

export function getHead (group: WaitingGroup): TaskRecord | undefined {
  return group.tasks.values().next().value
}

function compareGroups (one: WaitingGroup, other: WaitingGroup): number {
  return Number(other.service !== undefined) - Number(one.service !== undefined) ||
    Number(other.resumed) - Number(one.resumed) ||
    (getHead(one)?.queuedAt ?? 0) - (getHead(other)?.queuedAt ?? 0)
}

function createGroup (record: TaskRecord, shape: string): WaitingGroup {
  const { member, urgent, resumed, service } = record.task
  return { member, shape, urgent, resumed, service, tasks: new Set() }
}

function getShape (record: TaskRecord): string {
  const { member, jobClass, service, urgent, resumed, size } = record.task
  return [member, jobClass, service ?? '', urgent, resumed, size.cores, size.memoryBytes, size.accelerators].join('/')
}
