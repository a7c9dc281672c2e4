/**
 * Promise 3: statements of different transactions never run inside the same transaction. Each
 * transaction inserts rows of its own; the database's log shows which rows were committed together.
 */
import type { CommitRecord, History, TransactionRecord } from '../history/model.js';
import { effectKey, groupCommitsByRow } from './commits.js';
import type { Violation, ViolationReason } from './violation.js';

export function checkTransactions(history: History): Violation[] {
  const ownerOfRow = new Map<string, TransactionRecord>();
  for (const transaction of history.transactions) {
    for (const row of transaction.rows) {
      ownerOfRow.set(effectKey(transaction.group, row), transaction);
    }
  }
  const mixed = history.commits.flatMap((commit) => checkCommit(commit, ownerOfRow));
  return [...mixed, ...checkWholeness(history)];
}

function checkCommit(
  commit: CommitRecord,
  ownerOfRow: ReadonlyMap<string, TransactionRecord>,
): Violation[] {
  const owners = new Map<string, TransactionRecord>();
  for (const row of commit.rows) {
    const owner = ownerOfRow.get(effectKey(commit.group, row));
    if (owner !== undefined) owners.set(owner.attemptId, owner);
  }
  if (owners.size <= 1) return [];
  const tenants = new Set([...owners.values()].map((owner) => owner.tenant));
  const names = [...owners.keys()].join(', ');
  const detail = `one commit in ${commit.group} holds ${names} of ${tenants.size} tenants`;
  return [violationOf('transactions-in-one-commit', detail, commit.committedAt)];
}

function checkWholeness(history: History): Violation[] {
  const commitsByRow = groupCommitsByRow(history.commits);
  const violations: Violation[] = [];
  for (const transaction of history.transactions) {
    const perRow = transaction.rows.map((row) =>
      survivingPositions(commitsByRow.get(effectKey(transaction.group, row)) ?? []),
    );
    const distinct = new Set(perRow);
    if (distinct.size <= 1) continue;
    const acknowledged = transaction.outcome === 'done';
    const missing = perRow.includes('');
    const reason =
      acknowledged && missing ? 'acknowledged-transaction-incomplete' : 'transaction-split';
    const detail = `${transaction.attemptId}: rows in different commits: ${[...distinct].join(' | ')}`;
    violations.push(violationOf(reason, detail, history.endedAt));
  }
  return violations;
}

/** Text of the surviving commits that hold a row; empty if none does. */
function survivingPositions(commits: readonly CommitRecord[]): string {
  const surviving = commits.filter((commit) => commit.survived);
  return surviving.map(({ position }) => `${position.timeline}:${position.lsn}`).join(',');
}

function violationOf(reason: ViolationReason, detail: string, at: number): Violation {
  return { promise: 'transactionsNeverMixed', reason, detail, at };
}
