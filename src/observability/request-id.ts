/**
 * Request ids that one can follow over both hops: given by the gateway, sent along to the owner,
 * and found in the lines and errors of both.
 */

const RADIX = 36;
/** Milliseconds since the Unix epoch in base 36 have nine digits until 2059; the last seven do. */
const INCARNATION_DIGITS = 7;

/** Gives ids `<node>-<incarnation>-<number>`, unique for the life of a node. */
export function createRequestIds(nodeId: string, incarnation: number): () => string {
  const digits = incarnation.toString(RADIX).slice(-INCARNATION_DIGITS);
  const prefix = `${nodeId}-${digits}-`;
  let issued = 0;
  return () => {
    issued += 1;
    return prefix + issued.toString(RADIX);
  };
}
