/**
 * Session state that pooling must carry along: values and prepared statements. Says what an instance
 * connection lacks before a session's next statement may run on it.
 */
import type { Access } from '../request.js';

/** A prepared statement of a caller, known at instances by a name made from its content. */
export interface PreparedStatement {
  readonly access: Access;
  readonly shape: string;
  /** Name at instances: the same for equal content, so that sessions share it. */
  readonly sharedName: string;
}

/** What one session has set. */
export interface SessionValues {
  readonly values: ReadonlyMap<string, string>;
}

/** What one instance connection holds. */
export interface ConnectionValues {
  readonly values: ReadonlyMap<string, string>;
  readonly preparedNames: ReadonlySet<string>;
}

/** Steps before the statement, in order. */
export interface SynchronisationPlan {
  /** Drop all values and prepared statements first. */
  readonly reset: boolean;
  readonly assignments: readonly (readonly [name: string, value: string])[];
}

/** What has to be sent so that the connection's values are exactly the session's. */
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

/** Statements that the connection is away from the session: 0 if it fits as it is. */
export function synchronisationCost(
  session: ReadonlyMap<string, string>,
  connection: ReadonlyMap<string, string>,
): number {
  const plan = planSynchronisation(session, connection);
  return plan.assignments.length + (plan.reset ? 1 : 0);
}
