/** The messages that nodes exchange about the machine list, checked where they are received. */
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

/** Tells the caller's report and asks for the other's. */
export const REPORT_METHOD = 'machine-list.report';
/** Asks for the buckets that differ, a page at a time. */
export const FETCH_METHOD = 'machine-list.fetch';
/** Passes a change on along the tree of its root. */
export const PUSH_METHOD = 'machine-list.push';

const MAX_ENTRIES = 200_000;
const MAX_NAME_LENGTH = 300;
const HEX_RADIX = 16;
/** Entries of one page, about; one bucket is sent even if it holds more. */
const PAGE_ENTRIES = 500;

const hashSchema = z
  .string()
  .regex(/^[0-9a-f]{1,16}$/)
  .transform((text) => BigInt(`0x${text}`));
const stampSchema = z.object({ epoch: z.int().min(0), version: z.int().min(0) });
const digestSchema = z.object({ stamp: stampSchema, hash: hashSchema });
const machinesSchema = z.array(machineSchema).max(MAX_ENTRIES);
const bytesSchema = z.custom<Uint8Array>((value) => value instanceof Uint8Array);

/** A node's report. */
export const reportSchema = z.object({
  digest: digestSchema,
  heartbeatAgeMs: z.number().min(0).nullable(),
});
/** The asker's hashes by bucket, 8 bytes each; buckets up to `afterBucket` are known already. */
export const fetchRequestSchema = z.object({
  hashes: bytesSchema,
  afterBucket: z.int().min(-1),
});
/** Whole buckets of one list. `more`: ask again after the last of them. */
export const fetchAnswerSchema = z.object({
  digest: digestSchema,
  buckets: z.array(z.tuple([z.int().min(0), machinesSchema])),
  more: z.boolean(),
});
/** One page of a fetch. */
export type FetchAnswer = z.output<typeof fetchAnswerSchema>;
/** A change on its way. */
export const pushSchema = z.object({
  root: z.string().max(MAX_NAME_LENGTH),
  from: stampSchema,
  to: digestSchema,
  changed: machinesSchema,
  removed: z.array(z.string().max(MAX_NAME_LENGTH)).max(MAX_ENTRIES),
});

/** A machine with its id and hash. Nodes that read different fields differ in their hashes. */
export function entryOf(machine: Machine, hash: Hash64): ListEntry<Machine> {
  const fields = Object.entries(machine).sort(([left], [right]) => (left < right ? -1 : 1));
  return {
    id: `${machine.role}/${machine.name}`,
    hash: hash(JSON.stringify(fields)),
    item: machine,
  };
}

/** Wire form of a report. */
export function reportToWire({ digest, heartbeatAgeMs }: MachineListReport): unknown {
  return { digest: digestToWire(digest), heartbeatAgeMs: heartbeatAgeMs ?? null };
}

/** A report as it was checked. */
export function reportFromWire(report: z.output<typeof reportSchema>): MachineListReport {
  return { digest: report.digest, heartbeatAgeMs: report.heartbeatAgeMs ?? undefined };
}

/** Wire form of a change. */
export function pushToWire(root: string, delta: ListDelta<Machine>): unknown {
  return {
    root,
    from: delta.from,
    to: digestToWire(delta.to),
    changed: delta.changed.map(({ item }) => item),
    removed: delta.removed,
  };
}

/** A change as it was checked. */
export function deltaFromWire(
  { from, to, changed, removed }: z.output<typeof pushSchema>,
  hash: Hash64,
): ListDelta<Machine> {
  return { from, to, changed: changed.map((machine) => entryOf(machine, hash)), removed };
}

/** Wire form of hashes by bucket. */
export function hashesToWire(hashes: BigUint64Array): Uint8Array {
  return new Uint8Array(hashes.buffer, hashes.byteOffset, hashes.byteLength);
}

/** Hashes by bucket as they came. */
export function hashesFromWire(bytes: Uint8Array): BigUint64Array {
  // Copied, since the bytes may lie anywhere in a larger buffer.
  const whole = bytes.byteLength - (bytes.byteLength % BigUint64Array.BYTES_PER_ELEMENT);
  return new BigUint64Array(Uint8Array.from(bytes.subarray(0, whole)).buffer);
}

/** The page of buckets that follows one. */
export function pageOf({ digest, buckets }: ListBuckets<Machine>, afterBucket: number): unknown {
  const rest = [...buckets].filter(([index]) => index > afterBucket);
  let entries = 0;
  const page = rest.filter(([, bucket], index) => {
    entries += bucket.length;
    return index === 0 || entries <= PAGE_ENTRIES;
  });
  return {
    digest: digestToWire(digest),
    buckets: page.map(([index, bucket]) => [index, bucket.map(({ item }) => item)]),
    more: page.length < rest.length,
  };
}

function digestToWire({ stamp, hash }: ListDigest): unknown {
  return { stamp, hash: hash.toString(HEX_RADIX) };
}
