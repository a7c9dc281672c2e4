/** Wall time with sub-millisecond steps: comparable with the stand-ins' stamps on this machine. */
const OFFSET_MS = Date.now() - performance.now();

/** Milliseconds since the Unix epoch; never goes back. */
export function nowMs(): number {
  return OFFSET_MS + performance.now();
}
