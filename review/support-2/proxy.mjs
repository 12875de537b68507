// A TCP proxy in front of one address that can hold back the bytes of one direction, as a cut between machines does: no new
// connection is established then, and those that are open go silent in that direction.
import { connect, createServer } from 'node:net'

export async function openProxy ({ ip, port, target }) {
  const state = { cut: new Set() }
  const pairs = new Set()
  const waiting = []

  const pass = (direction, run) => {
    if (state.cut.has(direction)) waiting.push({ direction, run })
    else run()
  }

  const server = createServer({ allowHalfOpen: true, noDelay: true }, (client) => {
    client.on('error', () => {})
    if (state.cut.size > 0) waiting.push({ run: () => join(client) })
    else join(client)
  })

  const join = (client) => {
    if (client.destroyed) return
    const upstream = connect({ host: target.ip, port: target.port, allowHalfOpen: true, noDelay: true })
    const pair = { client, upstream }
    pairs.add(pair)
    const link = (direction, from, to) => {
      from.on('data', (chunk) => pass(direction, () => { if (!to.destroyed) to.write(chunk) }))
      from.on('end', () => pass(direction, () => { if (!to.destroyed) to.end() }))
      from.on('error', () => pass(direction, () => to.destroy()))
      from.on('close', () => pairs.delete(pair))
    }
    link('forward', client, upstream)
    link('back', upstream, client)
  }
  await new Promise((resolve, reject) => server.once('error', reject).listen(port, ip, resolve))
  return {
    ip,
    port,
    /** Holds back what passes in this direction: `forward` from the caller to the target, `back` to the caller. */
    cut: (direction) => state.cut.add(direction),
    heal: () => {
      state.cut.clear()
      waiting.splice(0).forEach(({ run }) => run())
    },
    reset: () => pairs.forEach(({ client, upstream }) => {
      client.resetAndDestroy()
      upstream.resetAndDestroy()
    }),
    close: () => {
      pairs.forEach(({ client, upstream }) => {
        client.destroy()
        upstream.destroy()
      })
      server.close()
    }
  }
}
