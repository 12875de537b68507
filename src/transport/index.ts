export { openHttpServer, MAX_BODY_BYTES, type HttpServer, type HttpServerOptions } from './http/server.js'
export { openPeerNetwork, type PeerNetwork, type PeerNetworkOptions } from './peerNetwork.js'
