/** The row that claims a key, and the SQL around it. See docs/design/at-most-once.md. */
import { err, ok, type Result } from 'neverthrow';
import type { TenantName } from '../request.js';
import { InvalidOnceKeyError } from './errors.js';

/** Longest key, in characters (all of one byte). */
export const MAX_ONCE_KEY_LENGTH = 200;

/** Creates the table of claims; run by the operator, or by the proxy when it is found missing. */
export const CREATE_ONCE_TABLE = `CREATE TABLE IF NOT EXISTS meadowstack_once (
  tenant text NOT NULL,
  once_key text NOT NULL,
  created_at timestamptz DEFAULT now(),
  PRIMARY KEY (tenant, once_key)
)`;

const KEY_PATTERN = new RegExp(`^[A-Za-z0-9._:@/+=-]{1,${MAX_ONCE_KEY_LENGTH}}$`);

/** A key that was checked, of one tenant. */
export interface OnceClaim {
  readonly tenant: TenantName;
  readonly onceKey: string;
}

/** Checks the key of a marker. */
export function parseOnceClaim(
  tenant: TenantName,
  onceKey: string,
): Result<OnceClaim, InvalidOnceKeyError> {
  if (!KEY_PATTERN.test(onceKey)) return err(new InvalidOnceKeyError());
  return ok({ tenant, onceKey });
}

/**
 * The statement that claims the key. It waits while another transaction holds the same key, then
 * fails with a unique violation if that one committed.
 */
export function claimStatement(claim: OnceClaim): string {
  const tenant = quoteLiteral(claim.tenant);
  const onceKey = quoteLiteral(claim.onceKey);
  return `INSERT INTO meadowstack_once (tenant, once_key) VALUES (${tenant}, ${onceKey})`;
}

/** A literal for a server with `standard_conforming_strings`, the default since PostgreSQL 9.1. */
function quoteLiteral(text: string): string {
  return `'${text.replaceAll("'", "''")}'`;
}
