import { writeFileSync, appendFileSync } from 'node:fs'

const startedAt = performance.now()

/** Milliseconds since the start of the script. */
export const now = () => performance.now() - startedAt

/** Opens `record.txt`; each line has the time since the start, a kind and fields. */
export function openRecord (path) {
  writeFileSync(path, '')
  const lines = []
  const record = (kind, fields = {}) => {
    const text = Object.entries(fields).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ')
    const line = `${(now() / 1000).toFixed(3)} ${kind} ${text}`
    lines.push(line)
    appendFileSync(path, line + '\n')
  }
  return { record, lines }
}

export const wait = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

/** Waits until the condition holds; returns whether it did before the time was over. */
export async function waitUntil (condition, timeoutMs, stepMs = 20) {
  const deadline = now() + timeoutMs
  while (now() < deadline) {
    if (await condition()) return true
    await wait(stepMs)
  }
  return false
}
