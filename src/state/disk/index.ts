export { openDisk } from './folderDisk.js'
export { type Disk, type DiskFailure } from './disk.js'
