/**
 * Faults of an HTTP service: outages (connections refused, held or reset) and delayed responses.
 * Wraps the request handler, which needs no fault handling of its own.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { z } from 'zod';
import { listenAgain } from './process.js';

/** `refuse`: no listener; `hang`: requests wait until the outage ends; `reset`: connections are reset. */
export const OUTAGE_KINDS = ['none', 'refuse', 'hang', 'reset'] as const;
export type OutageKind = (typeof OUTAGE_KINDS)[number];

/** Fields of the body of `POST /faults` that all services have. Absent fields stay as they are. */
export const serviceFaultSettings = z.strictObject({
  outage: z.enum(OUTAGE_KINDS).optional(),
  /** Delay of each response after the request took effect, in milliseconds. */
  answerDelayMs: z.number().min(0).optional(),
});
export type ServiceFaultSettings = z.infer<typeof serviceFaultSettings>;

/** Applies outages and response delays to one HTTP server. */
export class ServiceFaults {
  #outage: OutageKind = 'none';
  #answerDelayMs = 0;
  #heldRequests: (() => void)[] = [];
  readonly #sockets = new Set<Socket>();
  /** Called after each change, so that open streams can apply it. */
  onChange: (() => void) | undefined;

  constructor(
    private readonly server: Server,
    private readonly host: string,
    private readonly port: number,
  ) {
    server.on('connection', (socket: Socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
  }

  get outage(): OutageKind {
    return this.#outage;
  }

  get answerDelayMs(): number {
    return this.#answerDelayMs;
  }

  /** Changes the faults; resolves when the listener is closed or open accordingly. */
  async apply(settings: ServiceFaultSettings): Promise<void> {
    if (settings.answerDelayMs !== undefined) this.#answerDelayMs = settings.answerDelayMs;
    if (settings.outage !== undefined) await this.#setOutage(settings.outage);
    this.onChange?.();
  }

  async #setOutage(outage: OutageKind): Promise<void> {
    this.#outage = outage;
    if (outage === 'refuse') this.#closeListener();
    else if (!this.server.listening) await listenAgain(this.server, this.host, this.port);
    if (outage === 'refuse' || outage === 'reset') this.#resetConnections();
    if (outage === 'hang') return;
    const held = this.#heldRequests;
    this.#heldRequests = [];
    for (const resume of held) resume();
  }

  #closeListener(): void {
    if (this.server.listening) this.server.close();
  }

  #resetConnections(): void {
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /**
   * Runs `proceed` according to the outage: immediately, after the hang, or never (the connection is
   * reset). A held request whose client disconnects is dropped.
   */
  admit(request: IncomingMessage, response: ServerResponse, proceed: () => void): void {
    if (this.#outage === 'reset') {
      request.socket.resetAndDestroy();
      return;
    }
    if (this.#outage !== 'hang') {
      proceed();
      return;
    }
    this.#heldRequests.push(() => {
      const isClientGone = response.destroyed || request.socket.destroyed;
      if (!isClientGone) this.admit(request, response, proceed);
    });
  }

  /** Runs `send` after the configured delay. */
  afterDelay(send: () => void): void {
    if (this.#answerDelayMs === 0) send();
    else setTimeout(send, this.#answerDelayMs);
  }
}
