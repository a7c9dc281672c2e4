/** Failures of the links between proxies. Each tells whether any byte of the affected work left. */
import { type ErrorLabel, MeadowstackError } from '../core/errors.js';

/** Base of the errors that end a stream or a call. */
export abstract class PeerError extends MeadowstackError {
  /**
   * True if any byte of this stream or call was handed to the socket: the other side may have
   * acted on it. False is a proof that it has not.
   */
  abstract readonly linkWritten: boolean;
}

/** No link could be had: refused, timed out, failed the handshake, or waiting after failures. */
export class PeerUnreachableError extends PeerError {
  readonly code = 'MS-PEER-UNREACHABLE';
  readonly linkWritten = false;
  override readonly labels: ReadonlySet<ErrorLabel> = new Set(['retryable']);

  constructor(
    readonly peer: string,
    reason: string,
    options?: ErrorOptions,
  ) {
    super(`no link to ${peer}: ${reason}`, options);
  }
}

/** The link was lost while the stream or call was open. */
export class PeerLinkLostError extends PeerError {
  readonly code = 'MS-PEER-LINK-LOST';

  constructor(
    readonly peer: string,
    readonly linkWritten: boolean,
    reason: string,
  ) {
    super(`link to ${peer} lost: ${reason}`);
  }
}

/** One side aborted the stream. */
export class PeerStreamAbortedError extends PeerError {
  readonly code = 'MS-PEER-STREAM-ABORTED';

  constructor(
    readonly reason: string,
    readonly by: 'local' | 'remote',
    readonly linkWritten: boolean,
  ) {
    super(`stream aborted by the ${by} side: ${reason}`);
  }
}

/** A call's answer did not arrive in time; an answer that comes later is dropped. */
export class PeerCallTimeoutError extends PeerError {
  readonly code = 'MS-PEER-CALL-TIMEOUT';

  constructor(
    readonly method: string,
    readonly timeoutMs: number,
    readonly linkWritten: boolean,
  ) {
    super(`no answer to ${method} within ${timeoutMs} ms`);
  }
}

/** The other side answered the call with an error. */
export class PeerCallFailedError extends PeerError {
  readonly code = 'MS-PEER-CALL-FAILED';
  readonly linkWritten = true;

  constructor(
    readonly method: string,
    readonly remoteCode: string,
    reason: string,
  ) {
    super(`${method} failed on the other side: ${remoteCode} ${reason}`);
  }
}

/** A message that can't be carried: too large, or not encodable. Nothing of it was sent. */
export class PeerMessageRefusedError extends PeerError {
  readonly code = 'MS-PEER-MESSAGE-REFUSED';
  readonly linkWritten = false;
}

/** The listener could not be opened. */
export class PeerListenError extends MeadowstackError {
  readonly code = 'MS-PEER-LISTEN';
  override readonly labels: ReadonlySet<ErrorLabel> = new Set(['configuration']);
}

/** The other side broke the framing or the protocol; its link is closed. */
export class PeerProtocolError extends MeadowstackError {
  readonly code = 'MS-PEER-PROTOCOL';
  override readonly labels: ReadonlySet<ErrorLabel> = new Set(['protocol-violation']);
}

/** The other side did not prove that it knows the cluster secret, or speaks another version. */
export class PeerHandshakeError extends MeadowstackError {
  readonly code = 'MS-PEER-HANDSHAKE';
  override readonly labels: ReadonlySet<ErrorLabel> = new Set(['security']);
}

/** No service of this node answers the method (yet). */
export class UnknownMethodError extends MeadowstackError {
  readonly code = 'MS-PEER-METHOD';

  constructor(method: string) {
    super(`no service answers ${method}`);
  }
}

/** The link was not used for a while; nothing was lost. */
export class PeerLinkIdleError extends MeadowstackError {
  readonly code = 'MS-PEER-IDLE';

  constructor() {
    super('link closed after a time without use');
  }
}

/** The connection itself failed or was closed. */
export class PeerConnectionError extends MeadowstackError {
  readonly code = 'MS-PEER-CONNECTION';
}
