import type { PlacementState } from './state.js'
import type { Decision, Reason, Subject } from './types.js'

export type Figure = Reason['figures'][number]

export function createReason (state: PlacementState, summary: string, figures: Figure[] = [], alternatives: Reason['alternatives'] = []): Reason {
  return { summary, figures, alternatives, preset: state.policy.preset, revision: state.policy.revision }
}

/** A figure of a reason, rounded to four significant digits; `ageMs` is the age of the measurement behind it. */
export function createFigure (name: string, value: number, unit: string, ageMs = 0): Figure {
  return { name, value: Number(value.toPrecision(4)), unit, ageMs: Math.max(0, Math.round(ageMs)) }
}

/** Records decisions for `explain` under the preset in force, and under the task, job and worker that they concern. */
export function recordDecisions (state: PlacementState, decisions: Decision[], now: number): void {
  decisions.forEach((decision) => {
    const task = 'task' in decision ? decision.task : undefined
    const worker = 'worker' in decision ? decision.worker : undefined
    const subjects: Subject[] = [{ kind: 'preset', id: state.policy.preset }]
    if (task !== undefined) subjects.push({ kind: 'task', id: task })
    if (worker !== undefined) subjects.push({ kind: 'worker', id: worker })
    const job = task === undefined ? undefined : state.tasks.get(task)?.task.job
    if (job !== undefined) subjects.push({ kind: 'job', id: job })
    state.explanations.record(subjects, { at: now, repeated: 1, decision: decision.kind, ...task !== undefined && { task }, ...worker !== undefined && { worker }, reason: decision.reason })
  })
}

export function recordWait (state: PlacementState, task: string, job: string, reason: Reason, now: number): void {
  const explanation = { at: now, repeated: 1, decision: 'wait' as const, task, reason }
  state.explanations.record([{ kind: 'task', id: task }, { kind: 'job', id: job }], explanation)
}
