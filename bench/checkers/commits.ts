/** Finds commits by the rows they contain. */
import type { GroupName } from '../../src/core/request.js';
import type { CommitRecord, RequestRecord } from '../history/model.js';

/** Identifies a row across groups. */
export function rowKey(group: GroupName, row: string): string {
  return `${group}/${row}`;
}

export type CommitsByRow = ReadonlyMap<string, readonly CommitRecord[]>;

export function groupCommitsByRow(commits: readonly CommitRecord[]): CommitsByRow {
  const byRow = new Map<string, CommitRecord[]>();
  for (const commit of commits) {
    for (const row of commit.rows) addTo(byRow, rowKey(commit.group, row), commit);
  }
  return byRow;
}

/** Commits, surviving or not, that contain the row that this attempt inserts. */
export function commitsOf(
  request: RequestRecord,
  commitsByRow: CommitsByRow,
): readonly CommitRecord[] {
  if (request.effectRow === undefined) return [];
  return commitsByRow.get(rowKey(request.group, request.effectRow)) ?? [];
}

function addTo(byRow: Map<string, CommitRecord[]>, key: string, commit: CommitRecord): void {
  const commits = byRow.get(key);
  if (commits === undefined) byRow.set(key, [commit]);
  else commits.push(commit);
}
