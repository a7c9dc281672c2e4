/** Failures of the links between proxies. */
import { type ErrorLabel, MeadowstackError } from '../core/errors.js';
import type { NodeIdentity } from './contract.js';

/** Base class of the errors that end a stream or a call. */
export abstract class PeerError extends MeadowstackError {
  /**
   * True if at least one byte of this stream or call was written to the socket: the other side may
   * have acted on it. False guarantees that it has not.
   */
  abstract readonly anyBytesWritten: boolean;
}

/** No link: the connection was refused, timed out or failed the handshake, or a backoff is pending. */
export class PeerUnreachableError extends PeerError {
  readonly code = 'MS-PEER-UNREACHABLE';
  readonly anyBytesWritten = false;
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
    readonly anyBytesWritten: boolean,
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
    readonly anyBytesWritten: boolean,
  ) {
    super(`stream aborted by the ${by} side: ${reason}`);
  }
}

/** The response to a call did not arrive in time; a later one is dropped. */
export class PeerCallTimeoutError extends PeerError {
  readonly code = 'MS-PEER-CALL-TIMEOUT';

  constructor(
    readonly method: string,
    readonly timeoutMs: number,
    readonly anyBytesWritten: boolean,
  ) {
    super(`no answer to ${method} within ${timeoutMs} ms`);
  }
}

/** The other side responded to the call with an error. */
export class PeerCallFailedError extends PeerError {
  readonly code = 'MS-PEER-CALL-FAILED';
  readonly anyBytesWritten = true;

  constructor(
    readonly method: string,
    readonly remoteCode: string,
    reason: string,
  ) {
    super(`${method} failed on the other side: ${remoteCode} ${reason}`);
  }
}

/** The message is too large or can't be encoded. Nothing of it was sent. */
export class PeerMessageRefusedError extends PeerError {
  readonly code = 'MS-PEER-MESSAGE-REFUSED';
  readonly anyBytesWritten = false;
}

/** The listener could not be opened. */
export class PeerListenError extends MeadowstackError {
  readonly code = 'MS-PEER-LISTEN';
  override readonly labels: ReadonlySet<ErrorLabel> = new Set(['configuration']);
}

/** The other side violated the framing or the protocol; its link is closed. */
export class PeerProtocolError extends MeadowstackError {
  readonly code = 'MS-PEER-PROTOCOL';
  override readonly labels: ReadonlySet<ErrorLabel> = new Set(['protocol-violation']);
}

/** The other side did not prove that it knows the cluster secret, or speaks another version. */
export class PeerHandshakeError extends MeadowstackError {
  readonly code: string = 'MS-PEER-HANDSHAKE';
  override readonly labels: ReadonlySet<ErrorLabel> = new Set(['security']);
}

/** The node at this address belongs to another fleet; nothing was sent to it. */
export class PeerForeignFleetError extends PeerHandshakeError {
  override readonly code = 'MS-PEER-FOREIGN-FLEET';

  constructor(identity: NodeIdentity) {
    super(`node ${identity.nodeId} (incarnation ${identity.incarnation}) is of another fleet`);
  }
}

/** No service of this node is registered for the method, or not yet. */
export class UnknownMethodError extends MeadowstackError {
  readonly code = 'MS-PEER-METHOD';

  constructor(method: string) {
    super(`no service answers ${method}`);
  }
}

/** The link was closed because it was idle; nothing was lost. */
export class PeerLinkIdleError extends MeadowstackError {
  readonly code = 'MS-PEER-IDLE';

  constructor() {
    super('link closed because it was idle');
  }
}

/** The connection itself failed or was closed. */
export class PeerConnectionError extends MeadowstackError {
  readonly code = 'MS-PEER-CONNECTION';
}
