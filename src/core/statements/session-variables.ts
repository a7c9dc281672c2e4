/** Values and prepared statements of one session, bounded so that no session exhausts the node. */
import type { Access } from '../request.js';
import type { PreparedStatement } from './session-values.js';

/** Names a prepared statement by its content: equal content has one name, whoever prepared it. */
export type SharedNaming = (access: Access, shape: string) => string;

export class SessionVariables {
  readonly #values = new Map<string, string>();
  readonly #prepared = new Map<string, PreparedStatement>();

  /** @param maxEntries values, and prepared statements, that the session may hold */
  constructor(
    private readonly nameOf: SharedNaming,
    private readonly maxEntries: () => number,
  ) {}

  get values(): ReadonlyMap<string, string> {
    return this.#values;
  }

  /** False if the session holds too many values. */
  set(name: string, value: string): boolean {
    if (!this.#hasRoom(this.#values, name)) return false;
    this.#values.set(name, value);
    return true;
  }

  /** False if the session holds too many prepared statements. */
  prepare(name: string, access: Access, shape: string): boolean {
    if (!this.#hasRoom(this.#prepared, name)) return false;
    this.#prepared.set(name, { access, shape, sharedName: this.nameOf(access, shape) });
    return true;
  }

  prepared(name: string): PreparedStatement | undefined {
    return this.#prepared.get(name);
  }

  /** False if there is no such statement. */
  deallocate(name: string): boolean {
    return this.#prepared.delete(name);
  }

  #hasRoom(entries: ReadonlyMap<string, unknown>, name: string): boolean {
    return entries.has(name) || entries.size < this.maxEntries();
  }
}
