/** Tells those who wait for something that it is not wanted any more. */

/** Cancelled once; lighter than an `AbortController`, of which each read would need one. */
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

  /** Returns a function that ends the listening. */
  listen(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => void this.#listeners.delete(listener);
  }
}

/** Listens to all of them; returns a function that ends the listening. */
export function listenToAll(
  cancellations: readonly Cancellation[],
  listener: () => void,
): () => void {
  const removers = cancellations.map((cancellation) => cancellation.listen(listener));
  return () => {
    for (const end of removers) end();
  };
}

/** Whether any of them is cancelled. */
export function isAnyCancelled(cancellations: readonly Cancellation[]): boolean {
  return cancellations.some(({ isCancelled }) => isCancelled);
}
