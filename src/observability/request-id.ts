/**
 * Request ids for tracing a request through gateway and owner: assigned by the gateway, sent to the owner, and
 * included in the log lines and errors of both.
 */

const RADIX = 36;
/** Milliseconds since the Unix epoch in base 36 have eight digits until 2059; the last seven suffice. */
const INCARNATION_DIGITS = 7;

/** Returns a generator of ids `<node>-<incarnation>-<number>`. */
export function createRequestIds(nodeId: string, incarnation: number): () => string {
  const incarnationSuffix = incarnation.toString(RADIX).slice(-INCARNATION_DIGITS);
  const prefix = `${nodeId}-${incarnationSuffix}-`;
  let issued = 0;
  return () => {
    issued += 1;
    return prefix + issued.toString(RADIX);
  };
}
