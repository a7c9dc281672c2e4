/**
 * Faults of an HTTP service: outage (connections refused, held or reset) and slow answers. Wraps a
 * request handler; the server itself knows nothing of faults.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { z } from 'zod';
import { listenAgain } from './process.js';

/** `refuse`: no listener; `hang`: requests are held until healed; `reset`: each request is reset. */
export const OUTAGE_KINDS = ['none', 'refuse', 'hang', 'reset'] as const;
export type OutageKind = (typeof OUTAGE_KINDS)[number];

/** Body of `POST /faults` as far as every service has it. Absent fields stay as they are. */
export const serviceFaultSettings = z.strictObject({
  outage: z.enum(OUTAGE_KINDS).optional(),
  /** Delay of each answer after its effect, in milliseconds. */
  answerDelayMs: z.number().min(0).optional(),
});
export type ServiceFaultSettings = z.infer<typeof serviceFaultSettings>;

/** Applies outages and slow answers to one HTTP server. */
export class ServiceFaults {
  #outage: OutageKind = 'none';
  #answerDelayMs = 0;
  #held: (() => void)[] = [];
  readonly #sockets = new Set<Socket>();
  /** Called after each change, so that streams that are open can follow it. */
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

  /** Changes the faults; resolves when the listener is in the state asked for. */
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
    const held = this.#held;
    this.#held = [];
    for (const resume of held) resume();
  }

  #closeListener(): void {
    if (this.server.listening) this.server.close();
  }

  #resetConnections(): void {
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /**
   * Runs `proceed` as the outage allows: at once, after the hang, or never (the connection is
   * reset). A request whose caller went away while it was held is dropped.
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
    this.#held.push(() => {
      const callerGone = response.destroyed || request.socket.destroyed;
      if (!callerGone) this.admit(request, response, proceed);
    });
  }

  /** Runs `send` after the set delay. */
  afterDelay(send: () => void): void {
    if (this.#answerDelayMs === 0) send();
    else setTimeout(send, this.#answerDelayMs);
  }
}
