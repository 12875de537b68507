import type { Clock, Logger } from '../../common/index.js'
import type { LogStatus, Replica } from '../../state/index.js'

/** How often the leader looks at its voters. */
const CHECK_MS = 500
/** A voter that is silent this long is replaced if another host with a disk stands by; a restart of a process takes about 1 s. */
const SILENT_VOTER_MS = 2500
/** A host counts as present while it was heard within this, several heartbeats of a learner. */
const PRESENT_MS = 2500
const CHANGE_TIMEOUT_MS = 4000

export type VoterChange =
  | { kind: 'add', host: string }
  | { kind: 'replace', host: string, by: string }

type Progress = LogStatus['progress']

/**
 * The next change that the set of voters needs: a host whose disk was lost returns as another incarnation, a voter
 * that stays silent gives way to a host that stands by, and too few voters are filled up.
 */
export function chooseVoterChange (progress: Progress, targetVoters: number): VoterChange | undefined {
  const voters = progress.filter(({ votes }) => votes)
  const present = progress.filter(({ votes, lastHeardAgoMs }) => !votes && lastHeardAgoMs < PRESENT_MS)
  const returned = present.find(({ host }) => voters.some((voter) => voter.host === host && voter.lastHeardAgoMs >= PRESENT_MS / 2))
  if (returned !== undefined) return { kind: 'replace', host: returned.host, by: returned.host }
  const standby = present.filter(({ host }) => !voters.some((voter) => voter.host === host))[0]
  if (standby === undefined) return undefined
  const silent = voters.find(({ lastHeardAgoMs }) => lastHeardAgoMs >= SILENT_VOTER_MS)
  if (silent !== undefined) return { kind: 'replace', host: silent.host, by: standby.host }
  return voters.length < targetVoters ? { kind: 'add', host: standby.host } : undefined
}

export interface VoterKeeper { stop (): Promise<void> }

/** Keeps the number of voters up without a person, on whichever host leads. */
export function createVoterKeeper ({ clock, logger, log, targetVoters }: { clock: Clock, logger: Logger, log: Replica, targetVoters: number }): VoterKeeper {
  const stopping = new AbortController()

  const runChecks = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const status = log.status()
      const change = status.role === 'leader' ? chooseVoterChange(status.progress, targetVoters) : undefined
      if (change !== undefined) {
        const deadline = clock.now() + CHANGE_TIMEOUT_MS
        const result = change.kind === 'add' ? await log.addVoter(change.host, deadline) : await log.replaceVoter(change.host, change.by, deadline)
        const by = change.kind === 'replace' ? change.by : undefined
        logger.info('voters.change', { change: change.kind, host: change.host, by, outcome: result.ok ? 'changed' : result.val.kind })
      }
      await clock.sleep(CHECK_MS, stopping.signal)
    }
  }

  const loop = runChecks().catch((error: unknown) => {
    logger.error('voters.failed', { message: error instanceof Error ? error.stack : String(error) })
  })
  return {
    stop: async () => {
      stopping.abort()
      await loop
    }
  }
}
