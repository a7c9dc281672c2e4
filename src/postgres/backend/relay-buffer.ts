/**
 * Collects the messages of a response into large slices, without copying, and holds back its end.
 *
 * The end is the last completion (CommandComplete, EmptyQueryResponse, PortalSuspended) and the messages
 * without a result after it (CloseComplete, ParameterStatus, a notice): none of these shows that the
 * response to another statement follows. A result, a further completion or an error shows it. An error is
 * held back too: it may turn out that the batch was not executed and can be run elsewhere.
 */
const EMPTY = Buffer.alloc(0);

/** Part of a received chunk. */
interface Span {
  readonly buffer: Buffer;
  readonly start: number;
  end: number;
}

export class RelayBuffer {
  private current: Span | undefined;
  private heldSpans: Span[] = [];
  private heldLength = 0;

  constructor(private readonly relay: (messages: Buffer) => void) {}

  /** Number of bytes that are held back. */
  get heldBackBytes(): number {
    return this.heldLength;
  }

  /** Adds a message that shows that what was held back was not the end. */
  addResult(buffer: Buffer, start: number, end: number): void {
    if (this.heldLength > 0) this.releaseHeldBack();
    this.append(buffer, start, end);
  }

  /** Adds a completion or an error, which may be the last one. */
  holdBack(buffer: Buffer, start: number, end: number): void {
    if (this.heldLength > 0) this.releaseHeldBack();
    this.appendHeldBack(buffer, start, end);
  }

  /** Adds a message that carries no result: it is held back if the message before it is. */
  addNeutral(buffer: Buffer, start: number, end: number): void {
    if (this.heldLength > 0) this.appendHeldBack(buffer, start, end);
    else this.append(buffer, start, end);
  }

  /** Relays everything that is not held back. To be called at the end of each chunk. */
  flush(): void {
    const run = this.current;
    if (run === undefined) return;
    this.current = undefined;
    this.relay(run.buffer.subarray(run.start, run.end));
  }

  /** Removes and returns what is held back; empty if the response had no completion or error. */
  takeHeldBack(): Buffer {
    const [first] = this.heldSpans;
    const messages =
      this.heldSpans.length === 1 && first !== undefined
        ? first.buffer.subarray(first.start, first.end)
        : concatenate(this.heldSpans);
    this.heldSpans = [];
    this.heldLength = 0;
    return messages;
  }

  private append(buffer: Buffer, start: number, end: number): void {
    const run = this.current;
    if (run !== undefined && run.buffer === buffer && run.end === start) {
      run.end = end;
      return;
    }
    this.flush();
    this.current = { buffer, start, end };
  }

  private appendHeldBack(buffer: Buffer, start: number, end: number): void {
    this.heldLength += end - start;
    const last = this.heldSpans.at(-1);
    if (last !== undefined && last.buffer === buffer && last.end === start) last.end = end;
    else this.heldSpans.push({ buffer, start, end });
  }

  private releaseHeldBack(): void {
    const held = this.heldSpans;
    this.heldSpans = [];
    this.heldLength = 0;
    for (const span of held) this.append(span.buffer, span.start, span.end);
  }
}

function concatenate(spans: readonly Span[]): Buffer {
  if (spans.length === 0) return EMPTY;
  return Buffer.concat(spans.map((span) => span.buffer.subarray(span.start, span.end)));
}
