export { createExecutorClient } from './executorClient.js'
export { openHttpServer, MAX_BODY_BYTES, type HttpServer, type HttpServerOptions } from './http/server.js'
export { openPeerNetwork, type PeerNetwork, type PeerNetworkOptions } from './peerNetwork.js'
export { createWorkerClient, type HttpWorkerClient } from './workerClient.js'
