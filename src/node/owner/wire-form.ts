/**
 * Encodes the messages of each request as arrays: half the bytes and a third of the coding time of
 * maps with names (docs/MEASUREMENTS.md). Received arrays are converted back to objects and checked
 * by the messages' schemas.
 */
import type { WireValue } from '../../peer/contract.js';
import type { BatchMessage, OpenMessage, OwnerMessage } from './messages.js';

const OPEN = 'open';
const END = 'end';

/** Encodes the message that opens a stream as an array. */
export function openToWire(open: OpenMessage): WireValue {
  return [
    OPEN,
    open.requestId,
    open.group,
    open.tenant,
    open.databaseRole,
    open.database,
    open.access,
    open.kind,
    open.weight,
    open.stalenessBoundMs,
    open.repeatable,
    open.session.type === 'known' ? positionToWire(open.session.position) : null,
    open.remainingMs,
    open.hold,
    open.zone,
    batchToWire(open.batch),
  ];
}

/**
 * Returns an object for `openSchema` to check; a value that is not an array is returned unchanged.
 */
export function openFromWire(value: WireValue): unknown {
  if (!Array.isArray(value)) return value;
  const [
    type,
    requestId,
    group,
    tenant,
    databaseRole,
    database,
    access,
    kind,
    weight,
    stalenessBoundMs,
    repeatable,
    position,
    remainingMs,
    hold,
    zone,
    batch,
  ] = value as unknown[];
  return {
    type,
    requestId,
    group,
    tenant,
    databaseRole,
    database,
    access,
    kind,
    weight,
    stalenessBoundMs,
    repeatable,
    session: sessionFromWire(position),
    remainingMs,
    hold,
    zone,
    batch: batchFromWire(batch),
  };
}

/** Encodes `end`, which ends most requests, as an array; other messages keep their field names. */
export function ownerMessageToWire(message: OwnerMessage): WireValue {
  if (message.type === 'error' && message.position !== undefined) {
    return { ...message, position: positionToWire(message.position) };
  }
  if (message.type !== 'end') return message;
  const { status, heldBack, fromReplica, position } = message;
  return [END, status, heldBack, fromReplica, position && positionToWire(position)];
}

/** Returns an object for `ownerMessageSchema` to check. */
export function ownerMessageFromWire(value: WireValue): unknown {
  if (!Array.isArray(value)) return withPosition(value);
  const [type, status, heldBack, fromReplica, position] = value as unknown[];
  return { type, status, heldBack, fromReplica, position: positionFromWire(position) };
}

function batchToWire(batch: BatchMessage): WireValue {
  return [
    batch.requires.map(({ backendName, text, parameterTypes }) => [
      backendName,
      text,
      parameterTypes,
    ]),
    batch.messages,
    batch.mayCommit,
    batch.followingBytes,
    batch.onceKey,
  ];
}

function batchFromWire(value: unknown): unknown {
  if (!Array.isArray(value)) return value;
  const [requires, messages, mayCommit, followingBytes, onceKey] = value as unknown[];
  return {
    type: 'batch',
    requires: Array.isArray(requires) ? requires.map(statementFromWire) : requires,
    messages,
    mayCommit,
    followingBytes,
    onceKey,
  };
}

function statementFromWire(value: unknown): unknown {
  if (!Array.isArray(value)) return value;
  const [backendName, text, parameterTypes] = value as unknown[];
  return { backendName, text, parameterTypes };
}

function positionToWire({ timeline, lsn }: { timeline: number; lsn: bigint }): WireValue {
  return [timeline, lsn];
}

function positionFromWire(value: unknown): unknown {
  if (!Array.isArray(value)) return value ?? undefined;
  const [timeline, lsn] = value as unknown[];
  // CBOR has only one integer type, so a small integer is decoded as a number.
  return { timeline, lsn: Number.isSafeInteger(lsn) ? BigInt(lsn as number) : lsn };
}

function sessionFromWire(position: unknown): unknown {
  if (position === null || position === undefined) return { type: 'unknown' };
  return { type: 'known', position: positionFromWire(position) };
}

/** Decodes the position of an error message, which is an array too. */
function withPosition(value: WireValue): unknown {
  if (typeof value !== 'object' || value === null || !('position' in value)) return value;
  return { ...value, position: positionFromWire(value.position) };
}
