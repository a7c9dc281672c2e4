/**
 * Requests the primaries' log positions from a reader of the zone: one request within the zone for all services, in
 * place of one per service, most of them to another zone.
 *
 * A reported position of age A, requested at time T, is as good as one requested from the primary at T - A: the reader
 * sent its own request no earlier than that, and accepted the response while it trusted the primary.
 */

import { asObject } from '../../core/fields.js';
import type { ReachableNode } from '../../core/ownership/owner-roster.js';
import type { ReadersOfNode } from '../../core/ownership/watch-readers.js';
import type { Position } from '../../core/position.js';
import type { Milliseconds } from '../../core/units.js';
import type { PeerTransport, WireValue } from '../../peer/contract.js';
import { encodePosition, parsePosition } from '../position-form.js';
import type { DigestExchange } from './digest-exchange.js';

/** Peer method that returns the newest positions of some services. */
const POSITIONS_METHOD = 'direct/positions';

const REQUEST_TIMEOUT_MS: Milliseconds = 200;
/** A reader that did not respond gets no request for this time. */
const AVOID_MS: Milliseconds = 1000;
/** Without digests from a reader for this time, a node relies on its own observations. */
const FLEET_VIEW_MAX_AGE_MS: Milliseconds = 2500;
/** Maximum services in one request. */
const MAX_SERVICES = 64;

/** The newest log position of a service's primary that a node knows. */
export interface ReportedPosition {
  readonly service: string;
  readonly instanceId: string;
  readonly position: Position;
  /** Time since the position was requested from the primary. */
  readonly ageMs: Milliseconds;
}

export interface ZonePositionsOptions {
  /** Undefined while there are no peer links. */
  readonly transport: () => PeerTransport | undefined;
  readonly readers: () => ReadersOfNode;
  readonly now: () => Milliseconds;
  /** A number in [0, 1): spreads the nodes of a zone over its readers. */
  readonly random: () => number;
  /** Exchanges digests of instances in the same request and response. */
  readonly exchange?: DigestExchange | undefined;
}

export class ZonePositions {
  /** Time before which a reader gets no request, by node id. */
  readonly #avoided = new Map<string, Milliseconds>();
  readonly #start: number;
  /** Requests so far. With digests, the readers take turns, so that both receive the digests of the whole zone. */
  #requestCount = 0;
  #digestsReceivedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: ZonePositionsOptions) {
    this.#start = options.random();
  }

  /** True if other nodes rely on the positions of this one. */
  get isReader(): boolean {
    return this.options.readers().type !== 'others';
  }

  /** True if there is a reader to send a request to. */
  get isAvailable(): boolean {
    return this.options.transport() !== undefined && this.#reader() !== undefined;
  }

  /** True while this node receives the digests of other nodes: it is a reader, or a reader sends them. */
  isFleetSeen(): boolean {
    const { exchange, now } = this.options;
    if (exchange === undefined) return false;
    return this.isReader || now() - this.#digestsReceivedAt < FLEET_VIEW_MAX_AGE_MS;
  }

  /** Whether to send requests even when no position is needed. */
  get sendsDigests(): boolean {
    return this.options.exchange !== undefined && !this.isReader && this.isAvailable;
  }

  /** Positions that a reader knows of these services; none if it does not respond. */
  async requestPositions(services: readonly string[]): Promise<readonly ReportedPosition[]> {
    const { exchange } = this.options;
    const reader = this.#reader();
    const transport = this.options.transport();
    if (reader === undefined || transport === undefined) return [];
    const { nodeId, host, port } = reader;
    this.#requestCount += 1;
    const request = { services: services.slice(0, MAX_SERVICES) };
    const requestBody =
      exchange === undefined ? request : { ...request, digests: exchange.encodeOwn() };
    const response = await transport.call(
      { host, port },
      POSITIONS_METHOD,
      requestBody,
      REQUEST_TIMEOUT_MS,
    );
    const positions = response.isOk()
      ? parseReportedPositions(positionsOf(response.value))
      : undefined;
    if (positions === undefined) this.#avoided.set(nodeId, this.options.now() + AVOID_MS);
    const digests = response.isOk() ? asObject(response.value)?.digests : undefined;
    if (exchange !== undefined && digests !== undefined) {
      exchange.receive(digests, nodeId);
      this.#digestsReceivedAt = this.options.now();
    }
    return positions ?? [];
  }

  #reader(): ReachableNode | undefined {
    const own = this.options.readers();
    if (own.type !== 'others') return undefined;
    const now = this.options.now();
    const turns = this.options.exchange === undefined ? 0 : this.#requestCount;
    const count = Math.max(1, own.readers.length);
    const first = (Math.floor(this.#start * count) + turns) % count;
    const rotated = [...own.readers.slice(first), ...own.readers.slice(0, first)];
    return rotated.find(({ nodeId }) => (this.#avoided.get(nodeId) ?? 0) <= now);
  }
}

/** Responds to a peer's request for positions; undefined for another method or a malformed request. */
export function answerPositions(
  method: string,
  request: WireValue,
  newestOf: (services: readonly string[]) => readonly ReportedPosition[],
  digests?: { readonly exchange: DigestExchange; readonly requesterId: string },
): WireValue | undefined {
  if (method !== POSITIONS_METHOD) return undefined;
  const services = parsePositionsRequest(request);
  if (services === undefined) return undefined;
  const positions = encodeReportedPositions(newestOf(services));
  const requesterDigests = asObject(request)?.digests;
  // Nodes of an earlier version send no digests and understand only the response without them.
  if (digests === undefined || requesterDigests === undefined) return positions;
  const { exchange, requesterId } = digests;
  exchange.receive(requesterDigests, requesterId);
  return { positions, digests: exchange.encodeZone() };
}

function positionsOf(response: WireValue): WireValue {
  return asObject(response)?.positions ?? response;
}

/** The requested services; undefined if malformed. */
export function parsePositionsRequest(value: WireValue): readonly string[] | undefined {
  const services = asObject(value)?.services;
  if (!Array.isArray(services) || services.length > MAX_SERVICES) return undefined;
  return services.every((service) => typeof service === 'string') ? services : undefined;
}

/** Encodes positions for `parseReportedPositions`. */
export function encodeReportedPositions(positions: readonly ReportedPosition[]): WireValue {
  return positions.map(({ position, ...rest }) => ({
    ...rest,
    position: encodePosition(position),
  }));
}

/** Undefined if malformed. */
export function parseReportedPositions(value: WireValue): readonly ReportedPosition[] | undefined {
  if (!Array.isArray(value) || value.length > MAX_SERVICES) return undefined;
  const positions = value.map(parseReportedPosition).filter((one) => one !== undefined);
  return positions.length === value.length ? positions : undefined;
}

function parseReportedPosition(value: unknown): ReportedPosition | undefined {
  const { service, instanceId, ageMs, position: text } = asObject(value) ?? {};
  const position = parsePosition(text);
  if (typeof service !== 'string' || typeof instanceId !== 'string') return undefined;
  if (typeof ageMs !== 'number' || !Number.isFinite(ageMs) || ageMs < 0) return undefined;
  return position && { service, instanceId, position, ageMs };
}
