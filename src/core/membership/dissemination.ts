/**
 * Updates that still have to be disseminated. Each is sent a bounded number of times; updates that were
 * never sent go first, the others in round-robin order.
 */
import { type MemberUpdate, updateBytes } from './member.js';

interface QueuedUpdate {
  readonly update: MemberUpdate;
  readonly sendCount: number;
}

/** Queue of updates to disseminate, unsent ones first. */
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
    this.#fresh.set(update.nodeId, { update, sendCount: 0 });
  }

  remove(nodeId: string): void {
    this.#fresh.delete(nodeId);
    this.#repeated.delete(nodeId);
  }

  /** Takes updates for one message, at most `maxBytes` encoded; each is removed after `maxSends` messages. */
  take(maxBytes: number, maxSends: number): MemberUpdate[] {
    const selected: QueuedUpdate[] = [];
    let bytes = 0;
    for (const queued of this.#inOrder()) {
      const size = updateBytes(queued.update);
      if (bytes + size > maxBytes) break;
      bytes += size;
      selected.push(queued);
    }
    for (const queued of selected) this.#countSend(queued, maxSends);
    return selected.map((queued) => queued.update);
  }

  *#inOrder(): IterableIterator<QueuedUpdate> {
    yield* this.#fresh.values();
    yield* this.#repeated.values();
  }

  #countSend(queued: QueuedUpdate, maxSends: number): void {
    const { update } = queued;
    const sendCount = queued.sendCount + 1;
    this.remove(update.nodeId);
    if (sendCount < maxSends) this.#repeated.set(update.nodeId, { update, sendCount: sendCount });
  }
}
