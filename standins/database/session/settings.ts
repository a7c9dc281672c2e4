/** Run-time settings of a session, with SET LOCAL and the revert of SET by ROLLBACK. */

import { parameterStatus } from '../wire/backend.js';
import type { Output } from '../wire/output.js';

export const SERVER_VERSION = '16.0';

const DEFAULTS: ReadonlyMap<string, string> = new Map([
  ['application_name', ''],
  ['client_encoding', 'UTF8'],
  ['datestyle', 'ISO, MDY'],
  ['default_transaction_read_only', 'off'],
  ['integer_datetimes', 'on'],
  ['intervalstyle', 'postgres'],
  ['is_superuser', 'off'],
  ['lock_timeout', '0'],
  ['search_path', '"$user", public'],
  ['server_encoding', 'UTF8'],
  ['server_version', SERVER_VERSION],
  ['server_version_num', '160000'],
  ['standard_conforming_strings', 'on'],
  ['statement_timeout', '0'],
  ['timezone', 'UTC'],
  ['transaction_isolation', 'read committed'],
]);

/** Settings that a server reports at the start and after each change, in the manual's spelling. */
const REPORTED_NAMES: ReadonlyMap<string, string> = new Map([
  ['application_name', 'application_name'],
  ['client_encoding', 'client_encoding'],
  ['datestyle', 'DateStyle'],
  ['default_transaction_read_only', 'default_transaction_read_only'],
  ['integer_datetimes', 'integer_datetimes'],
  ['intervalstyle', 'IntervalStyle'],
  ['is_superuser', 'is_superuser'],
  ['server_encoding', 'server_encoding'],
  ['server_version', 'server_version'],
  ['standard_conforming_strings', 'standard_conforming_strings'],
  ['timezone', 'TimeZone'],
]);

export class Settings {
  private readonly initial: ReadonlyMap<string, string>;
  /** Never modified in place: `valuesAtBegin` keeps the map from the start of a transaction. */
  private current: ReadonlyMap<string, string>;
  private valuesAtBegin: ReadonlyMap<string, string> | undefined;
  private readonly localOriginals = new Map<string, string | undefined>();

  constructor(
    startup: ReadonlyMap<string, string>,
    private readonly output: Output,
  ) {
    const given = [...startup].map(([name, value]) => [name.toLowerCase(), value] as const);
    const settings = given.filter(([name]) => !['user', 'database', 'options'].includes(name));
    this.initial = new Map([...DEFAULTS, ...settings]);
    this.current = this.initial;
  }

  reportAll(): void {
    for (const name of REPORTED_NAMES.keys()) this.report(name);
  }

  private report(name: string): void {
    const spelling = REPORTED_NAMES.get(name);
    if (spelling === undefined) return;
    this.output.add(parameterStatus(spelling, this.current.get(name) ?? ''));
  }

  get(name: string): string | undefined {
    return this.current.get(name);
  }

  /** Sets a value; undefined restores the session's initial value. */
  set(name: string, value: string | undefined, local: boolean): void {
    if (local && !this.localOriginals.has(name)) {
      this.localOriginals.set(name, this.current.get(name));
    }
    if (!local) this.localOriginals.delete(name);
    this.setCurrent(name, value ?? this.initial.get(name));
  }

  private setCurrent(name: string, value: string | undefined): void {
    if (this.current.get(name) === value) return;
    const changed = new Map(this.current);
    if (value === undefined) changed.delete(name);
    else changed.set(name, value);
    this.current = changed;
    this.report(name);
  }

  resetAll(): void {
    this.restore(this.initial);
  }

  private restore(values: ReadonlyMap<string, string>): void {
    if (values === this.current) return;
    for (const name of new Set([...this.current.keys(), ...values.keys()])) {
      this.setCurrent(name, values.get(name));
    }
  }

  beginTransaction(): void {
    this.valuesAtBegin = this.current;
  }

  endTransaction(committed: boolean): void {
    if (committed) for (const [name, value] of this.localOriginals) this.setCurrent(name, value);
    else if (this.valuesAtBegin !== undefined) this.restore(this.valuesAtBegin);
    this.localOriginals.clear();
    this.valuesAtBegin = undefined;
  }
}
