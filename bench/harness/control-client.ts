/** Calls a stand-in's control port: JSON over HTTP, with responses validated by zod. */
import type { z } from 'zod';
import { MeadowstackError } from '../../src/core/errors.js';

/** A control port returned an HTTP error status. */
export class ControlCallError extends MeadowstackError {
  readonly code = 'MS-HARNESS-CONTROL';

  constructor(
    readonly httpStatus: number,
    message: string,
  ) {
    super(message);
  }
}

export class ControlClient {
  readonly #origin: string;

  constructor(host: string, port: number) {
    this.#origin = `http://${host}:${port}`;
  }

  /** @throws ControlCallError (as a rejection) if the status is an error. */
  async call<Schema extends z.ZodType>(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    schema: Schema,
    body?: unknown,
  ): Promise<z.output<Schema>> {
    const init: RequestInit = { method, headers: { connection: 'close' } };
    if (body !== undefined) init.body = JSON.stringify(body);
    const response = await fetch(this.#origin + path, init);
    const text = await response.text();
    if (!response.ok) throw new ControlCallError(response.status, `${method} ${path}: ${text}`);
    return schema.parse(JSON.parse(text));
  }
}
