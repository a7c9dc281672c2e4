/** A progress line on standard error: one that is rewritten on a terminal, one a few seconds else. */
import type { RequestRecord } from '../history/model.js';

const TERMINAL_PERIOD_MS = 500;
const PLAIN_PERIOD_MS = 5_000;
const MS_PER_SECOND = 1_000;

export class Progress {
  readonly #counts = new Map<string, number>();
  readonly #timer: NodeJS.Timeout;
  readonly #startedAt = performance.now();

  constructor(private readonly label: string) {
    const period = process.stderr.isTTY ? TERMINAL_PERIOD_MS : PLAIN_PERIOD_MS;
    this.#timer = setInterval(() => this.#write(), period);
  }

  record({ outcome }: RequestRecord): void {
    this.#counts.set(outcome, (this.#counts.get(outcome) ?? 0) + 1);
  }

  /** A line of its own. */
  note(text: string): void {
    this.#clear();
    process.stderr.write(`${this.#seconds()} s  ${text}\n`);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#clear();
  }

  #write(): void {
    this.#clear();
    const counts = [...this.#counts].map(([outcome, count]) => `${outcome} ${count}`).join('  ');
    const end = process.stderr.isTTY ? '' : '\n';
    process.stderr.write(`${this.#seconds()} s  ${this.label}  ${counts}${end}`);
  }

  #clear(): void {
    if (process.stderr.isTTY) process.stderr.write('\r\u001b[K');
  }

  #seconds(): string {
    return ((performance.now() - this.#startedAt) / MS_PER_SECOND).toFixed(1).padStart(6);
  }
}
