/** One watch of the store: a streamed response of JSON lines on a dedicated connection. */
import { Agent, type ClientRequest, type IncomingMessage } from 'node:http';
import { z } from 'zod';
import type { Milliseconds } from '../core/units.js';
import type { WatchHandlers } from './contract.js';
import {
  StoreCompactedError,
  type StoreFailure,
  StoreProtocolError,
  StoreRateLimitedError,
  StoreUnavailableError,
  StoreWatchEndedError,
} from './errors.js';
import { openRequest, type ServiceEndpoint } from './http-exchange.js';
import { LineReader } from './line-reader.js';
import { type WatchLine, watchLine } from './store-messages.js';

const MAX_LINE_BYTES = 64 * 1024 * 1024;
const HTTP_OK = 200;
const HTTP_TOO_MANY_REQUESTS = 429;

export interface StoreWatchOptions {
  readonly endpoint: ServiceEndpoint;
  readonly clientName: string;
  /** Request body (JSON). */
  readonly body: string;
  /** The watch ends if nothing, not even a progress notification, is received for this long. */
  readonly silenceMs: Milliseconds;
  readonly handlers: WatchHandlers;
  /** Called once, however the watch ends. */
  onClosed(): void;
}

export class StoreWatch {
  readonly #agent = new Agent({ keepAlive: false, maxSockets: 1 });
  #request: ClientRequest | undefined;
  #silenceTimer: NodeJS.Timeout | undefined;
  #closed = false;

  constructor(private readonly options: StoreWatchOptions) {}

  /** Sends the request; handlers are called from later turns of the event loop only. */
  open(): void {
    const { endpoint, clientName, body } = this.options;
    const request = openRequest({
      endpoint,
      agent: this.#agent,
      clientName,
      method: 'POST',
      path: '/v3/watch',
      body,
      maxResponseBytes: MAX_LINE_BYTES,
    });
    this.#request = request;
    this.#restartSilenceTimer();
    request.on('error', (error) => this.#end(new StoreUnavailableError(error.message)));
    request.on('response', (response) => this.#read(response));
    request.end(body);
  }

  /** Ends the watch; no handler is called any more. */
  close(): void {
    if (this.#closed) return;
    this.#closed = true;
    clearTimeout(this.#silenceTimer);
    this.#request?.destroy();
    this.#agent.destroy();
    this.options.onClosed();
  }

  #end(error: StoreFailure): void {
    if (this.#closed) return;
    this.close();
    this.options.handlers.onEnd(error, error instanceof StoreCompactedError);
  }

  #restartSilenceTimer(): void {
    clearTimeout(this.#silenceTimer);
    const { silenceMs } = this.options;
    this.#silenceTimer = setTimeout(() => {
      this.#end(new StoreWatchEndedError(`nothing received for ${silenceMs} ms`));
    }, silenceMs);
  }

  #read(response: IncomingMessage): void {
    if (response.statusCode !== HTTP_OK) {
      this.#end(failureOfStatus(response));
      return;
    }
    const lines = new LineReader(MAX_LINE_BYTES);
    response.on('data', (chunk: Buffer) => {
      const completedLines = lines.push(chunk);
      if (completedLines.isErr())
        this.#end(new StoreProtocolError(completedLines.error.message, false));
      else for (const line of completedLines.value) this.#handleLine(line);
    });
    response.on('error', (error) => this.#end(new StoreWatchEndedError(error.message)));
    response.on('close', () => this.#end(new StoreWatchEndedError('the store closed the stream')));
  }

  #handleLine(text: string): void {
    if (this.#closed) return;
    this.#restartSilenceTimer();
    const line = parseLine(text);
    if (line === undefined) {
      this.#end(new StoreProtocolError('malformed line in the watch stream', false));
    } else if ('error' in line) {
      this.#end(new StoreWatchEndedError(line.error.message));
    } else {
      this.#handleResult(line.result);
    }
  }

  #handleResult(result: Extract<WatchLine, { result: unknown }>['result']): void {
    if (result.compact_revision > 0) {
      this.#end(new StoreCompactedError(result.compact_revision));
    } else if (result.canceled) {
      this.#end(new StoreWatchEndedError(`canceled: ${result.cancel_reason}`));
    } else if (result.events.length > 0) {
      this.options.handlers.onEvents(result.events, result.header.revision);
    }
  }
}

function parseLine(text: string): WatchLine | undefined {
  try {
    const parsed = z.safeParse(watchLine, JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

function failureOfStatus(response: IncomingMessage): StoreFailure {
  response.resume();
  if (response.statusCode === HTTP_TOO_MANY_REQUESTS) return new StoreRateLimitedError(undefined);
  return new StoreUnavailableError(`watch request failed with HTTP status ${response.statusCode}`);
}
