/** Sends a session's values and prepared statement to a connection that lacks them. */
import { type PreparedStatement, planSynchronisation } from '../core/statements/session-values.js';
import type { InstanceConnection } from './instance-connection.js';
import type { StatementWire } from './wire.js';

/**
 * Call it directly before the statement is sent, with the connection corked, so that it costs no round
 * trip. A response other than success is only possible on a connection that is ending, so that the
 * connection is closed.
 */
export function synchronise(
  connection: InstanceConnection,
  values: ReadonlyMap<string, string>,
  prepared: PreparedStatement | undefined,
  wire: StatementWire,
): void {
  const plan = planSynchronisation(values, connection.values);
  if (plan.reset) {
    connection.values.clear();
    connection.preparedNames.clear();
    send(connection, wire.encodeReset());
  }
  for (const [name, value] of plan.assignments) {
    connection.values.set(name, value);
    send(connection, wire.encodeSet(name, value));
  }
  if (prepared === undefined || connection.preparedNames.has(prepared.sharedName)) return;
  connection.preparedNames.add(prepared.sharedName);
  send(connection, wire.encodePrepare(prepared.sharedName, prepared.access, prepared.shape));
}

function send(connection: InstanceConnection, message: string): void {
  void connection.exchange(message).then((answer) => {
    if (answer.isErr() || answer.value.error !== undefined) connection.close();
  });
}
