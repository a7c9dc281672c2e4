/**
 * Tracks which prepared statements exist on one back-end connection. Names are derived from the
 * statements' content, so that a name never stands for two texts.
 */
import { serialize } from 'pg-protocol';
import type { PreparedStatement } from '../contract.js';
import { BackendMessageType } from '../messages.js';

/** Expected response to one message of a prelude. It is not relayed to the caller. */
export interface PreludeResponse {
  /** Type byte: ParseComplete or CloseComplete. */
  readonly type: number;
  /** Name of the statement that exists once this ParseComplete has been received. */
  readonly prepared: string | undefined;
}

/** Messages to send before a batch, and the responses to expect. */
export interface Prelude {
  readonly messages: readonly Buffer[];
  readonly responses: readonly PreludeResponse[];
}

const EMPTY_PRELUDE: Prelude = { messages: [], responses: [] };

/** Bounded set of statement names, ordered from the least to the most recently used. */
export class PreparedNames {
  private readonly names = new Set<string>();
  /** A DEALLOCATE of one statement was seen: statements that aren't in `names` may still exist. */
  private mayExistUnlisted = false;

  constructor(private readonly maximumNames: number) {}

  get size(): number {
    return this.names.size;
  }

  has(name: string): boolean {
    return this.names.has(name);
  }

  /** Builds the prelude that makes all of `requires` exist; removes the names that it closes. */
  preludeFor(requires: readonly PreparedStatement[]): Prelude {
    const missing = requires.filter((statement) => !this.markUsed(statement.backendName));
    if (missing.length === 0) return EMPTY_PRELUDE;
    const messages: Buffer[] = [];
    const responses: PreludeResponse[] = [];
    const close = (name: string): void => {
      messages.push(serialize.close({ type: 'S', name }));
      responses.push({ type: BackendMessageType.CLOSE_COMPLETE, prepared: undefined });
    };
    for (const name of this.evictLeastRecentlyUsed(missing.length, requires)) close(name);
    const sent = new Set<string>();
    for (const { backendName, text, parameterTypes } of missing) {
      if (sent.has(backendName)) continue;
      sent.add(backendName);
      if (this.mayExistUnlisted) close(backendName);
      messages.push(serialize.parse({ name: backendName, text, types: [...parameterTypes] }));
      responses.push({ type: BackendMessageType.PARSE_COMPLETE, prepared: backendName });
    }
    return { messages, responses };
  }

  /** Adds a name for which ParseComplete was received. */
  add(name: string): void {
    this.names.add(name);
  }

  /** Removes all names after DISCARD ALL or DEALLOCATE ALL: no statement exists. */
  clear(): void {
    this.names.clear();
    this.mayExistUnlisted = false;
  }

  /**
   * After DEALLOCATE of a single statement, whose name the command tag doesn't contain, any of them may be
   * gone. Each is closed before it is prepared again; Close of a missing statement is no error.
   */
  invalidateAll(): void {
    this.names.clear();
    this.mayExistUnlisted = true;
  }

  /** Marks a name as most recently used; false if it isn't in the set. */
  private markUsed(name: string): boolean {
    if (!this.names.delete(name)) return false;
    this.names.add(name);
    return true;
  }

  /** Removes names to make room for `incoming` more and returns them; never one that the batch needs. */
  private evictLeastRecentlyUsed(
    incoming: number,
    requires: readonly PreparedStatement[],
  ): readonly string[] {
    const excess = this.names.size + incoming - this.maximumNames;
    if (excess <= 0) return [];
    const needed = new Set(requires.map((statement) => statement.backendName));
    const closable = [...this.names].filter((name) => !needed.has(name)).slice(0, excess);
    for (const name of closable) this.names.delete(name);
    return closable;
  }
}
