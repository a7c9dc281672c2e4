/**
 * Log positions of primaries by way of the zone's readers: one question for all services inside the zone in
 * place of one for each service, most of them to another zone.
 *
 * A told position is as good as one that was asked for at the time of the question less its age: the reader
 * asked the primary no earlier than that, and took the answer while it trusted the primary.
 */

import { asObject } from '../../core/fields.js';
import type { ReachableNode } from '../../core/ownership/owner-roster.js';
import type { ReadersOfNode } from '../../core/ownership/watch-readers.js';
import type { Position } from '../../core/position.js';
import type { Milliseconds } from '../../core/units.js';
import type { PeerTransport, WireValue } from '../../peer/contract.js';
import { encodePosition, parsePosition } from '../position-form.js';
import type { DigestExchange } from './digest-exchange.js';

/** Asks for the newest positions of some services. */
const POSITIONS_METHOD = 'direct/positions';

const QUESTION_TIMEOUT_MS: Milliseconds = 200;
/** A reader that did not answer is not asked for so long. */
const AVOID_MS: Milliseconds = 1000;
/** Without a reader's digests for so long, a node goes by its own sight. */
const FLEET_SEEN_MS: Milliseconds = 2500;
/** Services of one question. */
const MAX_SERVICES = 64;

/** The newest position of a service's primary that a node knows. */
export interface ToldPosition {
  readonly service: string;
  readonly instanceId: string;
  readonly position: Position;
  /** Since the primary was asked. */
  readonly ageMs: Milliseconds;
}

export interface ZonePositionsOptions {
  /** Undefined while there are no links. */
  readonly transport: () => PeerTransport | undefined;
  readonly readers: () => ReadersOfNode;
  readonly now: () => Milliseconds;
  /** A number in [0, 1): spreads the nodes of a zone over its readers. */
  readonly random: () => number;
  /** What nodes see of instances passes with the question and its answer. */
  readonly exchange?: DigestExchange | undefined;
}

export class ZonePositions {
  /** Until when a reader is not asked, by its name. */
  readonly #avoided = new Map<string, Milliseconds>();
  readonly #start: number;
  /** Questions so far: with digests, each reader is asked in turn, so that both hear of the whole zone. */
  #asked = 0;
  #heardAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: ZonePositionsOptions) {
    this.#start = options.random();
  }

  /** True if other nodes rely on the positions of this one. */
  get isReader(): boolean {
    return this.options.readers().type !== 'others';
  }

  /** True if a reader can be asked. */
  get isAvailable(): boolean {
    return this.options.transport() !== undefined && this.#reader() !== undefined;
  }

  /** True while digests of other nodes come in: from a reader, or at one. */
  isFleetSeen(): boolean {
    const { exchange, now } = this.options;
    if (exchange === undefined) return false;
    return this.isReader || now() - this.#heardAt < FLEET_SEEN_MS;
  }

  /** Whether a reader is asked also where no position is needed. */
  get tellsDigests(): boolean {
    return this.options.exchange !== undefined && !this.isReader && this.isAvailable;
  }

  /** What a reader knows of these services; nothing if it does not answer. */
  async ask(services: readonly string[]): Promise<readonly ToldPosition[]> {
    const { exchange } = this.options;
    const reader = this.#reader();
    const transport = this.options.transport();
    if (reader === undefined || transport === undefined) return [];
    const { nodeId, host, port } = reader;
    this.#asked += 1;
    const asked = { services: services.slice(0, MAX_SERVICES) };
    const question = exchange === undefined ? asked : { ...asked, digests: exchange.own() };
    const answer = await transport.call(
      { host, port },
      POSITIONS_METHOD,
      question,
      QUESTION_TIMEOUT_MS,
    );
    const told = answer.isOk() ? parseToldPositions(positionsOf(answer.value)) : undefined;
    if (told === undefined) this.#avoided.set(nodeId, this.options.now() + AVOID_MS);
    const digests = answer.isOk() ? asObject(answer.value)?.digests : undefined;
    if (exchange !== undefined && digests !== undefined) {
      exchange.take(digests, nodeId);
      this.#heardAt = this.options.now();
    }
    return told ?? [];
  }

  #reader(): ReachableNode | undefined {
    const own = this.options.readers();
    if (own.type !== 'others') return undefined;
    const now = this.options.now();
    const turns = this.options.exchange === undefined ? 0 : this.#asked;
    const count = Math.max(1, own.readers.length);
    const first = (Math.floor(this.#start * count) + turns) % count;
    const inTurn = [...own.readers.slice(first), ...own.readers.slice(0, first)];
    return inTurn.find(({ nodeId }) => (this.#avoided.get(nodeId) ?? 0) <= now);
  }
}

/** Answers a peer's question for positions; undefined for another method, and for a malformed question. */
export function answerPositions(
  method: string,
  question: WireValue,
  newestOf: (services: readonly string[]) => readonly ToldPosition[],
  digests?: { readonly exchange: DigestExchange; readonly asker: string },
): WireValue | undefined {
  if (method !== POSITIONS_METHOD) return undefined;
  const services = parsePositionsQuestion(question);
  if (services === undefined) return undefined;
  const positions = encodeToldPositions(newestOf(services));
  const told = asObject(question)?.digests;
  // Nodes of an earlier version tell none, and know only the shorter answer.
  if (digests === undefined || told === undefined) return positions;
  const { exchange, asker } = digests;
  exchange.take(told, asker);
  return { positions, digests: exchange.zone() };
}

function positionsOf(answer: WireValue): WireValue {
  return asObject(answer)?.positions ?? answer;
}

/** The services that are asked for; undefined for what is not in its form. */
export function parsePositionsQuestion(value: WireValue): readonly string[] | undefined {
  const services = asObject(value)?.services;
  if (!Array.isArray(services) || services.length > MAX_SERVICES) return undefined;
  return services.every((service) => typeof service === 'string') ? services : undefined;
}

/** The form that `parseToldPositions` takes. */
export function encodeToldPositions(told: readonly ToldPosition[]): WireValue {
  return told.map(({ position, ...rest }) => ({ ...rest, position: encodePosition(position) }));
}

/** Undefined for what is not in its form. */
export function parseToldPositions(value: WireValue): readonly ToldPosition[] | undefined {
  if (!Array.isArray(value) || value.length > MAX_SERVICES) return undefined;
  const told = value.map(parseToldPosition).filter((one) => one !== undefined);
  return told.length === value.length ? told : undefined;
}

function parseToldPosition(value: unknown): ToldPosition | undefined {
  const { service, instanceId, ageMs, position: text } = asObject(value) ?? {};
  const position = parsePosition(text);
  if (typeof service !== 'string' || typeof instanceId !== 'string') return undefined;
  if (typeof ageMs !== 'number' || !Number.isFinite(ageMs) || ageMs < 0) return undefined;
  return position && { service, instanceId, position, ageMs };
}
