/** Hands what peers ask to the service that answers it. Services are added while the node is put together. */
import type {
  NodeIdentity,
  PeerAddress,
  PeerHandlers,
  PeerStream,
  WireValue,
} from '../peer/contract.js';
import { UnknownMethodError } from '../peer/errors.js';

/** Answers some methods. */
export interface CallService {
  handles(method: string): boolean;
  onCall(method: string, body: WireValue, from: NodeIdentity): Promise<WireValue> | WireValue;
}

/** Routes peers' calls by method and their streams to the owner. */
export class PeerRouter implements PeerHandlers {
  readonly #services: CallService[] = [];
  #acceptStream: (header: WireValue, stream: PeerStream) => void = (_, stream) =>
    stream.abort('the node is starting');

  /** Told of links that this node dialled and that are lost. */
  onLinkDown: ((peer: PeerAddress) => void) | undefined;

  linkDown(peer: PeerAddress): void {
    this.onLinkDown?.(peer);
  }

  add(service: CallService): void {
    this.#services.push(service);
  }

  /** Streams go to the owner job. */
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
