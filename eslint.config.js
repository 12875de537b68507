import { readFileSync } from 'node:fs'
import neostandard, { plugins } from 'neostandard'

// The lowest layer stands first. A layer may import from itself and from those before it.
const LAYERS = ['common', 'state', 'coordination', 'protocol', 'transport']

const layerZones = LAYERS.map((layer, index) => ({
  target: `./src/${layer}`,
  from: [...LAYERS.slice(index + 1), 'programs', 'bench'].map((upper) => `./src/${upper}`),
  message: `${layer} must not import from a higher layer; see docs/design.md`
}))

// The words that function names may begin with are the bullet items of docs/verbs.md.
const verbs = [...readFileSync(new URL('./docs/verbs.md', import.meta.url), 'utf8').matchAll(/^- `(\w+)`/gm)]
  .map((match) => match[1])
const verbPattern = new RegExp(`^(?:${verbs.join('|')})(?![a-z])`)

const verbRule = {
  meta: { type: 'suggestion', schema: [], messages: { verb: '{{name}} does not begin with a verb of docs/verbs.md' } },
  create (context) {
    return {
      FunctionDeclaration (node) {
        if (node.id && !verbPattern.test(node.id.name)) {
          context.report({ node: node.id, messageId: 'verb', data: { name: node.id.name } })
        }
      }
    }
  }
}

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'node_modules/**', 'data/**'] }),
  {
    files: ['src/**/*.ts', 'platform/**/*.ts'],
    plugins: { 'import-x': plugins['import-x'], sequoiadrift: { rules: { verb: verbRule } } },
    rules: {
      'import-x/no-restricted-paths': ['error', { zones: layerZones }],
      'sequoiadrift/verb': 'error',
      complexity: ['error', 15]
    }
  }
]
