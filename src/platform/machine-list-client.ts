/**
 * Follows the platform's machine list by long polls. An outage, a malformed answer or a malformed
 * entry never takes a machine off: what was read last stays until a well-formed answer replaces it.
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

const MAX_ANSWER_BYTES = 32 * 1024 * 1024;
const HTTP_OK = 200;

/** What the client is made of. */
export interface MachineListClientOptions {
  readonly endpoint: ServiceEndpoint;
  readonly clientName: string;
  /** How long the service may hold a poll when nothing changed. */
  readonly pollWaitMs: Milliseconds;
  /** How long beyond that an answer may take. */
  readonly answerTimeoutMs: Milliseconds;
  /** Least time from the start of one poll to the start of the next. */
  readonly minimumIntervalMs: Milliseconds;
  readonly backoff: BackoffPolicy;
  /** Seeded source of numbers in [0, 1), for the jitter. */
  random(): number;
}

/** Timing unless a test asks otherwise. */
export const DEFAULT_MACHINE_LIST_OPTIONS = {
  pollWaitMs: 10_000,
  answerTimeoutMs: 2000,
  minimumIntervalMs: 100,
  backoff: { baseMs: 100, maximumMs: 5000 },
} as const;

/** One well-formed answer to a poll. */
export interface MachineListReading {
  /** Version that the poll named as known. */
  readonly asked: number;
  readonly version: number;
  /** Undefined: nothing new since the version that was known when the answer came. */
  readonly machines: readonly Machine[] | undefined;
}

/** What the client has done since it was made. */
export interface MachineListCounters {
  readonly polls: number;
  readonly failures: number;
  /** Malformed entries seen, over all answers. */
  readonly malformedEntries: number;
  readonly changes: number;
  readonly version: number;
}

const listAnswer = z.object({ version: z.int().min(0), machines: z.array(z.unknown()) });
type ListAnswer = z.output<typeof listAnswer>;

/** The machine list's client. */
export class MachineListClient implements MachineListWatcher {
  onChange: ((machines: readonly Machine[]) => void) | undefined;
  /** Called with every well-formed answer, before `onChange`. */
  onReading: ((reading: MachineListReading) => void) | undefined;
  /** Called when reading the list fails, and with `undefined` when it works again. */
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

  /** Starts polling; does nothing if it runs. */
  start(): void {
    if (this.#stopping !== undefined) return;
    const stopping = new AbortController();
    this.#stopping = stopping;
    this.#agent = new Agent({ keepAlive: true, maxSockets: 1 });
    void this.#run(stopping.signal, this.#agent);
  }

  /** Ends the poll that is open and closes the connection. The list stays as it is. */
  stop(): void {
    this.#stopping?.abort();
    this.#stopping = undefined;
    this.#agent?.destroy();
    this.#agent = undefined;
  }

  /** Goes on from a list that was learned otherwise; the next poll asks for what comes after it. */
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
      const asked = this.#version;
      const answer = await this.#poll(signal, agent);
      if (signal.aborted) return;
      const pauseMs = answer.match(
        (list) => this.#accept(list, asked, performance.now() - startedAt),
        (error) => this.#fail(error),
      );
      await pause(pauseMs, undefined, { signal }).catch(() => undefined);
    }
  }

  async #poll(signal: AbortSignal, agent: Agent): Promise<Result<ListAnswer, MeadowstackError>> {
    const { endpoint, clientName, pollWaitMs, answerTimeoutMs } = this.options;
    this.#polls += 1;
    const answer = await exchange({
      endpoint,
      agent,
      clientName,
      method: 'GET',
      path: `/v1/machines?after=${this.#version}&wait=${pollWaitMs}`,
      timeoutMs: pollWaitMs + answerTimeoutMs,
      maxAnswerBytes: MAX_ANSWER_BYTES,
      signal,
    });
    if (answer.isErr()) return err(new MachineListUnavailableError(answer.error.message));
    if (answer.value.status !== HTTP_OK) {
      return err(new MachineListUnavailableError(`HTTP status ${answer.value.status}`));
    }
    return parseList(answer.value.body);
  }

  /** Takes an answer over; gives the pause before the next poll. */
  #accept(list: ListAnswer, asked: number, tookMs: Milliseconds): Milliseconds {
    if (this.#consecutiveFailures > 0) this.onAvailability?.(undefined);
    this.#consecutiveFailures = 0;
    const { version } = list;
    if (version !== this.#version) this.#takeOver(list, asked);
    else this.onReading?.({ asked, version, machines: undefined });
    return Math.max(0, this.options.minimumIntervalMs - tookMs);
  }

  #takeOver(list: ListAnswer, asked: number): void {
    const machines = this.#wellFormed(list.machines);
    const wentBack = list.version < this.#version;
    this.#version = list.version;
    const emptied = machines.length === 0 && this.#machines.length > 0;
    // A service that lost its memory (an earlier version) or sends only nonsense is no news.
    if (emptied && (wentBack || list.machines.length > 0)) return;
    this.#machines = machines;
    this.#changes += 1;
    this.onReading?.({ asked, version: list.version, machines });
    this.onChange?.(machines);
  }

  #wellFormed(entries: readonly unknown[]): Machine[] {
    const machines: Machine[] = [];
    for (const entry of entries) {
      const parsed = machineSchema.safeParse(entry);
      if (parsed.success) machines.push(parsed.data);
      else this.#malformedEntries += 1;
    }
    return machines;
  }

  /** Counts a failure; gives the pause before the next poll. */
  #fail(error: MeadowstackError): Milliseconds {
    this.#failures += 1;
    this.#consecutiveFailures += 1;
    if (this.#consecutiveFailures === 1) this.onAvailability?.(error);
    return backoffPause(this.options.backoff, this.#consecutiveFailures, this.options.random());
  }
}

function parseList(body: string): Result<ListAnswer, MachineListProtocolError> {
  try {
    const parsed = listAnswer.safeParse(JSON.parse(body));
    if (parsed.success) return ok(parsed.data);
    return err(new MachineListProtocolError(z.prettifyError(parsed.error)));
  } catch {
    return err(new MachineListProtocolError('the answer is not JSON'));
  }
}
