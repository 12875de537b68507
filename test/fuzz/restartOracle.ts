import { getIncarnationKey, getWorkMs, isLasting, listIdle, RECOVERY_MS, type Played } from './restartPlays.js'

export interface RunSpan { task: string, attempt: number, worker: string, incarnation: number, from: number, until: number, cause: string | undefined, isAcknowledged: boolean }

/** The runs of all workers in the order of their starts. What a worker without a process seems to do has not happened. */
export function listRuns ({ site, restarts }: Played): RunSpan[] {
  const events = site.fleet.events.flatMap((event, position) => {
    const own = restarts.filter(({ worker }) => worker === event.worker)
    const incarnation = own.filter(({ until }) => until <= position).length
    const isDown = own.some(({ from, until }) => from <= position && position < until)
    return isDown ? [] : [{ ...event, incarnation, key: `${event.worker} ${incarnation} ${event.task} ${event.attempt}` }]
  })
  const ends = new Map(events.filter(({ kind }) => kind === 'ended' || kind === 'lost').map((event) => [event.key, event]))
  // An end counts as acknowledged unless the lease of its worker has lapsed in between: nobody could know of it while its task had to go on.
  const acknowledged = new Set(events.filter((event) => event.kind === 'acknowledged' && event.cause === 'succeeded' && (ends.get(event.key)?.at ?? Infinity) > (event.lapsedAt ?? -Infinity)).map(({ key }) => key))
  return events.filter(({ kind }) => kind === 'started').map(({ key, task, attempt, worker, incarnation, at }) => {
    const end = ends.get(key)
    return { task, attempt, worker, incarnation, from: at, until: end?.at ?? Infinity, cause: end?.cause ?? end?.kind, isAcknowledged: acknowledged.has(key) }
  }).toSorted((a, b) => a.from - b.from)
}

function isPolledBefore ({ polledAt }: Played, { worker, incarnation, from }: RunSpan): boolean {
  return (polledAt.get(getIncarnationKey(worker, incarnation)) ?? Infinity) <= from
}

/** Tells also whether the run was started before its incarnation answered a poll: an order for a former one is refused only from then on. */
function renderRun (played: Played, run: RunSpan): string {
  const { attempt, worker, incarnation, from, until, cause, isAcknowledged } = run
  return `attempt ${attempt} on ${getIncarnationKey(worker, incarnation)}${isPolledBefore(played, run) ? '' : ', not polled before,'} from ${Math.round(from)} to ${Math.round(until)} (${cause ?? 'running'}${isAcknowledged ? ', acknowledged' : ''})`
}

/**
 * The first two classes exclude what the last one contains: a run of a task that must run once which no answer of a worker could
 * rule out. Its order was late, the attempt was settled by an answer of the incarnation that the worker had then, and a still later
 * one has executed the order before it was polled. Fencing tokens cannot prevent that.
 */
export const CLASSES = ['overlapping runs', 'started after success', 'unfinished', 'repeated attempt', 'order outlives its settlement'] as const
export type FailureClass = typeof CLASSES[number]
export type Broken = Record<FailureClass, string[]>

/** The promises that a play has broken, in words. */
export function listBroken (played: Played): Broken {
  const { site: { fleet }, jobs, completedAt, healedAt, settlements } = played
  const runs = listRuns(played)
  const byTask = [...new Set(runs.map(({ task }) => task))].map((task) => [task, runs.filter((run) => run.task === task)] as const)
  const isOutliving = (run: RunSpan): boolean => settlements.some(({ worker, incarnation, task, attempt }) => worker === run.worker && incarnation < run.incarnation && task === run.task && attempt === run.attempt) && !isPolledBefore(played, run)
  const isDouble = (run: RunSpan, earlier: RunSpan): boolean => earlier.until > run.from
  const isAfterSuccess = (run: RunSpan, earlier: RunSpan): boolean => earlier.cause === 'succeeded' && earlier.isAcknowledged && earlier.until <= run.from
  const hasOutliving = (run: RunSpan, earlier: RunSpan): boolean => isOutliving(run) || isOutliving(earlier)
  const listTasks = (isBroken: (run: RunSpan, earlier: RunSpan) => boolean): string[] => byTask
    .filter(([, taskRuns]) => taskRuns.some((run, index) => taskRuns.slice(0, index).some((earlier) => isBroken(run, earlier))))
    .map(([task, taskRuns]) => `${task}: ${taskRuns.map((run) => renderRun(played, run)).join('; ')}`)
  const renderRuns = (id: string): string => runs.filter(({ task }) => task.startsWith(`${id}.`)).map((run) => `${run.task} ${renderRun(played, run)}`).join('; ')
  return {
    'overlapping runs': listTasks((run, earlier) => isDouble(run, earlier) && !hasOutliving(run, earlier)),
    'started after success': listTasks((run, earlier) => isAfterSuccess(run, earlier) && !hasOutliving(run, earlier)),
    unfinished: [...jobs].flatMap(([id, job]) => {
      if (isLasting(job)) return listIdle(fleet, id, job).map((task) => `${task} does not run at the end: ${renderRuns(id)}`)
      const doneAt = completedAt.get(id) ?? Infinity
      return doneAt > healedAt + RECOVERY_MS + getWorkMs(job) ? [`${id} is completed at ${doneAt}, the faults ended at ${healedAt}: ${renderRuns(id)}`] : []
    }),
    'repeated attempt': listTasks((run, earlier) => run.attempt === earlier.attempt && (run.worker !== earlier.worker || run.incarnation === earlier.incarnation)),
    'order outlives its settlement': listTasks((run, earlier) => (isDouble(run, earlier) || isAfterSuccess(run, earlier)) && hasOutliving(run, earlier))
  }
}
