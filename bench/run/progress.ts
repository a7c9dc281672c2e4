/** Progress on standard error: on a terminal one line that is rewritten, otherwise a new line every few seconds. */
import type { RequestRecord } from '../history/model.js';

const TERMINAL_PERIOD_MS = 500;
const PLAIN_PERIOD_MS = 5_000;
const MS_PER_SECOND = 1_000;

export class Progress {
  readonly #countByOutcome = new Map<string, number>();
  readonly #timer: NodeJS.Timeout;
  readonly #startedAt = performance.now();

  constructor(private readonly label: string) {
    const periodMs = process.stderr.isTTY ? TERMINAL_PERIOD_MS : PLAIN_PERIOD_MS;
    this.#timer = setInterval(() => this.#writeProgress(), periodMs);
  }

  recordAttempt({ outcome }: RequestRecord): void {
    this.#countByOutcome.set(outcome, (this.#countByOutcome.get(outcome) ?? 0) + 1);
  }

  /** Writes a message on a separate line. */
  writeMessage(text: string): void {
    this.#clearLine();
    process.stderr.write(`${this.#elapsedSeconds()} s  ${text}\n`);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#clearLine();
  }

  #writeProgress(): void {
    this.#clearLine();
    const counts = [...this.#countByOutcome]
      .map(([outcome, count]) => `${outcome} ${count}`)
      .join('  ');
    const end = process.stderr.isTTY ? '' : '\n';
    process.stderr.write(`${this.#elapsedSeconds()} s  ${this.label}  ${counts}${end}`);
  }

  #clearLine(): void {
    if (process.stderr.isTTY) process.stderr.write('\r\u001b[K');
  }

  #elapsedSeconds(): string {
    return ((performance.now() - this.#startedAt) / MS_PER_SECOND).toFixed(1).padStart(6);
  }
}
