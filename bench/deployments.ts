/** The two benched deployments, as data: zones, delays, groups, instances, and kinds of requests. */
import type { GroupName, TenantName } from '../src/core/request.js';

export type DeploymentName = 'bureau' | 'trust';

/** The statements of one kind of request, see load/statements.ts. */
export type Operation =
  | 'insert-order'
  | 'revise-document'
  | 'read-glossary'
  | 'read-status'
  | 'insert-unlock'
  | 'insert-hire'
  | 'read-docks';

/** One kind of request. */
export interface RequestKind {
  readonly kind: string;
  readonly operation: Operation;
  readonly access: 'read' | 'write';
  /** Fraction of all requests; the fractions of a deployment add up to 1. */
  readonly requestFraction: number;
  /** Weight in the weighted service figure. */
  readonly weight: number;
  /** Maximum age of the data that a read may return; 0 if it must not be stale. */
  readonly stalenessBoundMs: number;
  /** False if the request must run at most once, and therefore carries an idempotency key. */
  readonly repeatable: boolean;
  readonly deadlineMs: number;
}

/** Number of initial rows in each group's tables. */
export interface InitialRows {
  readonly documents: number;
  readonly terms: number;
  readonly docks: number;
}

export interface Deployment {
  readonly name: DeploymentName;
  readonly tenant: TenantName;
  readonly zones: readonly string[];
  /** One-way delay between two zones. */
  readonly zoneDelayMs: number;
  /** One-way delay between callers and proxies. */
  readonly callerDelayMs: number;
  readonly groups: readonly GroupName[];
  readonly instancesPerGroup: number;
  readonly slotsPerInstance: number;
  readonly connectionsPerInstance: number;
  readonly connectionOpenMs: number;
  readonly kinds: readonly RequestKind[];
  readonly initialRows: InitialRows;
}

const BUREAU: Deployment = {
  name: 'bureau',
  tenant: 'salish',
  zones: ['van-west-a', 'van-west-b', 'van-west-c'],
  zoneDelayMs: 1.5,
  callerDelayMs: 1,
  groups: ['bureau-1', 'bureau-2', 'bureau-3'],
  instancesPerGroup: 3,
  slotsPerInstance: 5,
  connectionsPerInstance: 35,
  connectionOpenMs: 10,
  kinds: [
    {
      kind: 'order',
      operation: 'insert-order',
      access: 'write',
      requestFraction: 0.05,
      weight: 1,
      stalenessBoundMs: 0,
      repeatable: false,
      deadlineMs: 2_000,
    },
    {
      kind: 'revision',
      operation: 'revise-document',
      access: 'write',
      requestFraction: 0.15,
      weight: 1,
      stalenessBoundMs: 0,
      repeatable: false,
      deadlineMs: 2_000,
    },
    {
      kind: 'glossary',
      operation: 'read-glossary',
      access: 'read',
      requestFraction: 0.4,
      weight: 1,
      stalenessBoundMs: 5_000,
      repeatable: true,
      deadlineMs: 1_000,
    },
    {
      kind: 'status',
      operation: 'read-status',
      access: 'read',
      requestFraction: 0.4,
      weight: 1,
      stalenessBoundMs: 1_000,
      repeatable: true,
      deadlineMs: 1_000,
    },
  ],
  initialRows: { documents: 500, terms: 1_000, docks: 0 },
};

const TRUST: Deployment = {
  name: 'trust',
  tenant: 'dockline',
  zones: ['kingston-a', 'kingston-b', 'kingston-c', 'kingston-d'],
  zoneDelayMs: 1.5,
  callerDelayMs: 3,
  groups: ['trust-1', 'trust-2', 'trust-3'],
  instancesPerGroup: 3,
  slotsPerInstance: 4,
  connectionsPerInstance: 60,
  connectionOpenMs: 30,
  kinds: [
    {
      kind: 'unlock',
      operation: 'insert-unlock',
      access: 'write',
      requestFraction: 0.2,
      weight: 2,
      stalenessBoundMs: 0,
      repeatable: false,
      deadlineMs: 1_500,
    },
    {
      kind: 'hire',
      operation: 'insert-hire',
      access: 'write',
      requestFraction: 0.2,
      weight: 1,
      stalenessBoundMs: 0,
      repeatable: false,
      deadlineMs: 1_500,
    },
    {
      kind: 'dock-lookup',
      operation: 'read-docks',
      access: 'read',
      requestFraction: 0.6,
      weight: 1,
      stalenessBoundMs: 500,
      repeatable: true,
      deadlineMs: 1_000,
    },
  ],
  initialRows: { documents: 0, terms: 0, docks: 200 },
};

export const DEPLOYMENTS: Readonly<Record<DeploymentName, Deployment>> = {
  bureau: BUREAU,
  trust: TRUST,
};
