/**
 * Collects the messages of an answer into large slices, without copying, and holds back its end.
 *
 * The end is the last completion (CommandComplete, EmptyQueryResponse, PortalSuspended) and what
 * carries no result behind it (CloseComplete, ParameterStatus, a notice): none of these shows that
 * another statement follows. A result, a further completion or an error does. An error is held back
 * likewise: it may yet turn out that the batch never ran and can be run elsewhere.
 */
const EMPTY = Buffer.alloc(0);

/** Part of a received chunk. */
interface Span {
  readonly buffer: Buffer;
  readonly start: number;
  end: number;
}

export class RelayBuffer {
  private run: Span | undefined;
  private held: Span[] = [];
  private heldLength = 0;

  constructor(private readonly relay: (messages: Buffer) => void) {}

  /** Bytes held back at the moment. */
  get heldBytes(): number {
    return this.heldLength;
  }

  /** A message that shows that what was held back was not the end. */
  add(buffer: Buffer, start: number, end: number): void {
    if (this.heldLength > 0) this.releaseHeld();
    this.append(buffer, start, end);
  }

  /** A completion or an error: it may be the last one. */
  hold(buffer: Buffer, start: number, end: number): void {
    if (this.heldLength > 0) this.releaseHeld();
    this.appendHeld(buffer, start, end);
  }

  /** A message that proves nothing: it goes wherever the message before it went. */
  follow(buffer: Buffer, start: number, end: number): void {
    if (this.heldLength > 0) this.appendHeld(buffer, start, end);
    else this.append(buffer, start, end);
  }

  /** Relays all that is not held back. To be called at the end of each chunk. */
  flush(): void {
    const run = this.run;
    if (run === undefined) return;
    this.run = undefined;
    this.relay(run.buffer.subarray(run.start, run.end));
  }

  /** Gives what is held back and forgets it. Empty if the answer had no completion. */
  takeHeld(): Buffer {
    const [first] = this.held;
    const messages =
      this.held.length === 1 && first !== undefined
        ? first.buffer.subarray(first.start, first.end)
        : concatenate(this.held);
    this.held = [];
    this.heldLength = 0;
    return messages;
  }

  private append(buffer: Buffer, start: number, end: number): void {
    const run = this.run;
    if (run !== undefined && run.buffer === buffer && run.end === start) {
      run.end = end;
      return;
    }
    this.flush();
    this.run = { buffer, start, end };
  }

  private appendHeld(buffer: Buffer, start: number, end: number): void {
    this.heldLength += end - start;
    const last = this.held.at(-1);
    if (last !== undefined && last.buffer === buffer && last.end === start) last.end = end;
    else this.held.push({ buffer, start, end });
  }

  private releaseHeld(): void {
    const held = this.held;
    this.held = [];
    this.heldLength = 0;
    for (const span of held) this.append(span.buffer, span.start, span.end);
  }
}

function concatenate(spans: readonly Span[]): Buffer {
  if (spans.length === 0) return EMPTY;
  return Buffer.concat(spans.map((span) => span.buffer.subarray(span.start, span.end)));
}
