/** One line for each step of a process's start, when it is reached for the first time. */
import type { Milliseconds } from '../core/units.js';
import type { Logger } from '../observability/logger.js';
import type { RouteConsistency } from './contract.js';
import type { RequestEnd, RequestLog } from './request-log.js';

/** What a node has, or has done, on its way to serving. */
export type StartStep =
  | 'configuration'
  | 'instances'
  /** How many nodes there are, and who owns instances. */
  | 'fleet'
  /** A primary of each service. */
  | 'primaries'
  /** This node may rely on each of them. */
  | 'trust'
  | 'connection'
  | 'ready';

export interface StartLogOptions {
  readonly logger: Logger;
  /** From the start of the process. */
  readonly now: () => Milliseconds;
  /** The steps that are reached now. */
  readonly reached: () => readonly StartStep[];
}

/** Steps and kinds of routes; once all are told there is nothing to look for. */
const STEP_COUNT = 7;

export class StartLog implements RequestLog {
  readonly #steps = new Set<StartStep>();
  readonly #served = new Set<RouteConsistency>();

  constructor(private readonly options: StartLogOptions) {}

  /** Tells the steps that have been reached since the last look. */
  refresh(): void {
    if (this.#steps.size === STEP_COUNT) return;
    for (const step of this.options.reached()) {
      if (this.#steps.has(step)) continue;
      this.#steps.add(step);
      this.#log({ step });
    }
  }

  requestEnded({ code, routeType }: RequestEnd): void {
    if (code !== undefined || this.#served.has(routeType)) return;
    this.refresh();
    this.#served.add(routeType);
    this.#log({ step: `served ${routeType}` });
  }

  #log(fields: { readonly step: string }): void {
    this.options.logger.info('start step', { ...fields, atMs: Math.round(this.options.now()) });
  }
}
