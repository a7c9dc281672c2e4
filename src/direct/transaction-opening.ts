/** Opens transactions at instances, for the first statement or ahead of it. */
import { err, ok, type Result } from 'neverthrow';
import type { StatementAnswer } from '../core/statements/statement.js';
import type { Milliseconds } from '../core/units.js';
import type { InstanceConnection } from './instance-connection.js';
import type { InstanceRuntime } from './service-runtime.js';
import type { Refusal, StatementRunner } from './statement-runner.js';
import { synchronise } from './synchronise.js';
import type { Placement, Target } from './target-chooser.js';
import { firstWithin } from './within.js';

/**
 * A transaction that was opened ahead of its first statement is used for so long. Short against the
 * margin that reads of some age have, so that the position it began with still does.
 */
export const USED_AHEAD_MS = 100;
/** A rollback that is not answered in this time ends the connection instead. */
const ROLLBACK_TIMEOUT_MS = 2000;

/** What is to be opened. */
export interface TransactionOpening {
  readonly placement: Placement;
  readonly readOnly: boolean;
  readonly deadline: Milliseconds;
}

/** An open transaction: it alone uses the connection. */
export interface OpenTransaction {
  readonly connection: InstanceConnection;
  readonly instance: InstanceRuntime;
}

/** Why a transaction could not be opened, and where that was tried. */
export interface OpenFailure {
  readonly refusal: Refusal;
  readonly instanceId: string | undefined;
}

export function failureToOpen(instance: InstanceRuntime | undefined, text: string): OpenFailure {
  return { refusal: { code: 'busy', text }, instanceId: instance?.id };
}

/** Takes a connection of the chosen instance and begins there. */
export async function openTransaction(
  runner: StatementRunner,
  { placement, readOnly, deadline }: TransactionOpening,
  chosen: Target,
): Promise<Result<OpenTransaction, OpenFailure>> {
  const { now, wire } = runner.options;
  const { instance } = chosen;
  const { route, session } = placement;
  const acquired = await instance.pool.acquire({
    tenant: route.name,
    priority: route.priority,
    values: session.values,
    deadline,
  });
  if (acquired.isErr()) {
    runner.noteUnreachable(placement, instance, acquired.error);
    return err(failureToOpen(instance, 'no connection'));
  }
  const connection = acquired.value;
  const target = runner.targets.recheck(placement, chosen);
  if (target === undefined) {
    instance.pool.release(connection);
    return err(failureToOpen(undefined, 'the primary changed'));
  }
  connection.cork();
  synchronise(connection, session.values, undefined, wire);
  const after = readOnly ? target.after : undefined;
  const exchange = connection.exchange(wire.encodeBegin(readOnly, after));
  connection.uncork();
  const patienceMs = Math.min(deadline - now(), instance.pool.patienceMs);
  const begun = await firstWithin([exchange], patienceMs);
  if (begun === undefined || begun.isErr()) {
    connection.close();
    runner.noteNoAnswer(placement, instance, connection, begun);
    return err(failureToOpen(instance, 'no answer to BEGIN'));
  }
  const { error, state } = begun.value;
  if (error !== undefined || state !== 'open') {
    void rollBack({ connection, instance }, wire.encodeRollback(), state);
    const refusal = error ?? { code: 'busy' as const, text: 'BEGIN had no effect' };
    return err({ refusal, instanceId: instance.id });
  }
  return ok({ connection, instance });
}

/** Ends a transaction without keeping anything, and gives its connection back. */
export async function rollBack(
  { connection, instance }: OpenTransaction,
  message: string,
  state: StatementAnswer['state'] = 'open',
): Promise<void> {
  if (state === 'idle') {
    instance.pool.release(connection);
    return;
  }
  const answer = await firstWithin([connection.exchange(message)], ROLLBACK_TIMEOUT_MS);
  if (answer?.isOk() === true && answer.value.state === 'idle') instance.pool.release(connection);
  else connection.close();
}

/** A transaction that is being opened, or was, before its first statement came. */
export class AheadOpening {
  constructor(
    readonly opened: Promise<Result<OpenTransaction, OpenFailure>>,
    readonly chosen: Target,
    private readonly begunAt: Milliseconds,
  ) {}

  /** True while the first statement may rely on it. */
  isFresh(now: Milliseconds): boolean {
    return now - this.begunAt <= USED_AHEAD_MS;
  }

  /** Nobody uses it: it is rolled back once it is open. */
  async drop(rollback: string): Promise<void> {
    const opened = await this.opened;
    if (opened.isOk()) await rollBack(opened.value, rollback);
  }
}
