/**
 * Log positions of primaries by way of the zone's readers: one question for all services inside the zone in
 * place of one for each service, most of them to another zone.
 *
 * A told position is as good as one that was asked for at the time of the question less its age: the reader
 * asked the primary no earlier than that, and took the answer while it trusted the primary.
 */

import { fieldsOf } from '../../core/fields.js';
import type { ReachableNode } from '../../core/ownership/owner-roster.js';
import type { ReadersOfNode } from '../../core/ownership/watch-readers.js';
import type { Position } from '../../core/position.js';
import type { Milliseconds } from '../../core/units.js';
import type { PeerTransport, WireValue } from '../../peer/contract.js';
import { encodePosition, parsePosition } from '../position-form.js';

/** Asks for the newest positions of some services. */
const POSITIONS_METHOD = 'direct/positions';

const QUESTION_TIMEOUT_MS: Milliseconds = 200;
/** A reader that did not answer is not asked for so long. */
const AVOID_MS: Milliseconds = 1000;
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
}

export class ZonePositions {
  /** Until when a reader is not asked, by its name. */
  readonly #avoided = new Map<string, Milliseconds>();
  readonly #start: number;

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

  /** What a reader knows of these services; nothing if it does not answer. */
  async ask(services: readonly string[]): Promise<readonly ToldPosition[]> {
    const reader = this.#reader();
    const transport = this.options.transport();
    if (reader === undefined || transport === undefined) return [];
    const { nodeId, host, port } = reader;
    const question = { services: services.slice(0, MAX_SERVICES) };
    const answer = await transport.call(
      { host, port },
      POSITIONS_METHOD,
      question,
      QUESTION_TIMEOUT_MS,
    );
    const told = answer.isOk() ? parseToldPositions(answer.value) : undefined;
    if (told === undefined) this.#avoided.set(nodeId, this.options.now() + AVOID_MS);
    return told ?? [];
  }

  #reader(): ReachableNode | undefined {
    const own = this.options.readers();
    if (own.type !== 'others') return undefined;
    const now = this.options.now();
    const first = Math.floor(this.#start * own.readers.length);
    const inTurn = [...own.readers.slice(first), ...own.readers.slice(0, first)];
    return inTurn.find(({ nodeId }) => (this.#avoided.get(nodeId) ?? 0) <= now);
  }
}

/** Answers a peer's question for positions; undefined for another method, and for a malformed question. */
export function answerPositions(
  method: string,
  question: WireValue,
  newestOf: (services: readonly string[]) => readonly ToldPosition[],
): WireValue | undefined {
  if (method !== POSITIONS_METHOD) return undefined;
  const services = parsePositionsQuestion(question);
  return services && encodeToldPositions(newestOf(services));
}

/** The services that are asked for; undefined for what is not in its form. */
export function parsePositionsQuestion(value: WireValue): readonly string[] | undefined {
  const services = fieldsOf(value)?.services;
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
  const { service, instanceId, ageMs, position: text } = fieldsOf(value) ?? {};
  const position = parsePosition(text);
  if (typeof service !== 'string' || typeof instanceId !== 'string') return undefined;
  if (typeof ageMs !== 'number' || !Number.isFinite(ageMs) || ageMs < 0) return undefined;
  return position && { service, instanceId, position, ageMs };
}
