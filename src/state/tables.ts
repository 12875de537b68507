/**
 * Creates a table whose keys are names from outside. It inherits nothing, so that a name such as `constructor` finds only what
 * was recorded under it.
 */
export function createTable<T> (entries: Readonly<Record<string, T>> = {}): Record<string, T> {
  return Object.assign(Object.create(null) as Record<string, T>, entries)
}

/** Finds a value by a name from outside in a constant lookup table. */
export function findIn<T> (table: Readonly<Record<string, T>>, name: string): T | undefined {
  return Object.hasOwn(table, name) ? table[name] : undefined
}

/** Makes the tables of a decoded value inherit nothing, like those that `createTable` has created. In place, as they may be large. */
export function removeInheritance (tables: object): void {
  Object.values(tables).filter(isTable).forEach((table) => Object.setPrototypeOf(table, null))
}

function isTable (value: unknown): value is object {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
