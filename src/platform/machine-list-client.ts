/**
 * Watches the platform's machine list by long polls. An outage or a malformed response never removes a machine: the
 * last list stays until a well-formed response replaces it. Malformed entries of a response are skipped and counted.
 */
import { Agent } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import type { MeadowstackError } from '../core/errors.js';
import { type BackoffPolicy, backoffPause } from '../core/retry/backoff.js';
import type { Milliseconds } from '../core/units.js';
import type { Machine, MachineListWatcher } from './contract.js';
import { MachineListProtocolError, MachineListUnavailableError } from './errors.js';
import { exchange, type ServiceEndpoint } from './http-exchange.js';
import { machineSchema } from './machine-schema.js';

const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;
const HTTP_OK = 200;

export interface MachineListClientOptions {
  readonly endpoint: ServiceEndpoint;
  readonly clientName: string;
  /** How long the service may hold a poll while nothing changes. */
  readonly pollWaitMs: Milliseconds;
  /** How long a response may take beyond `pollWaitMs`. */
  readonly responseTimeoutMs: Milliseconds;
  /** Minimum time from the start of one poll to the start of the next. */
  readonly minPollPeriodMs: Milliseconds;
  readonly backoff: BackoffPolicy;
  /** Seeded source of numbers in [0, 1), for the backoff's jitter. */
  random(): number;
}

/** Used everywhere except in tests. */
export const DEFAULT_MACHINE_LIST_OPTIONS = {
  pollWaitMs: 10_000,
  responseTimeoutMs: 2000,
  minPollPeriodMs: 100,
  backoff: { baseMs: 100, maximumMs: 5000 },
} as const;

/** A well-formed response to a poll. */
export interface MachineListPollResponse {
  /** Version that the poll sent as known to the client. */
  readonly knownVersion: number;
  readonly version: number;
  /** Undefined if the client already has this version when the response arrives. */
  readonly machines: readonly Machine[] | undefined;
}

/** Counters since the creation of the client. */
export interface MachineListCounters {
  readonly polls: number;
  readonly failures: number;
  /** Malformed entries in all responses. */
  readonly malformedEntries: number;
  readonly changes: number;
  readonly version: number;
}

const listResponse = z.object({ version: z.int().min(0), machines: z.array(z.unknown()) });
type ListResponse = z.output<typeof listResponse>;

export class MachineListClient implements MachineListWatcher {
  onChange: ((machines: readonly Machine[]) => void) | undefined;
  /** Called with every well-formed response, before `onChange`. */
  onPollResponse: ((response: MachineListPollResponse) => void) | undefined;
  /** Called with the error when polls begin to fail, and with `undefined` when they succeed again. */
  onAvailability: ((error: MeadowstackError | undefined) => void) | undefined;
  #agent: Agent | undefined;
  #stopping: AbortController | undefined;
  #machines: readonly Machine[] = [];
  #version = 0;
  #polls = 0;
  #failures = 0;
  #consecutiveFailures = 0;
  #malformedEntries = 0;
  #changes = 0;

  constructor(private readonly options: MachineListClientOptions) {}

  /** Starts polling; does nothing if already started. */
  start(): void {
    if (this.#stopping !== undefined) return;
    const stopping = new AbortController();
    this.#stopping = stopping;
    this.#agent = new Agent({ keepAlive: true, maxSockets: 1 });
    void this.#run(stopping.signal, this.#agent);
  }

  /** Aborts the poll in flight and closes the connection. The list is kept. */
  stop(): void {
    this.#stopping?.abort();
    this.#stopping = undefined;
    this.#agent?.destroy();
    this.#agent = undefined;
  }

  /** Replaces the list by one received from elsewhere; the next poll asks for later versions. */
  adopt(version: number, machines: readonly Machine[]): void {
    this.#version = version;
    this.#machines = machines;
  }

  current(): readonly Machine[] {
    return this.#machines;
  }

  counters(): MachineListCounters {
    return {
      polls: this.#polls,
      failures: this.#failures,
      malformedEntries: this.#malformedEntries,
      changes: this.#changes,
      version: this.#version,
    };
  }

  async #run(signal: AbortSignal, agent: Agent): Promise<void> {
    while (!signal.aborted) {
      const startedAt = performance.now();
      const knownVersion = this.#version;
      const response = await this.#poll(signal, agent);
      if (signal.aborted) return;
      const pauseMs = response.match(
        (list) => this.#handleList(list, knownVersion, performance.now() - startedAt),
        (error) => this.#handleFailure(error),
      );
      await pause(pauseMs, undefined, { signal }).catch(() => undefined);
    }
  }

  async #poll(signal: AbortSignal, agent: Agent): Promise<Result<ListResponse, MeadowstackError>> {
    const { endpoint, clientName, pollWaitMs, responseTimeoutMs } = this.options;
    this.#polls += 1;
    const response = await exchange({
      endpoint,
      agent,
      clientName,
      method: 'GET',
      path: `/v1/machines?after=${this.#version}&wait=${pollWaitMs}`,
      timeoutMs: pollWaitMs + responseTimeoutMs,
      maxResponseBytes: MAX_RESPONSE_BYTES,
      signal,
    });
    if (response.isErr()) return err(new MachineListUnavailableError(response.error.message));
    if (response.value.status !== HTTP_OK) {
      return err(new MachineListUnavailableError(`HTTP status ${response.value.status}`));
    }
    return parseList(response.value.body);
  }

  /** Returns the pause before the next poll. */
  #handleList(list: ListResponse, knownVersion: number, tookMs: Milliseconds): Milliseconds {
    if (this.#consecutiveFailures > 0) this.onAvailability?.(undefined);
    this.#consecutiveFailures = 0;
    const { version } = list;
    if (version !== this.#version) this.#replaceList(list, knownVersion);
    else this.onPollResponse?.({ knownVersion, version, machines: undefined });
    return Math.max(0, this.options.minPollPeriodMs - tookMs);
  }

  #replaceList(list: ListResponse, knownVersion: number): void {
    const machines = this.#parseMachines(list.machines);
    const isOlderVersion = list.version < this.#version;
    this.#version = list.version;
    const becomesEmpty = machines.length === 0 && this.#machines.length > 0;
    // An empty list from a service that lost its data (version reset), or one with only malformed entries, is ignored.
    if (becomesEmpty && (isOlderVersion || list.machines.length > 0)) return;
    this.#machines = machines;
    this.#changes += 1;
    this.onPollResponse?.({ knownVersion, version: list.version, machines });
    this.onChange?.(machines);
  }

  #parseMachines(entries: readonly unknown[]): Machine[] {
    const machines: Machine[] = [];
    for (const entry of entries) {
      const parsed = machineSchema.safeParse(entry);
      if (parsed.success) machines.push(parsed.data);
      else this.#malformedEntries += 1;
    }
    return machines;
  }

  /** Returns the pause before the next poll. */
  #handleFailure(error: MeadowstackError): Milliseconds {
    this.#failures += 1;
    this.#consecutiveFailures += 1;
    if (this.#consecutiveFailures === 1) this.onAvailability?.(error);
    return backoffPause(this.options.backoff, this.#consecutiveFailures, this.options.random());
  }
}

function parseList(body: string): Result<ListResponse, MachineListProtocolError> {
  try {
    const parsed = listResponse.safeParse(JSON.parse(body));
    if (parsed.success) return ok(parsed.data);
    return err(new MachineListProtocolError(z.prettifyError(parsed.error)));
  } catch {
    return err(new MachineListProtocolError('the response is not JSON'));
  }
}
