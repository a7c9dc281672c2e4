/** Wall-clock time with sub-millisecond resolution, comparable with the stand-ins' timestamps on this machine. */
const OFFSET_MS = Date.now() - performance.now();

/** Milliseconds since the Unix epoch; never goes back. */
export function nowMs(): number {
  return OFFSET_MS + performance.now();
}
