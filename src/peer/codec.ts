/**
 * The cbor-x codec of the internal protocol. Records and shared structures are disabled: they make
 * the decoder keep state that a hostile or faulty peer could exhaust or corrupt.
 */
import { Encoder } from 'cbor-x';
import type { WireValue } from './contract.js';
import { PeerMessageRefusedError, PeerProtocolError } from './errors.js';

const encoder = new Encoder({
  useRecords: false,
  structuredClone: false,
  mapsAsObjects: true,
  tagUint8Array: false,
});

/** Encodes a value; throws PeerMessageRefusedError if it can't be encoded or is too large. */
export function encodeValue(value: WireValue, maxBytes: number): Buffer {
  let encoded: Buffer;
  try {
    encoded = encoder.encode(value);
  } catch (cause) {
    throw new PeerMessageRefusedError('value can not be encoded', { cause });
  }
  if (encoded.length > maxBytes) {
    throw new PeerMessageRefusedError(`value of ${encoded.length} bytes exceeds ${maxBytes}`);
  }
  return encoded;
}

/** Decodes exactly one value; throws PeerProtocolError if the bytes are anything else. */
export function decodeValue(payload: Buffer): WireValue {
  try {
    return encoder.decode(payload) as WireValue;
  } catch (cause) {
    throw new PeerProtocolError('payload is not one cbor value', { cause });
  }
}
