import { expect } from 'vitest'
import { applyEntry, createReplicatedState, type ReplicatedState, type AppliedEntry, type Entry, type LogFailure } from '../../src/state/index.js'
import type { Logger, Result } from '../../src/common/index.js'

/** Collects the entries that the hosts apply, by index, and the reply to each proposal, and reports contradictions. */
export interface LogOracle {
  recordApplied (host: string, index: number, entry: Entry): void
  recordProposal (entry: Entry): void
  recordAnswer (entry: Entry, result: Result<AppliedEntry, LogFailure>): void
  /** Creates a logger for the hosts that records the leader of each term, installed snapshots and failures from their log lines. */
  createLogger (fields?: Record<string, unknown>): Logger
  /** Checks every reply against the applied entries. Returns the state that results from applying them in order. */
  checkAnswers (): ReplicatedState
  readonly accepted: number
  readonly problems: string[]
}

export function createLogOracle (): LogOracle {
  const sequence = new Map<number, string>()
  const leaders = new Map<number, string>()
  const installed = new Set<string>()
  const answers: Array<{ entry: Entry, result: Result<AppliedEntry, LogFailure> }> = []
  const proposals = new Map<string, number>()
  const problems: string[] = []

  const recordApplied = (host: string, index: number, entry: Entry): void => {
    // The installation of a snapshot is reported to listeners as a `noop` entry.
    if (entry.kind === 'noop' && installed.has(`${host}/${index}`)) return
    const text = JSON.stringify(entry)
    const known = sequence.get(index)
    if (known !== undefined && known !== text) problems.push(`${host} applied ${text} at ${index}, another host ${known}`)
    sequence.set(index, text)
  }

  const createLogger = (fields: Record<string, unknown> = {}): Logger => ({
    info: (event, detail) => {
      const host = String(fields.host)
      if (event === 'log.snapshot-installed') installed.add(`${host}/${detail?.index}`)
      if (event !== 'log.lead') return
      const term = Number(detail?.term)
      const known = leaders.get(term)
      if (known !== undefined) problems.push(`term ${term} was led by ${known} and by ${host}`)
      leaders.set(term, host)
    },
    warn: () => {},
    error: (event, detail) => {
      if (detail?.kind === 'invariant-broken' || event === 'log.listener-failed') problems.push(`${String(fields.host)}: ${String(detail?.message)}`)
    },
    child: (more) => createLogger({ ...fields, ...more })
  })

  const checkAnswers = (): ReplicatedState => {
    const entries = [...sequence].sort(([a], [b]) => a - b)
    const texts = entries.map(([, text]) => text).filter((text) => text !== '{"kind":"noop"}')
    const recorded = new Set(texts)
    // Only the leader's recognition of duplicate messages prevents an entry without a request id from being recorded twice.
    const repeated = texts.filter((text, position) => !text.includes('"requestId"') && texts.indexOf(text) !== position)
    problems.push(...repeated.map((text) => `${text} is recorded twice`))
    const outcomes = new Map<string, string>()
    answers.forEach(({ entry, result }) => {
      const text = JSON.stringify(entry)
      const isDenied = result.err && (result.val.kind === 'not-recorded' || result.val.kind === 'no-leader')
      // A reply is about one proposal. If the entry was proposed several times, another proposal may have recorded it, possibly of a
      // caller that was killed before its reply.
      if (isDenied && proposals.get(text) === 1 && recorded.has(text)) problems.push(`${text} was answered ${result.val.kind} and is recorded`)
      if (result.ok && sequence.get(result.val.index) !== text) problems.push(`${text} was acknowledged at ${result.val.index}, where ${sequence.get(result.val.index)} is`)
      const outcome = result.ok ? 'accepted' : result.val.kind === 'rejected' ? JSON.stringify(result.val) : undefined
      if (outcome === undefined) return
      if ((outcomes.get(text) ?? outcome) !== outcome) problems.push(`${text} had the outcomes ${outcomes.get(text)} and ${outcome}`)
      outcomes.set(text, outcome)
    })
    expect(problems).toEqual([])
    const state = createReplicatedState()
    entries.forEach(([, text]) => applyEntry(state, JSON.parse(text) as Entry))
    return state
  }

  return {
    recordApplied,
    recordProposal: (entry) => {
      const text = JSON.stringify(entry)
      proposals.set(text, (proposals.get(text) ?? 0) + 1)
    },
    recordAnswer: (entry, result) => { answers.push({ entry, result }) },
    createLogger,
    checkAnswers,
    get accepted () { return answers.filter(({ result }) => result.ok).length },
    problems
  }
}
