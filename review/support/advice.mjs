// Stand-in for the service at `advice`, as PROTOCOL.md tells it: it alone knows which executors may run a step.
import { createServer } from 'node:http'

/** `mayRun(step, worker)` is the policy of the queue, which does not change. */
export async function openAdvice ({ ip, port, decisionMs, perWorkerMs, validityMs, mayRun, record }) {
  const tickets = new Map()
  let issued = 0
  // One call at a time for each calling machine, in turn.
  const turns = new Map()

  const decide = async ({ step, workers }) => {
    await new Promise((resolve) => setTimeout(resolve, decisionMs + perWorkerMs * workers.length))
    const approved = workers.filter((worker) => mayRun(step, worker)).map((worker) => {
      issued += 1
      const ticket = `t${issued}`
      tickets.set(ticket, { step, worker, until: performance.now() + validityMs })
      return [worker, ticket]
    })
    record('advice', { step, workers, approved: approved.map(([worker]) => worker) })
    return { approved }
  }

  const server = createServer(async (incoming, answer) => {
    const chunks = []
    for await (const chunk of incoming) chunks.push(chunk)
    const caller = incoming.socket.remoteAddress
    const turn = (turns.get(caller) ?? Promise.resolve()).then(() => decide(JSON.parse(Buffer.concat(chunks).toString())))
    turns.set(caller, turn.catch(() => {}))
    const body = await turn
    answer.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(body))
  })
  await new Promise((resolve, reject) => server.once('error', reject).listen(port, ip, resolve))
  return {
    address: `${ip}:${port}`,
    isValid: (ticket, step, worker) => {
      const known = tickets.get(ticket)
      return known !== undefined && known.step === step && known.worker === worker && performance.now() < known.until
    },
    close: () => { server.close(); server.closeAllConnections() }
  }
}
