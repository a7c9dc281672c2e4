/** Messages that nodes exchange about the machine list, with the schemas that validate them. */
import { z } from 'zod';
import type { MachineListReport } from '../../core/machine-list/contract.js';
import type {
  ListBuckets,
  ListDelta,
  ListDigest,
  ListEntry,
} from '../../core/machine-list/replica.js';
import type { Hash64 } from '../../core/ownership/rendezvous.js';
import type { Machine } from '../../platform/contract.js';
import { machineSchema } from '../../platform/machine-schema.js';

/** Sends the caller's report; the response is the other node's report. */
export const REPORT_METHOD = 'machine-list.report';
/** Requests the buckets that differ, one page at a time. */
export const FETCH_METHOD = 'machine-list.fetch';
/** Forwards a change along the push tree of its root. */
export const PUSH_METHOD = 'machine-list.push';

const MAX_ENTRIES = 200_000;
const MAX_NAME_LENGTH = 300;
const HEX_RADIX = 16;
/** Maximum number of entries in a page; a page has at least one bucket, even if that is larger. */
const MAX_PAGE_ENTRIES = 500;

const hashSchema = z
  .string()
  .regex(/^[0-9a-f]{1,16}$/)
  .transform((text) => BigInt(`0x${text}`));
const stampSchema = z.object({ epoch: z.int().min(0), version: z.int().min(0) });
const digestSchema = z.object({ stamp: stampSchema, hash: hashSchema });
const machinesSchema = z.array(machineSchema).max(MAX_ENTRIES);
const bytesSchema = z.custom<Uint8Array>((value) => value instanceof Uint8Array);

/** Wire format of a node's report. */
export const reportSchema = z.object({
  digest: digestSchema,
  heartbeatAgeMs: z.number().min(0).nullable(),
});
/** The requester's hashes by bucket, 8 bytes each; it already has the buckets up to `afterBucket`. */
export const fetchRequestSchema = z.object({
  hashes: bytesSchema,
  afterBucket: z.int().min(-1),
});
/** Whole buckets of one list. `more`: more pages follow; request the next after the last bucket. */
export const fetchResponseSchema = z.object({
  digest: digestSchema,
  buckets: z.array(z.tuple([z.int().min(0), machinesSchema])),
  more: z.boolean(),
});
/** One page of a fetch. */
export type FetchResponse = z.output<typeof fetchResponseSchema>;
/** Wire format of a change. */
export const pushSchema = z.object({
  root: z.string().max(MAX_NAME_LENGTH),
  from: stampSchema,
  to: digestSchema,
  changed: machinesSchema,
  removed: z.array(z.string().max(MAX_NAME_LENGTH)).max(MAX_ENTRIES),
});

/**
 * Converts a machine to a list entry. The hash covers all fields, so nodes that read different
 * fields have different hashes.
 */
export function toListEntry(machine: Machine, hash: Hash64): ListEntry<Machine> {
  const fields = Object.entries(machine).sort(([left], [right]) => (left < right ? -1 : 1));
  return {
    id: `${machine.role}/${machine.name}`,
    hash: hash(JSON.stringify(fields)),
    item: machine,
  };
}

/** Converts a report to its wire format. */
export function reportToWire({ digest, heartbeatAgeMs }: MachineListReport): unknown {
  return { digest: digestToWire(digest), heartbeatAgeMs: heartbeatAgeMs ?? null };
}

/** Converts a validated report from its wire format. */
export function reportFromWire(report: z.output<typeof reportSchema>): MachineListReport {
  return { digest: report.digest, heartbeatAgeMs: report.heartbeatAgeMs ?? undefined };
}

/** Converts a change to its wire format. */
export function pushToWire(root: string, delta: ListDelta<Machine>): unknown {
  return {
    root,
    from: delta.from,
    to: digestToWire(delta.to),
    changed: delta.changed.map(({ item }) => item),
    removed: delta.removed,
  };
}

/** Converts a validated change from its wire format. */
export function deltaFromWire(
  { from, to, changed, removed }: z.output<typeof pushSchema>,
  hash: Hash64,
): ListDelta<Machine> {
  return { from, to, changed: changed.map((machine) => toListEntry(machine, hash)), removed };
}

/** Converts hashes by bucket to their wire format. */
export function hashesToWire(hashes: BigUint64Array): Uint8Array {
  return new Uint8Array(hashes.buffer, hashes.byteOffset, hashes.byteLength);
}

/** Converts hashes by bucket from their wire format; an incomplete last hash is dropped. */
export function hashesFromWire(bytes: Uint8Array): BigUint64Array {
  // Copied, since the bytes may start at an unaligned offset of a larger buffer.
  const whole = bytes.byteLength - (bytes.byteLength % BigUint64Array.BYTES_PER_ELEMENT);
  return new BigUint64Array(Uint8Array.from(bytes.subarray(0, whole)).buffer);
}

/** Builds the page of buckets that follows `afterBucket`. */
export function buildPage({ digest, buckets }: ListBuckets<Machine>, afterBucket: number): unknown {
  const remaining = [...buckets].filter(([index]) => index > afterBucket);
  let entries = 0;
  const page = remaining.filter(([, bucket], index) => {
    entries += bucket.length;
    return index === 0 || entries <= MAX_PAGE_ENTRIES;
  });
  return {
    digest: digestToWire(digest),
    buckets: page.map(([index, bucket]) => [index, bucket.map(({ item }) => item)]),
    more: page.length < remaining.length,
  };
}

function digestToWire({ stamp, hash }: ListDigest): unknown {
  return { stamp, hash: hash.toString(HEX_RADIX) };
}
