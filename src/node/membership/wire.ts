/**
 * Wire format of the membership protocol's datagrams and calls: cbor arrays instead of objects,
 * datagrams with an optional MAC in front. Received messages are validated with zod.
 */
import { createHmac, timingSafeEqual } from 'node:crypto';
import { z } from 'zod';
import type {
  MembershipMessage,
  SyncPush,
  SyncRequest,
  SyncResponse,
} from '../../core/membership/contract.js';
import type { Liveness, MemberUpdate } from '../../core/membership/member.js';
import { BUCKET_COUNT } from '../../core/membership/member-table.js';
import { decodeValue, encodeValue } from '../../peer/codec.js';
import type { WireValue } from '../../peer/contract.js';
import { PeerProtocolError } from '../../peer/errors.js';

/** Small enough not to be fragmented on any usual network path. */
export const MAX_DATAGRAM_BYTES = 1200;
/** Length of the truncated HMAC-SHA-256. */
const MAC_BYTES = 16;
const MAX_NAME_LENGTH = 128;
const DIGEST_BYTES = 4;
const LIVENESS_BY_CODE: readonly Liveness[] = ['alive', 'suspect', 'dead'];
const LEAVING_FLAG = 4;
const MAX_STATE_CODE = LEAVING_FLAG + LIVENESS_BY_CODE.length - 1;

const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH);
const countSchema = z.number().int().nonnegative();
const portSchema = z.number().int().min(1).max(65_535);

/** Tuple: nodeId, incarnation, version, state code, zone, host, peer port, configuration revision. */
const updateSchema = z
  .tuple([
    nameSchema,
    countSchema,
    countSchema,
    countSchema.max(MAX_STATE_CODE),
    nameSchema,
    nameSchema,
    portSchema,
    countSchema,
  ])
  .transform(([nodeId, incarnation, version, state, zone, host, peerPort, revision], context) => {
    const liveness = LIVENESS_BY_CODE[state % LEAVING_FLAG];
    if (liveness === undefined) {
      context.addIssue('unknown liveness');
      return z.NEVER;
    }
    const update: MemberUpdate = {
      nodeId,
      incarnation,
      version,
      liveness,
      leaving: state >= LEAVING_FLAG,
      zone,
      host,
      peerPort,
      configurationRevision: revision,
    };
    return update;
  });
const updatesSchema = z.array(updateSchema);

const MessageCode = { PING: 1, ACK: 2, PING_REQUEST: 3, GOSSIP: 4 } as const;

const pingSchema = z
  .tuple([z.literal(MessageCode.PING), countSchema, updateSchema, updatesSchema])
  .transform(([, sequence, sender, updates]) => ({
    type: 'ping' as const,
    sequence,
    sender,
    updates,
  }));
const ackSchema = z
  .tuple([z.literal(MessageCode.ACK), countSchema, updateSchema, updatesSchema, updateSchema])
  .transform(([, sequence, sender, updates, subject]) => ({
    type: 'ack' as const,
    sequence,
    subject,
    sender,
    updates,
  }));
const pingRequestSchema = z
  .tuple([
    z.literal(MessageCode.PING_REQUEST),
    countSchema,
    updateSchema,
    updatesSchema,
    nameSchema,
    portSchema,
  ])
  .transform(([, sequence, sender, updates, host, peerPort]) => ({
    type: 'ping-request' as const,
    sequence,
    target: { host, peerPort },
    sender,
    updates,
  }));
const gossipSchema = z
  .tuple([z.literal(MessageCode.GOSSIP), updateSchema, updatesSchema])
  .transform(([, sender, updates]) => ({ type: 'gossip' as const, sender, updates }));
const messageSchema: z.ZodType<MembershipMessage> = z.union([
  pingSchema,
  ackSchema,
  pingRequestSchema,
  gossipSchema,
]);

const syncRequestSchema = z.tuple([updateSchema, z.instanceof(Uint8Array), countSchema]);
const syncResponseSchema = z.tuple([
  updateSchema,
  z.instanceof(Uint8Array),
  updatesSchema,
  countSchema.nullable(),
]);
const syncPushSchema = z.tuple([updateSchema, updatesSchema]);

/** Encodes a datagram. The caller checks that it is not larger than MAX_DATAGRAM_BYTES. */
export function encodeDatagram(message: MembershipMessage, secret: Buffer | undefined): Buffer {
  const payload = encodeValue(messageToWire(message), Number.POSITIVE_INFINITY);
  return secret === undefined ? payload : Buffer.concat([computeMac(payload, secret), payload]);
}

