/** Concatenates the messages of a batch, without copying if they are unchanged and contiguous. */

interface Piece {
  readonly buffer: Buffer;
  readonly start: number;
  readonly end: number;
  /** Name to replace, which also changes the length field; undefined: copied unchanged. */
  readonly rename: Rename | undefined;
}

interface Rename {
  readonly nameStart: number;
  readonly nameEnd: number;
  readonly name: string;
}

const LENGTH_OFFSET = 1;

/** Collects the messages of one batch, in order. */
export class MessageAssembler {
  private readonly pieces: Piece[] = [];
  private totalBytes = 0;
  private isContiguous = true;

  get isEmpty(): boolean {
    return this.pieces.length === 0;
  }

  /** Adds `buffer[start, end)`, one complete message, unchanged. */
  add(buffer: Buffer, start: number, end: number): void {
    const last = this.pieces.at(-1);
    if (last !== undefined && (last.buffer !== buffer || last.end !== start))
      this.isContiguous = false;
    this.pieces.push({ buffer, start, end, rename: undefined });
    this.totalBytes += end - start;
  }

  /** Adds a message whose bytes `[nameStart, nameEnd)` are replaced by `name` (ASCII). */
  addRenamed(buffer: Buffer, start: number, end: number, rename: Rename): void {
    this.isContiguous = false;
    this.pieces.push({ buffer, start, end, rename });
    this.totalBytes += end - start + lengthChangeOf(rename);
  }

  /** All messages as one buffer; shares memory with the input if they were contiguous. */
  assemble(): Buffer {
    const first = this.pieces[0];
    const last = this.pieces.at(-1);
    if (first === undefined || last === undefined) return Buffer.alloc(0);
    if (this.isContiguous) return first.buffer.subarray(first.start, last.end);
    const target = Buffer.allocUnsafe(this.totalBytes);
    let offset = 0;
    for (const piece of this.pieces) offset = copyPiece(piece, target, offset);
    return target;
  }
}

function lengthChangeOf(rename: Rename): number {
  return rename.name.length - (rename.nameEnd - rename.nameStart);
}

/** Copies a piece to `target`; returns the offset after it. */
function copyPiece(piece: Piece, target: Buffer, offset: number): number {
  const { buffer, start, end, rename } = piece;
  if (rename === undefined) return offset + buffer.copy(target, offset, start, end);
  let at = offset + buffer.copy(target, offset, start, rename.nameStart);
  at += target.write(rename.name, at, 'latin1');
  at += buffer.copy(target, at, rename.nameEnd, end);
  const length = buffer.readInt32BE(start + LENGTH_OFFSET) + lengthChangeOf(rename);
  target.writeInt32BE(length, offset + LENGTH_OFFSET);
  return at;
}
