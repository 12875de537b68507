import type { WorkerCommand } from './exchange.js'
import type { JournalEntry } from './journal.js'
import type { TaskSpec } from './table.js'

/** The command that starts a recorded attempt; none while this host's replicated state does not contain the task. */
export function createStartCommands (entry: JournalEntry, spec: TaskSpec | undefined): WorkerCommand[] {
  if (spec === undefined || entry.token === undefined || entry.size === undefined) return []
  const { task, attempt, token, size, checkpoint } = entry
  const { member, jobClass, service } = spec.task
  const command: WorkerCommand = { kind: 'start', task, attempt, token, member, jobClass, command: spec.command, ...size }
  if (service !== undefined) command.service = service
  if (checkpoint !== undefined) command.checkpoint = checkpoint
  return [command]
}
