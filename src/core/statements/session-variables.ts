/** Values and prepared statements of one session, limited so that no session exhausts the node's memory. */
import type { Access } from '../request.js';
import type { PreparedStatement } from './session-values.js';

/** Derives the name of a prepared statement from its content: equal content has the same name in all sessions. */
export type SharedNameFactory = (access: Access, shape: string) => string;

export class SessionVariables {
  readonly #values = new Map<string, string>();
  readonly #prepared = new Map<string, PreparedStatement>();

  /** @param maxEntries limit for values, and separately for prepared statements, of the session */
  constructor(
    private readonly sharedNameOf: SharedNameFactory,
    private readonly maxEntries: () => number,
  ) {}

  get values(): ReadonlyMap<string, string> {
    return this.#values;
  }

  /** Returns false if the session has too many values. */
  set(name: string, value: string): boolean {
    if (!this.#hasRoom(this.#values, name)) return false;
    this.#values.set(name, value);
    return true;
  }

  /** Returns false if the session has too many prepared statements. */
  prepare(name: string, access: Access, shape: string): boolean {
    if (!this.#hasRoom(this.#prepared, name)) return false;
    this.#prepared.set(name, { access, shape, sharedName: this.sharedNameOf(access, shape) });
    return true;
  }

  prepared(name: string): PreparedStatement | undefined {
    return this.#prepared.get(name);
  }

  /** Returns false if there is no such statement. */
  deallocate(name: string): boolean {
    return this.#prepared.delete(name);
  }

  #hasRoom(entries: ReadonlyMap<string, unknown>, name: string): boolean {
    return entries.has(name) || entries.size < this.maxEntries();
  }
}
