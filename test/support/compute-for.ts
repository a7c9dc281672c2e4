/** Blocks the event loop for this time. */
export function computeFor(milliseconds: number): void {
  const until = performance.now() + milliseconds;
  while (performance.now() < until);
}
