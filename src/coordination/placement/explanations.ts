import type { Explanation, Subject } from './types.js'

const MAX_PER_SUBJECT = 200
/** Limit over all subjects; about 6 MB at 1 KB for each explanation. */
const MAX_IN_TOTAL = 6000

export interface ExplanationLog {
  record (subjects: Subject[], explanation: Explanation): void
  list (subject: Subject): Explanation[]
}

/**
 * Keeps the last explanations of each subject. An explanation that repeats the one before replaces it and continues its count.
 * Above the limit of a subject, the oldest is merged into the next with the same decision and policy revision;
 * above the limit in total, the least recently recorded subjects are dropped.
 */
export function createExplanationLog (maxPerSubject = MAX_PER_SUBJECT, maxInTotal = MAX_IN_TOTAL): ExplanationLog {
  // Each record moves its subject to the end, so the first key is the least recently recorded subject.
  const explanationsBySubject = new Map<string, Explanation[]>()
  let total = 0

  const append = (key: string, explanation: Explanation): void => {
    const kept = explanationsBySubject.get(key) ?? []
    explanationsBySubject.delete(key)
    explanationsBySubject.set(key, kept)
    const last = kept.at(-1)
    if (last !== undefined && isRepetition(last, explanation)) {
      kept[kept.length - 1] = { ...explanation, repeated: last.repeated + 1 }
      return
    }
    kept.push(explanation)
    total += 1
    if (kept.length > maxPerSubject) {
      const before = kept.length
      mergeOldest(kept)
      total -= before - kept.length
    }
  }

  const prune = (): void => {
    for (const [key, kept] of explanationsBySubject) {
      if (total <= maxInTotal) return
      explanationsBySubject.delete(key)
      total -= kept.length
    }
  }

  return {
    record: (subjects, explanation) => {
      subjects.forEach((subject) => append(`${subject.kind}:${subject.id}`, explanation))
      if (total > maxInTotal) prune()
    },
    list: (subject) => [...(explanationsBySubject.get(`${subject.kind}:${subject.id}`) ?? [])]
  }
}

function isRepetition (one: Explanation, other: Explanation): boolean {
  return one.decision === other.decision && one.task === other.task && one.worker === other.worker &&
    one.reason.summary === other.reason.summary && one.reason.revision === other.reason.revision
}

/**
 * Drops the oldest explanation. Its count is added to the next one with the same decision and policy revision, if there
 * is one; that one keeps its own, newer figures.
 */
function mergeOldest (kept: Explanation[]): void {
  const oldest = kept.shift() as Explanation
  const index = kept.findIndex((other) => other.decision === oldest.decision && other.reason.revision === oldest.reason.revision)
  const similar = kept[index]
  if (similar !== undefined) kept[index] = { ...similar, repeated: similar.repeated + oldest.repeated }
}
