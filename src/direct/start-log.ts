/** Logs each step of a process's start when it is reached for the first time. */
import type { Milliseconds } from '../core/units.js';
import type { Logger } from '../observability/logger.js';
import type { RouteConsistency } from './contract.js';
import type { RequestEnd, RequestLog } from './request-log.js';

/** A step of a node's start. */
export type StartStep =
  | 'configuration'
  | 'instances'
  /** The number of nodes is known. */
  | 'fleet'
  /** Each service has a known primary or expects a new one soon. */
  | 'primaries'
  /** This node may trust each primary. */
  | 'trust'
  | 'connection'
  | 'ready';

export interface StartLogOptions {
  readonly logger: Logger;
  /** Time since the start of the process. */
  readonly now: () => Milliseconds;
  /** The steps that are currently met. */
  readonly reached: () => readonly StartStep[];
}

/** Number of values of `StartStep`; once all are logged, there is nothing left to check. */
const STEP_COUNT = 7;

export class StartLog implements RequestLog {
  readonly #steps = new Set<StartStep>();
  readonly #served = new Set<RouteConsistency>();

  constructor(private readonly options: StartLogOptions) {}

  /** Logs the steps reached since the last call. */
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
