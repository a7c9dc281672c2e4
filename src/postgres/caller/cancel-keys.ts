/** Keys that identify the connection to cancel in a CancelRequest, which arrives on another connection. */
import { randomBytes, timingSafeEqual } from 'node:crypto';

export interface CancelKey {
  /** Positive, unique among the open connections of this process. */
  readonly processId: number;
  readonly secretKey: number;
}

interface Entry {
  readonly secret: Buffer;
  readonly cancel: () => void;
}

const KEY_BYTES = 4;

/** Issues keys. Both of their numbers are random: 63 bits to guess. */
export class CancelKeyRegistry {
  private readonly entries = new Map<number, Entry>();

  register(cancel: () => void): CancelKey {
    const secret = randomBytes(KEY_BYTES);
    let processId = randomProcessId();
    while (processId === 0 || this.entries.has(processId)) processId = randomProcessId();
    this.entries.set(processId, { secret, cancel });
    return { processId, secretKey: secret.readInt32BE() };
  }

  release(key: CancelKey): void {
    this.entries.delete(key.processId);
  }

  /** Ignores a wrong key. The sender gets no response in either case. */
  cancel(key: CancelKey): void {
    const entry = this.entries.get(key.processId);
    if (entry === undefined) return;
    const received = Buffer.alloc(KEY_BYTES);
    received.writeInt32BE(key.secretKey);
    if (timingSafeEqual(received, entry.secret)) entry.cancel();
  }
}

function randomProcessId(): number {
  return randomBytes(KEY_BYTES).readUInt32BE() >>> 1;
}
