/** The row that claims an idempotency key, and its SQL. See docs/design/at-most-once.md. */
import { err, ok, type Result } from 'neverthrow';
import type { TenantName } from '../request.js';
import { InvalidOnceKeyError } from './errors.js';

/** Maximum length of a key, in characters (all are single-byte). */
export const MAX_ONCE_KEY_LENGTH = 200;

/** Creates the table of claims. Run by the operator, or by the proxy if the table is missing. */
export const CREATE_ONCE_TABLE_SQL = `CREATE TABLE IF NOT EXISTS meadowstack_once (
  tenant text NOT NULL,
  once_key text NOT NULL,
  created_at timestamptz DEFAULT now(),
  PRIMARY KEY (tenant, once_key)
)`;

const ONCE_KEY_PATTERN = new RegExp(`^[A-Za-z0-9._:@/+=-]{1,${MAX_ONCE_KEY_LENGTH}}$`);

/** A validated key of one tenant. */
export interface OnceClaim {
  readonly tenant: TenantName;
  readonly onceKey: string;
}

/** Validates the key that a request carries. */
export function parseOnceClaim(
  tenant: TenantName,
  onceKey: string,
): Result<OnceClaim, InvalidOnceKeyError> {
  if (!ONCE_KEY_PATTERN.test(onceKey)) return err(new InvalidOnceKeyError());
  return ok({ tenant, onceKey });
}

/**
 * The statement that claims the key. It blocks while another transaction holds the same key, and
 * fails with a unique violation if that transaction commits.
 */
export function claimStatement(claim: OnceClaim): string {
  const tenant = quoteLiteral(claim.tenant);
  const onceKey = quoteLiteral(claim.onceKey);
  return `INSERT INTO meadowstack_once (tenant, once_key) VALUES (${tenant}, ${onceKey})`;
}

/** Requires `standard_conforming_strings = on` in the server, the default since PostgreSQL 9.1. */
function quoteLiteral(text: string): string {
  return `'${text.replaceAll("'", "''")}'`;
}
