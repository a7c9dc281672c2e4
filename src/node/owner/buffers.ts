/** Converts the bytes that the codec returns to a Buffer. */

/** Returns a Buffer over the same memory. */
export function asBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}
