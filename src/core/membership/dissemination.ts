/**
 * Updates that still have to be spread. Each is sent a bounded number of times; those that were
 * never sent go first, the others take turns.
 */
import { type MemberUpdate, updateBytes } from './member.js';

interface QueuedUpdate {
  readonly update: MemberUpdate;
  readonly sent: number;
}

/** Updates to be spread, the least often sent first. */
export class DisseminationQueue {
  readonly #fresh = new Map<string, QueuedUpdate>();
  readonly #repeated = new Map<string, QueuedUpdate>();

  get isEmpty(): boolean {
    return this.#fresh.size + this.#repeated.size === 0;
  }

  get size(): number {
    return this.#fresh.size + this.#repeated.size;
  }

  /** Queues an update in place of an older one about the same member. */
  add(update: MemberUpdate): void {
    this.remove(update.nodeId);
    this.#fresh.set(update.nodeId, { update, sent: 0 });
  }

  remove(nodeId: string): void {
    this.#fresh.delete(nodeId);
    this.#repeated.delete(nodeId);
  }

  /** Updates for one message, at most `maxBytes` encoded; each leaves after `maxSends` messages. */
  take(maxBytes: number, maxSends: number): MemberUpdate[] {
    const chosen: QueuedUpdate[] = [];
    let bytes = 0;
    for (const queued of this.#inOrder()) {
      const size = updateBytes(queued.update);
      if (bytes + size > maxBytes) break;
      bytes += size;
      chosen.push(queued);
    }
    for (const queued of chosen) this.#countSend(queued, maxSends);
    return chosen.map((queued) => queued.update);
  }

  *#inOrder(): IterableIterator<QueuedUpdate> {
    yield* this.#fresh.values();
    yield* this.#repeated.values();
  }

  #countSend(queued: QueuedUpdate, maxSends: number): void {
    const { update } = queued;
    const sent = queued.sent + 1;
    this.remove(update.nodeId);
    if (sent < maxSends) this.#repeated.set(update.nodeId, { update, sent });
  }
}
