import { defineConfig } from 'vitest/config'

/** Tests in which groups of clients use the machine heavily. They run after all others, one at a time. */
const CLIENT_GROUP_TESTS = ['test/platform/untrustedClients.test.ts']

export default defineConfig({
  test: {
    testTimeout: 30_000,
    hookTimeout: 30_000,
    maxWorkers: 4,
    reporters: ['default', 'json', './.ci/unhandledErrors.mjs'],
    outputFile: { json: 'target/tests.json' },
    projects: [
      { extends: true, test: { name: 'tests', include: ['test/**/*.test.ts'], exclude: CLIENT_GROUP_TESTS, sequence: { groupOrder: 0 } } },
      { extends: true, test: { name: 'client-groups', include: CLIENT_GROUP_TESTS, maxWorkers: 1, sequence: { groupOrder: 1 } } }
    ]
  }
})
