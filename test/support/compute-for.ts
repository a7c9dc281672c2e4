/** Keeps the process busy, so that it is late with everything else. */
export function computeFor(milliseconds: number): void {
  const until = performance.now() + milliseconds;
  while (performance.now() < until);
}
