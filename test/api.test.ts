import { readFileSync } from 'node:fs'
import { expect, test } from 'vitest'
import { announcementSchema, jobBodySchema, serviceBodySchema } from '../src/protocol/index.js'

/** Lists the JSON objects in all JSON blocks of docs/api.md, in order. */
function listExamples (): unknown[] {
  const page = readFileSync('docs/api.md', 'utf8')
  return [...page.matchAll(/```json\n([\s\S]*?)```/g)]
    .flatMap(([, block]) => block!.trim().split(/\n(?=\{)/))
    .map((text) => JSON.parse(text) as unknown)
}

test('the request bodies in docs/api.md are valid', () => {
  const examples = listExamples() as Array<Record<string, unknown>>
  const find = (key: string) => examples.filter((example) => key in example)
  const results = [
    ...find('objective').map((example) => serviceBodySchema.safeParse(example)),
    ...find('jobClass').map((example) => jobBodySchema.safeParse(example)),
    ...find('kind').map((example) => announcementSchema.safeParse(example))
  ]
  expect(results.map(({ success, error }) => success ? 'accepted' : error.message)).toEqual(['accepted', 'accepted', 'accepted', 'accepted'])
})
