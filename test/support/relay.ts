import { connect, createServer, type AddressInfo, type Socket } from 'node:net'

/** A TCP relay that can drop all bytes of a connection without closing it, like a middlebox that has lost the connection's state. */
export interface Relay {
  port: number
  /** Drops all further bytes of the connections that are open now; later connections work. */
  silenceOpenConnections (): void
  countConnections (): number
  close (): void
}

export async function openRelay (targetPort: number): Promise<Relay> {
  const pairs: Array<[Socket, Socket]> = []
  const server = createServer((client) => {
    const upstream = connect(targetPort, '127.0.0.1')
    pairs.push([client, upstream])
    client.on('error', () => {})
    upstream.on('error', () => {})
    client.pipe(upstream)
    upstream.pipe(client)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return {
    port: (server.address() as AddressInfo).port,
    silenceOpenConnections: () => pairs.forEach(([client, upstream]) => {
      client.unpipe(upstream)
      upstream.unpipe(client)
      client.resume()
      upstream.resume()
    }),
    countConnections: () => pairs.length,
    close: () => {
      pairs.flat().forEach((socket) => socket.destroy())
      server.close()
    }
  }
}
