import type { Explanation, Subject } from './types.js'

/** Explanations kept for each subject. */
const KEPT_PER_SUBJECT = 200
/** Explanations kept over all subjects; at about 1 KB each this stays within 6 MB. */
const KEPT_IN_TOTAL = 6000

export interface ExplanationLog {
  record (subjects: Subject[], explanation: Explanation): void
  list (subject: Subject): Explanation[]
}

/** Keeps the last explanations of each subject; older ones are summed up by decision and summary. */
export function createExplanationLog (perSubject = KEPT_PER_SUBJECT, inTotal = KEPT_IN_TOTAL): ExplanationLog {
  // In order of last use, so that the first key is the subject to forget.
  const subjects = new Map<string, Explanation[]>()
  let total = 0

  const append = (key: string, explanation: Explanation): void => {
    const kept = subjects.get(key) ?? []
    subjects.delete(key)
    subjects.set(key, kept)
    const last = kept.at(-1)
    if (last !== undefined && isAlike(last, explanation)) {
      kept[kept.length - 1] = { ...explanation, repeated: last.repeated + 1 }
      return
    }
    kept.push(explanation)
    total += 1
    if (kept.length > perSubject) {
      const before = kept.length
      mergeOldest(kept)
      total -= before - kept.length
    }
  }

  const prune = (): void => {
    for (const [key, kept] of subjects) {
      if (total <= inTotal) return
      subjects.delete(key)
      total -= kept.length
    }
  }

  return {
    record: (about, explanation) => {
      about.forEach((subject) => append(`${subject.kind}:${subject.id}`, explanation))
      if (total > inTotal) prune()
    },
    list: (subject) => [...(subjects.get(`${subject.kind}:${subject.id}`) ?? [])]
  }
}

function isAlike (one: Explanation, other: Explanation): boolean {
  return one.decision === other.decision && one.task === other.task && one.worker === other.worker &&
    one.reason.summary === other.reason.summary && one.reason.revision === other.reason.revision
}

/** Sums the oldest explanation up with the next of its kind, which keeps the newer figures. */
function mergeOldest (kept: Explanation[]): void {
  const oldest = kept.shift() as Explanation
  const index = kept.findIndex((other) => other.decision === oldest.decision && other.reason.revision === oldest.reason.revision)
  const similar = kept[index]
  if (similar !== undefined) kept[index] = { ...similar, repeated: similar.repeated + oldest.repeated }
}
