/**
 * Promise 3: statements of different transactions never run in one transaction. Each transaction
 * inserts unique rows, and the database's log shows which rows were committed together.
 */
import type { CommitRecord, History, TransactionRecord } from '../history/model.js';
import { groupCommitsByRow, rowKey } from './commits.js';
import type { Violation, ViolationReason } from './violation.js';

export function checkTransactions(history: History): Violation[] {
  const ownerOfRow = new Map<string, TransactionRecord>();
  for (const transaction of history.transactions) {
    for (const row of transaction.rows) {
      ownerOfRow.set(rowKey(transaction.group, row), transaction);
    }
  }
  const mixed = history.commits.flatMap((commit) => checkCommit(commit, ownerOfRow));
  return [...mixed, ...checkAtomicity(history)];
}

function checkCommit(
  commit: CommitRecord,
  ownerOfRow: ReadonlyMap<string, TransactionRecord>,
): Violation[] {
  const owners = new Map<string, TransactionRecord>();
  for (const row of commit.rows) {
    const owner = ownerOfRow.get(rowKey(commit.group, row));
    if (owner !== undefined) owners.set(owner.attemptId, owner);
  }
  if (owners.size <= 1) return [];
  const tenants = new Set([...owners.values()].map((owner) => owner.tenant));
  const names = [...owners.keys()].join(', ');
  const detail = `one commit in ${commit.group} holds ${names} of ${tenants.size} tenants`;
  return [createViolation('transactions-in-one-commit', detail, commit.committedAt)];
}

function checkAtomicity(history: History): Violation[] {
  const commitsByRow = groupCommitsByRow(history.commits);
  const violations: Violation[] = [];
  for (const transaction of history.transactions) {
    const positionsPerRow = transaction.rows.map((row) =>
      survivingPositions(commitsByRow.get(rowKey(transaction.group, row)) ?? []),
    );
    const distinct = new Set(positionsPerRow);
    if (distinct.size <= 1) continue;
    const isAcknowledged = transaction.outcome === 'done';
    const hasMissingRow = positionsPerRow.includes('');
    const reason =
      isAcknowledged && hasMissingRow ? 'acknowledged-transaction-incomplete' : 'transaction-split';
    const detail = `${transaction.attemptId}: rows in different commits: ${[...distinct].join(' | ')}`;
    violations.push(createViolation(reason, detail, history.endedAt));
  }
  return violations;
}

/** Positions of the surviving commits that contain a row; empty if there are none. */
function survivingPositions(commits: readonly CommitRecord[]): string {
  const surviving = commits.filter((commit) => commit.survived);
  return surviving.map(({ position }) => `${position.timeline}:${position.lsn}`).join(',');
}

function createViolation(reason: ViolationReason, detail: string, at: number): Violation {
  return { promise: 'transactionsNeverMixed', reason, detail, at };
}
