/**
 * Which prepared statements exist on one back-end connection. Names derive from the statements'
 * content, so that a name never stands for two texts.
 */
import { serialize } from 'pg-protocol';
import type { PreparedStatement } from '../contract.js';
import { BackendMessageType } from '../messages.js';

/** One answer that the messages put before a batch will get, and that nobody else may see. */
export interface PreludeAnswer {
  /** Type byte: ParseComplete or CloseComplete. */
  readonly type: number;
  /** The statement that exists once this ParseComplete has come. */
  readonly prepared: string | undefined;
}

/** Messages to send before a batch, and the answers that they will get. */
export interface Prelude {
  readonly messages: readonly Buffer[];
  readonly answers: readonly PreludeAnswer[];
}

const EMPTY_PRELUDE: Prelude = { messages: [], answers: [] };

/** Bounded set of statement names, least recently used first. */
export class PreparedNames {
  private readonly names = new Set<string>();
  /** A DEALLOCATE of an unknown name was seen: names forgotten since may exist after all. */
  private mayExistUnnoticed = false;

  constructor(private readonly maximum: number) {}

  get size(): number {
    return this.names.size;
  }

  has(name: string): boolean {
    return this.names.has(name);
  }

  /** What must be sent so that all of `requires` exist; removes the names that it closes. */
  preludeFor(requires: readonly PreparedStatement[]): Prelude {
    const missing = requires.filter((statement) => !this.touch(statement.backendName));
    if (missing.length === 0) return EMPTY_PRELUDE;
    const messages: Buffer[] = [];
    const answers: PreludeAnswer[] = [];
    const close = (name: string): void => {
      messages.push(serialize.close({ type: 'S', name }));
      answers.push({ type: BackendMessageType.CLOSE_COMPLETE, prepared: undefined });
    };
    for (const name of this.takeLeastRecentlyUsed(missing.length, requires)) close(name);
    const sent = new Set<string>();
    for (const { backendName, text, parameterTypes } of missing) {
      if (sent.has(backendName)) continue;
      sent.add(backendName);
      if (this.mayExistUnnoticed) close(backendName);
      messages.push(serialize.parse({ name: backendName, text, types: [...parameterTypes] }));
      answers.push({ type: BackendMessageType.PARSE_COMPLETE, prepared: backendName });
    }
    return { messages, answers };
  }

  /** ParseComplete came for it. */
  add(name: string): void {
    this.names.add(name);
  }

  /** DISCARD ALL or DEALLOCATE ALL: none exists. */
  forgetAll(): void {
    this.names.clear();
    this.mayExistUnnoticed = false;
  }

  /** DEALLOCATE of one name that is not known: each may be gone. Close of a missing one is no error. */
  distrustAll(): void {
    this.names.clear();
    this.mayExistUnnoticed = true;
  }

  /** Marks a name as used; false if it isn't there. */
  private touch(name: string): boolean {
    if (!this.names.delete(name)) return false;
    this.names.add(name);
    return true;
  }

  /** Names to close so that `incoming` more fit; never one that the batch at hand needs. */
  private takeLeastRecentlyUsed(
    incoming: number,
    requires: readonly PreparedStatement[],
  ): readonly string[] {
    const excess = this.names.size + incoming - this.maximum;
    if (excess <= 0) return [];
    const needed = new Set(requires.map((statement) => statement.backendName));
    const closable = [...this.names].filter((name) => !needed.has(name)).slice(0, excess);
    for (const name of closable) this.names.delete(name);
    return closable;
  }
}
