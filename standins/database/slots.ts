/** Limits the number of concurrent statements; others wait in order of arrival. */
export class Slots {
  private running = 0;
  private readonly queue: (() => void)[] = [];

  /** `limit`: maximum number of concurrent statements. */
  constructor(private readonly limit: number) {}

  get inUse(): number {
    return this.running;
  }

  get queued(): number {
    return this.queue.length;
  }

  /** Takes a slot if one is free. A free slot implies that no statement waits. */
  tryAcquire(): boolean {
    if (this.running >= this.limit) return false;
    this.running += 1;
    return true;
  }

  /** Resolves with true once a slot is taken, with false if `signal` aborts first. */
  acquire(signal: AbortSignal): Promise<boolean> {
    if (this.tryAcquire()) return Promise.resolve(true);
    return new Promise((resolve) => {
      const abandon = (): void => {
        this.queue.splice(this.queue.indexOf(grant), 1);
        resolve(false);
      };
      const grant = (): void => {
        signal.removeEventListener('abort', abandon);
        resolve(true);
      };
      if (signal.aborted) return resolve(false);
      this.queue.push(grant);
      signal.addEventListener('abort', abandon, { once: true });
    });
  }

  /** Releases a slot, which passes to the longest waiting statement, if any. */
  release(): void {
    const next = this.queue.shift();
    if (next === undefined) this.running -= 1;
    else next();
  }
}
