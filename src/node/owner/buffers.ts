/** Bytes as they come from the codec, for code that wants a Buffer. */

/** A Buffer over the same memory. */
export function asBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}
