export {
  describeStoreFailure, openLogStore,
  type HardState, type LoadedLog, type LogStore, type OpenStoreOptions, type StoredEntry, type StoredSnapshot, type StoreFailure
} from './logStore.js'
export { encodeLarge } from './encoding.js'
export { decodeFrames, encodeFrame, SYNC_MARKER, type DecodedFrames } from './frames.js'
