/**
 * Routes calls and streams of peers to the node's services, which are added while the node starts.
 */
import type {
  NodeIdentity,
  PeerAddress,
  PeerHandlers,
  PeerStream,
  WireValue,
} from '../peer/contract.js';
import { UnknownMethodError } from '../peer/errors.js';

/** Implements some of the peer methods. */
export interface CallService {
  handles(method: string): boolean;
  onCall(method: string, body: WireValue, from: NodeIdentity): Promise<WireValue> | WireValue;
}

/** Routes peers' calls by method, and their streams to the owner role. */
export class PeerRouter implements PeerHandlers {
  readonly #services: CallService[] = [];
  #acceptStream: (header: WireValue, stream: PeerStream) => void = (_, stream) =>
    stream.abort('the node is starting');

  /** Called when a link that this node opened is lost. */
  onLinkDown: ((peer: PeerAddress) => void) | undefined;

  handleLinkDown(peer: PeerAddress): void {
    this.onLinkDown?.(peer);
  }

  /** Called when a node of another fleet was found; `peer`: the address at which it listens, if this node dialled it. */
  onForeignFleet: ((identity: NodeIdentity, peer: PeerAddress | undefined) => void) | undefined;

  handleForeignFleet(identity: NodeIdentity, peer: PeerAddress | undefined): void {
    this.onForeignFleet?.(identity, peer);
  }

  add(service: CallService): void {
    this.#services.push(service);
  }

  /** Sets the handler of streams. */
  acceptStreams(accept: (header: WireValue, stream: PeerStream) => void): void {
    this.#acceptStream = accept;
  }

  onStream(header: WireValue, stream: PeerStream): void {
    this.#acceptStream(header, stream);
  }

  async onCall(method: string, body: WireValue, from: NodeIdentity): Promise<WireValue> {
    const service = this.#services.find((candidate) => candidate.handles(method));
    if (service === undefined) throw new UnknownMethodError(method);
    return service.onCall(method, body, from);
  }
}
