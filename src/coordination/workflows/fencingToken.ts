/** Terms that have tokens of their own for one incarnation. Hosts with authority at the same time differ by a few terms. */
const TERMS_PER_INCARNATION = 2 ** 20

/**
 * The fencing token of orders for one incarnation of a worker. It rises with each incarnation that is registered and, for one
 * incarnation, with the term of the leader. Once a worker has seen an order for its present incarnation, it therefore refuses
 * orders that were meant for an earlier one, however late they arrive. `generation`: undefined in state of earlier builds.
 */
export function computeFencingToken (generation: number | undefined, term: number): number {
  return (generation ?? 0) * TERMS_PER_INCARNATION + term
}
