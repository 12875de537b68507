export { startEntryHost, type RunningHost, type StartFailure, type StartOptions } from './entryHost.js'