/** Decodes a datagram; throws PeerProtocolError if its MAC is wrong or the message is malformed. */
export function decodeDatagram(datagram: Buffer, secret: Buffer | undefined): MembershipMessage {
  const payload = secret === undefined ? datagram : verifyMac(datagram, secret);
  return parse(messageSchema, decodeValue(payload));
}

/** Converts a sync request to its wire format. */
export function syncRequestToWire(request: SyncRequest): WireValue {
  return [updateToWire(request.sender), packDigests(request.digests), request.cursor];
}

/** Parses a sync request; throws PeerProtocolError if it is malformed. */
export function syncRequestFromWire(value: WireValue): SyncRequest {
  const [sender, digests, cursor] = parse(syncRequestSchema, value);
  return { sender, digests: unpackDigests(digests), cursor };
}

/** Converts a sync response to its wire format. */
export function syncResponseToWire(response: SyncResponse): WireValue {
  const { sender, digests, updates, nextCursor } = response;
  const wireUpdates = updates.map(updateToWire);
  return [updateToWire(sender), packDigests(digests), wireUpdates, nextCursor ?? null];
}

/** Parses a sync response; throws PeerProtocolError if it is malformed. */
export function syncResponseFromWire(value: WireValue): SyncResponse {
  const [sender, digests, updates, nextCursor] = parse(syncResponseSchema, value);
  return { sender, digests: unpackDigests(digests), updates, nextCursor: nextCursor ?? undefined };
}

/** Converts a sync push to its wire format. */
export function syncPushToWire(push: SyncPush): WireValue {
  return [updateToWire(push.sender), push.updates.map(updateToWire)];
}

/** Parses a sync push; throws PeerProtocolError if it is malformed. */
export function syncPushFromWire(value: WireValue): SyncPush {
  const [sender, updates] = parse(syncPushSchema, value);
  return { sender, updates };
}

function messageToWire(message: MembershipMessage): WireValue {
  const sender = updateToWire(message.sender);
  const updates = message.updates.map(updateToWire);
  switch (message.type) {
    case 'ping':
      return [MessageCode.PING, message.sequence, sender, updates];
    case 'ack':
      return [MessageCode.ACK, message.sequence, sender, updates, updateToWire(message.subject)];
    case 'ping-request': {
      const { host, peerPort } = message.target;
      return [MessageCode.PING_REQUEST, message.sequence, sender, updates, host, peerPort];
    }
    case 'gossip':
      return [MessageCode.GOSSIP, sender, updates];
  }
}

function updateToWire(update: MemberUpdate): WireValue[] {
  const state = LIVENESS_BY_CODE.indexOf(update.liveness) + (update.leaving ? LEAVING_FLAG : 0);
  const { nodeId, incarnation, version, zone, host, peerPort, configurationRevision } = update;
  return [nodeId, incarnation, version, state, zone, host, peerPort, configurationRevision];
}

function packDigests(digests: readonly number[]): Buffer {
  const packed = Buffer.alloc(digests.length * DIGEST_BYTES);
  for (const [index, digest] of digests.entries()) {
    packed.writeUInt32BE(digest, index * DIGEST_BYTES);
  }
  return packed;
}

function unpackDigests(bytes: Uint8Array): number[] {
  if (bytes.length !== BUCKET_COUNT * DIGEST_BYTES) {
    throw new PeerProtocolError(`${bytes.length} bytes of digests`);
  }
  const packed = Buffer.from(bytes);
  return Array.from({ length: BUCKET_COUNT }, (_, index) =>
    packed.readUInt32BE(index * DIGEST_BYTES),
  );
}

function parse<Output>(schema: z.ZodType<Output>, value: WireValue): Output {
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  throw new PeerProtocolError('malformed membership message', { cause: parsed.error });
}

function computeMac(payload: Buffer, secret: Buffer): Buffer {
  return createHmac('sha256', secret).update(payload).digest().subarray(0, MAC_BYTES);
}

/** Returns the payload of a datagram; throws PeerProtocolError if its MAC is wrong. */
function verifyMac(datagram: Buffer, secret: Buffer): Buffer {
  const mac = datagram.subarray(0, MAC_BYTES);
  const payload = datagram.subarray(MAC_BYTES);
  const isValid = mac.length === MAC_BYTES && timingSafeEqual(mac, computeMac(payload, secret));
  if (!isValid) throw new PeerProtocolError('datagram without the right MAC');
  return payload;
}
