/** Age of the last contact with a majority of the voters, which includes this host: the oldest contact in the most recent majority. */
export function computeMajorityAge (progress: Array<{ votes: boolean, lastHeardAgoMs: number }>): number {
  const ages = progress.filter(({ votes }) => votes).map(({ lastHeardAgoMs }) => lastHeardAgoMs).sort((a, b) => a - b)
  return ages[Math.floor(ages.length / 2)] ?? Infinity
}
