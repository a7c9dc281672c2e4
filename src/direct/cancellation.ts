/** Cancellation of work whose result is no longer needed. */

/** Can be cancelled once. Cheaper than an `AbortController`, of which every read would need one. */
export class Cancellation {
  #isCancelled = false;
  readonly #listeners = new Set<() => void>();

  get isCancelled(): boolean {
    return this.#isCancelled;
  }

  cancel(): void {
    if (this.#isCancelled) return;
    this.#isCancelled = true;
    for (const listener of [...this.#listeners]) listener();
    this.#listeners.clear();
  }

  /** Returns a function that removes the listener. */
  listen(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => void this.#listeners.delete(listener);
  }
}

/** Adds the listener to all of them; returns a function that removes it. */
export function listenToAll(
  cancellations: readonly Cancellation[],
  listener: () => void,
): () => void {
  const removers = cancellations.map((cancellation) => cancellation.listen(listener));
  return () => {
    for (const end of removers) end();
  };
}

export function isAnyCancelled(cancellations: readonly Cancellation[]): boolean {
  return cancellations.some(({ isCancelled }) => isCancelled);
}
