/** One watch of the store stand-in: a streamed HTTP response, one JSON object per line. */
import type { ServerResponse } from 'node:http';
import { performance } from 'node:perf_hooks';
import type { StoreEngine } from './engine.js';
import { isInRange } from './key-space.js';
import type { WatchMessage } from './messages.js';
import type { Commit } from './model.js';
import { eventJson, headerJson, type JsonObject } from './responses.js';

const WATCH_ID = '0';

/** Whether lines are held back now, and the delay of each. Evaluated for every line. */
export interface StreamPace {
  readonly isHeld: boolean;
  readonly delayMs: number;
}

interface PendingLine {
  readonly line: JsonObject;
  /** Earliest time to send it, on the process's monotonic clock. */
  readonly dueAtMs: number;
}

export class WatchStream {
  readonly #pending: PendingLine[] = [];
  #flushTimer: NodeJS.Timeout | undefined;
  readonly #unsubscribe: () => void;
  readonly #progressTimer: NodeJS.Timeout | undefined;
  #isEnded = false;

  constructor(
    private readonly engine: StoreEngine,
    private readonly message: WatchMessage,
    private readonly response: ServerResponse,
    private readonly pace: () => StreamPace,
    progressIntervalMs: number,
  ) {
    response.writeHead(200, { 'content-type': 'application/json' });
    this.#send({ created: true });
    this.#unsubscribe = engine.subscribe((commit) => this.#deliver(commit));
    if (message.progressNotify) {
      this.#progressTimer = setInterval(() => this.#send({}), progressIntervalMs);
    }
    response.on('close', () => this.#stop());
    this.#replay();
  }

  /** Sends the lines that are due, in order, unless lines are held back. */
  flush(): void {
    clearTimeout(this.#flushTimer);
    if (this.pace().isHeld) return;
    const now = performance.now();
    for (let first = this.#pending[0]; first !== undefined; first = this.#pending[0]) {
      if (first.dueAtMs > now) {
        this.#flushTimer = setTimeout(() => this.flush(), first.dueAtMs - now);
        return;
      }
      this.#pending.shift();
      this.#writeLine(first.line);
    }
  }

  #replay(): void {
    const { startRevision } = this.message;
    if (startRevision === 0) return;
    if (startRevision < this.engine.compactedRevision) {
      const compactRevision = String(this.engine.compactedRevision);
      this.#send({ canceled: true, compact_revision: compactRevision });
      this.#stop();
      return;
    }
    for (const commit of this.engine.commitsFrom(startRevision)) this.#deliver(commit);
  }

  #deliver(commit: Commit): void {
    if (commit.revision < this.message.startRevision) return;
    const events = commit.events.filter((event) => {
      return isInRange(event.type === 'PUT' ? event.entry.key : event.key, this.message.range);
    });
    if (events.length > 0) this.#send({ events: events.map(eventJson) }, commit.revision);
  }

  #send(fields: JsonObject, revision = this.engine.revision): void {
    if (this.#isEnded) return;
    const line = { result: { header: headerJson(revision), watch_id: WATCH_ID, ...fields } };
    this.#pending.push({ line, dueAtMs: performance.now() + this.pace().delayMs });
    this.flush();
  }

  #writeLine(line: JsonObject): void {
    if (!this.response.destroyed) this.response.write(`${JSON.stringify(line)}\n`);
  }

  #stop(): void {
    this.#isEnded = true;
    clearInterval(this.#progressTimer);
    this.#unsubscribe?.();
  }
}
