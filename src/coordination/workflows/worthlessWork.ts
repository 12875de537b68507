import { getLateness, getOccurrenceStart, ZERO_VALUE_FACTOR } from './plan.js'
import { getWorkKind } from './roomForecast.js'
import type { TrackedGroup } from './waiting.js'

/** Work without value is deferred for at most this long, so that every accepted workflow ends under a lasting overload too. */
const MAX_DEFERRAL_MS = 60_000

/**
 * Leaves out the groups whose workflows have no value any more while work of the same kind that still has value is blocked in
 * the same pool: the capacity that they would take is needed by the next work that arrives. A starved group is never left out,
 * because every workflow has to make progress.
 */
export function selectWorthy (trackedGroups: TrackedGroup[], wallTime: number): TrackedGroup[] {
  const isWorthless = ({ group }: TrackedGroup): boolean => getLateness(group, wallTime) === 2
  const worthless = new Set(trackedGroups.filter(isWorthless))
  if (worthless.size === 0) return trackedGroups
  const blockedKinds = new Set(trackedGroups.filter((tracked) => tracked.progress.isBlocked && !tracked.group.step.lasting && !worthless.has(tracked)).map(formatKind))
  return trackedGroups.filter((tracked) => !worthless.has(tracked) || tracked.progress.isStarved || !blockedKinds.has(formatKind(tracked)) || wallTime >= getDeferredUntil(tracked))
}

function formatKind ({ group }: TrackedGroup): string {
  return `${getWorkKind(group.step)} ${group.record.service}`
}

function getDeferredUntil ({ group: { record, occurrence, dueAt } }: TrackedGroup): number {
  const start = getOccurrenceStart(record, occurrence)
  return start + ZERO_VALUE_FACTOR * (dueAt - start) + MAX_DEFERRAL_MS
}
