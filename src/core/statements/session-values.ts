/**
 * Session state that has to be moved between pooled connections: values and prepared statements. Plans what an
 * instance connection needs before a session's next statement may run on it.
 */
import type { Access } from '../request.js';

/** A caller's prepared statement; at instances its name is derived from its content. */
export interface PreparedStatement {
  readonly access: Access;
  readonly shape: string;
  /** Name at instances; equal for equal content, so that sessions share the statement. */
  readonly sharedName: string;
}

/** Values that one session has set. */
export interface SessionValues {
  readonly values: ReadonlyMap<string, string>;
}

/** Session state that one instance connection has. */
export interface ConnectionValues {
  readonly values: ReadonlyMap<string, string>;
  readonly preparedNames: ReadonlySet<string>;
}

/** Steps to take before the statement, in this order. */
export interface SynchronisationPlan {
  /** Whether to drop all values and prepared statements first. */
  readonly reset: boolean;
  readonly assignments: readonly (readonly [name: string, value: string])[];
}

/** Plans the steps after which the connection has exactly the session's values. */
export function planSynchronisation(
  session: ReadonlyMap<string, string>,
  connection: ReadonlyMap<string, string>,
): SynchronisationPlan {
  let reset = false;
  for (const name of connection.keys()) if (!session.has(name)) reset = true;
  const assignments: (readonly [string, string])[] = [];
  for (const [name, value] of session) {
    if (reset || connection.get(name) !== value) assignments.push([name, value]);
  }
  return { reset, assignments };
}

/** Number of statements needed to synchronise the connection with the session; 0 if their values are equal. */
export function synchronisationCost(
  session: ReadonlyMap<string, string>,
  connection: ReadonlyMap<string, string>,
): number {
  const plan = planSynchronisation(session, connection);
  return plan.assignments.length + (plan.reset ? 1 : 0);
}
